"""Backoff: how long to wait before a failed attempt is made again.  No I/O, no clock.

The waits are drawn at random: all gateways lose a shared service at the same moment, and would otherwise all come back
to it at the same moment.
"""

from __future__ import annotations

import random

MIN_JITTER = 0.5  # of a wait's nominal length
MAX_JITTER = 1.5


class Backoff:
    """Waits that double from a minimum to a maximum, and start again after a success."""

    def __init__(self, min_ms: float, max_ms: float, rng: random.Random | None = None) -> None:
        """Start at the minimum; `rng` draws the jitter."""
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._rng = rng or random.Random()
        self.next_ms = min_ms  # nominal length of the next wait

    def failed(self) -> float:
        """Record a failure and return the milliseconds to wait now."""
        wait_ms = self.next_ms * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self.next_ms = min(self.next_ms * 2, self._max_ms)
        return wait_ms

    def succeeded(self) -> None:
        """Record a success: the next wait is the shortest again."""
        self.next_ms = self._min_ms
