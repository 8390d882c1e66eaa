"""Forward authentication: an edge proxy sends a sub-request for each request, which the gateway allows or rejects."""

from __future__ import annotations

from martenstep.auth import core as auth
from martenstep.auth.answerer import Answerer
from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.engine.attempts import Attempts
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.request import RequestLine
from martenstep.proxy.engine.responses import Rejection, Responses
from martenstep.proxy.engine.state import EngineState

EDGE_PROXY = 0  # the policy's only endpoint: the edge proxy
ALLOWED_STATUS = 200


class ForwardAuth:
    """Answers sub-requests instead of forwarding requests."""

    def __init__(
        self,
        state: EngineState,
        policy: PolicyDriver,
        responses: Responses,
        attempts: Attempts,
        reader: Answerer,
    ) -> None:
        """Lists the edge proxy as the policy's endpoint; `reader` reads the proxy's sub-requests."""
        self._state, self._policy, self._responses, self._attempts = state, policy, responses, attempts
        self._reader = reader
        settings = state.dependencies.settings
        edge = api.Endpoint(EDGE_PROXY, settings.zone, "edge", 0, api.EndpointState.UP)
        policy.gateway.handle(0.0, api.EndpointListUpdate(api.EndpointListScope.FULL, (edge,)))

    def read_request_line(self, event: ev.RequestReceived, correlation_id: str) -> RequestLine | None:
        """The request line that a sub-request states; None if it states none and has been rejected."""
        subject = self._reader.read(event.method, event.target, event.headers, event.client_address)
        if isinstance(subject, auth.Unasked):
            rejection = Rejection(subject.status, subject.reason)
            self._responses.reject_unaccepted(event, correlation_id, rejection)
            return None
        return subject.method, subject.target

    def allow(self, action: api.StartAttempt) -> None:
        """Allow the edge proxy to forward a request, and report the attempt as successful at once.

        The edge proxy does not report how the request ends.  The policy therefore receives no latencies or failures
        of endpoints: its concurrency limit never tightens, and it enforces only quota and ceiling.
        """
        state = self._state
        request = state.requests.get_by_policy_id(action.id)
        number = len(request.endpoints)
        request.endpoints.append(action.endpoint)
        if request.trace is not None:
            request.trace.end("counter", state.now)
        if number == 0 and state.dependencies.records_usage:
            self._attempts.record_usage(request, action.over_quota)
        route = request.route
        headers: ev.Headers = [
            (b"content-length", b"0"),
            *self._responses.rate_limits(route),
            (b"x-customer", route.customer_key.encode("latin-1", "replace")),
            (b"x-plan", route.plan.name.encode()),
            *state.dependencies.message_builder.identity_headers(request.correlation_id),
        ]
        self._responses.finish(request, ALLOWED_STATUS, "let pass")
        state.actions.append(ev.SendLocalReply(request.request_id, ALLOWED_STATUS, headers, b""))
        self._responses.release(request)
        took_ms = state.now - request.arrived_at
        self._policy.submit(api.AttemptEnded(request.policy_id, number, action.endpoint, CallResult.OK, took_ms, True))
