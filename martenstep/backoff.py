"""Exponential backoff with jitter: the delay before a failed attempt is repeated.  No I/O, no clock.

Jitter is needed because all gateways lose a shared service at the same moment, and would otherwise all reconnect at the
same moment.
"""

from __future__ import annotations

import random

MIN_JITTER = 0.5  # as a factor of the nominal delay
MAX_JITTER = 1.5


class Backoff:
    """Delays that double from a minimum to a maximum, and restart at the minimum after a success."""

    def __init__(self, min_ms: float, max_ms: float, rng: random.Random | None = None) -> None:
        """Start at the minimum delay; `rng` draws the jitter."""
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._rng = rng or random.Random()
        self.next_ms = min_ms  # nominal length of the next delay

    def failed(self) -> float:
        """Record a failure and return the delay in milliseconds before the next attempt."""
        delay_ms = self.next_ms * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self.next_ms = min(self.next_ms * 2, self._max_ms)
        return delay_ms

    def succeeded(self) -> None:
        """Record a success: the next delay is the minimum."""
        self.next_ms = self._min_ms
