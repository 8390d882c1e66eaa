"""Which requests are admitted: by the customer's quota, ceiling and concurrency limit, with or without the counter."""

from __future__ import annotations

from martenstep.policy.messages import Action, CounterReply, RejectionReason, Request, Settings
from martenstep.policy.quota import QuotaLimiter
from martenstep.policy.request_lifecycle import InFlightRequest, RequestLifecycle
from martenstep.policy.timers import CounterReport, Timers
from martenstep.policy.upstream_cluster import UpstreamCluster

REPORT_DELAY_PERIODS = 0.5  # units sent ahead of their report are reported after this part of a period
MIN_REMAINING_COUNTER_TIMEOUTS = 4.0  # that a client must have left to wait for the counter: twice the longest wait
CONCURRENCY_RETRY_AFTER_MS = 100.0  # where the plan's concurrency limit is reached: about one response
MAX_OVER_QUOTA_LATENCY_SHARE = 0.25  # see RequestLifecycle.start_attempt: only an idle endpoint has capacity for it


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
        """Tie the limiters to the requests in flight."""
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._min_wait_budget_ms = MIN_REMAINING_COUNTER_TIMEOUTS * settings.counter_timeout_ms
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
        # The others' attempts in flight are guessed by their share of the units.
        if plan.concurrency_limit and customer.in_flight >= max(plan.concurrency_limit * customer.own_share(), 1.0):
            retry_after_ms = max(wait_ms, CONCURRENCY_RETRY_AFTER_MS)
            return self._over_quota(now, request, retry_after_ms, RejectionReason.CONCURRENCY_LIMIT)
        if wait_ms > 0:
            return self._over_quota(now, request, wait_ms, RejectionReason.OVER_QUOTA)
        if self._quota.has_ample_quota(now, customer, event.units):
            return self._send_before_report(now, request)
        weight = 1.0 if customer.calls else self._quota.call_admission.call_weight(now, customer, event.units)
        if weight and event.remaining_ms > self._min_wait_budget_ms:
            customer.waiting[event.id] = event.units
            return self._quota.call_counter(now, customer, event.units * (weight - 1))
        return self._decide_unconfirmed(now, request)

    def _decide_unconfirmed(self, now: float, request: InFlightRequest) -> list[Action]:
        """Decide without the counter, by the own share of the quota and of the ceiling's headroom."""
        customer = request.customer
        wait_ms = self._quota.unconfirmed_wait_ms(now, customer, request.request.units)
        reason = RejectionReason.UNCONFIRMED
        if not self._cluster.responds_quickly(now) and not self._cluster.is_half_open(now):
            # Unconfirmed requests are the first to be rejected when capacity gets short, as many of them are over
            # quota and take the capacity of those within.  The cost: some needless rejections while the counter is
            # down and the endpoints are slow for a reason that fewer attempts do not change.
            if wait_ms <= 0:
                reason = RejectionReason.OVERLOAD
            wait_ms = max(wait_ms, customer.quota.emission_interval_ms)
        if wait_ms > 0:
            return self._over_quota(now, request, wait_ms, reason)
        return self._send_unconfirmed(now, request)

    def _send_unconfirmed(self, now: float, request: InFlightRequest) -> list[Action]:
        """Send within the ceiling's headroom, and take the units off the own share."""
        customer = request.customer
        units = request.request.units
        if not customer.headroom_holds(now, units):
            retry_after_ms = customer.quota.emission_interval_ms
            return self._requests.reject(request, retry_after_ms, RejectionReason.CEILING)
        actions = self._requests.start_attempt(now, request)
        if request.attempts:
            customer.unconfirmed_share.consume(units, now)
            customer.quota.consume(units, now)
            customer.consume_headroom(now, units)
        return actions

    def _send_before_report(self, now: float, request: InFlightRequest) -> list[Action]:
        """Send without the counter where the quota is ample, and report the units a while later."""
        customer = request.customer
        actions = self._send_unconfirmed(now, request)
        if request.attempts:
            customer.unreported_units += request.request.units
            if not customer.report_scheduled:
                customer.report_scheduled = True
                report_at = now + REPORT_DELAY_PERIODS * customer.period.length_ms
                actions.append(self._timers.set(report_at, CounterReport(customer)))
        return actions

    def _over_quota(
        self, now: float, request: InFlightRequest, wait_ms: float, reason: RejectionReason
    ) -> list[Action]:
        """Reject with a Retry-After, or forward over quota.

        Forwarded is what earns the plan more than it costs, where endpoints have capacity to spare and the own headroom
        holds it: no other instance counts it.
        """
        customer = request.customer
        units = request.request.units
        gains_over_quota = customer.plan.over_quota_value > customer.plan.over_quota_cost
        if not gains_over_quota or not customer.headroom_holds(now, units):
            return self._requests.reject(request, wait_ms, reason)
        request.is_over_quota = True
        actions = self._requests.start_attempt(now, request, MAX_OVER_QUOTA_LATENCY_SHARE)
        if request.attempts:
            customer.consume_headroom(now, units)
        return actions

    def counter_replied(self, now: float, event: CounterReply) -> list[Action]:
        """Decide on the requests that waited for a counter call."""
        reading = self._quota.counter_replied(now, event)
        if reading is None:
            return []
        customer = reading.customer
        if customer.calls or reading.actions:
            return reading.actions
        actions: list[Action] = []
        pending, customer.pending = customer.pending, {}
        for request_id, units in pending.items():
            request = self._requests.find(request_id)
            if request is not None and reading.is_reliable:
                actions += self._decide_confirmed(now, request, units)
                continue
            customer.unreported_units -= units  # it is in the call already, if in any
            if request is not None:
                actions += self._decide_unconfirmed(now, request)
        has_surplus = customer.unreported_units < 0 and reading.is_reliable
        if customer.waiting or (has_surplus and self._quota.call_admission.has_spare_capacity()):
            actions += self._quota.call_counter(now, customer)
        return actions

    def _decide_confirmed(self, now: float, request: InFlightRequest, units: float) -> list[Action]:
        """Decide by the total that the counter replied with, which includes the request's units."""
        customer = request.customer
        wait_ms = customer.quota.wait_ms(now, units)
        conforms = wait_ms <= 0
        self._quota.record_conformance(customer, conforms)
        if not conforms:
            customer.unreported_units -= units
            return self._over_quota(now, request, wait_ms, RejectionReason.OVER_QUOTA)
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
