"""Reloads the settings' file on SIGHUP: either all changes are applied or none."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from martenstep.config import door_pb2 as pb
from martenstep.config.changes import differences
from martenstep.config.text_format import SettingsError
from martenstep.event_log import EventLog, LogFields
from martenstep.supervise import resources
from martenstep.supervise.process_manager import Notifier

MAX_LISTED_CHANGES = 50  # in one log line
NS_PER_US = 1000


def monotonic_us() -> int:
    """Return the monotonic clock's time as systemd reads it."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // NS_PER_US


@dataclass(frozen=True, slots=True)
class ReloadTarget:
    """What is reloaded: a gateway in this process, or its workers."""

    current: Callable[[], pb.Door]
    apply: Callable[[pb.Door], Coroutine[Any, Any, str]]  # returns why the settings were not applied, or an empty text
    reload_files: Callable[[], None]  # reloads hooks and certificates, which are files of their own


class Reloader:
    """Reads the settings again and has the target apply them."""

    def __init__(
        self,
        load: Callable[[], pb.Door] | None,
        log_event: EventLog,
        notifier: Notifier,
        target: ReloadTarget,
    ) -> None:
        """`load` reads the settings and raises SettingsError; if None, only files are reloaded."""
        self._load = load
        self._log_event = log_event
        self._notifier = notifier
        self._target = target
        self._lock = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def schedule(self) -> None:
        """Start a reload; called from a signal handler."""
        self._task = asyncio.create_task(self.reload())

    async def reload(self) -> None:
        """Reload once; concurrent reloads run one after the other."""
        async with self._lock:
            # Type=notify-reload of systemd requires the time.
            self._notifier.notify(RELOADING=1, MONOTONIC_USEC=monotonic_us())
            await self._reload_settings()
            self._target.reload_files()
            self._notifier.notify(READY=1)

    async def _reload_settings(self) -> None:
        if self._load is None:
            return
        try:
            settings = await asyncio.to_thread(self._load)
        except SettingsError as error:
            self._reject({"errors": [problem.describe(error.file) for problem in error.problems][:MAX_LISTED_CHANGES]})
            return
        allowed = self._allowed_connections(settings)
        settings.listener.max_connections = min(settings.listener.max_connections, allowed)
        changes = differences(self._target.current(), settings)
        need_restart = [change.describe() for change in changes if not change.live]
        if need_restart:
            self._reject({"need_a_restart": need_restart[:MAX_LISTED_CHANGES]})
            return
        if not changes:
            return
        error_text = await self._target.apply(settings)
        if error_text:
            self._reject({"errors": [error_text]})
        else:
            self._log_event(
                "settings applied", {"changes": [change.describe() for change in changes][:MAX_LISTED_CHANGES]}
            )

    def _allowed_connections(self, settings: pb.Door) -> int:
        """Return how many connections the limit of open files allows, as computed at the start of a service."""
        copy = pb.Door()
        copy.CopyFrom(settings)
        try:
            resources.apply_limits(copy, lambda event, fields: None)
        except resources.ResourceError:
            return self._target.current().listener.max_connections
        return copy.listener.max_connections

    def _reject(self, fields: LogFields) -> None:
        self._log_event("settings rejected", fields)
