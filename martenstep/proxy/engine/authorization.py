"""Authorization of requests whose customer must first be identified by an authentication service."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable

from martenstep.auth import core as auth
from martenstep.policy import messages as api
from martenstep.proxy import engine_messages as ev
from martenstep.proxy.dependencies import (
    AuthorizationSettings,
    RoutedRequest,
    RouteRejection,
    UnauthenticatedRequest,
)
from martenstep.proxy.engine.policy_driver import PolicyDriver
from martenstep.proxy.engine.request import InFlightRequest
from martenstep.proxy.engine.responses import UNAVAILABLE, Responses
from martenstep.proxy.engine.state import EngineState
from martenstep.proxy.headers import get_header

MAX_KNOWN_PLANS = 20_000  # credentials whose plan is remembered, to group requests for load shedding
MIN_SUCCESS_STATUS, MIN_SERVER_ERROR_STATUS = 200, 500
# Headers of a denying response that tell the client how to authenticate, such as where to log in.
DENIAL_HEADERS = frozenset(
    (b"content-type", b"www-authenticate", b"location", b"set-cookie", b"retry-after", b"cache-control")
)
Admit = Callable[[InFlightRequest, RoutedRequest], None]


class Authorization:
    """Has the credentials of requests checked, and admits or denies the requests."""

    def __init__(
        self,
        state: EngineState,
        policy: PolicyDriver,
        responses: Responses,
        settings: AuthorizationSettings,
        admit: Admit,
    ) -> None:
        """`admit` is called with each authorized request and its route."""
        self._state, self._policy, self._responses, self._admit = state, policy, responses, admit
        self._settings = settings
        self._checks = auth.Core(settings.rules, len(settings.services), random.Random(state.seed))
        self._plan_by_credential: OrderedDict[bytes, str] = OrderedDict()  # from the last response of a service

    @property
    def held_counts(self) -> dict[str, int]:
        """Numbers of what is held in memory, by name."""
        return self._checks.held

    def next_at(self) -> float | None:
        """When `tick` is due; None if no timer is pending."""
        return self._checks.next_at()

    def tick(self) -> None:
        """Handle the timers that are due."""
        self._perform(self._checks.tick(self._state.now))

    def first_attempt_started(self, request_id: int) -> None:
        """A request is being forwarded, so its authorization need not be held any longer."""
        self._checks.sent(request_id)

    def request_finished(self, request_id: int) -> None:
        """A request has its final response, or its client has disconnected."""
        self._perform(self._checks.left(self._state.now, request_id))

    # Checks -------------------------------------------------------------------------------------------------

    def authorize(self, request: InFlightRequest, unauthenticated: UnauthenticatedRequest, remaining_ms: float) -> None:
        """Request the check of a request's credential."""
        if request.trace is not None:
            request.trace.begin("auth", self._state.now)
        request.unauthenticated = unauthenticated
        request.credential_digest = self._credential_digest(request.received)
        actions = self._checks.ask(
            self._state.now,
            request.request_id,
            request.credential_digest,
            remaining_ms,
            self._shedding_group(request),
            unauthenticated.fail_open,
            self._check_headers(request),
        )
        self._perform(actions)

    def _credential_digest(self, received: ev.RequestReceived) -> bytes:
        """The key of a check: requests with the same digest share one check."""
        import hashlib  # here, since it loads a library of cryptography, which few gateways need

        digest = hashlib.blake2b(digest_size=16)
        for name, value in received.headers:
            if name in self._settings.credential_headers:
                digest.update(b"%d %b %d %b " % (len(name), name, len(value), value))
        if self._settings.includes_target:
            digest.update(received.method + b" " + received.target)
        return digest.digest()

    def _check_headers(self, request: InFlightRequest) -> ev.Headers:
        received, credential_headers = request.received, self._settings.credential_headers
        return [
            *(pair for pair in received.headers if pair[0] in credential_headers),
            (b"x-forwarded-method", received.method),
            (b"x-forwarded-proto", b"http"),
            (b"x-forwarded-host", get_header(received.headers, b"host") or b""),
            (b"x-forwarded-uri", received.target),
            (b"x-forwarded-for", received.client_address.encode()),
            (self._state.dependencies.request_id_header, request.correlation_id.encode("latin-1", "replace")),
        ]

    def _shedding_group(self, request: InFlightRequest) -> str:
        """The group that a request belongs to when load is shed because too many requests wait.

        It is the plan that the credential's last check returned, or the request's host if there was no such check.
        """
        plan = self._plan_by_credential.get(request.credential_digest)
        if plan:
            return plan
        host = get_header(request.received.headers, b"host") or b""
        return "host " + host.decode("latin-1")

    def replied(self, event: ev.AuthCheckReplied) -> None:
        """A service answered a check."""
        if event.status >= MIN_SERVER_ERROR_STATUS or event.status < MIN_SUCCESS_STATUS:
            # A failure of the service says nothing about the credential.
            self._perform(self._checks.failed(self._state.now, event.check_id, event.attempt))
            return
        answer = auth.Answer(
            event.status, tuple(event.headers), event.body, auth.parse_cache_lifetime_ms(event.headers)
        )
        self._perform(self._checks.answered(self._state.now, event.check_id, event.attempt, answer))

    def check_failed(self, event: ev.AuthCheckFailed) -> None:
        """An attempt of a check yielded no readable response."""
        self._perform(self._checks.failed(self._state.now, event.check_id, event.attempt))

    def _perform(self, actions: list[auth.Action]) -> None:
        requests, settings = self._state.requests, self._settings
        for action in actions:
            match action:
                case auth.Start(check=check, attempt=attempt, service=service, payload=headers):
                    address = settings.services[service]
                    self._state.actions.append(ev.StartAuthCheck(check, attempt, address, settings.path, headers))
                case auth.Stop(check=check, attempt=attempt):
                    self._state.actions.append(ev.StopAuthCheck(check, attempt))
                case auth.Allow(request_id=request_id, answer=answer):
                    self._allow(requests.get(request_id), answer)
                case auth.Deny(request_id=request_id, answer=answer):
                    self._deny(requests.get(request_id), answer)
                case auth.NoVerdict(request_id=request_id, reason=reason, retry_after_ms=retry_after_ms):
                    request = requests.get(request_id)
                    self._responses.send_local_reply(request, UNAVAILABLE, reason.value, retry_after_ms)

    # Verdicts -----------------------------------------------------------------------------------------------

    def _allow(self, request: InFlightRequest, answer: auth.Answer | None) -> None:
        """Admit a request; `answer` is None if the check failed and the route fails open."""
        assert request.unauthenticated is not None
        if answer is None:
            route = self._state.route_table.anonymous(request.unauthenticated)
        else:
            request.auth_response = answer
            route = self._identify(request.unauthenticated, list(answer.headers))
        if isinstance(route, RouteRejection):
            self._responses.send_local_reply(request, route.status, route.reason, None)
            return
        if answer is not None:
            self._remember_plan(request.credential_digest, route.plan.name)
        self._admit(request, route)

    def _identify(self, unauthenticated: UnauthenticatedRequest, headers: ev.Headers) -> RoutedRequest | RouteRejection:
        customer = get_header(headers, self._settings.customer_header) or b""
        plan = get_header(headers, self._settings.plan_header) or b""
        return self._state.route_table.identify(
            unauthenticated, customer.decode("latin-1").strip(), plan.decode("latin-1").strip()
        )

    def _remember_plan(self, credential_digest: bytes, plan: str) -> None:
        known = self._plan_by_credential
        known[credential_digest] = plan
        known.move_to_end(credential_digest)
        if len(known) > MAX_KNOWN_PLANS:
            known.popitem(last=False)

    def _deny(self, request: InFlightRequest, answer: auth.Answer) -> None:
        """Send the service's denial to the client, even if the request has been submitted and waits for the counter."""
        if request.submitted:
            self._policy.submit(api.ClientDisconnected(request.policy_id))
        headers = [pair for pair in answer.headers if pair[0] in DENIAL_HEADERS]
        headers += [
            (b"content-length", str(len(answer.body)).encode()),
            (b"x-reason", b"denied"),
            *self._state.dependencies.message_builder.identity_headers(request.correlation_id),
        ]
        self._responses.finish(request, answer.status, "denied")
        self._state.actions.append(ev.SendLocalReply(request.request_id, answer.status, headers, answer.body))
        self._responses.release(request)
