"""What an engine is put together from: the seams behind which one protocol differs from another.

An engine is the same whatever the requests look like.  How a request tells of its class and customer, how an attempt
and an answer are worded, what an answer's status proves and which forms of a target are taken is given to it here;
`fitting` makes these from a door's settings, `martenstep.node` from a platform's configuration.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from martenstep.policy import messages as api
from martenstep.policy.messages import CallResult
from martenstep.proxy.engine_messages import Headers
from martenstep.proxy.targets import NormalizedTarget, TargetRejection

if TYPE_CHECKING:
    from martenstep.auth import core as auth
    from martenstep.auth.answerer import Answerer
    from martenstep.proxy.extension_points import Points
    from martenstep.proxy.traces import Sampler


@dataclass(slots=True)
class RoutedRequest:
    """Where a request belongs."""

    request_class: api.RequestClass
    plan: api.Plan
    customer: int
    customer_key: str
    units: float
    instances: int
    first_instance: int
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class UnauthenticatedRequest:
    """A request whose customer an authentication service must tell first."""

    request_class: api.RequestClass
    units: float
    fail_open: bool


@dataclass(frozen=True, slots=True)
class RouteRejection:
    """Why it belongs nowhere: a status and a reason."""

    status: int
    reason: str


class RouteTable(Protocol):
    """From a request's head to what the module is told of it."""

    def route(
        self, method: bytes, target: bytes, headers: Headers
    ) -> RoutedRequest | UnauthenticatedRequest | RouteRejection:
        """Where a request belongs."""

    def deadline_ms(self, cls: api.RequestClass, headers: Headers) -> float | None:
        """How long its client waits; None where that is told and is no figure."""

    def identify(self, guarded: UnauthenticatedRequest, key: str, plan: str) -> RoutedRequest | RouteRejection:
        """A guarded request, once its customer is told."""

    def anonymous(self, guarded: UnauthenticatedRequest) -> RoutedRequest | RouteRejection:
        """A guarded request that passes without a verdict."""


class TargetPolicy(Protocol):
    """Which forms of a target are taken."""

    def normalize(self, method: bytes, target: bytes, headers: Headers) -> NormalizedTarget | TargetRejection:
        """What goes on, or the door's own answer."""


class StatusClassifier(Protocol):
    """What the status of a server's answer proves."""

    def classify(self, status: int, headers: Headers) -> CallResult:
        """How the attempt ended."""


class MessageBuilder(Protocol):
    """How attempts and answers are worded."""

    sends_rate_limits: bool  # answers tell what is left of the plan

    def identity_headers(self, label: str) -> Headers:
        """What every message of the door carries."""

    def copied_auth_headers(self, headers: Headers) -> Headers:
        """Of an authentication service's answer what servers are told."""

    def request_headers(
        self,
        client: Headers,
        more: Headers,
        given: Headers,
        label: str,
        rid: str,
        attempt: int,
        left_ms: float,
        peer: str,
        traceparent: bytes,
        keyed: bool,
    ) -> Headers:
        """An attempt's headers."""

    def deadline_header(self, left_ms: float) -> tuple[bytes, bytes]:
        """The header among an attempt's that tells its server how long the door waits."""

    def response_headers(self, headers: Headers) -> Headers:
        """Of a server's answer what its client is told."""

    def local_reply(self, reason: str, label: str, wait_ms: float | None) -> tuple[Headers, bytes]:
        """Headers and body of an answer of the door's own."""


@dataclass(frozen=True, slots=True)
class AuthorizationSettings:
    """How authentication services are asked, and what of their answers counts.  Names are in lower case."""

    rules: auth.Rules
    services: Sequence[tuple[str, int]]
    path: bytes
    includes_target: bool
    credential_headers: Sequence[bytes]
    customer_header: bytes
    plan_header: bytes


@dataclass(slots=True)
class EngineDependencies:
    """All of it.  Times are milliseconds."""

    name: str
    settings: api.Settings
    route_table: RouteTable
    targets: TargetPolicy
    status_classifier: StatusClassifier
    message_builder: MessageBuilder
    request_id_header: bytes  # names a request in logs and to servers
    deadline_margin_ms: float  # a request ends so much before its client's deadline
    max_in_flight: int  # requests held at once
    connect_timeout_ms: float
    can_cancel: bool  # an attempt may be called off before its end
    max_retry_after_ms: float  # of a retry-after
    streams_past_deadline: bool = True  # an answer that has begun may go on beyond its request's deadline
    records_usage: bool = False  # the counter service keeps tries
    logs_responses: bool = True  # each final answer is told to the log
    authorization: AuthorizationSettings | None = None
    forward_auth_reader: Answerer | None = None
    trace_sampler: Sampler | None = None
    extension_points: Points | None = None


class ListenerLimits(Protocol):
    """What a driver holds its clients to.  Sizes are bytes, times milliseconds."""

    @property
    def host(self) -> str:
        """Where it listens."""

    @property
    def port(self) -> int:
        """And the port; 0: any that is free."""

    @property
    def max_connections(self) -> int:
        """Connections held at once."""

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
        """A head, and with `whole_body` the body too, must be whole within this."""

    @property
    def leave_on_half_close(self) -> bool:
        """A client that closed its side is taken for gone."""

    @property
    def whole_body(self) -> bool:
        """A request is taken once its body is whole."""


class UpstreamLimits(Protocol):
    """What a driver holds its connections to servers to."""

    @property
    def connections(self) -> int:
        """To one server, in use and idle."""

    @property
    def idle_ms(self) -> float:
        """An idle connection is closed after this."""

    @property
    def answer_idle_ms(self) -> float:
        """Between two parts of an answer that has begun."""

    @property
    def keep_body_bytes(self) -> int:
        """Of a request's body, for a further attempt."""

    @property
    def hold_answer_bytes(self) -> int:
        """Of an answer, before it belongs to the client."""

    @property
    def answer_bytes(self) -> int:
        """Of an answer: a longer one is a failed attempt; 0: no bound."""

    @property
    def all_connections(self) -> int:
        """To all servers together; 0: no bound."""
