"""The interface of the decisions: their settings, the events that they receive and the actions that they return.

All types are plain data, so that a host with any protocol can embed the decisions.  Times are milliseconds on the
host's clock; ids are opaque and are returned unchanged.  The values of the enums are the names in logs, metrics and
admin pages.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The effect that a repetition of a request can have."""

    IDEMPOTENT = "safe"  # a repetition does no harm
    KEYED = "keyed"  # has an idempotency key: a repetition does no harm within the deduplication scope and window
    AT_MOST_ONCE = "unsafe"  # a repetition may have a second effect


class DeduplicationScope(Enum):
    """Which endpoints recognise a repetition of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"  # the endpoints in the same zone as the endpoint of the first attempt
    CELL = "cell"  # the endpoints in the same cell as the endpoint of the first attempt


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
        """Return whether the result proves that the attempt had no effect."""
        return self in (CallResult.OVERLOADED, CallResult.CONNECT_FAILED, CallResult.NOT_SENT)


class RejectionReason(Enum):
    """Why a request is rejected, for the client and the operators; no decision depends on it."""

    OVER_QUOTA = "quota"  # the customer's known use leaves too little of its quota
    UNCONFIRMED = "unheard"  # the counter has not confirmed the quota, and this instance's share of it is used up
    CEILING = "ceiling"  # the ceiling has no room: this instance's share of the headroom is used up
    CONCURRENCY_LIMIT = "open limit"  # the plan's limit on attempts in flight is reached
    OVERLOAD = "overload"  # the endpoints have no capacity to respond in time
    NO_ENDPOINT = "no server"  # no listed endpoint may get the request
    RETRIES_EXHAUSTED = "spent"  # the attempts, the retry budget or the class's deduplication window are used up
    DEADLINE = "late"  # too little of the client's deadline is left


class EndpointState(Enum):
    """The state of an endpoint in discovery's list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListScope(Enum):
    """Which endpoints an endpoint list covers."""

    DELTA = "changes"
    FULL = "full"
    CACHED = "warm copy"  # a full list that may be out of date
    LOST = "lost"  # no list, because discovery is not reachable


def _require_minimum(key: str, value: float, minimum: float) -> None:
    if not value >= minimum:
        raise ValueError(f"setting {key}: expected at least {minimum:g}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: by when a response is useful, and the effect that a repetition can have.

    Raises ValueError that names an invalid key.
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
    """A plan's quota and ceiling, which apply to each customer over all instances together.

    Rates are in units per second, bursts in units.  Raises ValueError that names an invalid key.
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
    """The configuration of an instance; see the protocol page for the meaning of each value.

    Raises ValueError that names an invalid key.
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
    """One entry of an endpoint list; `started_ms` is 0 for an endpoint that started long ago."""

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
    """An endpoint list, either full or as a delta to the last one."""

    scope: EndpointListScope
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived; it must get exactly one final answer.

    The customer's requests are spread over `instances` instances, starting with `first_instance`.
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
    """The response of a streamed class has begun; the attempt can no longer be retried."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt has ended; `request_complete` is set if the request has its final answer."""

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
    """The client disconnected; the request needs no answer."""

    id: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The counter's reply to one IncrementCounter, or the failure of the call."""

    key: int
    result: CallResult
    rtt_ms: float
    total: float = 0.0
    retained_ms: float = math.inf  # time for which the host can prove that the counter has lost no data


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
    """The wall clock, which all instances read, was stepped relative to the clock of the events.

    The event is also given if such a step may have happened shortly before this instance started.  `shift_ms` is the
    wall clock's reading less that of the clock of the events; it is 0 until the first such event.
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
    over_quota: bool = False  # by this instance's readings of the customer's use


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: the request is rejected, and a retry by the client does no harm."""

    id: str
    retry_after_ms: float = 0.0
    reason: RejectionReason = RejectionReason.OVERLOAD


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: the request failed, and it may or may not have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add units to a key of the counter service and read its total."""

    key: int
    units: float
    expire_ms: float
    bounds_ceiling: bool = False  # the total bounds a ceiling, so the host must prove how long no data was lost


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerFired event at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list at discovery."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line for the operators."""

    text: str


AttemptId = tuple[str, int]  # request id and number of the attempt
EndpointFilter = Callable[[Endpoint], bool] | None  # whether an endpoint may be used; None allows all endpoints
Action = StartAttempt | CancelAttempt | Reject | Fail | IncrementCounter | HealthCheck | SetTimer | Subscribe | Log
Actions = list[Action]
