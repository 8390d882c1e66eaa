"""The ceiling of a customer: a hard limit on its units over all instances, whatever was not read from the counter.

The ceiling is split.  The part above the quota, less a reserve, is the headroom: it is divided evenly between the
customer's instances for sends that the counter has not confirmed.  The rest bounds the sends that it did confirm, and
is tracked from the counter's totals.  See docs/design.md, "The ceiling".
"""

from __future__ import annotations

from martenstep.policy.counter_period import CounterPeriod, InstanceContext
from martenstep.policy.gcra import MS_PER_S, Gcra
from martenstep.policy.messages import Plan, Request, Settings

HEADROOM_SHARE = 0.9  # confirmed sends may exceed the quota by what is read late
MAX_CLOCK_SKEW_MS = 10.0  # between instances: so close to a period's end its total is not relied on


def instance_count(request: Request, settings: Settings) -> int:
    """Over how many instances the customer's requests are spread."""
    return max(1, min(request.instances, settings.instances))


def headroom_part(headroom_units: float, request: Request, settings: Settings) -> float:
    """This instance's part of a customer's headroom.

    Where an even part is less than one request, the first so many of the customer's instances hold one each: else all
    would admit one, or none would.
    """
    holders = min(instance_count(request, settings), int(headroom_units / max(settings.max_units, 1.0)))
    position = (settings.instance - request.first_instance) % settings.instances
    return (position < holders) / max(holders, 1)


class CeilingLimiter:
    """One instance's view of a customer's ceiling.

    The TAT of `confirmed` is never too early: what could not be read counts as used up.
    """

    __slots__ = ("_period", "_previous_period_tat", "_read_at", "_units_read", "confirmed", "exhausted_at", "headroom")

    def __init__(
        self, plan: Plan, request: Request, instance: InstanceContext, period: CounterPeriod, now: float
    ) -> None:
        """Split the ceiling of a plan that has one, for a customer of whom nothing was read yet."""
        self._period = period
        self._previous_period_tat = 0.0
        self._units_read = 0.0  # of the current period
        self._read_at = now  # the last reading that the TAT of `confirmed` holds, or the period's start
        # `confirmed` counts as exhausted at this time: before a step of the wall clock was noticed by all instances,
        # others may have added to keys that are not read any more.
        self.exhausted_at = instance.ceiling_exhausted_at
        settings = instance.settings
        headroom_units = HEADROOM_SHARE * max(plan.ceiling_burst + plan.ceiling_slack - plan.burst, 0.0)
        headroom_rate = HEADROOM_SHARE * max(plan.ceiling_rate - plan.rate, 0.0)
        part = headroom_part(headroom_units, request, settings)
        self.headroom = Gcra(headroom_rate * part, headroom_units * part, instance.started_at)
        # It fills from the instance's start, since a restart refills nothing.
        self.headroom.tat = instance.started_at + self.headroom.tolerance_ms
        rate = plan.ceiling_rate - headroom_rate
        late_units = rate * settings.counter_timeout_ms / MS_PER_S  # a send follows its increment so late at most
        self.confirmed = Gcra(rate, plan.ceiling_burst + plan.ceiling_slack - headroom_units - late_units, now)

    def begin_period(self, consecutive: bool) -> None:
        """Begin a period.

        Until the previous one's end is read, `confirmed` counts as exhausted at the turn, and at the previous one's
        start too where that is not known either.
        """
        start = self._period.start()
        exhausted_tat = max(start, self.exhausted_at) + self.confirmed.tolerance_ms
        self._previous_period_tat = self.confirmed.tat if consecutive else exhausted_tat - self._period.length_ms
        self.confirmed.tat = exhausted_tat
        self._read_at = start - MAX_CLOCK_SKEW_MS

    def read_current(
        self, now: float, total: float, own_units: float, known_total: float, indeterminate_at: float
    ) -> None:
        """Advance the TAT by what others have added since `known_total`, as if it were sent now.

        After a time at which the counter may have lost data, all that it holds may be new, and `confirmed` was
        exhausted at that time; less available than now it never is.
        """
        confirmed = self.confirmed
        indeterminate_at = max(indeterminate_at, self.exhausted_at)
        known = known_total if indeterminate_at <= self._read_at else 0.0
        tat = (
            confirmed.tat
            if indeterminate_at <= self._read_at
            else max(confirmed.tat, indeterminate_at + confirmed.tolerance_ms)
        )
        others = max(total - own_units - known, 0.0) * confirmed.emission_interval_ms
        confirmed.tat = min(max(tat, now) + others, now + confirmed.tolerance_ms)
        self._read_at = now
        self._units_read = total - own_units

    def read_previous(self, total: float, known_total: float, indeterminate_at: float) -> None:
        """Take in the closing read of the previous period: what was available at the turn is known now."""
        confirmed = self.confirmed
        start = self._period.start()
        unread_ms = max(total - known_total, 0.0) * confirmed.emission_interval_ms
        indeterminate_at = max(indeterminate_at, self.exhausted_at)
        if indeterminate_at <= start - self._period.length_ms - MAX_CLOCK_SKEW_MS:
            turn_tat = min(max(self._previous_period_tat, start) + unread_ms, start + confirmed.tolerance_ms)
            read_ms = self._units_read * confirmed.emission_interval_ms
            confirmed.tat = min(confirmed.tat, max(turn_tat, self._read_at) + read_ms)

    def limiter_for(self, now: float, units: float) -> Gcra | None:
        """The limiter that admits a confirmed send: `confirmed`, else the headroom; None where neither does."""
        in_period = self.exhausted_at <= now < self._period.end() - MAX_CLOCK_SKEW_MS
        if in_period and self.confirmed.wait_ms(now, units) <= 0:
            return self.confirmed
        return self.headroom if self.headroom.available_units(now) >= units else None
