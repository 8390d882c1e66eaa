"""The engine's types of timer, and a queue of timers in order of time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

MIN_COMPACT_SIZE = 1024  # timers from which on obsolete ones are searched for


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
        self._compact_size = MIN_COMPACT_SIZE
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
        if len(self._heap) >= self._compact_size:  # before the new timer is added, whose subject may not exist yet
            self._remove_obsolete()
        heapq.heappush(self._heap, (at, self._scheduled, timer))

    def _remove_obsolete(self) -> None:
        """Remove all obsolete timers, which a client that is rejected at once would otherwise pile up.

        The next search comes once the queue has doubled, so that it costs each timer a bounded time.
        """
        self._heap = [entry for entry in self._heap if not self._is_obsolete(entry[2])]
        heapq.heapify(self._heap)
        self._compact_size = max(2 * len(self._heap), MIN_COMPACT_SIZE)

    def _is_obsolete(self, timer: Timer) -> bool:
        predicate = self._obsolete.get(type(timer))
        return predicate is not None and predicate(timer)

    def next_at(self) -> float | None:
        """When the next timer that still has an effect is due; None if there is none."""
        heap, obsolete = self._heap, self._obsolete
        while heap:
            at, _, timer = heap[0]
            predicate = obsolete.get(type(timer))  # as in _is_obsolete, since each event comes here
            if predicate is None or not predicate(timer):
                return at
            heapq.heappop(heap)
        return None

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the first timer that is due; None if there is none."""
        heap = self._heap
        if heap and heap[0][0] <= now:
            return heapq.heappop(heap)[2]
        return None
