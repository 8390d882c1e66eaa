"""What the door's engine takes in and gives out.

A ticket is the driver's number of one client request; an attempt is numbered within its request as the module
counts it.  Times are milliseconds on the driver's clock.  Header names are lower case.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from martenstep.discovery.endpoint_list import Listed as Listed
from martenstep.policy.messages import CallResult

if TYPE_CHECKING:  # a door that traces nothing does not load what traces weigh
    from martenstep.proxy.traces import Trace

Headers = list[tuple[bytes, bytes]]


class AttemptFailure(Enum):
    """How an attempt ended without a whole answer; verdicts.py says what each proves."""

    NOT_CONNECTED = "no connection was made"
    CONNECTION_LIMIT = "the bound of connections to the server is reached"
    NOT_WRITTEN = "the connection ended before anything was written to it"
    CLOSED = "the connection ended after something was written and before the answer was whole"
    MALFORMED_RESPONSE = "what came back is not HTTP"
    STALLED = "an answer that had begun stood still"


# Events -----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class RequestReceived:
    """A client's request head is whole."""

    request_id: int
    method: bytes
    target: bytes
    headers: Headers
    client_address: str = ""
    received_at: float | None = None  # when its last byte came; none: now


@dataclass(slots=True)
class ClockStepped:
    """The wall clock was stepped: it now reads so much beyond the driver's clock."""

    shift_ms: float


@dataclass(slots=True)
class ClientDisconnected:
    """The client's connection is gone, or its request broke off."""

    request_id: int


@dataclass(slots=True)
class RequestBodyNotReplayable:
    """The request's body has outgrown what is kept: it cannot be written again."""

    request_id: int


@dataclass(slots=True)
class AttemptWritten:
    """The first bytes of an attempt are being written: from here it may run."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class ResponseHeadReceived:
    """The head of an attempt's answer is whole."""

    request_id: int
    attempt: int
    status: int
    headers: Headers


@dataclass(slots=True)
class ResponseBufferExceeded:
    """More of an answer has come than is held back: it must go to the client now."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class ResponseCompleted:
    """The last byte of an attempt's answer has come."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class AttemptFailed:
    """An attempt ended without a whole answer."""

    request_id: int
    attempt: int
    failure: AttemptFailure


@dataclass(slots=True)
class CounterReplied:
    """The store's answer to one Add."""

    call_id: int
    result: CallResult
    total: float = 0.0
    retained_ms: float = math.inf  # for so long it is known to have lost nothing


@dataclass(slots=True)
class Tick:
    """Time has passed: what is due is done."""


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
    """A check's attempt gave no answer that can be read."""

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
    | Listed
    | Tick
)

# Actions ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class OpenAttempt:
    """Start an attempt: take or make a connection to the address and write the request."""

    request_id: int
    attempt: int
    endpoint: int
    address: tuple[str, int]
    method: bytes
    target: bytes
    headers: Headers
    deadline: float  # the request's deadline
    deliver_by: float | None = None  # not to be delivered later than this


@dataclass(slots=True)
class AbortAttempt:
    """Stop an attempt and close its connection; nothing more may be written for it."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class RelayResponse:
    """Give the attempt's answer, with this head, to the client; what is held first, the rest as it comes."""

    request_id: int
    attempt: int
    status: int
    headers: Headers
    complete: bool


@dataclass(slots=True)
class SendLocalReply:
    """Final answer of the door's own."""

    request_id: int
    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class ResetClientConnection:
    """An answer that had begun broke off: the client's connection is closed to say so."""

    request_id: int


@dataclass(slots=True)
class AddToCounter:
    """Add units to a name of the store and learn the total."""

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
    """Stop an attempt of a check and close its connection."""

    check_id: int
    attempt: int


@dataclass(slots=True)
class RecordUsage:
    """A request was sent on for the first time: to be recorded, once."""

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
    """Ask the feed for changes from now on."""


@dataclass(slots=True)
class LogEvent:
    """One line for the operators."""

    event: str
    fields: dict[str, Any]


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
