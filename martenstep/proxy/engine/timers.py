"""The engine's types of timer, and a queue of timers in order of time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class CounterTimeout:
    """Ends a counter call that has not been answered in time."""

    call_id: int


@dataclass(slots=True)
class RequestDeadline:
    """Ends a request at its deadline."""

    request_id: int


@dataclass(slots=True)
class ConnectTimeout:
    """Ends an attempt that has not been written in time."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class PolicyTimer:
    """Sends the policy the TimerFired event that it requested."""

    token: int


Timer = CounterTimeout | RequestDeadline | ConnectTimeout | PolicyTimer


class TimerQueue:
    """Timers in order of due time; timers with the same due time keep the order in which they were scheduled."""

    def __init__(self) -> None:
        """Starts empty."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._scheduled = 0
        self._obsolete: Mapping[type, Callable[[Any], bool]] = {}

    def __len__(self) -> int:
        return len(self._heap)

    def set_obsolete_predicates(self, predicates: Mapping[type, Callable[[Any], bool]]) -> None:
        """Set for each type of timer the predicate that tells whether a timer no longer has an effect.

        Most timers are obsolete by the time they are due; skipping them avoids waking the process for nothing.
        """
        self._obsolete = predicates

    def schedule(self, at: float, timer: Timer) -> None:
        """Add a timer that is due at a time in milliseconds."""
        self._scheduled += 1
        heapq.heappush(self._heap, (at, self._scheduled, timer))

    def next_at(self) -> float | None:
        """When the next timer that still has an effect is due; None if there is none."""
        heap = self._heap
        while heap:
            at, _, timer = heap[0]
            is_obsolete = self._obsolete.get(type(timer))
            if is_obsolete is None or not is_obsolete(timer):
                return at
            heapq.heappop(heap)
        return None

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the first timer that is due; None if there is none."""
        heap = self._heap
        if heap and heap[0][0] <= now:
            return heapq.heappop(heap)[2]
        return None
