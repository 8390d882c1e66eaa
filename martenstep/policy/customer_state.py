"""What one instance knows of one customer's use: its limiters, its counter calls and the rates it has seen."""

from __future__ import annotations

import math

from martenstep.policy.ceiling import CeilingLimiter, instance_count
from martenstep.policy.counter_period import CounterPeriod, InstanceContext
from martenstep.policy.gcra import MS_PER_S, Gcra
from martenstep.policy.messages import CounterReply, Plan, Request

MIN_UNCONFIRMED_VALUE = -0.15  # of a request's value: the conforming share is read from few replies
INITIAL_CONFORMING_SHARE = 0.5  # of a plan that no call was made for yet
CONFORMING_EWMA_WEIGHT = 0.4  # of one reply in a customer's own share, which starts from its plan's
RATE_MEMORY_PERIODS = 2.0  # memory of the rates: long against chance, short against a shift of traffic
MIN_SHARE = 0.5  # of an even share is kept for an instance that saw little of a customer: traffic moves
MAX_IDLE_TOLERANCES = 4.0  # an entry is dropped when it was idle for so many burst tolerances, or periods


class CustomerState:
    """One customer's limiters and the bookkeeping of its counter calls."""

    __slots__ = (
        "_renumbered",
        "_was_unconfirmed",
        "abandoned_keys",
        "calls",
        "ceiling",
        "confirmed",
        "conforming_share",
        "estimated_elsewhere",
        "in_flight",
        "indeterminate_units",
        "instances",
        "last_used_at",
        "others_rate",
        "own_rate",
        "pending",
        "period",
        "period_total",
        "plan",
        "previous_period_total",
        "previous_period_unread",
        "quota",
        "read_at",
        "report_scheduled",
        "unconfirmed_share",
        "unreported_units",
        "waiting",
    )

    def __init__(self, plan: Plan, request: Request, instance: InstanceContext, now: float) -> None:
        """Begin with an even share of the burst: nothing was read from the counter yet."""
        self.plan = plan
        self.instances = instance_count(request, instance.settings)
        self.quota = Gcra(plan.rate, plan.burst, now)
        self.quota.tat = now + self.quota.tolerance_ms * (1 - 1 / self.instances)
        self.unconfirmed_share = Gcra(plan.rate, plan.burst, now)  # its rate is set to the own share before each use
        self.period = CounterPeriod(request.customer, plan, instance.clock_shift_ms)
        self.ceiling: CeilingLimiter | None = None
        if plan.ceiling_rate > 0:
            self.ceiling = CeilingLimiter(plan, request, instance, self.period, now)
        self.conforming_share = INITIAL_CONFORMING_SHARE  # of its requests for which the counter was called
        self.own_rate = self.others_rate = 0.0  # EWMA of units a second, this instance's and the others'
        self.in_flight = 0  # attempts
        self.last_used_at = now
        self.report_scheduled = False  # a timer is set to report the unreported units
        # Counter calls
        self.calls: dict[int, float] = {}  # keys with a call in flight, and the units in it
        self.abandoned_keys: dict[int, None] = {}  # those with a call that is numbered as before a clock step
        self.pending: dict[str, float] = {}  # requests, and their units, in the call that is in flight
        self.waiting: dict[str, float] = {}  # and for the next call
        self.unreported_units = 0.0  # sent and in no call yet; below 0: reported but not sent
        self.estimated_elsewhere = 0.0  # units of unconfirmed sends elsewhere that the requests in the call stand for
        self.indeterminate_units = 0.0  # in calls that timed out
        # Totals read
        self.period_total = 0.0  # last read under this period's key
        self.previous_period_total = 0.0  # and under the one before
        self.previous_period_unread = False  # the end of the previous period was not read
        self.read_at = now  # when a total was last read
        self.confirmed = False  # by a total of this period, or of the one before and this instance's own use since
        self._was_unconfirmed = False  # before the last reply
        self._renumbered = False  # the periods, by a step of the wall clock, and not read since

    def own_share(self) -> float:
        """This instance's share of the quota while nothing is read from the counter.

        Each instance is taken to go on as last seen, and what was unused is split evenly.
        """
        unused = max(self.plan.rate - self.own_rate - self.others_rate, 0.0) / self.instances
        return min(max((self.own_rate + unused) / self.plan.rate, MIN_SHARE / self.instances), 1.0)

    def unconfirmed_pays(self) -> bool:
        """Whether an unconfirmed send earns about what it costs, as such requests go."""
        over_quota_gain = self.plan.over_quota_value - self.plan.over_quota_cost
        return self.conforming_share + (1 - self.conforming_share) * over_quota_gain > MIN_UNCONFIRMED_VALUE

    def headroom_holds(self, now: float, units: float) -> bool:
        """Whether the ceiling, if there is one, admits a send that the counter has not confirmed."""
        return self.ceiling is None or self.ceiling.headroom.available_units(now) >= units

    def consume_headroom(self, now: float, units: float) -> None:
        """Take units of a send that the counter has not confirmed off the ceiling, if there is one."""
        if self.ceiling:
            self.ceiling.headroom.consume(units, now)

    def record_conformance(self, conforms: bool) -> None:
        """Learn from a request for which the counter was called."""
        self.conforming_share += CONFORMING_EWMA_WEIGHT * (conforms - self.conforming_share)

    def clock_stepped(self, clock_shift_ms: float, exhausted_at: float) -> None:
        """Take in a step of the wall clock: what was read and called stands under keys that are not used any longer.

        Until all instances have noticed, others add to the old keys; so the ceiling counts as exhausted until then.
        """
        self.period.clock_stepped(clock_shift_ms)
        self._renumbered = True
        if self.ceiling:
            self.ceiling.exhausted_at = exhausted_at
        self.confirmed = self.previous_period_unread = False
        self.period_total = self.previous_period_total = self.indeterminate_units = 0.0
        self.unreported_units = max(self.unreported_units, 0.0)
        self.abandoned_keys.update(dict.fromkeys(self.calls))

    def begin_period(self, number: int) -> None:
        """Go over to another period, whose total is not read yet."""
        consecutive = number == self.period.number + 1
        self.previous_period_total = self.period_total if consecutive else 0.0
        self.period.number = number
        if self.ceiling:
            self.ceiling.begin_period(consecutive)
        # Who read nothing in the period before knows no more of it than who came now.
        read_before = self.read_at >= self.period.start() - self.period.length_ms
        self.confirmed = self.confirmed and consecutive and read_before
        self.period_total = 0.0
        self.previous_period_unread = True
        self.unreported_units = max(self.unreported_units, 0.0)

    def read_previous_period(self, now: float, reply: CounterReply) -> None:
        """Take in the closing read: units that others added near the previous period's end."""
        self.previous_period_unread = False
        if self.ceiling:
            self.ceiling.read_previous(reply.total, self.previous_period_total, now - reply.retained_ms)
        unread = max(reply.total - self.previous_period_total, 0.0)
        if self._was_unconfirmed:
            unread = max(unread - self.plan.burst / 2, 0.0)
        self.quota.tat += unread * self.quota.emission_interval_ms

    def read_current_period(self, now: float, reply: CounterReply, own_units: float) -> None:
        """Take in the total of the current period, of which `own_units` were this call's."""
        others = max(reply.total - self.period_total - own_units - self.indeterminate_units, 0.0)
        others += self.estimated_elsewhere
        if self.ceiling:
            indeterminate_at = now - reply.retained_ms
            self.ceiling.read_current(now, reply.total, own_units, self.period_total, indeterminate_at)
        self.indeterminate_units = 0.0
        self._was_unconfirmed = not self.confirmed
        if self.confirmed:
            self.quota.consume(others, self.read_at)
        else:
            tat = self.period.start() + others * self.quota.emission_interval_ms
            self.quota.tat = max(self.quota.tat, tat) if self._renumbered else tat
            self.confirmed = True
            self._renumbered = False
        if now > self.read_at:
            self._update_rates(now, own_units, others)
        self.period_total = reply.total
        self.read_at = now

    def _update_rates(self, now: float, own_units: float, others_units: float) -> None:
        weight = 1 - math.exp((self.read_at - now) / (RATE_MEMORY_PERIODS * self.period.length_ms))
        elapsed_ms = now - self.read_at
        self.others_rate += weight * (others_units / elapsed_ms * MS_PER_S - self.others_rate)
        self.own_rate += weight * (own_units / elapsed_ms * MS_PER_S - self.own_rate)

    def is_in_use(self, now: float) -> bool:
        """Whether the entry is kept.

        One with a report to come is: if it were dropped, its report would take a new entry's call, and the requests
        that wait for that would be lost.
        """
        if self.ceiling and self.ceiling.headroom.tat > now:  # a new entry's is full
            return True
        if self.calls or self.in_flight or self.waiting or self.pending or self.report_scheduled:
            return True
        idle_ms = now - max(self.quota.tat, self.last_used_at)
        return idle_ms <= MAX_IDLE_TOLERANCES * max(self.quota.tolerance_ms, self.period.length_ms)
