"""The dependencies of an engine and a server: interfaces for everything that depends on the protocol of requests.

An engine does not depend on the format of requests.  These interfaces define how a request states its class and
customer, how attempts and responses are written, what the status of a response proves, and which forms of a target are
accepted.  `engine_factory` creates the dependencies from a gateway's settings, and `martenstep.node` from a platform's
configuration.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult
from martenstep.policy.quota import MAX_CUSTOMERS
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
    """The request class, plan and customer of a request."""

    request_class: api.RequestClass
    plan: api.Plan
    customer: int
    customer_key: str
    units: float
    instances: int  # the number of gateways that receive the customer's requests
    first_instance: int  # the first of these gateways
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class UnauthenticatedRequest:
    """A request whose customer must first be identified by an authentication service."""

    request_class: api.RequestClass
    units: float
    fail_open: bool


@dataclass(frozen=True, slots=True)
class RouteRejection:
    """Why a request cannot be routed: the status and the reason of its response."""

    status: int
    reason: str


class RouteTable(Protocol):
    """Derives what is submitted to the policy from a request's head."""

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """Route a request."""

    def deadline_ms(self, request_class: api.RequestClass, headers: Headers) -> float | None:
        """How long the client waits; None if the client states a value that is not a valid number."""

    def identify(
        self, unauthenticated: UnauthenticatedRequest, customer_key: str, plan: str
    ) -> RoutedRequest | RouteRejection:
        """Route a request once its customer is known."""

    def anonymous(self, unauthenticated: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """Route a request that is admitted without a verdict, because its route fails open."""


class TargetPolicy(Protocol):
    """Which forms of a target are accepted."""

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """The target and headers to forward, or the gateway's own response."""


# Messages -----------------------------------------------------------------------------------------------


class StatusClassifier(Protocol):
    """What the status of an endpoint's response proves."""

    def classify(self, status: int, headers: Headers) -> CallResult:
        """The result of the attempt."""


@dataclass(slots=True)
class UpstreamRequest:
    """The inputs for the headers of an attempt."""

    client_headers: Headers
    auth_headers: Headers  # from the response of an authentication service
    hook_headers: Headers
    correlation_id: str
    unique_id: str  # no other request has it, also none of another process; empty if it uses no idempotency key
    attempt: int
    remaining_ms: float
    client_address: str
    traceparent: bytes
    uses_idempotency_key: bool


class MessageBuilder(Protocol):
    """Builds the headers of attempts and the responses."""

    sends_rate_limits: bool  # responses have RateLimit header fields

    def identity_headers(self, correlation_id: str) -> Headers:
        """The headers of every message of the gateway."""

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """The headers of an authentication service's response that are forwarded to endpoints."""

    def request_headers(self, request: UpstreamRequest) -> Headers:
        """The headers of an attempt."""

    def deadline_header(self, remaining_ms: float) -> tuple[bytes, bytes]:
        """The header of an attempt that tells its endpoint how long the gateway waits."""

    def response_headers(self, headers: Headers) -> Headers:
        """The headers of an endpoint's response that are relayed to the client."""

    def local_reply(self, reason: str, correlation_id: str, retry_after_ms: float | None) -> tuple[Headers, bytes]:
        """Headers and body of a response of the gateway itself."""


# Hooks --------------------------------------------------------------------------------------------------


class HookSubject(Protocol):
    """The parts of a request that hooks use."""

    received: RequestReceived
    route: RoutedRequest
    arrived_at: float
    hook_record: tuple[Any, ...] | None  # what hooks received last, cached
    hook_record_route: RoutedRequest | None  # the route that hook_record was built from


class RejectionSummary(NamedTuple):
    """What hooks receive about a rejection."""

    status: int
    reason: str
    retry_after_ms: float


class ResponseSummary(NamedTuple):
    """What hooks receive about a response."""

    status: int
    attempts: int
    took_ms: float


class ExtensionPoints(Protocol):
    """The points at which hooks act on a request.  Times are milliseconds."""

    def classify(self, now: float, runner: Runner, subject: HookSubject) -> RoutedRequest:
        """The route of a request, with the class, customer, plan and units that the hook sets."""

    def sending(self, now: float, runner: Runner, subject: HookSubject) -> tuple[bytes, Headers]:
        """Target and additional headers of a request to an endpoint."""

    def refusal(
        self, now: float, runner: Runner, subject: HookSubject, rejection: RejectionSummary
    ) -> result_validation.RejectionContent | None:
        """The response to a rejected request; None for the gateway's own."""

    def answer(
        self, now: float, runner: Runner, subject: HookSubject, response: ResponseSummary, headers: Headers
    ) -> Headers:
        """Additional headers of a relayed response."""

    def fields(self, now: float, runner: Runner, subject: HookSubject, response: ResponseSummary) -> dict[str, str]:
        """Additional fields of the log line of a response."""


# The engine ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AuthorizationSettings:
    """How authentication services are called and how their responses are read.  Names are in lower case."""

    rules: auth.Rules
    services: Sequence[tuple[str, int]]
    path: bytes
    includes_target: bool  # requests with different targets need separate checks
    credential_headers: Sequence[bytes]
    customer_header: bytes
    plan_header: bytes


@dataclass(slots=True)
class EngineDependencies:
    """The dependencies of an engine.  Times are milliseconds."""

    name: str
    settings: api.Settings
    route_table: RouteTable
    targets: TargetPolicy
    status_classifier: StatusClassifier
    message_builder: MessageBuilder
    request_id_header: bytes  # names a request in logs and to endpoints
    deadline_margin_ms: float  # a request ends this long before its client's deadline
    max_in_flight: int
    connect_timeout_ms: float
    can_cancel: bool  # an attempt may be cancelled before its end
    max_retry_after_ms: float
    streams_past_deadline: bool = True  # a streamed response may continue past its request's deadline
    records_usage: bool = False  # the counter service records forwarded requests
    logs_responses: bool = True
    max_customers: int = MAX_CUSTOMERS  # whose state the policy keeps
    authorization: AuthorizationSettings | None = None
    forward_auth_reader: Answerer | None = None
    trace_sampler: Sampler | None = None
    extension_points: ExtensionPoints | None = None


# Limits -------------------------------------------------------------------------------------------------
# The properties have the names of the settings (door.proto) and of the platform's configuration, which implement them.


class ListenerLimits(Protocol):
    """The limits that a server enforces on its clients.  Sizes are bytes, times milliseconds."""

    @property
    def host(self) -> str:
        """The address to listen on."""

    @property
    def port(self) -> int:
        """The port to listen on; 0 for any free one."""

    @property
    def max_connections(self) -> int:
        """The maximum number of concurrent connections."""

    @property
    def head_bytes(self) -> int:
        """The maximum size of a request's line and headers."""

    @property
    def body_bytes(self) -> int:
        """The maximum size of a request's body."""

    @property
    def buffer_bytes(self) -> int:
        """The maximum of what all connections together hold in buffers."""

    @property
    def idle_ms(self) -> float:
        """The time after which a connection without a request is closed."""

    @property
    def head_ms(self) -> float:
        """The time within which a head, and with `whole_body` also the body, must be complete."""

    @property
    def leave_on_half_close(self) -> bool:
        """Whether a client that closed its half of the connection is treated as disconnected."""

    @property
    def whole_body(self) -> bool:
        """Whether a request is accepted only once its body is complete."""


class UpstreamLimits(Protocol):
    """The limits of a server's connections to endpoints.  Sizes are bytes, times milliseconds."""

    @property
    def connections(self) -> int:
        """The maximum number of connections to one endpoint, in use and idle."""

    @property
    def idle_ms(self) -> float:
        """The time after which an idle connection is closed."""

    @property
    def answer_idle_ms(self) -> float:
        """The maximum time between two parts of a response."""

    @property
    def keep_body_bytes(self) -> int:
        """How much of a request's body is buffered for another attempt."""

    @property
    def hold_answer_bytes(self) -> int:
        """How much of a response is buffered before it is streamed to the client."""

    @property
    def answer_bytes(self) -> int:
        """The maximum size of a response; a longer one is a failed attempt.  0 for no limit."""

    @property
    def all_connections(self) -> int:
        """The maximum number of connections to all endpoints; 0 for no limit."""
