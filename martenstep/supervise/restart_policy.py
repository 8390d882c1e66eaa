"""Decides when a worker that exited is started again, and when the supervisor gives up.

No I/O, no clock.

The delay before a restart doubles with each exit, with jitter, and returns to its minimum once a worker has served for
STABLE_AFTER_MS.  A worker in a crash loop is logged and restarted at long intervals, while the others continue to
serve.  The supervisor gives up only if no worker serves and each of them has exited MAX_STARTUP_FAILURES times in a row
without having served.  The process manager or operator that started it can then do more than it can itself (the rule
RESTART_AND_WAIT).
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from martenstep.backoff import Backoff

MIN_DELAY_MS = 100.0
MAX_DELAY_MS = 5_000.0
STABLE_AFTER_MS = 10_000.0  # a worker that has served this long counts as healthy again
CRASH_LOOP_EXITS = 8  # in a row; the worker is then logged and restarted at long intervals
CRASH_LOOP_DELAY_MS = 30_000.0
MAX_STARTUP_FAILURES = 3  # in a row, by each worker; the supervisor then gives up


@dataclass(frozen=True, slots=True)
class RestartAt:
    """Start the worker again at `at_ms`; `crash_loop` is set if it keeps exiting."""

    at_ms: float
    crash_loop: bool = False


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Start no more workers."""

    reason: str


@dataclass(slots=True)
class _WorkerHistory:
    backoff: Backoff
    ready_at_ms: float | None = None  # when the running process became ready; None if it has not
    exits: int = 0  # in a row, of processes that did not serve for STABLE_AFTER_MS
    startup_failures: int = 0  # in a row, of processes that never served


class RestartPolicy:
    """The exits of one supervisor's workers, and the decisions that follow."""

    def __init__(self, workers: int, rng: random.Random) -> None:
        """`rng` draws the jitter."""
        self._workers = [_WorkerHistory(Backoff(MIN_DELAY_MS, MAX_DELAY_MS, rng)) for _ in range(workers)]

    def on_ready(self, now_ms: float, worker: int) -> None:
        """Record that a worker serves."""
        history = self._workers[worker]
        history.ready_at_ms = now_ms
        history.startup_failures = 0

    def on_exit(self, now_ms: float, worker: int, reason: str) -> RestartAt | GiveUp:
        """Decide what follows the exit of a worker that was not asked to stop."""
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
