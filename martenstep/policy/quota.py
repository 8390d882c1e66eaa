"""Quotas of customers, shared between instances through the totals of the counter service.

The limiter keeps each customer's state and makes the counter calls; whether a request is admitted is decided in
martenstep/policy/admission.py.

One call of a customer is in flight at a time.  It adds units to the customer's total and reads the total back.  A
sampled request waits for a call that adds its units before it is sent; if it is then not sent, a later call subtracts
them.  If the call fails, the request is decided unconfirmed and its units are not reported.  Where the last total
leaves ample quota, a request is sent at once, and a later call adds its units.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from martenstep.policy.counter_calls import CounterCallSampler
from martenstep.policy.counter_period import KEY_LIFETIME_PERIODS, InstanceContext
from martenstep.policy.customer_state import INITIAL_CONFORMING_FRACTION, CustomerState
from martenstep.policy.gcra import MS_PER_S
from martenstep.policy.messages import Action, CallResult, CounterReply, IncrementCounter, Plan, Request, Settings

# After a step of the wall clock, the time until all instances number periods by the new clock: one may stall 150 ms.
CLOCK_STEP_DETECTION_MS = 250.0
CLOSING_READ_BURST_SHARE = 0.75  # if less of the burst is left, units from the previous period's end matter
PLAN_CONFORMANCE_EWMA_WEIGHT = 0.05  # of one reply in a plan's conforming fraction: about the last twenty count
MAX_READING_AGE_PERIODS = 4.0  # longest time for which a total is extrapolated at the rates observed
# Entries beyond which the least recently used are dropped, so that ever new customers cannot fill the memory; a dropped
# customer starts again with an even share of its burst.
MAX_CUSTOMERS = 20_000
DROPPED_SHARE = 0.1
# Between two changes of a customer's plan: requests may name different ones while a change spreads.
MIN_PLAN_CHANGE_INTERVAL_MS = 1000.0
SWEEP_INTERVAL_MS = 2000.0  # between two searches for stale entries


@dataclass(slots=True)
class CounterReading:
    """The outcome of a counter reply."""

    customer: CustomerState
    is_reliable: bool  # the requests of the call may be decided by the customer's total
    actions: list[Action] = field(default_factory=list)  # a further call, for the closing read


class QuotaLimiter:
    """Keeps every customer's state and the calls to the counter."""

    def __init__(self, settings: Settings, rng: random.Random, max_customers: int = MAX_CUSTOMERS) -> None:
        """Start without customers; `rng` is the only random source of the instance.

        Beyond `max_customers` entries the least recently used are dropped.
        """
        self._instance = InstanceContext(settings)
        self._plans = {plan.name: plan for plan in settings.plans}
        self._customers: dict[int, CustomerState] = {}
        self._calls_in_flight: dict[int, CustomerState] = {}  # by key
        self._conforming_fractions = {plan.name: INITIAL_CONFORMING_FRACTION for plan in settings.plans}  # EWMA by plan
        self._swept_at = -math.inf
        self._max_customers = max_customers
        self._drop_above = max_customers  # the number of entries at which others are dropped
        self.call_sampler = CounterCallSampler(settings, rng)

    def customer(self, now: float, request: Request) -> CustomerState:
        """The state of the request's customer, created if there is none; stale entries are dropped at intervals.

        Raises ValueError for a plan that is not among the settings.
        """
        if math.isnan(self._instance.started_at):
            self._instance.started_at = now
        if now - self._swept_at >= SWEEP_INTERVAL_MS:
            self._swept_at = now
            self._customers = {key: state for key, state in self._customers.items() if state.is_in_use(now)}
        found = self._customers.get(request.customer)
        if found is None:
            if len(self._customers) >= self._drop_above:
                self._drop_least_recently_used(now)
            found = self._customers[request.customer] = self._new_customer(now, request)
        elif request.plan != found.plan.name and now - found.plan_since >= MIN_PLAN_CHANGE_INTERVAL_MS:
            found.change_plan(self._plan(request.plan), request, self._instance, now)
        found.last_used_at = now
        return found

    def _plan(self, name: str) -> Plan:
        plan = self._plans.get(name)
        if plan is None:
            raise ValueError(f"plan {name!r} is not among the settings")
        return plan

    def _drop_least_recently_used(self, now: float) -> None:
        """Make room for further customers.  Entries that hold calls, attempts or a used ceiling stay."""
        droppable = [key for key, state in self._customers.items() if not state.has_pending_work(now)]
        droppable.sort(key=lambda key: self._customers[key].last_used_at)
        step = int(self._max_customers * DROPPED_SHARE)
        for key in droppable[:step]:
            del self._customers[key]
        # If too few could be dropped, the next search comes after as many further customers: it costs a look at all.
        self._drop_above = max(self._max_customers, len(self._customers) + step)

    def _new_customer(self, now: float, request: Request) -> CustomerState:
        plan = self._plan(request.plan)
        customer = CustomerState(plan, request, self._instance, now)
        customer.conforming_fraction = self._conforming_fractions[plan.name]
        return customer

    def clock_stepped(self, now: float, clock_shift_ms: float) -> None:
        """Number the periods by the wall clock as it reads now, as instances that start now do.

        An instance that has received no request yet has been starting for longer than others take to detect a step, so
        its ceilings count as exhausted only until now.
        """
        instance = self._instance
        instance.clock_shift_ms = clock_shift_ms
        instance.ceiling_exhausted_at = now if math.isnan(instance.started_at) else now + CLOCK_STEP_DETECTION_MS
        for customer in self._customers.values():
            customer.clock_stepped(clock_shift_ms, instance.ceiling_exhausted_at)

    def available_units(self, now: float, customer_id: int) -> float | None:
        """Units left of a customer's burst; None if no state is kept or there is no quota."""
        customer = self._customers.get(customer_id)
        if customer is None or customer.plan.rate <= 0:
            return None
        return max(customer.quota.available_units(now), 0.0)

    def unconfirmed_wait_ms(self, now: float, customer: CustomerState, units: float) -> float:
        """The time until a request conforms without a reply of the counter, by the instance's share of the quota.

        While the counter replies, a larger share may be used by chance, 1 / sqrt(number of instances): few customers
        within their quota send more than that through one instance.
        """
        wait_ms = customer.quota.wait_ms(now, units) if customer.confirmed else 0.0
        share = customer.instance_share()
        if self.call_sampler.may_exceed_instance_share():
            share = max(share, customer.instances**-0.5)
        customer.unconfirmed_limiter.emission_interval_ms = customer.quota.emission_interval_ms / share
        wait_ms = max(wait_ms, customer.unconfirmed_limiter.wait_ms(now, units))
        if customer.unconfirmed_send_is_worthwhile():
            return wait_ms
        return max(wait_ms, customer.quota.emission_interval_ms)

    def has_ample_quota(self, now: float, customer: CustomerState, units: float) -> bool:
        """Whether the last total leaves so much of the quota that the counter is better called for another customer.

        The less the counter is overloaded, the more must be left.  The units are gathered and reported afterwards.
        """
        used_by_others = customer.other_instances_rate * (now - customer.total_read_at) / MS_PER_S
        available = customer.quota.available_units(now) - used_by_others - units
        max_age_ms = MAX_READING_AGE_PERIODS * customer.period.length_ms
        return (
            customer.confirmed
            and now - customer.total_read_at < max_age_ms
            and available > min(self.call_sampler.sampling_rate, 1.0) * customer.plan.burst
            and customer.has_headroom(now, units)
        )

    def record_conformance(self, customer: CustomerState, conforms: bool) -> None:
        """Update the conforming fractions of the customer and its plan with a request that a counter call decided."""
        plan = customer.plan.name
        self._conforming_fractions[plan] += PLAN_CONFORMANCE_EWMA_WEIGHT * (conforms - self._conforming_fractions[plan])
        customer.record_conformance(conforms)

    def call_counter(self, now: float, customer: CustomerState, extrapolated_units: float = 0.0) -> list[Action]:
        """Add the unreported units and those of the requests that wait for a call, and read the total back.

        `extrapolated_units` are added for requests that were not sampled.  No action if a call is in flight, or if
        there is nothing to add.
        """
        if customer.calls_in_flight or (not customer.requests_for_next_call and not customer.unreported_units):
            return []
        number = customer.period.number_at(now)
        if number != customer.period.number:
            customer.begin_period(number)
        customer.requests_in_call, customer.requests_for_next_call = customer.requests_for_next_call, {}
        units = customer.unreported_units + extrapolated_units + sum(customer.requests_in_call.values())
        customer.unreported_units = 0.0
        customer.extrapolated_units = extrapolated_units
        return [self._call(customer, number, units)]

    def _call(self, customer: CustomerState, period: int, units: float) -> Action:
        key = customer.period.key(period)
        customer.calls_in_flight[key] = units
        self._calls_in_flight[key] = customer
        expire_ms = KEY_LIFETIME_PERIODS * customer.period.length_ms
        return IncrementCounter(key, units, expire_ms, customer.ceiling is not None)

    def counter_replied(self, now: float, reply: CounterReply) -> CounterReading | None:
        """Record a reply; None if no call was made for its key."""
        customer = self._calls_in_flight.pop(reply.key, None)
        if customer is None:
            return None
        units = customer.calls_in_flight.pop(reply.key)
        is_current = reply.key == customer.period.key(customer.period.number)
        self.call_sampler.record_reply(reply)
        if reply.key in customer.outdated_keys:
            del customer.outdated_keys[reply.key]
            return CounterReading(customer, False)
        if not is_current:  # the closing read: if it failed, the total read of the current period is still valid
            if reply.result is CallResult.OK:
                customer.record_previous_total(now, reply)
            return CounterReading(customer, True)
        if reply.result is CallResult.OK:
            customer.record_current_total(now, reply, units)
            return CounterReading(customer, True, self._closing_read(now, customer, units))
        if reply.result is CallResult.TIMEOUT:
            customer.indeterminate_units += units
        else:
            customer.unreported_units += units
        return CounterReading(customer, False)

    def _closing_read(self, now: float, customer: CustomerState, units: float) -> list[Action]:
        """Read the end of the previous period if so little quota or ceiling is left that its units matter."""
        if not customer.needs_closing_read:
            return []
        reads_always = customer.plan.ceiling_rate > 0 or self.call_sampler.sampling_rate >= 1
        burst_share = 1.0 if reads_always else CLOSING_READ_BURST_SHARE
        ceiling = customer.ceiling
        is_short = customer.quota.available_units(now) < burst_share * customer.plan.burst or (
            ceiling is not None and ceiling.confirmed.wait_ms(now, units) > 0
        )
        if is_short and self.call_sampler.sampling_weight(now, customer, 1.0):
            return [self._call(customer, customer.period.number - 1, 0.0)]
        return []
