"""The messages between an engine and its driver: events in, actions out.

A request id is the driver's number of one client request; an attempt is numbered within its request, from 0.  Times are
milliseconds on the driver's clock.  Header names are in lower case.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from martenstep.discovery.endpoint_list import EndpointListEvent as EndpointListEvent
from martenstep.event_log import LogFields
from martenstep.policy.messages import CallResult

if TYPE_CHECKING:  # a gateway that traces nothing does not load what traces need
    from martenstep.proxy.traces import Trace

Headers = list[tuple[bytes, bytes]]


class AttemptFailure(Enum):
    """How an attempt ended without a complete response; `attempt_outcomes` says what each proves."""

    NOT_CONNECTED = "no connection was made"
    CONNECTION_LIMIT = "the limit of connections to the endpoint is reached"
    NOT_WRITTEN = "the connection ended before anything was written to it"
    CLOSED = "the connection ended after something was written and before the response was complete"
    MALFORMED_RESPONSE = "what came back is not HTTP"
    STALLED = "a response that had begun stood still"


# Events -------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestReceived:
    """A client's request head is complete."""

    request_id: int
    method: bytes
    target: bytes
    headers: Headers
    client_address: str = ""
    received_at: float | None = None  # when its last byte came; None: now


@dataclass(slots=True)
class ClockStepped:
    """The wall clock was stepped: it now reads so much beyond the driver's clock."""

    shift_ms: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client's connection has ended, or its request broke off."""

    request_id: int


@dataclass(slots=True)
class RequestBodyNotReplayable:
    """The request's body has outgrown its buffer: it cannot be written again."""

    request_id: int


@dataclass(slots=True)
class AttemptWritten:
    """The first bytes of an attempt are being written: from here it may be executed."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class ResponseHeadReceived:
    """The head of an attempt's response is complete."""

    request_id: int
    attempt: int
    status: int
    headers: Headers


@dataclass(slots=True)
class ResponseBufferExceeded:
    """More of a response has come than is buffered: it must go to the client now."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class ResponseCompleted:
    """The last byte of an attempt's response has come."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptFailed:
    """An attempt ended without a complete response."""

    request_id: int
    attempt: int
    failure: AttemptFailure


@dataclass(slots=True)
class CounterReplied:
    """A counter call ended."""

    call_id: int
    result: CallResult
    total: float = 0.0
    retained_ms: float = math.inf  # for so long the counter is known to have lost nothing


@dataclass(slots=True)
class Tick:
    """Time has passed: the timers that are due fire."""


@dataclass(slots=True)
class AuthCheckReplied:
    """An authentication service answered a check."""

    check_id: int
    attempt: int
    status: int
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class AuthCheckFailed:
    """A check's attempt gave no response that can be read."""

    check_id: int
    attempt: int


Event = (
    RequestReceived
    | ClockStepped
    | ClientDisconnected
    | RequestBodyNotReplayable
    | AuthCheckReplied
    | AuthCheckFailed
    | AttemptWritten
    | ResponseHeadReceived
    | ResponseBufferExceeded
    | ResponseCompleted
    | AttemptFailed
    | CounterReplied
    | EndpointListEvent
    | Tick
)

# Actions ------------------------------------------------------------------------------------------------


@dataclass(slots=True)
class OpenAttempt:
    """Begin an attempt: take or make a connection to the address and write the request."""

    request_id: int
    attempt: int
    endpoint: int
    address: tuple[str, int]
    method: bytes
    target: bytes
    headers: Headers
    deadline: float  # of the request
    deliver_by: float | None = None  # not to be delivered later than this


@dataclass(slots=True)
class AbortAttempt:
    """Give an attempt up and close its connection; nothing more may be written for it."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class RelayResponse:
    """Pass the attempt's response, with this head, on to the client; what is buffered first, the rest as it comes."""

    request_id: int
    attempt: int
    status: int
    headers: Headers
    complete: bool


@dataclass(slots=True)
class SendLocalReply:
    """Send a final response of the gateway's own."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class ResetClientConnection:
    """A response that had begun broke off: close the client's connection to say so."""

    request_id: int


@dataclass(slots=True)
class AddToCounter:
    """Add units to a key of the counter and learn the total."""

    call_id: int
    key: int
    units: float
    expire_ms: float
    bounds_ceiling: bool = False  # how long nothing was lost is to be proved


@dataclass(slots=True)
class StartAuthCheck:
    """Ask an authentication service."""

    check_id: int
    attempt: int
    address: tuple[str, int]
    target: bytes
    headers: Headers


@dataclass(slots=True)
class StopAuthCheck:
    """Give an attempt of a check up and close its connection."""

    check_id: int
    attempt: int


@dataclass(slots=True)
class RecordUsage:
    """A request was forwarded for the first time: to be recorded, once."""

    correlation_id: str
    customer: str
    plan: str
    request_class: str
    units: float
    over_quota: bool
    request_id: int = 0


@dataclass(slots=True)
class ExportTrace:
    """A traced request is over."""

    trace: Trace


@dataclass(slots=True)
class SubscribeEndpoints:
    """Ask discovery for changes of the endpoint list from now on."""


@dataclass(slots=True)
class LogEvent:
    """Write one line for the operators."""

    event: str
    fields: LogFields


Action = (
    ExportTrace
    | StartAuthCheck
    | StopAuthCheck
    | OpenAttempt
    | AbortAttempt
    | RelayResponse
    | SendLocalReply
    | ResetClientConnection
    | AddToCounter
    | RecordUsage
    | SubscribeEndpoints
    | LogEvent
)
