"""Quotas of customers, shared between instances through the totals of the counter service.

The limiter keeps each customer's state and makes the counter calls; what a request may do is decided in
martenstep/policy/admission.py.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from martenstep.policy.counter_calls import CounterCallAdmission
from martenstep.policy.counter_period import KEY_LIFETIME_PERIODS, InstanceContext
from martenstep.policy.customer_state import INITIAL_CONFORMING_SHARE, CustomerState
from martenstep.policy.gcra import MS_PER_S
from martenstep.policy.messages import Action, CallResult, CounterReply, IncrementCounter, Request, Settings

CLOCK_STEP_NOTICED_MS = 250.0  # after a step all instances number periods by the new clock: one is held up for 150 ms
CLOSING_READ_BURST_SHARE = 0.75  # with less of the burst left the previous period's end matters, and is read
CONFORMING_EWMA_WEIGHT = 0.05  # of one reply in a plan's conforming share: about the last twenty
MAX_READING_AGE_PERIODS = 4.0  # a reading may be extrapolated for so long at the rates seen
SWEEP_INTERVAL_MS = 2000.0  # between two searches for stale entries


@dataclass(slots=True)
class CounterReading:
    """A counter reply that was taken in."""

    customer: CustomerState
    is_reliable: bool  # the requests of the call may rely on it
    actions: list[Action] = field(default_factory=list)  # a further call


class QuotaLimiter:
    """Keeps every customer's state and the calls to the counter."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Begin without customers; `rng` is the one source of chance of the instance."""
        self._instance = InstanceContext(settings)
        self._plans = {plan.name: plan for plan in settings.plans}
        self._customers: dict[int, CustomerState] = {}
        self._calls: dict[int, CustomerState] = {}  # by key
        self._conforming_shares = {plan.name: INITIAL_CONFORMING_SHARE for plan in settings.plans}  # EWMA by plan
        self._swept_at = -math.inf
        self.call_admission = CounterCallAdmission(settings, rng)

    def customer(self, now: float, request: Request) -> CustomerState:
        """The state of the request's customer, new where it is not known; stale entries are dropped on the way.

        Raises ValueError for a plan that is not among the settings.
        """
        if math.isnan(self._instance.started_at):
            self._instance.started_at = now
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self._customers = {key: state for key, state in self._customers.items() if state.is_in_use(now)}
        found = self._customers.get(request.customer)
        if found is None:
            found = self._customers[request.customer] = self._new_customer(now, request)
        found.last_used_at = now
        return found

    def _new_customer(self, now: float, request: Request) -> CustomerState:
        plan = self._plans.get(request.plan)
        if plan is None:
            raise ValueError(f"plan {request.plan!r} is not among the settings")
        customer = CustomerState(plan, request, self._instance, now)
        customer.conforming_share = self._conforming_shares[plan.name]
        return customer

    def clock_stepped(self, now: float, clock_shift_ms: float) -> None:
        """Number the periods by the wall clock as it reads now, as instances do that start now.

        An instance that has met no request has been starting for longer than others take to notice a step.
        """
        instance = self._instance
        instance.clock_shift_ms = clock_shift_ms
        instance.ceiling_exhausted_at = now if math.isnan(instance.started_at) else now + CLOCK_STEP_NOTICED_MS
        for customer in self._customers.values():
            customer.clock_stepped(clock_shift_ms, instance.ceiling_exhausted_at)

    def available_units(self, now: float, customer_id: int) -> float | None:
        """Units left of a customer's burst; None where no state is kept or there is no quota."""
        customer = self._customers.get(customer_id)
        if customer is None or customer.plan.rate <= 0:
            return None
        return max(customer.quota.available_units(now), 0.0)

    def unconfirmed_wait_ms(self, now: float, customer: CustomerState, units: float) -> float:
        """How long until a request conforms without a reply of the counter, by the own share of the quota.

        While the counter replies, a share of 1/sqrt of the instances holds by chance in place of the own share: few
        customers within their quota send more than that through one instance.
        """
        wait_ms = customer.quota.wait_ms(now, units) if customer.confirmed else 0.0
        share = customer.own_share()
        if self.call_admission.unconfirmed_share_is_raised():
            share = max(share, customer.instances**-0.5)
        customer.unconfirmed_share.emission_interval_ms = customer.quota.emission_interval_ms / share
        wait_ms = max(wait_ms, customer.unconfirmed_share.wait_ms(now, units))
        return wait_ms if customer.unconfirmed_pays() else max(wait_ms, customer.quota.emission_interval_ms)

    def has_ample_quota(self, now: float, customer: CustomerState, units: float) -> bool:
        """Whether the last reading leaves so much of the quota that a call is better made for another customer.

        The more so the more the counter is overloaded; the units are then gathered and reported afterwards.
        """
        used_elsewhere = customer.others_rate * (now - customer.read_at) / MS_PER_S
        available = customer.quota.available_units(now) - used_elsewhere - units
        max_age_ms = MAX_READING_AGE_PERIODS * customer.period.length_ms
        return (
            customer.confirmed
            and now - customer.read_at < max_age_ms
            and available > min(self.call_admission.probability, 1.0) * customer.plan.burst
            and customer.headroom_holds(now, units)
        )

    def record_conformance(self, customer: CustomerState, conforms: bool) -> None:
        """Learn from a request for which the counter was called whether such requests conform."""
        plan = customer.plan.name
        self._conforming_shares[plan] += CONFORMING_EWMA_WEIGHT * (conforms - self._conforming_shares[plan])
        customer.record_conformance(conforms)

    def call_counter(self, now: float, customer: CustomerState, estimated_elsewhere: float = 0.0) -> list[Action]:
        """Report the unreported units and what the waiting requests would use, and read the total back.

        Nothing where a call is in flight, or there is nothing to report.
        """
        if customer.calls or (not customer.waiting and not customer.unreported_units):
            return []
        number = customer.period.number_at(now)
        if number != customer.period.number:
            customer.begin_period(number)
        customer.pending, customer.waiting = customer.waiting, {}
        units = customer.unreported_units + estimated_elsewhere + sum(customer.pending.values())
        customer.unreported_units = 0.0
        customer.estimated_elsewhere = estimated_elsewhere
        return [self._call(customer, number, units)]

    def _call(self, customer: CustomerState, period: int, units: float) -> Action:
        key = customer.period.key(period)
        customer.calls[key] = units
        self._calls[key] = customer
        expire_ms = KEY_LIFETIME_PERIODS * customer.period.length_ms
        return IncrementCounter(key, units, expire_ms, customer.ceiling is not None)

    def counter_replied(self, now: float, reply: CounterReply) -> CounterReading | None:
        """Take in a reply; None where no call was made under its key."""
        customer = self._calls.pop(reply.key, None)
        if customer is None:
            return None
        units = customer.calls.pop(reply.key)
        is_current = reply.key == customer.period.key(customer.period.number)
        self.call_admission.record_reply(reply)
        if reply.key in customer.abandoned_keys:
            del customer.abandoned_keys[reply.key]
            return CounterReading(customer, False)
        if not is_current:  # the closing read; without it, what was read of this period stands
            if reply.result is CallResult.OK:
                customer.read_previous_period(now, reply)
            return CounterReading(customer, True)
        if reply.result is CallResult.OK:
            customer.read_current_period(now, reply, units)
            return CounterReading(customer, True, self._closing_read(now, customer, units))
        if reply.result is CallResult.TIMEOUT:
            customer.indeterminate_units += units
        else:
            customer.unreported_units += units
        return CounterReading(customer, False)

    def _closing_read(self, now: float, customer: CustomerState, units: float) -> list[Action]:
        """Read the end of the previous period where little is left, so that its units matter."""
        if not customer.previous_period_unread:
            return []
        reads_always = customer.plan.ceiling_rate > 0 or self.call_admission.probability >= 1
        burst_share = 1.0 if reads_always else CLOSING_READ_BURST_SHARE
        ceiling = customer.ceiling
        is_short = customer.quota.available_units(now) < burst_share * customer.plan.burst or (
            ceiling is not None and ceiling.confirmed.wait_ms(now, units) > 0
        )
        if is_short and self.call_admission.call_weight(now, customer, 1.0):
            return [self._call(customer, customer.period.number - 1, 0.0)]
        return []
