"""The state that one instance keeps for one customer: its limiters, its counter calls and the rates observed.

"Own" refers to this instance, "other" to all other instances together.
"""

from __future__ import annotations

import math

from martenstep.policy.ceiling import CeilingLimiter, instance_count
from martenstep.policy.counter_period import CounterPeriod, InstanceContext
from martenstep.policy.gcra import MS_PER_S, Gcra
from martenstep.policy.messages import CounterReply, Plan, Request

# The least expected gain of an unconfirmed send, in values of one conforming request.  It is below 0 because the
# conforming fraction is estimated from few replies, and a small estimated loss must not exclude a customer.
MIN_UNCONFIRMED_GAIN = -0.15
INITIAL_CONFORMING_FRACTION = 0.5  # of a plan for which no counter call was made yet
CUSTOMER_CONFORMANCE_EWMA_WEIGHT = 0.4  # of one reply in a customer's fraction, which starts from its plan's
# Time constant of the EWMA of the rates, in periods: long enough to average out chance, short enough to follow a shift
# of traffic between instances.
RATE_TIME_CONSTANT_PERIODS = 2.0
MIN_EVEN_SHARE_FRACTION = 0.5  # each instance keeps this part of an even share, since traffic may move to it
MAX_IDLE_TOLERANCES = 4.0  # idle time after which an entry is dropped, in burst tolerances, or in longer periods


