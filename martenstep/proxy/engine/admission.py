"""Admission of requests: accepts or rejects each one by its head, routes it and submits it to the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from martenstep.policy import messages as api
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.dependencies import RoutedRequest, RouteRejection, UnauthenticatedRequest
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.request import InFlightRequest, RequestIds, RequestLine
from martenstep.proxy.engine.responses import UNAVAILABLE, Rejection, Responses
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.engine.timers import RequestDeadline
from martenstep.proxy.headers import get_header
from martenstep.proxy.targets import TargetRejection

if TYPE_CHECKING:  # loaded only where the settings ask for them
    from martenstep.hooks.release_manager import ReleaseManager
    from martenstep.proxy.engine.authorization import Authorization
    from martenstep.proxy.engine.forward_auth import ForwardAuth

BAD_REQUEST = 400
OVERLOAD_RETRY_AFTER_MS = 1000.0  # at the limit of requests in flight: about the duration of one request
MAX_CORRELATION_ID_LENGTH = 200  # longer ids of clients are truncated
UNKNOWN_CUSTOMER_PLAN = api.Plan("")  # stands in until an authentication service has named the customer


class Admission:
    """Accepts requests, or rejects them before they are submitted to the policy."""

    def __init__(
        self, state: EngineState, policy: PolicyDriver, responses: Responses, hook_releases: ReleaseManager | None
    ) -> None:
        """`hook_releases` is None for a gateway without hooks."""
        self._state, self._policy, self._responses = state, policy, responses
        self._dependencies = state.dependencies
        self._hook_releases = hook_releases
        self.authorization: Authorization | None = None
        self.forward_auth: ForwardAuth | None = None

    def request_received(self, event: ev.RequestReceived) -> None:
        """A client's request head is complete."""
        policy_id = f"{self._state.next_serial():x}"
        correlation_id = self._correlation_id(event, policy_id)
        ids = policy_id, correlation_id
        line = self._request_line(event, correlation_id)
        if line is None:
            return
        route_table = self._state.route_table
        route = route_table.route(*line, event.headers)
        if isinstance(route, RouteRejection):
            self._responses.reject_unaccepted(event, correlation_id, Rejection(route.status, route.reason))
            return
        remaining_ms = route_table.deadline_ms(route.request_class, event.headers)
        if remaining_ms is None:
            self._responses.reject_unaccepted(event, correlation_id, Rejection(BAD_REQUEST, "bad deadline"))
        elif self._state.stopped:
            self._responses.reject_unaccepted(
                event, correlation_id, Rejection(UNAVAILABLE, "stopping", OVERLOAD_RETRY_AFTER_MS)
            )
        elif self._state.unanswered >= self._state.max_in_flight:
            self._responses.reject_unaccepted(
                event, correlation_id, Rejection(UNAVAILABLE, "full house", OVERLOAD_RETRY_AFTER_MS)
            )
        else:
            self._accept(event, line, route, ids, remaining_ms)

    def _correlation_id(self, event: ev.RequestReceived, policy_id: str) -> str:
        """The id that the client gave the request, or a generated one that no other gateway generates."""
        client_id = get_header(event.headers, self._dependencies.request_id_header)
        if client_id:
            return client_id.decode("latin-1")[:MAX_CORRELATION_ID_LENGTH]
        return self._state.unique_id(policy_id)

    def _request_line(self, event: ev.RequestReceived, correlation_id: str) -> RequestLine | None:
        """The request line to route by; None if it is invalid and the request has been rejected."""
        if self.forward_auth is not None:
            return self.forward_auth.read_request_line(event, correlation_id)
        normalized = self._state.targets.normalize(event.method, event.target, event.headers)
        if isinstance(normalized, TargetRejection):
            rejection = Rejection(normalized.status, normalized.reason, headers=normalized.headers)
            self._responses.reject_unaccepted(event, correlation_id, rejection)
            return None
        event.target, event.headers = normalized.target, normalized.headers
        return event.method, normalized.target

    def _accept(
        self,
        event: ev.RequestReceived,
        line: RequestLine,
        route: RoutedRequest | UnauthenticatedRequest,
        ids: RequestIds,
        remaining_ms: float,
    ) -> None:
        """Accept a request: record it as in flight, schedule its deadline, and authorize or submit it."""
        state = self._state
        now = state.now
        unauthenticated = route if isinstance(route, UnauthenticatedRequest) else None
        if isinstance(route, UnauthenticatedRequest):
            route = RoutedRequest(route.request_class, UNKNOWN_CUSTOMER_PLAN, 0, "", route.units, 1, 0)
        arrived_at = now if event.received_at is None else min(event.received_at, now)
        remaining_ms = max(arrived_at + remaining_ms - state.deadline_margin_ms - now, 0.0)
        request = InFlightRequest(event, route, ids, arrived_at, now + remaining_ms)
        if self._dependencies.trace_sampler is not None:
            self._sample(request, line)
        if self._hook_releases is not None:
            request.active_hooks = self._hook_releases.active
        state.requests.add(request)
        state.unanswered += 1
        state.timers.schedule(request.deadline, RequestDeadline(event.request_id))
        if unauthenticated is None:
            self.admit(request, route)
            return
        assert self.authorization is not None, "a route requires authentication, but no service is set"
        self.authorization.authorize(request, unauthenticated, remaining_ms)

    def _sample(self, request: InFlightRequest, line: RequestLine) -> None:
        """Start a trace of a request if the sampler selects it."""
        sampler = self._dependencies.trace_sampler
        assert sampler is not None
        request.trace = sampler.trace(
            get_header(request.received.headers, b"traceparent"),
            self._state.now,
            request=request.correlation_id,
            door=self._dependencies.name,
            method=line[0].decode("latin-1"),
            path=line[1].partition(b"?")[0].decode("latin-1"),
        )
        if request.trace is not None:
            request.trace.root.attributes["class"] = request.route.request_class.name

    def admit(self, request: InFlightRequest, route: RoutedRequest) -> None:
        """Submit a request to the policy; its customer has been identified."""
        now = self._state.now
        if request.trace is not None:
            request.trace.end("auth", now)
        active_hooks = request.active_hooks
        runner = request.hook_runner = active_hooks.runner(route.customer_key) if active_hooks is not None else None
        if runner is not None and runner.has("classify"):
            route = self._reclassify(request, route)
        request.route, request.submitted = route, True
        self._policy.submit(
            api.Request(
                request.policy_id,
                route.request_class.name,
                route.plan.name,
                route.customer,
                max(request.deadline - now, 0.0),
                route.units,
                route.instances,
                route.first_instance,
                route.is_retry,
            )
        )
        if request.trace is not None and not request.finished and not request.endpoints:
            request.trace.begin("counter", self._state.now)  # no attempt was started: the policy waits for the counter

    def _reclassify(self, request: InFlightRequest, route: RoutedRequest) -> RoutedRequest:
        """The route as the classify hook changed it."""
        state, runner = self._state, request.hook_runner
        assert state.extension_points is not None and runner is not None
        request.route = route
        changed = state.extension_points.classify(state.now, runner, request)
        deadline_ms = changed.request_class.deadline_ms
        if deadline_ms < route.request_class.deadline_ms:  # a hook can only shorten the deadline
            shortened = max(request.arrived_at + deadline_ms - state.deadline_margin_ms, state.now)
            request.deadline = min(request.deadline, shortened)
            state.timers.schedule(request.deadline, RequestDeadline(request.request_id))
        return changed
