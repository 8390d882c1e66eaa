"""Background tasks that no caller awaits: references to them are kept, and their failures are logged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from martenstep.event_log import EventLog

RESTART_DELAY_S = 0.05  # keeps a task that fails at once from occupying the event loop


def start_supervised(
    work: Callable[[], Coroutine[Any, Any, None]],
    on_failure: Callable[[str, BaseException], None],
) -> asyncio.Task[None]:
    """Start a task that is restarted after each exception; `on_failure` receives its name and the exception."""

    async def run() -> None:
        while True:
            try:
                return await work()
            except Exception as error:
                on_failure(work.__qualname__, error)
            await asyncio.sleep(RESTART_DELAY_S)

    return asyncio.get_running_loop().create_task(run())


class BackgroundTasks:
    """The background tasks of one owner."""

    def __init__(self, where: str, log_event: EventLog) -> None:
        """`where` names the owner in the log lines of failures."""
        self._where, self._log_event = where, log_event
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log_event("fault", {"where": self._where, "error": repr(task.exception())})

    async def finish(self, within_s: float) -> None:
        """Wait for all tasks; those still running after `within_s` are cancelled."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=within_s)
        self.cancel()

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