class CustomerState:
    """One customer's limiters and the bookkeeping of its counter calls."""

    __slots__ = (
        "_clock_stepped_since_read",
        "_unconfirmed_before_read",
        "attempts_in_flight",
        "calls_in_flight",
        "ceiling",
        "confirmed",
        "conforming_fraction",
        "extrapolated_units",
        "indeterminate_units",
        "instances",
        "last_used_at",
        "needs_closing_read",
        "other_instances_rate",
        "outdated_keys",
        "own_rate",
        "period",
        "period_total",
        "plan",
        "plan_since",
        "previous_period_total",
        "quota",
        "report_scheduled",
        "requests_for_next_call",
        "requests_in_call",
        "total_read_at",
        "unconfirmed_limiter",
        "unreported_units",
    )

    def __init__(self, plan: Plan, request: Request, instance: InstanceContext, now: float) -> None:
        """Start with an even share of the burst, because no total was read from the counter yet."""
        self._begin_plan(plan, request, instance, now)
        self.conforming_fraction = INITIAL_CONFORMING_FRACTION  # EWMA over the requests that a counter call decided
        self.own_rate = self.other_instances_rate = 0.0  # EWMA, in units per second
        self.attempts_in_flight = 0
        self.last_used_at = now
        self.report_scheduled = False  # a timer is set to report `unreported_units`
        # Counter calls
        self.calls_in_flight: dict[int, float] = {}  # the units of each call, by key
        self.outdated_keys: dict[int, None] = {}  # of calls in flight that were made before a step of the wall clock
        self.requests_in_call: dict[str, float] = {}  # the units of each request in the call in flight, by request id
        self.requests_for_next_call: dict[str, float] = {}  # and of each request that waits for the next call
        self.unreported_units = 0.0  # sent but in no call yet; below 0: reported but not sent
        self.extrapolated_units = 0.0  # of requests not sampled, for which the requests in the call stand
        self.indeterminate_units = 0.0  # in calls that timed out
        # Totals read
        self.period_total = 0.0  # last total read of the current period
        self.previous_period_total = 0.0  # last total read of the previous period, before its closing read
        self.needs_closing_read = False  # the closing read of the previous period was not made yet
        self.total_read_at = now  # when a total was last read
        self.confirmed = False  # by a total of this period, or by one of the previous period and the own use since then
        self._unconfirmed_before_read = False  # `confirmed` was False before the last total was read
        self._clock_stepped_since_read = False  # the wall clock was stepped after the last total was read

    def _begin_plan(self, plan: Plan, request: Request, instance: InstanceContext, now: float) -> None:
        self.plan = plan
        self.plan_since = now
        self.instances = instance_count(request, instance.settings)
        self.quota = Gcra(plan.rate, plan.burst, now)
        self.quota.tat = now + self.quota.tolerance_ms * (1 - 1 / self.instances)
        self.unconfirmed_limiter = Gcra(plan.rate, plan.burst, now)  # reduced to the instance's share before each use
        self.period = CounterPeriod(request.customer, plan, instance.clock_shift_ms)
        self.ceiling: CeilingLimiter | None = None
        if plan.ceiling_rate > 0:
            self.ceiling = CeilingLimiter(plan, request, instance, self.period, now)

    def change_plan(self, plan: Plan, request: Request, instance: InstanceContext, now: float) -> None:
        """Apply another plan.  What was read from the counter and the calls in flight belong to the previous one.

        The used part of the burst is carried over and the ceiling starts exhausted, so that a customer gains nothing by
        frequent changes.
        """
        used_ms, tolerance_ms = max(self.quota.tat - now, 0.0), self.quota.tolerance_ms
        used_share = min(used_ms / tolerance_ms, 1.0) if tolerance_ms > 0 else 0.0
        self._begin_plan(plan, request, instance, now)
        self.quota.tat = max(self.quota.tat, now + used_share * self.quota.tolerance_ms)
        if self.ceiling:
            self.ceiling.exhausted_at = max(self.ceiling.exhausted_at, now)
            self.ceiling.headroom.tat = now + self.ceiling.headroom.tolerance_ms
        self._forget_totals()

    def _forget_totals(self) -> None:
        self.confirmed = self.needs_closing_read = False
        self.period_total = self.previous_period_total = self.indeterminate_units = 0.0
        self.unreported_units = max(self.unreported_units, 0.0)
        self.outdated_keys.update(dict.fromkeys(self.calls_in_flight))

    def instance_share(self) -> float:
        """The fraction of the quota that this instance may use while no total is read from the counter.

        Each instance is assumed to keep its last observed rate, and the unused rate is split evenly.
        """
        unused = max(self.plan.rate - self.own_rate - self.other_instances_rate, 0.0) / self.instances
        return min(max((self.own_rate + unused) / self.plan.rate, MIN_EVEN_SHARE_FRACTION / self.instances), 1.0)

    def unconfirmed_send_is_worthwhile(self) -> bool:
        """Whether the expected value of an unconfirmed send about covers its cost, by the conforming fraction."""
        over_quota_gain = self.plan.over_quota_value - self.plan.over_quota_cost
        return self.conforming_fraction + (1 - self.conforming_fraction) * over_quota_gain > MIN_UNCONFIRMED_GAIN

    def has_headroom(self, now: float, units: float) -> bool:
        """Whether the ceiling, if there is one, admits a send that the counter has not confirmed."""
        return self.ceiling is None or self.ceiling.headroom.available_units(now) >= units

    def consume_headroom(self, now: float, units: float) -> None:
        """Subtract the units of a send that the counter has not confirmed from the headroom, if there is a ceiling."""
        if self.ceiling:
            self.ceiling.headroom.consume(units, now)

    def record_conformance(self, conforms: bool) -> None:
        """Update the conforming fraction with a request that a counter call decided."""
        self.conforming_fraction += CUSTOMER_CONFORMANCE_EWMA_WEIGHT * (conforms - self.conforming_fraction)

    def clock_stepped(self, clock_shift_ms: float, exhausted_at: float) -> None:
        """Discard the totals read and the calls made: a step of the wall clock changes the period numbers and the keys.

        Other instances add to the old keys until they have detected the step, so the ceiling counts as exhausted until
        `exhausted_at`.
        """
        self.period.clock_stepped(clock_shift_ms)
        self._clock_stepped_since_read = True
        if self.ceiling:
            self.ceiling.exhausted_at = exhausted_at
        self._forget_totals()

    def begin_period(self, number: int) -> None:
        """Switch to another period, whose total was not read yet."""
        consecutive = number == self.period.number + 1
        self.previous_period_total = self.period_total if consecutive else 0.0
        self.period.number = number
        if self.ceiling:
            self.ceiling.begin_period(consecutive)
        # An instance that read no total in the previous period has no more information on it than one just started.
        read_in_previous = self.total_read_at >= self.period.start() - self.period.length_ms
        self.confirmed = self.confirmed and consecutive and read_in_previous
        self.period_total = 0.0
        self.needs_closing_read = True
        self.unreported_units = max(self.unreported_units, 0.0)

    def record_previous_total(self, now: float, reply: CounterReply) -> None:
        """Record the closing read: it adds the units that other instances added near the previous period's end."""
        self.needs_closing_read = False
        if self.ceiling:
            self.ceiling.record_previous_total(reply.total, self.previous_period_total, now - reply.retained_ms)
        new_units = max(reply.total - self.previous_period_total, 0.0)
        if self._unconfirmed_before_read:  # no total of that period was read: these are the units of all of it
            new_units = max(new_units - self.plan.burst / 2, 0.0)
        self.quota.tat += new_units * self.quota.emission_interval_ms

    def record_current_total(self, now: float, reply: CounterReply, own_units: float) -> None:
        """Record the total of the current period, which includes the `own_units` of this call."""
        other_units = max(reply.total - self.period_total - own_units - self.indeterminate_units, 0.0)
        other_units += self.extrapolated_units
        if self.ceiling:
            retained_since = now - reply.retained_ms
            self.ceiling.record_current_total(now, reply.total, own_units, self.period_total, retained_since)
        self.indeterminate_units = 0.0
        self._unconfirmed_before_read = not self.confirmed
        if self.confirmed:
            self.quota.consume(other_units, self.total_read_at)
        else:
            tat = self.period.start() + other_units * self.quota.emission_interval_ms
            self.quota.tat = max(self.quota.tat, tat) if self._clock_stepped_since_read else tat
            self.confirmed = True
            self._clock_stepped_since_read = False
        if now > self.total_read_at:
            self._update_rates(now, own_units, other_units)
        self.period_total = reply.total
        self.total_read_at = now

    def _update_rates(self, now: float, own_units: float, other_units: float) -> None:
        weight = 1 - math.exp((self.total_read_at - now) / (RATE_TIME_CONSTANT_PERIODS * self.period.length_ms))
        elapsed_ms = now - self.total_read_at
        self.other_instances_rate += weight * (other_units / elapsed_ms * MS_PER_S - self.other_instances_rate)
        self.own_rate += weight * (own_units / elapsed_ms * MS_PER_S - self.own_rate)

    def has_pending_work(self, now: float) -> bool:
        """Whether the entry must be kept whatever memory it takes.

        An entry with a scheduled report must be: if it were dropped, its late report would be answered in place of a
        call of the customer's new entry, and the requests that wait for that call would be lost.
        """
        if self.ceiling and self.ceiling.headroom.tat > now:  # it has not refilled, but a new entry's would be full
            return True
        return bool(
            self.calls_in_flight
            or self.attempts_in_flight
            or self.requests_for_next_call
            or self.requests_in_call
            or self.report_scheduled
        )

    def is_in_use(self, now: float) -> bool:
        """Whether the entry differs from that of a new customer."""
        if self.has_pending_work(now):
            return True
        idle_ms = now - max(self.quota.tat, self.last_used_at)
        return idle_ms <= MAX_IDLE_TOLERANCES * max(self.quota.tolerance_ms, self.period.length_ms)
