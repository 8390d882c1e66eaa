"""The hooks of a gateway: loads releases, and records their events in the history file."""

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

# Log events that are also written to the history.
RECORDED_EVENTS = ("hooks", "hooks withdrawn", "hook left alone", "hooks changed under a known version")
MS_PER_S = 1000.0


class RunDeadline:
    """A time limit for one run of a hook, for delays that the step limit does not bound, such as a stalled machine."""

    def __init__(self, max_ms: float) -> None:
        """`max_ms` is the longest duration of one run."""
        self.max_ms = max_ms

    def begin(self) -> Callable[[], bool]:
        """Begin a run; the returned function tells whether the run has exceeded its time limit."""
        deadline = time.perf_counter() + self.max_ms / MS_PER_S
        return lambda: time.perf_counter() > deadline


def _health_limits(settings: pb.Hooks) -> HealthLimits:
    return HealthLimits(settings.failure_share, settings.mean_steps, settings.least_runs)


class HookService:
    """Loads the releases of hooks.

    A fault in hooks never stops the gateway: a release that cannot be read is logged and skipped, and the releases in
    service stay in service.
    """

    def __init__(self, settings: pb.Hooks, gateway: str, log_event: EventLog) -> None:
        """Read the history if the settings name one."""
        self._settings, self._log_event = settings, log_event
        self._history = ReleaseHistory(Path(settings.history), gateway) if settings.history else None
        self._run_deadline = RunDeadline(settings.backstop_ms)
        self.releases = ReleaseManager(
            _health_limits(settings),
            self._log_and_record,
            rolled_back=self._read_rolled_back(),
            begin_deadline=self._run_deadline.begin,
        )

    async def load(self) -> None:
        """Load the releases in the directory."""
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
        """Apply settings that differ only in fields that may change without a restart."""
        self._settings = settings
        self.releases.set_limits(_health_limits(settings))
        self._run_deadline.max_ms = settings.backstop_ms

    def _read_rolled_back(self) -> set[int]:
        """Return the versions that the history has as rolled back."""
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
