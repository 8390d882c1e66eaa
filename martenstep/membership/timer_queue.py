"""Timers for a core without I/O: callbacks run in order of due time, then of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

TimerCallback = Callable[[float], None]  # called with the current time


class _Timer(NamedTuple):
    due_ms: float
    sequence: int  # of timers due at the same time, the one scheduled first runs first
    callback: TimerCallback


class TimerQueue:
    """Timers on a clock that the caller reads, in milliseconds."""

    def __init__(self) -> None:
        """No timer is scheduled at first."""
        self._heap: list[_Timer] = []
        self._sequence = 0

    def schedule(self, due_ms: float, callback: TimerCallback) -> None:
        """Run a callback at `due_ms`."""
        self._sequence += 1
        heapq.heappush(self._heap, _Timer(due_ms, self._sequence, callback))

    @property
    def next_due_ms(self) -> float:
        """Return when the first timer is due; raises IndexError if there is none."""
        return self._heap[0].due_ms

    def run_due(self, now: float) -> None:
        """Run all timers that are due, including those that callbacks schedule."""
        heap = self._heap
        while heap and heap[0].due_ms <= now:
            heapq.heappop(heap).callback(now)

    def lateness_ms(self, now: float) -> float:
        """Return how late the first timer is; negative if it is not due yet or there is none."""
        return now - self._heap[0].due_ms if self._heap else -1.0

    def postpone_overdue(self, now: float) -> None:
        """Change the due time of overdue timers to `now`."""
        self._heap = [_Timer(max(timer.due_ms, now), timer.sequence, timer.callback) for timer in self._heap]
        heapq.heapify(self._heap)
