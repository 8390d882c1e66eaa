"""What the decision module takes in and gives out: settings, events and actions.

Everything is plain data in the field's own words, so a host can embed the module whatever its wire looks
like.  Times are milliseconds on the host's clock; ids are opaque and go back as they came.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a repeat of a request may do."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    AT_MOST_ONCE = "unsafe"


class DeduplicationScope(Enum):
    """Which servers drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CallResult(Enum):
    """How an attempt, a probe or a counter call ended."""

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
        """True where the outcome proves that the attempt had no effect."""
        return self in (CallResult.OVERLOADED, CallResult.CONNECT_FAILED, CallResult.NOT_SENT)


class RejectionReason(Enum):
    """Why a request is turned away, for the client and the operators; decides nothing."""

    OVER_QUOTA = "quota"  # the customer's use, as far as it is known, leaves no room in its plan
    UNCONFIRMED = "unheard"  # the counter has not told of the customer and the own part of its quota is used
    CEILING = "ceiling"  # the own part of the ceiling's headroom is used
    CONCURRENCY_LIMIT = "open limit"  # the plan's limit of attempts out is reached
    OVERLOAD = "overload"  # the servers have no room for it in time
    NO_ENDPOINT = "no server"  # no server is listed that it may go to
    RETRIES_EXHAUSTED = "spent"  # no further attempt is allowed: their number, the retry budget or the class's window
    DEADLINE = "late"  # too little of the client's deadline is left


class EndpointState(Enum):
    """What discovery says of a server."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListScope(Enum):
    """What a member list covers."""

    DELTA = "changes"
    FULL = "full"
    CACHED = "warm copy"
    LOST = "lost"


def _at_least(key: str, value: float, least: float) -> None:
    if not value >= least:
        raise ValueError(f"setting {key}: expected at least {least:g}, got {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests: when an answer counts, and what a repeat may do."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_value_share: float = 0.0

    def __post_init__(self) -> None:
        for key in (
            "latency_objective_ms",
            "deadline_ms",
            "deduplication_window_ms",
            "priority_weight",
            "late_value_share",
        ):
            _at_least(f"classes.{self.name}.{key}", getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota and ceiling, for each customer over all gateways together."""

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
            _at_least(f"plans.{self.name}.{key}", getattr(self, key), 0.0)
        if self.rate > 0 and not self.burst > 0:
            raise ValueError(f"setting plans.{self.name}.burst: expected above 0 where there is a rate")


@dataclass(frozen=True, slots=True)
class Settings:
    """What a gateway is told at its start; see the protocol page for the meaning of each figure."""

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
        _at_least("instances", self.instances, 1)
        _at_least("instance", self.instance, 0)
        _at_least("max_attempts", self.max_attempts, 1)
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
            _at_least(key, getattr(self, key), 0.0)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of a member list; started_ms is 0 where the start lies long ago."""

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
    """A member list, whole or as changes to the last one."""

    scope: EndpointListScope
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try has arrived; it is owed exactly one final answer."""

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
    """The answer of a streamed class has begun; the attempt is the client's now."""

    id: str


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How one attempt ended; ended says that the request has its final answer."""

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
    """The client has gone; nothing more is owed."""

    id: str


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The counter's answer to one Count."""

    key: int
    result: CallResult
    rtt_ms: float
    total: float = 0.0
    retained_ms: float = math.inf  # for so long the counter has lost nothing, as far as the host can prove


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """The answer to one Probe."""

    endpoint: int
    result: CallResult
    rtt_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A Wake has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ClockStepped:
    """The wall clock, which all gateways read, was stepped against the clock of the events, or may have been shortly
    before this gateway started.

    `shift_ms` is what it now reads beyond that clock; 0 until the first such event."""

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
    """Start an attempt of a request at a server; attempts are numbered 0, 1, 2 ... as sent."""

    id: str
    endpoint: int
    timeout_ms: float
    over_quota: bool = False  # the request is sent on beyond its quota, as far as this gateway knows


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, and a retry does no harm."""

    id: str
    retry_after_ms: float = 0.0
    reason: RejectionReason = RejectionReason.OVERLOAD


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise of what happened."""

    id: str


@dataclass(frozen=True, slots=True)
class IncrementCounter:
    """Add units to a named number of the counter service and learn the total."""

    key: int
    units: float
    expire_ms: float
    bounds_ceiling: bool = False  # its total bounds a ceiling: the host is to prove how long nothing was lost


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Look at a server."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Due event at a time."""

    at_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


EndpointFilter = Callable[[Endpoint], bool] | None  # which servers may be used; None: all
Action = StartAttempt | CancelAttempt | Reject | Fail | IncrementCounter | HealthCheck | SetTimer | Subscribe | Log
Actions = list[Action]
