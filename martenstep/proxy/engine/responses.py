"""The final responses of requests: exactly one for each, from an endpoint or from the gateway itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from martenstep.policy import messages as api
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.dependencies import RejectionSummary, ResponseSummary, RoutedRequest
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.request import Attempt, InFlightRequest
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.headers import (
    REJECTION_STATUS,
    encode_headers,
    override_headers,
    rate_limit_headers,
    reason_header,
    retry_after_headers,
)

if TYPE_CHECKING:  # a gateway without hooks does not load them
    from martenstep.hooks import result_validation

GATEWAY_ERROR, UNAVAILABLE, GATEWAY_TIMEOUT = 502, 503, 504
NO_CONTENT = 204
FIRST_ERROR_STATUS = 400
RETRY_AFTER_SHARE = 0.1  # of the latency objective, if the gateway gives up without a decision of the policy
MS_PER_S = 1000.0
NO_HEADERS: ev.Headers = []


class Rejection(NamedTuple):
    """Why a request is not accepted, and what its response states."""

    status: int
    reason: str
    retry_after_ms: float | None = None
    headers: ev.Headers = NO_HEADERS


class Responses:
    """Builds and emits the final responses of requests."""

    def __init__(self, state: EngineState, policy: PolicyDriver) -> None:
        """`policy` states the remaining units of a customer for the RateLimit header fields."""
        self._state, self._policy = state, policy
        self._messages = state.dependencies.message_builder
        self._max_retry_after_ms = state.dependencies.max_retry_after_ms
        self._logs_responses = state.dependencies.logs_responses
        self.on_finished: Callable[[int], None] | None = None  # called with the id of each finished request
        self.counts: dict[str, int] = {}  # final responses, by reason

    # Local replies ------------------------------------------------------------------------------------------

    def reject(self, action: api.Reject) -> None:
        """Send the response to a request that the policy rejects."""
        retry_after_ms = min(action.retry_after_ms, self._max_retry_after_ms)
        request = self._state.requests.get_by_policy_id(action.id)
        self.send_local_reply(request, REJECTION_STATUS[action.reason], action.reason.value, retry_after_ms)

    def fail(self, request: InFlightRequest) -> None:
        """Send the final response of a failed request; it does not state whether the request was executed."""
        if request.timed_out:
            self.send_local_reply(request, GATEWAY_TIMEOUT, "timed out", None)
        else:
            self.send_local_reply(request, GATEWAY_ERROR, "failed", None)

    def give_up(self, request: InFlightRequest, retry_is_harmless: bool, reason: str) -> None:
        """Send the final response of a request that gets no further attempt, without a decision of the policy."""
        if retry_is_harmless:
            retry_after_ms = request.route.request_class.latency_objective_ms * RETRY_AFTER_SHARE
            self.send_local_reply(request, UNAVAILABLE, reason, retry_after_ms)
        else:
            self.fail(request)

    def send_local_reply(
        self, request: InFlightRequest, status: int, reason: str, retry_after_ms: float | None
    ) -> None:
        """Send a final response of the gateway itself; `retry_after_ms` tells the client that a retry is harmless."""
        headers, body = self._messages.local_reply(reason, request.correlation_id, retry_after_ms)
        if retry_after_ms is not None:
            custom = self._custom_rejection(request, RejectionSummary(status, reason, retry_after_ms))
            if custom is not None:
                retry_after_ms = min(custom.retry_after_ms, max(self._max_retry_after_ms, retry_after_ms))
                body = custom.body
                headers = [
                    (b"content-type", custom.content_type.encode()),
                    reason_header(reason),
                    *retry_after_headers(retry_after_ms),
                    (b"content-length", str(len(body)).encode()),
                    *encode_headers(custom.headers),
                ]
        headers += [*self.rate_limits(request.route), *self._messages.identity_headers(request.correlation_id)]
        self.finish(request, status, reason, retry_after_ms)
        self._state.actions.append(ev.SendLocalReply(request.request_id, status, headers, body))
        self.release(request)

    def _custom_rejection(
        self, request: InFlightRequest, rejection: RejectionSummary
    ) -> result_validation.RejectionContent | None:
        """The response that the refusal hook returns in place of the gateway's own; None if there is none."""
        runner = request.hook_runner
        if runner is None and request.active_hooks is not None:
            runner = request.active_hooks.runner(request.route.customer_key)
        if runner is None or not runner.has("refusal"):
            return None
        points = self._state.extension_points
        assert points is not None
        return points.refusal(self._state.now, runner, request, rejection)

    def reject_unaccepted(self, received: ev.RequestReceived, correlation_id: str, rejection: Rejection) -> None:
        """Respond to a request that is not accepted and is never submitted to the policy."""
        status, reason, retry_after_ms, headers = rejection
        own_headers, body = NO_HEADERS, b""
        if status != NO_CONTENT:
            own_headers, body = self._messages.local_reply(reason, correlation_id, retry_after_ms)
        all_headers = [*own_headers, *headers, *self._messages.identity_headers(correlation_id)]
        if status >= FIRST_ERROR_STATUS:  # otherwise health checks would fill the log of an idle gateway
            fields = {"request": correlation_id, "status": status, "reason": reason}
            self._state.actions.append(ev.LogEvent("request rejected", fields))
        self._state.actions.append(ev.SendLocalReply(received.request_id, status, all_headers, body))

    def rate_limits(self, route: RoutedRequest) -> ev.Headers:
        """The RateLimit header fields of a response to a customer."""
        plan = route.plan
        if plan.rate <= 0 or not self._messages.sends_rate_limits:
            return []
        remaining = self._policy.gateway.available_units(self._state.now, route.customer)
        full_in_ms = 0.0 if remaining is None else max(plan.burst - remaining, 0.0) / plan.rate * MS_PER_S
        return rate_limit_headers(plan, remaining, full_in_ms)

    # Relayed ------------------------------------------------------------------------------------------------

    def relay(self, attempt: Attempt, complete: bool) -> None:
        """Pass an attempt's response on to the client; `complete` is set if all of it has been received."""
        request, headers = attempt.request, self._messages.response_headers(attempt.headers)
        runner = request.hook_runner
        if runner is not None and runner.has("answer"):
            headers = override_headers(headers, self._hook_headers(attempt, headers))
        headers += [*self.rate_limits(request.route), *self._messages.identity_headers(request.correlation_id)]
        self._state.actions.append(
            ev.RelayResponse(request.request_id, attempt.number, attempt.status, headers, complete)
        )

    def _hook_headers(self, attempt: Attempt, headers: ev.Headers) -> ev.Headers:
        request = attempt.request
        points, runner, now = self._state.extension_points, request.hook_runner, self._state.now
        assert points is not None and runner is not None
        response = ResponseSummary(attempt.status, len(request.endpoints), now - request.arrived_at)
        return points.answer(now, runner, request, response, headers)

    # The end of a request -----------------------------------------------------------------------------------

    def finish(self, request: InFlightRequest, status: int, reason: str, retry_after_ms: float | None = None) -> None:
        """Record that a request has its final response; only this method marks a request as finished.

        Status 0 stands for a client that receives no complete response.
        """
        request.finished = True
        if self.on_finished is not None:
            self.on_finished(request.request_id)
        if request.trace is not None:
            self._end_trace(request, status, reason)
        self._state.unanswered -= 1
        self.counts[reason] = self.counts.get(reason, 0) + 1
        if self._logs_responses:
            self._log_response(request, status, reason, retry_after_ms)

    def _end_trace(self, request: InFlightRequest, status: int, reason: str) -> None:
        trace, route, now = request.trace, request.route, self._state.now
        assert trace is not None
        trace.root.end = now
        trace.root.attributes.update(
            {"status": status, "reason": reason, "customer": route.customer_key, "plan": route.plan.name}
        )
        trace.end("auth", now)
        trace.end("counter", now)

    def _log_response(self, request: InFlightRequest, status: int, reason: str, retry_after_ms: float | None) -> None:
        route = request.route
        took_ms = self._state.now - request.arrived_at
        fields: dict[str, Any] = {
            "request": request.correlation_id,
            "customer": route.customer_key,
            "plan": route.plan.name,
            "class": route.request_class.name,
            "status": status,
            "reason": reason,
            "attempts": len(request.endpoints),
            "servers": request.endpoints,
            "ms": round(took_ms, 3),
        }
        if retry_after_ms is not None:
            fields["retry_after_ms"] = round(retry_after_ms, 3)
        runner = request.hook_runner
        if runner is not None:
            fields["hooks"] = runner.release.version
            if runner.has("log"):
                points = self._state.extension_points
                assert points is not None
                response = ResponseSummary(status, len(request.endpoints), took_ms)
                fields.update(points.fields(self._state.now, runner, request, response))
        self._state.actions.append(ev.LogEvent("request finished", fields))

    def release(self, request: InFlightRequest) -> None:
        """Remove a request from the table if it is finished and no attempt is open."""
        if not request.finished or (request.attempt is not None and request.attempt.open):
            return
        self._state.requests.remove(request)
        request.attempt = None  # breaks the reference cycle between request and attempt
        if request.trace is not None:
            trace, request.trace = request.trace, None
            self._state.actions.append(ev.ExportTrace(trace))
