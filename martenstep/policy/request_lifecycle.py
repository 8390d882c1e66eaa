"""The requests in flight, from arrival to final answer: attempts, retries and checks for silent endpoints."""

from __future__ import annotations

import math

from martenstep.policy.customer_state import CustomerState
from martenstep.policy.messages import (
    Action,
    AttemptEnded,
    CancelAttempt,
    Endpoint,
    Fail,
    Idempotency,
    Reject,
    RejectionReason,
    Request,
    RequestClass,
    Settings,
    StartAttempt,
)
from martenstep.policy.retry import (
    PossibleExecution,
    RetryBudget,
    client_may_retry,
    may_execute_again,
    retry_filter,
)
from martenstep.policy.timers import SilenceCheck, Timers
from martenstep.policy.upstream_cluster import UpstreamCluster

# An attempt may be expected to take at most this fraction of the remaining latency objective.
MAX_LATENCY_SHARE = 0.75
# A request that is given up gets a Retry-After of this fraction of its class's latency objective.
RETRY_AFTER_OBJECTIVE_SHARE = 0.1
MIN_RETRY_AFTER_MS = 1.0


class InFlightRequest:
    """One request from its arrival to its final answer."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "customer",
        "deadline",
        "endpoint",
        "first_execution",
        "is_over_quota",
        "request",
        "request_class",
    )

    def __init__(self, request: Request, request_class: RequestClass, customer: CustomerState, now: float) -> None:
        """Begin at the request's arrival, without an attempt."""
        self.request = request
        self.request_class = request_class
        self.customer = customer
        self.arrived_at = now
        self.deadline = now + request.remaining_ms
        self.attempts: list[int] = []  # the endpoint id of each attempt
        self.endpoint: Endpoint | None = None  # the endpoint of the attempt in flight, if there is one
        self.first_execution: PossibleExecution | None = None  # the first attempt that may have been executed
        self.is_over_quota = False  # the request is forwarded over quota

    def set_endpoint(self, endpoint: Endpoint | None) -> None:
        """Set the endpoint of the attempt in flight; only this method changes the customer's attempts in flight."""
        self.customer.attempts_in_flight += (endpoint is not None) - (self.endpoint is not None)
        self.endpoint = endpoint


