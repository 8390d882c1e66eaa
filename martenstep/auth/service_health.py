"""The health of one authorization service: its latency, a limit of checks in flight and a circuit breaker.

The limit halves with each failure and grows by one with as many responses as the limit allows checks.  After several
failures in a row the breaker opens, for a time that doubles each time it opens again; when that time is over, the
breaker is half-open and admits one check at a time.  Therefore a recovering service does not receive all waiting checks
at once.
"""

from __future__ import annotations

import math
import random

LIMIT_DECREASE_FACTOR = 0.5  # applied for each failure
FAILURES_TO_OPEN = 3  # in a row; one or two may be random errors
MAX_OPEN_FACTOR = 16.0  # limits the open time, as a multiple of the initial one
LATENCY_EWMA_WEIGHT = 0.2
ASSUMED_LATENCY_MS = 1.0  # before the first response


class ServiceHealth:
    """The health of one service; times in milliseconds."""

    def __init__(self, max_in_flight: int, initial_open_ms: float) -> None:
        """Begin healthy; `initial_open_ms` is how long the breaker stays open the first time."""
        self._max_limit = self._limit = float(max_in_flight)
        self._initial_open_ms = initial_open_ms
        self.in_flight = 0
        self._latency_ms = 0.0  # EWMA; 0 before the first response
        self._failures = 0  # in a row
        self._open_until = -math.inf
        self._times_opened = 0  # in a row

    def admits(self, now: float) -> bool:
        """Whether a check may start: none while the breaker is open, one at a time while it is half-open."""
        if now < self._open_until:
            return False
        return self.in_flight < (1 if self._times_opened else max(int(self._limit), 1))

    def expected_wait(self) -> float:
        """Estimate how long one more check would take, to compare services."""
        return (self._latency_ms or ASSUMED_LATENCY_MS) * (1 + self.in_flight)

    def record_response(self, latency_ms: float) -> None:
        """Record a verdict: update the latency, close the breaker and raise the limit."""
        if self._latency_ms:
            self._latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - self._latency_ms)
        else:
            self._latency_ms += latency_ms
        self._failures = self._times_opened = 0
        self._limit = min(self._limit + 1 / self._limit, self._max_limit)

    def record_failure(self, now: float, rng: random.Random) -> float | None:
        """Record a failure; return until when the breaker is open if this failure opened it, otherwise None."""
        self._limit = max(self._limit * LIMIT_DECREASE_FACTOR, 1.0)
        self._failures += 1
        if self._failures < FAILURES_TO_OPEN and not self._times_opened:
            return None
        open_ms = self._initial_open_ms * min(2.0**self._times_opened, MAX_OPEN_FACTOR)
        self._open_until = now + open_ms * (
            0.5 + rng.random()
        )  # jitter: the instances must not resume their checks together
        self._times_opened += 1
        return self._open_until
