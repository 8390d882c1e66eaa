"""Timers of a Raft node, on the caller's clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

TimerCallback = Callable[[float], None]  # is given the time, in ms
NEVER = float("inf")


class Timer(NamedTuple):
    """One call that is due at a time; of those due together the one that was scheduled first runs first."""

    due_at: float
    order: int
    callback: TimerCallback


class TimerQueue:
    """Timers by the time at which they are due."""

    def __init__(self) -> None:
        """Begin without timers."""
        self.next_due_at = NEVER
        self._timers: list[Timer] = []
        self._order = 0

    def schedule(self, due_at: float, callback: TimerCallback) -> None:
        """Add a timer."""
        self._order += 1
        heapq.heappush(self._timers, Timer(due_at, self._order, callback))
        self.next_due_at = self._timers[0].due_at

    def pop_due(self, now: float) -> Timer | None:
        """Remove and give the next timer that is due; None where none is."""
        if self.next_due_at > now:
            return None
        timer = heapq.heappop(self._timers)
        self.next_due_at = self._timers[0].due_at if self._timers else NEVER
        return timer
