"""The rate of this instance's own attempts."""

from __future__ import annotations

import math

from martenstep.policy.gcra import MS_PER_S

MEMORY_MS = 3000.0  # long against a tick and short against a slow start


class SendRate:
    """An exponentially decaying count of attempts."""

    def __init__(self) -> None:
        """Begin without attempts."""
        self._count = 0.0  # as of the last attempt
        self._first_at = math.inf
        self.last_at = 0.0

    def record(self, now: float) -> None:
        """Count an attempt."""
        self._count = self._count * math.exp(-(now - self.last_at) / MEMORY_MS) + 1
        self.last_at = now
        self._first_at = min(self._first_at, now)

    def per_ms(self, now: float) -> float:
        """Attempts per millisecond."""
        return self._count * math.exp(-(now - self.last_at) / MEMORY_MS) / MEMORY_MS

    def unbiased_per_ms(self, now: float) -> float:
        """Attempts per millisecond, without the lag of a fresh start.

        A restarted instance of few would otherwise act for its first seconds as one of hundreds.
        """
        return self.per_ms(now) / (1 - math.exp(-max(now - self._first_at, MS_PER_S) / MEMORY_MS))
