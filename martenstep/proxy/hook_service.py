"""The hooks of a gateway: which releases are in service, and the history of what happened to them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog, LogFields
from martenstep.hooks.release_files import read_directory
from martenstep.hooks.release_history import ReleaseHistory
from martenstep.hooks.release_manager import ReleaseManager
from martenstep.hooks.runner import HealthLimits

# Events that go into the history as well.
RECORDED_EVENTS = ("hooks", "hooks withdrawn", "hook left alone", "hooks changed under a known version")
MS_PER_S = 1000.0


class RunDeadline:
    """The end of a hook's run by the clock, for what its steps do not bound: a machine that stands still."""

    def __init__(self, max_ms: float) -> None:
        """`max_ms` of one run."""
        self.max_ms = max_ms

    def begin(self) -> Callable[[], bool]:
        """Begin a run; returns whether it has taken too long, each time that it is called."""
        until = time.perf_counter() + self.max_ms / MS_PER_S
        return lambda: time.perf_counter() > until


def _limits(settings: pb.Hooks) -> HealthLimits:
    return HealthLimits(settings.failure_share, settings.mean_steps, settings.least_runs)


class HookService:
    """Takes up releases of hooks.

    Hooks never keep a gateway from its service: what cannot be read is logged and left out, and what is in service goes
    on.
    """

    def __init__(self, settings: pb.Hooks, gateway: str, log_event: EventLog) -> None:
        """Reads the history, where the settings name one."""
        self._settings, self._log_event = settings, log_event
        self._history = ReleaseHistory(Path(settings.history), gateway) if settings.history else None
        self._run_deadline = RunDeadline(settings.backstop_ms)
        self.releases = ReleaseManager(
            _limits(settings),
            self._log_and_record,
            rolled_back=self._read_rolled_back(),
            begin_deadline=self._run_deadline.begin,
        )

    async def load(self) -> None:
        """Take up the releases that stand in the directory."""
        directory = self._settings.directory
        try:
            contents = await asyncio.to_thread(read_directory, Path(directory), self._settings.trusted_key)
        except OSError as error:
            self._log_event("hooks not loaded", {"error": f"{directory}: {error.strerror}"})
            return
        for problem in contents.problems:
            self._log_event("hooks not loaded", {"error": problem})
        self.releases.replace_releases(contents.releases)

    def reconfigure(self, settings: pb.Hooks) -> None:
        """Take over settings that differ only in what may change in service."""
        self._settings = settings
        self.releases.set_limits(_limits(settings))
        self._run_deadline.max_ms = settings.backstop_ms

    def _read_rolled_back(self) -> set[int]:
        """The versions that were rolled back before."""
        try:
            return self._history.rolled_back_versions() if self._history is not None else set()
        except OSError as error:
            self._log_event("hooks history not read", {"error": error.strerror or str(error)})
            return set()

    def _log_and_record(self, event: str, fields: LogFields) -> None:
        self._log_event(event, fields)
        if self._history is None or event not in RECORDED_EVENTS:
            return
        try:
            self._history.add(event, fields)
        except OSError as error:
            self._log_event("hooks history not written", {"error": error.strerror or str(error)})
