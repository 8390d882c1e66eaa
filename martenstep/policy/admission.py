"""Which requests are admitted: by the customer's quota, ceiling and concurrency limit, with or without the counter."""

from __future__ import annotations

from martenstep.policy.customer_state import CustomerState
from martenstep.policy.messages import Action, CounterReply, RejectionReason, Request, Settings
from martenstep.policy.quota import QuotaLimiter
from martenstep.policy.request_lifecycle import InFlightRequest, RequestLifecycle
from martenstep.policy.timers import CounterReport, Timers
from martenstep.policy.upstream_cluster import UpstreamCluster

REPORT_DELAY_PERIODS = 0.5  # after which units that were sent before their report are reported
# The least time to the client's deadline for a request to wait for the counter, in counter timeouts: twice the longest
# wait.
MIN_REMAINING_COUNTER_TIMEOUTS = 4.0
CONCURRENCY_RETRY_AFTER_MS = 100.0  # at the plan's concurrency limit: about the time of one response
# For a send over quota, see RequestLifecycle.start_attempt: only an idle endpoint has capacity for it.
MAX_OVER_QUOTA_LATENCY_SHARE = 0.25


class Admission:
    """Decides on each request, at its arrival or at the counter's reply."""

    def __init__(
        self,
        settings: Settings,
        quota: QuotaLimiter,
        cluster: UpstreamCluster,
        requests: RequestLifecycle,
        timers: Timers,
    ) -> None:
        """Keep the limiters, the endpoints, the requests in flight and the timers that decisions use."""
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._min_remaining_ms = MIN_REMAINING_COUNTER_TIMEOUTS * settings.counter_timeout_ms
        self._quota = quota
        self._cluster = cluster
        self._requests = requests
        self._timers = timers

    def admit(self, now: float, event: Request) -> list[Action]:
        """Decide on a request that has arrived.

        Raises ValueError for a class or a plan that is not among the settings.
        """
        request_class = self._classes.get(event.request_class)
        if request_class is None:
            raise ValueError(f"class {event.request_class!r} is not among the settings")
        customer = self._quota.customer(now, event)
        request = self._requests.begin(now, event, request_class, customer)
        plan = customer.plan
        if plan.rate <= 0:
            return self._requests.start_attempt(now, request)
        wait_ms = customer.quota.wait_ms(now, event.units) if customer.confirmed else 0.0
        # The attempts in flight at other instances are not known: they are estimated by those instances' share of the
        # units.
        limit = plan.concurrency_limit
        if limit and customer.attempts_in_flight >= max(limit * customer.instance_share(), 1.0):
            retry_after_ms = max(wait_ms, CONCURRENCY_RETRY_AFTER_MS)
            return self._reject_or_send_over_quota(now, request, retry_after_ms, RejectionReason.CONCURRENCY_LIMIT)
        if wait_ms > 0:
            return self._reject_or_send_over_quota(now, request, wait_ms, RejectionReason.OVER_QUOTA)
        if self._quota.has_ample_quota(now, customer, event.units):
            return self._send_before_report(now, request)
        weight = 1.0  # a request that arrives during a call waits for the next one
        if not customer.calls_in_flight:
            weight = self._quota.call_sampler.sampling_weight(now, customer, event.units)
        if weight and event.remaining_ms > self._min_remaining_ms:
            customer.requests_for_next_call[event.id] = event.units
            return self._quota.call_counter(now, customer, event.units * (weight - 1))
        return self._decide_unconfirmed(now, request)

    def _decide_unconfirmed(self, now: float, request: InFlightRequest) -> list[Action]:
        """Decide without the counter, by this instance's share of the quota and of the ceiling's headroom."""
        customer = request.customer
        wait_ms = self._quota.unconfirmed_wait_ms(now, customer, request.request.units)
        reason = RejectionReason.UNCONFIRMED
        if not self._cluster.responds_quickly(now) and not self._cluster.is_half_open(now):
            # Unconfirmed requests are rejected first when capacity gets short, because many of them are over quota and
            # take capacity from conforming requests.  The cost: some needless rejections while the counter is down and
            # the endpoints are slow for a reason that fewer attempts do not change.
            if wait_ms <= 0:
                reason = RejectionReason.OVERLOAD
            wait_ms = max(wait_ms, customer.quota.emission_interval_ms)
        if wait_ms > 0:
            return self._reject_or_send_over_quota(now, request, wait_ms, reason)
        return self._send_unconfirmed(now, request)

    def _send_unconfirmed(self, now: float, request: InFlightRequest) -> list[Action]:
        """Send if the ceiling's headroom holds the units, and subtract them from this instance's shares."""
        customer = request.customer
        units = request.request.units
        if not customer.has_headroom(now, units):
            retry_after_ms = customer.quota.emission_interval_ms
            return self._requests.reject(request, retry_after_ms, RejectionReason.CEILING)
        actions = self._requests.start_attempt(now, request)
        if request.attempts:
            customer.unconfirmed_limiter.consume(units, now)
            customer.quota.consume(units, now)
            customer.consume_headroom(now, units)
        return actions

    def _send_before_report(self, now: float, request: InFlightRequest) -> list[Action]:
        """Send without waiting for the counter, because the quota is ample, and report the units later."""
        customer = request.customer
        actions = self._send_unconfirmed(now, request)
        if request.attempts:
            customer.unreported_units += request.request.units
            if not customer.report_scheduled:
                customer.report_scheduled = True
                report_at = now + REPORT_DELAY_PERIODS * customer.period.length_ms
                actions.append(self._timers.set(report_at, CounterReport(customer)))
        return actions

    def _reject_or_send_over_quota(
        self, now: float, request: InFlightRequest, wait_ms: float, reason: RejectionReason
    ) -> list[Action]:
        """Reject with a Retry-After, or send over quota.

        A request is sent over quota if that earns the plan more than it costs, endpoints have spare capacity and this
        instance's headroom holds it.  Only the headroom bounds such sends, since no other instance counts them.
        """
        customer = request.customer
        units = request.request.units
        gains_over_quota = customer.plan.over_quota_value > customer.plan.over_quota_cost
        if not gains_over_quota or not customer.has_headroom(now, units):
            return self._requests.reject(request, wait_ms, reason)
        request.is_over_quota = True
        actions = self._requests.start_attempt(now, request, MAX_OVER_QUOTA_LATENCY_SHARE)
        if request.attempts:
            customer.consume_headroom(now, units)
        return actions

    def counter_replied(self, now: float, event: CounterReply) -> list[Action]:
        """Decide on the requests that waited for a counter call, once no call of the customer is in flight."""
        reading = self._quota.counter_replied(now, event)
        if reading is None:
            return []
        customer = reading.customer
        if customer.calls_in_flight or reading.actions:
            return reading.actions
        if customer.plan.rate <= 0:
            return self._start_waiting(now, customer)
        actions: list[Action] = []
        requests_in_call, customer.requests_in_call = customer.requests_in_call, {}
        for request_id, units in requests_in_call.items():
            request = self._requests.find(request_id)
            if request is not None and reading.is_reliable:
                actions += self._decide_confirmed(now, request, units)
                continue
            customer.unreported_units -= units  # the call may have added them; if it failed, they are unreported again
            if request is not None:
                actions += self._decide_unconfirmed(now, request)
        has_unsent_units = customer.unreported_units < 0 and reading.is_reliable
        if customer.requests_for_next_call or (has_unsent_units and self._quota.call_sampler.has_spare_capacity()):
            actions += self._quota.call_counter(now, customer)
        return actions

    def _start_waiting(self, now: float, customer: CustomerState) -> list[Action]:
        """Decide on the requests that wait for the counter: the plan was changed to one without a quota meanwhile."""
        waiting = [*customer.requests_in_call, *customer.requests_for_next_call]
        customer.requests_in_call, customer.requests_for_next_call = {}, {}
        customer.unreported_units = 0.0
        requests = [self._requests.find(request_id) for request_id in waiting]
        return [
            action
            for request in requests
            if request is not None
            for action in self._requests.start_attempt(now, request)
        ]

    def _decide_confirmed(self, now: float, request: InFlightRequest, units: float) -> list[Action]:
        """Decide by the total in the counter's reply, which includes the request's units."""
        customer = request.customer
        wait_ms = customer.quota.wait_ms(now, units)
        conforms = wait_ms <= 0
        self._quota.record_conformance(customer, conforms)
        if not conforms:
            customer.unreported_units -= units
            return self._reject_or_send_over_quota(now, request, wait_ms, RejectionReason.OVER_QUOTA)
        ceiling = customer.ceiling
        limiter = ceiling.limiter_for(now, units) if ceiling else None
        if ceiling and limiter is None:
            customer.unreported_units -= units
            retry_after_ms = max(ceiling.confirmed.wait_ms(now, units), 0.0)
            return self._requests.reject(request, retry_after_ms, RejectionReason.CEILING)
        actions = self._requests.start_attempt(now, request)
        if not request.attempts:
            customer.unreported_units -= units
            return actions
        customer.quota.consume(units, now)
        if limiter:
            limiter.consume(units, now)
        return actions
