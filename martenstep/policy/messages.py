"""What the decisions take in and give out: settings, events and actions.

Everything is plain data, so that a host can embed the decisions whatever its protocol looks like.  Times are
milliseconds on the host's clock; ids are opaque and go back as they came.  The values of the enums are the names that
logs, metrics and admin pages give.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repetition of a request may do."""

    IDEMPOTENT = "safe"  # no harm
    KEYED = "keyed"  # no harm within the deduplication scope and window: it has an idempotency key
    AT_MOST_ONCE = "unsafe"


class DeduplicationScope(Enum):
    """Which endpoints recognise a repetition of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # those in the zone of the endpoint that had the first attempt
    CELL = "cell"


class CallResult(Enum):
    """How an attempt, a health check or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"

    @property
    def never_executed(self) -> bool:
        """Whether the result proves that the attempt had no effect."""
        return self in (CallResult.OVERLOADED, CallResult.CONNECT_FAILED, CallResult.NOT_SENT)


class RejectionReason(Enum):
    """Why a request is rejected, for the client and the operators; decides nothing."""

    OVER_QUOTA = "quota"  # the customer's use, as far as it is known, leaves nothing of its quota
    UNCONFIRMED = "unheard"  # the counter has not confirmed the quota, and the own share of it is used
    CEILING = "ceiling"  # the own share of the ceiling's headroom is used
    CONCURRENCY_LIMIT = "open limit"  # the plan's limit of attempts in flight is reached
    OVERLOAD = "overload"  # the endpoints have no capacity for it in time
    NO_ENDPOINT = "no server"  # no endpoint is listed that it may go to
    RETRIES_EXHAUSTED = "spent"  # by the number of attempts, the retry budget or the class's window
    DEADLINE = "late"  # too little of the client's deadline is left


class EndpointState(Enum):
    """What discovery says of an endpoint."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListScope(Enum):
    """What an endpoint list covers."""

    DELTA = "changes"
    FULL = "full"
    CACHED = "warm copy"  # a full list that may be out of date
    LOST = "lost"  # no list: discovery is not reachable


def _require_minimum(key: str, value: float, minimum: float) -> None:
    if not value >= minimum:
        raise ValueError(f"setting {key}: expected at least {minimum:g}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: when a response counts, and what a repetition may do.

    Raises ValueError that names a bad key.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_value_share: float = 0.0

    def __post_init__(self) -> None:
        """Check the bounds."""
        for key in (
            "latency_objective_ms",
            "deadline_ms",
            "deduplication_window_ms",
            "priority_weight",
            "late_value_share",
        ):
            _require_minimum(f"classes.{self.name}.{key}", getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, for each customer over all instances together.

    Rates are in units per second, bursts in units.  Raises ValueError that names a bad key.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    concurrency_limit: int = 0
    priority_weight: float = 1.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    def __post_init__(self) -> None:
        """Check the bounds."""
        for key in (
            "rate",
            "burst",
            "concurrency_limit",
            "priority_weight",
            "over_quota_value",
            "over_quota_cost",
            "ceiling_rate",
            "ceiling_burst",
            "ceiling_slack",
        ):
            _require_minimum(f"plans.{self.name}.{key}", getattr(self, key), 0.0)
        if self.rate > 0 and not self.burst > 0:
            raise ValueError(f"setting plans.{self.name}.burst: expected above 0 where there is a rate")


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is configured with at its start; see the protocol page for the meaning of each figure.

    Raises ValueError that names a bad key.
    """

    instance: int
    instances: int
    zone: str
    tick_ms: float
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    endpoint_kinds: tuple[str, ...] = ()
    has_counter: bool = False
    counter_timeout_ms: float = 0.0
    max_units: float = 1.0
    settles_actual_units: bool = False
    max_attempts: int = 1
    can_cancel: bool = False
    can_health_check: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    must_subscribe: bool = False
    poll_interval_ms: float = 0.0
    load_report_fields: tuple[str, ...] = ()
    answer_slack_ms: float = 0.0
    slow_start_initial_share: float = 1.0
    slow_start_window_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 0.0
    has_capacity_weights: bool = False

    def __post_init__(self) -> None:
        """Check the bounds."""
        _require_minimum("instances", self.instances, 1)
        _require_minimum("instance", self.instance, 0)
        _require_minimum("max_attempts", self.max_attempts, 1)
        for key in (
            "tick_ms",
            "counter_timeout_ms",
            "max_units",
            "max_retry_after_ms",
            "poll_interval_ms",
            "answer_slack_ms",
            "slow_start_initial_share",
            "slow_start_window_ms",
            "overload_multiple",
            "overload_window_ms",
        ):
            _require_minimum(key, getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of an endpoint list; `started_ms` is 0 where the start lies long ago."""

    id: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    capacity: float = 1.0
    started_ms: float = 0.0


# Events -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """An endpoint list, whole or as a delta to the last one."""

    scope: EndpointListScope
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived; it is owed exactly one final answer.

    The customer's requests are spread over `instances` instances, from `first_instance` on.
    """

    id: str
    request_class: str
    plan: str
    customer: int
    remaining_ms: float
    units: float
    instances: int
    first_instance: int = 0
    is_retry: bool = False


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response of a streamed class has begun; the attempt cannot be retried any longer."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; `request_complete` says that the request has its final answer."""

    id: str
    attempt: int
    endpoint: int
    result: CallResult
    rtt_ms: float
    request_complete: bool
    actual_units: float = 0.0
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The counter's reply to one IncrementCounter, or how the call failed."""

    key: int
    result: CallResult
    rtt_ms: float
    total: float = 0.0
    retained_ms: float = math.inf  # for so long the counter has lost nothing, as far as the host can prove


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The result of one HealthCheck."""

    endpoint: int
    result: CallResult
    rtt_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set with SetTimer has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class ClockStepped:
    """The wall clock, which all instances read, was stepped against the clock of the events.

    Or it may have been shortly before this instance started.  `shift_ms` is what it now reads beyond that clock; 0
    until the first such event.
    """

    shift_ms: float


Event = (
    EndpointListUpdate
    | Request
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | CounterReply
    | HealthCheckResult
    | TimerFired
    | ClockStepped
)

# Actions ----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt of a request at an endpoint; attempts are numbered 0, 1, 2 ... as started."""

    id: str
    endpoint: int
    timeout_ms: float
    over_quota: bool = False  # as far as this instance knows


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected, and a retry by the client does no harm."""

    id: str
    retry_after_ms: float = 0.0
    reason: RejectionReason = RejectionReason.OVERLOAD


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise of what happened."""

    id: str


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add units to a key of the counter service and learn its total."""

    key: int
    units: float
    expire_ms: float
    bounds_ceiling: bool = False  # its total bounds a ceiling: the host is to prove how long nothing was lost


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


AttemptId = tuple[str, int]  # request id and number of the attempt
EndpointFilter = Callable[[Endpoint], bool] | None  # which endpoints may be used; None: all
Action = StartAttempt | CancelAttempt | Reject | Fail | IncrementCounter | HealthCheck | SetTimer | Subscribe | Log
Actions = list[Action]
