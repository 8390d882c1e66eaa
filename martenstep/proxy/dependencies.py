"""What an engine and a server are put together from: the interfaces behind which one protocol differs from another.

An engine is the same whatever the requests look like.  How a request states its class and customer, how attempts and
responses are written, what the status of a response proves and which forms of a target are accepted is given to it
here: `engine_factory` makes these from a gateway's settings, `martenstep.node` from a platform's configuration.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult
from martenstep.proxy.engine_messages import Headers, RequestReceived
from martenstep.proxy.targets import NormalizedTarget, TargetRejection

if TYPE_CHECKING:  # loaded only where the settings ask for them
    from martenstep.auth import core as auth
    from martenstep.auth.answerer import Answerer
    from martenstep.hooks import result_validation
    from martenstep.hooks.runner import Runner
    from martenstep.proxy.traces import Sampler


# Requests -----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class RoutedRequest:
    """Where a request belongs."""

    request_class: api.RequestClass
    plan: api.Plan
    customer: int
    customer_key: str
    units: float
    instances: int  # through so many gateways the customer's requests come,
    first_instance: int  # from this one on
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class UnauthenticatedRequest:
    """A request whose customer an authentication service must name first."""

    request_class: api.RequestClass
    units: float
    fail_open: bool


@dataclass(frozen=True, slots=True)
class RouteRejection:
    """Why a request belongs nowhere: the status and the reason of its response."""

    status: int
    reason: str


class RouteTable(Protocol):
    """From a request's head to what the policy learns of it."""

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """Where a request belongs."""

    def deadline_ms(self, request_class: api.RequestClass, headers: Headers) -> float | None:
        """How long its client waits; None where that is stated and is no number."""

    def identify(
        self, unauthenticated: UnauthenticatedRequest, customer_key: str, plan: str
    ) -> RoutedRequest | RouteRejection:
        """Where a request belongs, once its customer is known."""

    def anonymous(self, unauthenticated: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """Where a request belongs that passes without a verdict."""


class TargetPolicy(Protocol):
    """Which forms of a target are accepted."""

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """What is forwarded, or the gateway's own response."""


# Messages -----------------------------------------------------------------------------------------------


class StatusClassifier(Protocol):
    """What the status of an endpoint's response proves."""

    def classify(self, status: int, headers: Headers) -> CallResult:
        """The result of the attempt."""


@dataclass(slots=True)
class UpstreamRequest:
    """What the headers of an attempt are made from."""

    client_headers: Headers
    auth_headers: Headers  # of an authentication service's response
    hook_headers: Headers
    correlation_id: str
    policy_id: str
    attempt: int
    remaining_ms: float
    client_address: str
    traceparent: bytes
    uses_idempotency_key: bool


class MessageBuilder(Protocol):
    """Builds the headers of attempts and the responses."""

    sends_rate_limits: bool  # responses state what is left of the plan

    def identity_headers(self, correlation_id: str) -> Headers:
        """What every message of the gateway carries."""

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """Of an authentication service's response what endpoints are sent."""

    def request_headers(self, request: UpstreamRequest) -> Headers:
        """An attempt's headers."""

    def deadline_header(self, remaining_ms: float) -> tuple[bytes, bytes]:
        """The header among an attempt's that tells its endpoint how long the gateway waits."""

    def response_headers(self, headers: Headers) -> Headers:
        """Of an endpoint's response what its client is sent."""

    def local_reply(self, reason: str, correlation_id: str, retry_after_ms: float | None) -> tuple[Headers, bytes]:
        """Headers and body of a response of the gateway's own."""


# Hooks --------------------------------------------------------------------------------------------------


class HookSubject(Protocol):
    """A request, as far as hooks have to do with it."""

    received: RequestReceived
    route: RoutedRequest
    arrived_at: float
    hook_record: tuple[Any, ...] | None  # the record that hooks were given last,
    hook_record_route: RoutedRequest | None  # and the route that it was made for


class RejectionSummary(NamedTuple):
    """What hooks learn of a rejection."""

    status: int
    reason: str
    retry_after_ms: float


class ResponseSummary(NamedTuple):
    """What hooks learn of a response."""

    status: int
    attempts: int
    took_ms: float


class ExtensionPoints(Protocol):
    """Where hooks act on a request.  Times are milliseconds."""

    def classify(self, now: float, runner: Runner, subject: HookSubject) -> RoutedRequest:
        """Class, customer, plan and units."""

    def sending(self, now: float, runner: Runner, subject: HookSubject) -> tuple[bytes, Headers]:
        """Target and additional headers of what goes to an endpoint."""

    def refusal(
        self, now: float, runner: Runner, subject: HookSubject, rejection: RejectionSummary
    ) -> result_validation.RejectionContent | None:
        """The response to a rejected request; None: the gateway's own."""

    def answer(
        self, now: float, runner: Runner, subject: HookSubject, response: ResponseSummary, headers: Headers
    ) -> Headers:
        """Additional headers of a relayed response."""

    def fields(self, now: float, runner: Runner, subject: HookSubject, response: ResponseSummary) -> dict[str, str]:
        """Additional fields of the log line of a response."""


# All of it ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AuthorizationSettings:
    """How authentication services are asked, and what of their responses counts.  Names are in lower case."""

    rules: auth.Rules
    services: Sequence[tuple[str, int]]
    path: bytes
    includes_target: bool  # checks of different targets are told apart
    credential_headers: Sequence[bytes]
    customer_header: bytes
    plan_header: bytes


@dataclass(slots=True)
class EngineDependencies:
    """What an engine is made from.  Times are milliseconds."""

    name: str
    settings: api.Settings
    route_table: RouteTable
    targets: TargetPolicy
    status_classifier: StatusClassifier
    message_builder: MessageBuilder
    request_id_header: bytes  # names a request in logs and to endpoints
    deadline_margin_ms: float  # a request ends so much before its client's deadline
    max_in_flight: int
    connect_timeout_ms: float
    can_cancel: bool  # an attempt may be cancelled before its end
    max_retry_after_ms: float
    streams_past_deadline: bool = True  # a response that has begun may go on beyond its request's deadline
    records_usage: bool = False  # the counter service keeps forwarded requests
    logs_responses: bool = True
    authorization: AuthorizationSettings | None = None
    forward_auth_reader: Answerer | None = None
    trace_sampler: Sampler | None = None
    extension_points: ExtensionPoints | None = None


# Limits -------------------------------------------------------------------------------------------------
# Named as the settings (door.proto) and the platform's configuration have them, which satisfy these.


class ListenerLimits(Protocol):
    """What a server holds its clients to.  Sizes are bytes, times milliseconds."""

    @property
    def host(self) -> str:
        """Where it listens."""

    @property
    def port(self) -> int:
        """And the port; 0: any that is free."""

    @property
    def max_connections(self) -> int:
        """Connections at once."""

    @property
    def head_bytes(self) -> int:
        """Of a request's line and headers."""

    @property
    def body_bytes(self) -> int:
        """Of a request's body."""

    @property
    def idle_ms(self) -> float:
        """A connection without a request is closed after this."""

    @property
    def head_ms(self) -> float:
        """A head, and with `whole_body` the body too, must be complete within this."""

    @property
    def leave_on_half_close(self) -> bool:
        """A client that closed its half is taken for disconnected."""

    @property
    def whole_body(self) -> bool:
        """A request is accepted once its body is complete."""


class UpstreamLimits(Protocol):
    """What a server holds its connections to endpoints to.  Sizes are bytes, times milliseconds."""

    @property
    def connections(self) -> int:
        """To one endpoint, in use and idle."""

    @property
    def idle_ms(self) -> float:
        """An idle connection is closed after this."""

    @property
    def answer_idle_ms(self) -> float:
        """Between two parts of a response that has begun."""

    @property
    def keep_body_bytes(self) -> int:
        """Of a request's body, for another attempt."""

    @property
    def hold_answer_bytes(self) -> int:
        """Of a response, before it belongs to the client."""

    @property
    def answer_bytes(self) -> int:
        """Of a response: a longer one is a failed attempt; 0: no limit."""

    @property
    def all_connections(self) -> int:
        """To all endpoints together; 0: no limit."""
