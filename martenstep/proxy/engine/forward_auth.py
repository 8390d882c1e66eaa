"""The gateway as the service that an edge proxy asks about its requests: it allows them or rejects them itself."""

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

EDGE_PROXY = 0  # the number of the edge proxy as an endpoint, the only one there is
ALLOWED_STATUS = 200


class ForwardAuth:
    """Answers sub-requests in place of forwarding them."""

    def __init__(
        self,
        state: EngineState,
        policy: PolicyDriver,
        responses: Responses,
        attempts: Attempts,
        reader: Answerer,
    ) -> None:
        """Tells the policy of the edge proxy as its endpoint; `reader` reads the proxy's sub-requests."""
        self._state, self._policy, self._responses, self._attempts = state, policy, responses, attempts
        self._reader = reader
        settings = state.dependencies.settings
        edge = api.Endpoint(EDGE_PROXY, settings.zone, "edge", 0, api.EndpointState.UP)
        policy.gateway.handle(0.0, api.EndpointListUpdate(api.EndpointListScope.FULL, (edge,)))

    def read_request_line(self, event: ev.RequestReceived, correlation_id: str) -> RequestLine | None:
        """The request line that a sub-request asks about; None where there is none, and it has been rejected."""
        subject = self._reader.read(event.method, event.target, event.headers, event.client_address)
        if isinstance(subject, auth.Unasked):
            rejection = Rejection(subject.status, subject.reason)
            self._responses.reject_unaccepted(event, correlation_id, rejection)
            return None
        return subject.method, subject.target

    def allow(self, action: api.StartAttempt) -> None:
        """The edge proxy may forward a request: that is the sub-request's response, and its attempt has ended.

        How the request itself ends is never reported here.  So the policy learns of no latency and no failure: its
        concurrency limit stays open, and what it enforces are quota and ceiling.
        """
        state = self._state
        request = state.requests.of_policy(action.id)
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
