"""The generic cell rate algorithm (GCRA): a rate limiter that keeps one theoretical arrival time (TAT).

All times are milliseconds on the clock of the events.
"""

from __future__ import annotations

import math

MS_PER_S = 1000.0


class Gcra:
    """One limiter with a rate and a burst, in units."""

    __slots__ = ("emission_interval_ms", "tat", "tolerance_ms")

    def __init__(self, rate: float, burst: float, tat: float) -> None:
        """Start at a TAT; `rate` is in units per second, `burst` in units.  A rate of 0 admits nothing."""
        self.emission_interval_ms = MS_PER_S / rate if rate > 0 else math.inf
        self.tolerance_ms = burst * self.emission_interval_ms if rate > 0 else 0.0
        self.tat = tat

    def wait_ms(self, now: float, units: float) -> float:
        """The time until a request conforms; 0 or less if it conforms now.

        The tolerance is reduced by the request's own units, so that they count against the burst.  A plain test of the
        TAT would admit one more request after each idle period, and the plan counts that one as over quota.
        """
        return self.tat - now + min(units * self.emission_interval_ms - self.tolerance_ms, 0.0)

    def available_units(self, now: float) -> float:
        """Units left of the burst; below 0 while the limiter is overdrawn."""
        return (now + self.tolerance_ms - max(self.tat, now)) / self.emission_interval_ms

    def consume(self, units: float, since: float) -> None:
        """Advance the TAT by units used since that time."""
        self.tat = max(self.tat, since) + units * self.emission_interval_ms
