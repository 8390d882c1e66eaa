"""The engine's timers: what each one is for, and a queue in order of time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class CounterTimeout:
    """A counter call has not been answered in time."""

    call_id: int


@dataclass(slots=True)
class RequestDeadline:
    """A request's time is over."""

    request_id: int


@dataclass(slots=True)
class ConnectTimeout:
    """An attempt has not been written in time."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class PolicyTimer:
    """The policy asked for a TimerFired event."""

    token: int


Timer = CounterTimeout | RequestDeadline | ConnectTimeout | PolicyTimer


class TimerQueue:
    """Timers in order of their times; those of one time in the order in which they were scheduled."""

    def __init__(self) -> None:
        """Starts empty."""
        self._heap: list[tuple[float, int, Timer]] = []
        self._scheduled = 0
        self._obsolete: Mapping[type, Callable[[Any], bool]] = {}

    def __len__(self) -> int:
        return len(self._heap)

    def skip_obsolete(self, predicates: Mapping[type, Callable[[Any], bool]]) -> None:
        """Set, by the type of a timer, the predicate that is true once the timer has no effect any more.

        Most have none by their time, and each would wake the process for nothing.
        """
        self._obsolete = predicates

    def schedule(self, at: float, timer: Timer) -> None:
        """Add a timer that is due at a time in milliseconds."""
        self._scheduled += 1
        heapq.heappush(self._heap, (at, self._scheduled, timer))

    def next_at(self) -> float | None:
        """When the next timer that still has an effect is due; None where there is none."""
        heap = self._heap
        while heap:
            at, _, timer = heap[0]
            is_obsolete = self._obsolete.get(type(timer))
            if is_obsolete is None or not is_obsolete(timer):
                return at
            heapq.heappop(heap)
        return None

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the first timer that is due; None where none is."""
        heap = self._heap
        if heap and heap[0][0] <= now:
            return heapq.heappop(heap)[2]
        return None