class RequestLifecycle:
    """Starts the attempts of all requests in flight and gives their final answers."""

    def __init__(self, settings: Settings, cluster: UpstreamCluster, timers: Timers) -> None:
        """Begin without requests."""
        self._settings = settings
        self._cluster = cluster
        self._timers = timers
        self._retry_budget = RetryBudget(settings.instances)
        self._requests: dict[str, InFlightRequest] = {}

    def begin(
        self, now: float, request: Request, request_class: RequestClass, customer: CustomerState
    ) -> InFlightRequest:
        """Add a request that has arrived."""
        in_flight = self._requests[request.id] = InFlightRequest(request, request_class, customer, now)
        return in_flight

    def find(self, request_id: str) -> InFlightRequest | None:
        """Return the request; None if it has its final answer or its client disconnected."""
        return self._requests.get(request_id)

    def forget(self, request_id: str) -> None:
        """Drop a request that has its final answer, or whose client disconnected."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            request.set_endpoint(None)

    def reject(self, request: InFlightRequest, retry_after_ms: float, reason: RejectionReason) -> list[Action]:
        """Give the final answer to a request that was not executed, or that can be repeated without harm."""
        self.forget(request.request.id)
        return [Reject(request.request.id, max(retry_after_ms, MIN_RETRY_AFTER_MS), reason)]

    def start_attempt(
        self, now: float, request: InFlightRequest, max_latency_share: float = MAX_LATENCY_SHARE
    ) -> list[Action]:
        """Start an attempt if a response is expected in time, else give the final answer.

        `max_latency_share` is the largest part of the remaining latency objective that the attempt may be expected to
        take.
        """
        request_class = request.request_class
        remaining_ms = request.deadline - now
        if remaining_ms <= self._settings.tick_ms:
            return self._give_up(request, RejectionReason.DEADLINE)
        execution = request.first_execution
        may_execute = execution is None or may_execute_again(request_class, execution, now)
        if not may_execute or len(request.attempts) >= self._settings.max_attempts:
            return self._give_up(request, RejectionReason.RETRIES_EXHAUSTED)
        if self._cluster.is_at_limit():
            return self._give_up(request, RejectionReason.OVERLOAD)
        eligible = None if execution is None else retry_filter(request_class, execution)
        choice = self._cluster.pick(now, eligible, request.attempts)
        if choice is None:
            return self._give_up(request, RejectionReason.NO_ENDPOINT)
        endpoint, expected_latency_ms = choice
        objective_end = min(request.arrived_at + request_class.latency_objective_ms, request.deadline)
        if expected_latency_ms > max_latency_share * (objective_end - now):
            return self._give_up(request, RejectionReason.OVERLOAD)
        return self._start_at(now, request, endpoint, remaining_ms)

    def _start_at(self, now: float, request: InFlightRequest, endpoint: Endpoint, remaining_ms: float) -> list[Action]:
        request_id = request.request.id
        attempt = len(request.attempts)
        if attempt == 0:
            self._retry_budget.deposit(self._cluster.responds_quickly(now))
        request.attempts.append(endpoint.id)
        request.set_endpoint(endpoint)
        objective_ms = request.request_class.latency_objective_ms
        timeout_ms = self._cluster.silence_timeout_ms(now, endpoint.id, objective_ms)
        self._cluster.attempt_started(now, endpoint.id, (request_id, attempt))
        actions: list[Action] = [StartAttempt(request_id, endpoint.id, remaining_ms, request.is_over_quota)]
        if self._settings.can_cancel and timeout_ms < remaining_ms:
            actions.append(self._timers.set(now + timeout_ms, SilenceCheck(request_id, attempt, timeout_ms)))
        return actions

    def _give_up(self, request: InFlightRequest, reason: RejectionReason) -> list[Action]:
        """Give the final answer: a rejection if a retry by the client is certain to do no harm, else a failure."""
        request_class = request.request_class
        if client_may_retry(request_class, request.first_execution):
            retry_after_ms = request_class.latency_objective_ms * RETRY_AFTER_OBJECTIVE_SHARE
            return self.reject(request, retry_after_ms, reason)
        self.forget(request.request.id)
        return [Fail(request.request.id)]

    def attempt_ended(self, now: float, event: AttemptEnded) -> list[Action]:
        """Handle the end of an attempt: the request is complete, is retried or is given up."""
        request = self._requests.get(event.id)
        objective_ms = request.request_class.latency_objective_ms if request else math.inf
        self._cluster.attempt_ended(now, event, objective_ms)
        if request is None or event.request_complete:
            self.forget(event.id)
            return []
        if not event.result.never_executed and request.first_execution is None and request.endpoint:
            request.first_execution = PossibleExecution(request.endpoint, now - event.rtt_ms)
        request.set_endpoint(None)
        if not self._retry_budget.has_retry():
            return self._give_up(request, RejectionReason.RETRIES_EXHAUSTED)
        self._retry_budget.withdraw()
        return self.start_attempt(now, request)

    def check_silence(self, now: float, check: SilenceCheck) -> list[Action]:
        """Cancel an attempt at an endpoint that has been silent for too long, if a retry can follow.

        Without a retry, a cancellation would only waste the work done, and a request that may be executed at most once,
        and may have been executed, would fail long before its deadline.
        """
        request = self._requests.get(check.request_id)
        if request is None or not request.endpoint or len(request.attempts) != check.attempt + 1:
            return []
        attempt = (check.request_id, check.attempt)
        is_abandoned = self._cluster.abandon_if_silent(now, request.attempts[-1], attempt, check.timeout_ms)
        may_retry = (
            self._retry_budget.has_retry()
            and request.request_class.idempotency is not Idempotency.AT_MOST_ONCE
            and len(request.attempts) < self._settings.max_attempts
        )
        return [CancelAttempt(check.request_id, check.attempt)] if is_abandoned and may_retry else []
