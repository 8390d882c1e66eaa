"""The messages between an engine and its driver: events in, actions out.

The driver numbers client requests by request ids; attempts are numbered within their request, from 0.  Times are
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

if TYPE_CHECKING:  # not loaded by a gateway without tracing
    from martenstep.proxy.traces import Trace

Headers = list[tuple[bytes, bytes]]


class AttemptFailure(Enum):
    """How an attempt ended without a complete response; `attempt_outcomes` states what each proves."""

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
    received_at: float | None = None  # when the last byte of the head was received; None: now


@dataclass(slots=True)
class ClockStepped:
    """The wall clock was stepped: it is now `shift_ms` ahead of the driver's clock."""

    shift_ms: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client's connection has ended, or its request ended prematurely."""

    request_id: int


@dataclass(slots=True)
class RequestBodyNotReplayable:
    """The request's body is larger than its buffer, so it cannot be written again."""

    request_id: int


@dataclass(slots=True)
class AttemptWritten:
    """The first bytes of an attempt are being written; from now on it may be executed."""

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
    """A response is larger than its buffer, so it must be streamed to the client from now on."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class ResponseCompleted:
    """The last byte of an attempt's response has been received."""

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
    """A counter call has ended."""

    call_id: int
    result: CallResult
    total: float = 0.0
    retained_ms: float = math.inf  # how long the counter is known to have lost no increments


@dataclass(slots=True)
class Tick:
    """Fires the timers that are due."""


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
    """An attempt of a check yielded no readable response."""

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
    """Start an attempt: use an idle or a new connection to the address, and write the request."""

    request_id: int
    attempt: int
    endpoint: int
    address: tuple[str, int]
    method: bytes
    target: bytes
    headers: Headers
    deadline: float  # of the request
    deliver_by: float | None = None  # the network must not deliver it later than this


@dataclass(slots=True)
class AbortAttempt:
    """Abort an attempt and close its connection; nothing more may be written for it."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class RelayResponse:
    """Send the attempt's response with this head to the client: the buffered part first, the rest as it arrives."""

    request_id: int
    attempt: int
    status: int
    headers: Headers
    complete: bool


@dataclass(slots=True)
class SendLocalReply:
    """Send a final response of the gateway itself."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class ResetClientConnection:
    """Close the client's connection, to show that the response that is being streamed is incomplete."""

    request_id: int


@dataclass(slots=True)
class AddToCounter:
    """Add units to a key of the counter, and request the total."""

    call_id: int
    key: int
    units: float
    expire_ms: float
    bounds_ceiling: bool = False  # the reply must state for how long no increments were lost


@dataclass(slots=True)
class StartAuthCheck:
    """Start an attempt of a check at an authentication service."""

    check_id: int
    attempt: int
    address: tuple[str, int]
    target: bytes
    headers: Headers


@dataclass(slots=True)
class StopAuthCheck:
    """Abort an attempt of a check and close its connection."""

    check_id: int
    attempt: int


@dataclass(slots=True)
class RecordUsage:
    """Record once that a request was forwarded."""

    correlation_id: str  # extended if another request bore it, so that this one has a record of its own
    customer: str
    plan: str
    request_class: str
    units: float
    over_quota: bool
    request_id: int = 0


@dataclass(slots=True)
class ExportTrace:
    """Export the trace of a request that has ended."""

    trace: Trace


@dataclass(slots=True)
class SubscribeEndpoints:
    """Subscribe to changes of the endpoint list at discovery."""


@dataclass(slots=True)
class LogEvent:
    """Write one line to the event log."""

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
