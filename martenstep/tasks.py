"""Background tasks that nobody awaits: kept alive, their failures logged, ended together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from martenstep.event_log import EventLog

RESTART_DELAY_S = 0.05  # after a failure: a task that fails at once must not take all the time


def start_supervised(
    work: Callable[[], Coroutine[Any, Any, None]],
    failed: Callable[[str, BaseException], None],
) -> asyncio.Task[None]:
    """Start a task that runs as long as its owner: whatever it raises is passed to `failed`, and it is restarted."""

    async def run() -> None:
        while True:
            try:
                return await work()
            except Exception as error:
                failed(work.__qualname__, error)
            await asyncio.sleep(RESTART_DELAY_S)

    return asyncio.get_running_loop().create_task(run())


class BackgroundTasks:
    """The background tasks of one owner."""

    def __init__(self, where: str, log_event: EventLog) -> None:
        """`where` names the owner in the log lines of failures."""
        self._where, self._log_event = where, log_event
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start one."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log_event("fault", {"where": self._where, "error": repr(task.exception())})

    async def finish(self, within_s: float) -> None:
        """Wait for all; those that have not ended after `within_s` are cancelled."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=within_s)
        self.cancel()

    def cancel(self) -> None:
        """Cancel all."""
        for task in list(self._tasks):
            task.cancel()
