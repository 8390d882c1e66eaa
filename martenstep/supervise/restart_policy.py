"""When a worker that exited is started again, and when the supervisor gives up.

No I/O, no clock.

Delays double from exit to exit, with jitter, and begin anew once a worker has served for a while.  A worker that exits
again and again is logged and restarted at long intervals: the others serve on.  Only if none serves and every one has
exited so often without having served does the supervisor give up, since whoever started it can do more then than it can
(RESTART_AND_WAIT).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from martenstep.backoff import Backoff

MIN_DELAY_MS = 100.0
MAX_DELAY_MS = 5_000.0
STABLE_AFTER_MS = 10_000.0  # a worker that has served so long is healthy again
CRASH_LOOP_EXITS = 8  # in a row: logged, and restarted at long intervals
CRASH_LOOP_DELAY_MS = 30_000.0
MAX_STARTUP_FAILURES = 3  # in a row, of each worker: the supervisor gives up


@dataclass(frozen=True, slots=True)
class RestartAt:
    """Start the worker again at a moment; `crash_loop` is set if it keeps exiting."""

    at_ms: float
    crash_loop: bool = False


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Start nothing more."""

    reason: str


@dataclass(slots=True)
class _WorkerHistory:
    backoff: Backoff
    ready_at_ms: float | None = None  # of the worker that runs, once it serves
    exits: int = 0  # in a row, of those that did not serve for long
    startup_failures: int = 0  # in a row, of those that never served


class RestartPolicy:
    """The workers of one supervisor, by number."""

    def __init__(self, workers: int, rng: random.Random) -> None:
        """`rng` draws the jitter."""
        self._workers = [_WorkerHistory(Backoff(MIN_DELAY_MS, MAX_DELAY_MS, rng)) for _ in range(workers)]

    def on_ready(self, now_ms: float, worker: int) -> None:
        """Note that a worker serves."""
        history = self._workers[worker]
        history.ready_at_ms = now_ms
        history.startup_failures = 0

    def on_exit(self, now_ms: float, worker: int, reason: str) -> RestartAt | GiveUp:
        """Decide what follows when a worker exited that was not told to."""
        history = self._workers[worker]
        ready_at_ms = history.ready_at_ms
        history.ready_at_ms = None
        if ready_at_ms is None:
            history.startup_failures += 1
        elif now_ms - ready_at_ms >= STABLE_AFTER_MS:
            history.backoff.succeeded()
            history.exits = 0
        history.exits += 1
        if all(self._fails_at_start(one) for one in self._workers):
            return GiveUp(
                f"each worker died {MAX_STARTUP_FAILURES} times without having served, the last one by {reason}"
            )
        if history.exits >= CRASH_LOOP_EXITS:
            return RestartAt(now_ms + CRASH_LOOP_DELAY_MS, True)
        return RestartAt(now_ms + history.backoff.failed())

    @staticmethod
    def _fails_at_start(history: _WorkerHistory) -> bool:
        return history.ready_at_ms is None and history.startup_failures >= MAX_STARTUP_FAILURES
