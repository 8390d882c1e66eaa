"""What is known of one authorization service: its latency, a limit of checks in flight and a circuit breaker.

The limit halves with a failure and grows by one with a limit's worth of responses.  After failures in a row the breaker
opens for a while that doubles, then admits one check at a time.  So a service that recovers does not get all that
waited for it at once.
"""

from __future__ import annotations

import math
import random

LIMIT_DECREASE_FACTOR = 0.5  # by a failure
FAILURES_TO_OPEN = 3  # in a row: one or two are chance
MAX_OPEN_FACTOR = 16.0  # of the first time: the longest that a breaker stays open
LATENCY_EWMA_WEIGHT = 0.2
UNKNOWN_LATENCY_MS = 1.0


class ServiceHealth:
    """One service; times in milliseconds."""

    def __init__(self, max_in_flight: int, open_ms: float) -> None:
        """Begin healthy; `open_ms` is how long the breaker stays open at first."""
        self._max_limit = self._limit = float(max_in_flight)
        self._open_ms = open_ms
        self.in_flight = 0
        self._latency_ms = 0.0  # EWMA; 0: unknown
        self._failures = 0  # in a row
        self._open_until = -math.inf
        self._times_opened = 0  # in a row

    def admits(self, now: float) -> bool:
        """Whether a check may start: none while the breaker is open, one at a time after it was."""
        if now < self._open_until:
            return False
        return self.in_flight < (1 if self._times_opened else max(int(self._limit), 1))

    def expected_wait(self) -> float:
        """What one more check would take, for comparison between services."""
        return (self._latency_ms or UNKNOWN_LATENCY_MS) * (1 + self.in_flight)

    def record_response(self, latency_ms: float) -> None:
        """Learn from a verdict."""
        if self._latency_ms:
            self._latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - self._latency_ms)
        else:
            self._latency_ms += latency_ms
        self._failures = self._times_opened = 0
        self._limit = min(self._limit + 1 / self._limit, self._max_limit)

    def record_failure(self, now: float, rng: random.Random) -> float | None:
        """Learn from a failure; gives until when the breaker is open, where that opened it."""
        self._limit = max(self._limit * LIMIT_DECREASE_FACTOR, 1.0)
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN and not self._times_opened:
            return None
        open_ms = self._open_ms * min(2.0**self._times_opened, MAX_OPEN_FACTOR)
        self._open_until = now + open_ms * (0.5 + rng.random())  # instances must not come back in step
        self._times_opened += 1
        return self._open_until
