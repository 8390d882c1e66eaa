"""Timers of a Raft node, on the caller's clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

TimerCallback = Callable[[float], None]  # receives the current time in ms
NEVER = float("inf")


class Timer(NamedTuple):
    """A callback that is due at a time; timers due at the same time run in the order in which they were scheduled."""

    due_at: float
    order: int
    callback: TimerCallback


class TimerQueue:
    """A priority queue of timers by due time."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self.next_due_at = NEVER
        self._timers: list[Timer] = []
        self._order = 0

    def schedule(self, due_at: float, callback: TimerCallback) -> None:
        """Add a timer."""
        self._order += 1
        heapq.heappush(self._timers, Timer(due_at, self._order, callback))
        self.next_due_at = self._timers[0].due_at

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the next timer that is due; None if there is none."""
        if self.next_due_at > now:
            return None
        timer = heapq.heappop(self._timers)
        self.next_due_at = self._timers[0].due_at if self._timers else NEVER
        return timer
