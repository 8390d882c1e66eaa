"""Tasks that nobody awaits: kept alive, told of where they fail, ended together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from martenstep.event_log import EventLog

AGAIN_S = 0.05  # before a standing task that failed is begun anew: one that fails at once must not take all the time


def standing(
    work: Callable[[], Coroutine[Any, Any, None]],
    failed: Callable[[str, BaseException], None],
) -> asyncio.Task[None]:
    """A task that runs as long as its owner: whatever it raises is told, and it is begun anew."""

    async def run() -> None:
        while True:
            try:
                return await work()
            except Exception as error:
                failed(work.__qualname__, error)
            await asyncio.sleep(AGAIN_S)

    return asyncio.get_running_loop().create_task(run())


class Tasks:
    """Those of one owner."""

    def __init__(self, where: str, log_event: EventLog) -> None:
        """`where` names the owner in what is told of a fault."""
        self._where, self._log_event = where, log_event
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin one."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log_event("fault", {"where": self._where, "error": repr(task.exception())})

    async def finish(self, within_s: float) -> None:
        """Let all come to their end; who has not by then is cancelled."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=within_s)
        self.cancel()

    def cancel(self) -> None:
        """End all, now."""
        for task in list(self._tasks):
            task.cancel()
