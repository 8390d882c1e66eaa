"""The rate at which this instance starts attempts."""

from __future__ import annotations

import math

from martenstep.policy.gcra import MS_PER_S

TIME_CONSTANT_MS = 3000.0  # of the exponential decay: long against a tick and short against a slow start


class SendRate:
    """An exponentially decaying count of attempts."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._count = 0.0  # as of the last attempt
        self._first_attempt_at = math.inf
        self.last_attempt_at = 0.0

    def record(self, now: float) -> None:
        """Count an attempt."""
        self._count = self._count * math.exp(-(now - self.last_attempt_at) / TIME_CONSTANT_MS) + 1
        self.last_attempt_at = now
        self._first_attempt_at = min(self._first_attempt_at, now)

    def per_ms(self, now: float) -> float:
        """Attempts per millisecond."""
        return self._count * math.exp(-(now - self.last_attempt_at) / TIME_CONSTANT_MS) / TIME_CONSTANT_MS

    def unbiased_per_ms(self, now: float) -> float:
        """Attempts per millisecond, corrected for the short time since the first attempt.

        Without the correction the rate is too low for some seconds after a restart, and an instance of a small fleet
        would behave like one of hundreds.
        """
        return self.per_ms(now) / (1 - math.exp(-max(now - self._first_attempt_at, MS_PER_S) / TIME_CONSTANT_MS))
