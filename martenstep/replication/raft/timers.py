"""Timers of a Raft node, on the caller's clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

TimerCallback = Callable[[float], None]  # is given the time, in ms


class Timer(NamedTuple):
    """One call that is due at a time; of those due together the one that was scheduled first runs first."""

    due_at: float
    order: int
    callback: TimerCallback


class TimerQueue:
    """Timers by the time at which they are due."""

    def __init__(self) -> None:
        """Begin without timers."""
        self._timers: list[Timer] = []
        self._order = 0

    def schedule(self, due_at: float, callback: TimerCallback) -> None:
        """Add a timer."""
        self._order += 1
        heapq.heappush(self._timers, Timer(due_at, self._order, callback))

    @property
    def next_due_at(self) -> float:
        """When the next timer is due; infinity where there is none."""
        return self._timers[0].due_at if self._timers else float("inf")

    def pop_due(self, now: float) -> Timer | None:
        """Remove and give the next timer that is due; None where none is."""
        return heapq.heappop(self._timers) if self._timers and self._timers[0].due_at <= now else None
