"""The periods in which a customer's units are counted, and the keys of the counter service for them.

Each period has its own key, under which the counter keeps the total of that period.  Units that other instances add
near a period's end are found by a closing read: one more read of its total, in the period that follows.  Periods are
numbered by the wall clock, which all instances read; times given and returned are milliseconds on the clock of the
events.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from martenstep.policy.gcra import MS_PER_S
from martenstep.policy.messages import Plan, Settings

MIN_PERIOD_MS = 1000.0  # a shorter period would be closed more often than it is used
MAX_PERIOD_MS = 20_000.0  # the counter drops keys after 60 s: a period and the next must fit well into that
KEY_LIFETIME_PERIODS = 2.5  # a key is used in its period, and in the next one for the closing read
NO_PERIOD = -1  # no counter call was made yet, or none since the wall clock was stepped
MAX_KEY = (1 << 63) - 1  # keys are signed 64-bit integers that are not negative


def counter_key(customer: int, period: int) -> int:
    """The key of a customer's period: a fixed hash (of splitmix64), so that it is the same at every instance."""
    mixed = (customer * 0x9E3779B97F4A7C15 + period * 0xD1B54A32D192ED03 + 0x8CB92BA72F3D8DD7) & (2**64 - 1)
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & (2**64 - 1)
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & (2**64 - 1)
    return (mixed ^ (mixed >> 31)) & MAX_KEY


@dataclass(slots=True)
class InstanceContext:
    """The settings and times that apply to all customers of this instance."""

    settings: Settings
    started_at: float = math.nan  # the time of the first request; NaN before that
    clock_shift_ms: float = 0.0  # the wall clock less the clock of the events
    ceiling_exhausted_at: float = -math.inf  # see CeilingLimiter.exhausted_at


class CounterPeriod:
    """The current period of one customer."""

    __slots__ = ("_clock_shift_ms", "_customer", "_phase", "length_ms", "number")

    def __init__(self, customer: int, plan: Plan, clock_shift_ms: float) -> None:
        """Start in no period; `clock_shift_ms` is the wall clock less the clock of the events."""
        length_ms = plan.burst / plan.rate * MS_PER_S if plan.rate > 0 else MAX_PERIOD_MS
        self.length_ms = min(max(length_ms, MIN_PERIOD_MS), MAX_PERIOD_MS)
        self.number = NO_PERIOD
        self._customer = customer
        self._phase = counter_key(customer, -1) / MAX_KEY  # so that customers' periods end at different times
        self._clock_shift_ms = clock_shift_ms

    def number_at(self, now: float) -> int:
        """The number of the period that contains this time."""
        return math.floor((now + self._clock_shift_ms) / self.length_ms + self._phase)

    def start(self) -> float:
        """When the current period began."""
        return (self.number - self._phase) * self.length_ms - self._clock_shift_ms

    def end(self) -> float:
        """When the current period ends."""
        return self.start() + self.length_ms

    def key(self, number: int) -> int:
        """The counter's key of a period."""
        return counter_key(self._customer, number)

    def clock_stepped(self, clock_shift_ms: float) -> None:
        """Number the periods by the wall clock as it reads after a step; the current period loses its number."""
        self._clock_shift_ms = clock_shift_ms
        self.number = NO_PERIOD
