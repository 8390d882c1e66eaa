"""The ceiling of a customer: a hard limit on its units over all instances, whatever was not read from the counter.

The ceiling is split.  The part above the quota, less a reserve, is the headroom: it is divided evenly between the
customer's instances, for sends that the counter has not confirmed.  The rest bounds the sends that the counter has
confirmed, and is tracked by the counter's totals.  See docs/design.md, "The ceiling".
"""

from __future__ import annotations

from martenstep.policy.counter_period import CounterPeriod, InstanceContext
from martenstep.policy.gcra import MS_PER_S, Gcra
from martenstep.policy.messages import Plan, Request, Settings

HEADROOM_SHARE = 0.9  # of the part above the quota; the rest allows for units of confirmed sends that are read late
MAX_CLOCK_SKEW_MS = 10.0  # between instances: the total of a period is not relied on so close to the period's end


def instance_count(request: Request, settings: Settings) -> int:
    """The number of instances that the customer's requests are spread over."""
    return max(1, min(request.instances, settings.instances))


def headroom_share(headroom_units: float, request: Request, settings: Settings) -> float:
    """This instance's share of a customer's headroom, 0 to 1.

    Where an even share would be less than one request, only the first of the customer's instances get a share, as many
    as the headroom holds requests.  Otherwise either all instances would admit a request, or none.
    """
    holders = min(instance_count(request, settings), int(headroom_units / max(settings.max_units, 1.0)))
    position = (settings.instance - request.first_instance) % settings.instances
    return (position < holders) / max(holders, 1)


class CeilingLimiter:
    """The limiters of one instance for a customer's ceiling: `headroom` and `confirmed`.

    The TAT of `confirmed` is never too early, because units that could not be read count as used.
    """

    __slots__ = (
        "_period",
        "_previous_period_tat",
        "_total_before_call",
        "_total_read_at",
        "confirmed",
        "exhausted_at",
        "headroom",
    )

    def __init__(
        self, plan: Plan, request: Request, instance: InstanceContext, period: CounterPeriod, now: float
    ) -> None:
        """Split the ceiling of a plan that has one, for a customer of whom no total was read yet."""
        self._period = period
        self._previous_period_tat = 0.0  # of `confirmed` at the start of the current period
        self._total_before_call = 0.0  # the last total read of the current period, less the units of the call itself
        self._total_read_at = now  # the last total in the TAT of `confirmed`, or the period's start less the skew
        # `confirmed` counts as exhausted at this time.  Until all instances have detected a step of the wall clock,
        # others may add to keys that this instance does not read any more.
        self.exhausted_at = instance.ceiling_exhausted_at
        settings = instance.settings
        headroom_units = HEADROOM_SHARE * max(plan.ceiling_burst + plan.ceiling_slack - plan.burst, 0.0)
        headroom_rate = HEADROOM_SHARE * max(plan.ceiling_rate - plan.rate, 0.0)
        share = headroom_share(headroom_units, request, settings)
        self.headroom = Gcra(headroom_rate * share, headroom_units * share, instance.started_at)
        # The headroom is empty at the instance's start, so that a restart does not refill it.
        self.headroom.tat = instance.started_at + self.headroom.tolerance_ms
        rate = plan.ceiling_rate - headroom_rate
        late_units = rate * settings.counter_timeout_ms / MS_PER_S  # a send follows its increment by a timeout at most
        self.confirmed = Gcra(rate, plan.ceiling_burst + plan.ceiling_slack - headroom_units - late_units, now)

    def begin_period(self, consecutive: bool) -> None:
        """Begin a period.

        Until the closing read of the previous period, `confirmed` counts as exhausted at the start of this one.  If the
        periods are not consecutive, it counts as exhausted at the start of the previous one too.
        """
        start = self._period.start()
        exhausted_tat = max(start, self.exhausted_at) + self.confirmed.tolerance_ms
        self._previous_period_tat = self.confirmed.tat if consecutive else exhausted_tat - self._period.length_ms
        self.confirmed.tat = exhausted_tat
        self._total_read_at = start - MAX_CLOCK_SKEW_MS

    def record_current_total(
        self, now: float, total: float, own_units: float, known_total: float, retained_since: float
    ) -> None:
        """Advance the TAT by the units that others have added since `known_total`, as if they were sent now.

        The counter may have lost data before `retained_since`.  If that is after the last reading, all of the total may
        be new, and `confirmed` counts as exhausted at that time.  `confirmed` is at most exhausted as of now.
        """
        confirmed = self.confirmed
        retained_since = max(retained_since, self.exhausted_at)
        known = known_total if retained_since <= self._total_read_at else 0.0
        tat = (
            confirmed.tat
            if retained_since <= self._total_read_at
            else max(confirmed.tat, retained_since + confirmed.tolerance_ms)
        )
        others_ms = max(total - own_units - known, 0.0) * confirmed.emission_interval_ms
        confirmed.tat = min(max(tat, now) + others_ms, now + confirmed.tolerance_ms)
        self._total_read_at = now
        self._total_before_call = total - own_units

    def record_previous_total(self, total: float, known_total: float, retained_since: float) -> None:
        """Record the closing read of the previous period: it gives what was available when this period started."""
        confirmed = self.confirmed
        start = self._period.start()
        new_units_ms = max(total - known_total, 0.0) * confirmed.emission_interval_ms
        retained_since = max(retained_since, self.exhausted_at)
        if retained_since <= start - self._period.length_ms - MAX_CLOCK_SKEW_MS:
            start_tat = min(max(self._previous_period_tat, start) + new_units_ms, start + confirmed.tolerance_ms)
            current_units_ms = self._total_before_call * confirmed.emission_interval_ms
            confirmed.tat = min(confirmed.tat, max(start_tat, self._total_read_at) + current_units_ms)

    def limiter_for(self, now: float, units: float) -> Gcra | None:
        """The limiter that admits a confirmed send: `confirmed`, else the headroom; None if neither does."""
        total_is_reliable = self.exhausted_at <= now < self._period.end() - MAX_CLOCK_SKEW_MS
        if total_is_reliable and self.confirmed.wait_ms(now, units) <= 0:
            return self.confirmed
        return self.headroom if self.headroom.available_units(now) >= units else None
