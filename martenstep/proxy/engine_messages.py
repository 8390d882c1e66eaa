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


class Ending(Enum):
    """How an attempt ended without a whole answer; verdicts.py says what each proves."""

    NOT_CONNECTED = "no connection was made"
    NO_PLACE = "the bound of connections to the server is reached"
    NOT_WRITTEN = "the connection ended before anything was written to it"
    CLOSED = "the connection ended after something was written and before the answer was whole"
    BAD_ANSWER = "what came back is not HTTP"
    STALLED = "an answer that had begun stood still"


# Events -----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Arrived:
    """A client's request head is whole."""

    ticket: int
    method: bytes
    target: bytes
    headers: Headers
    peer: str = ""
    at: float | None = None  # when its last byte came; none: now


@dataclass(slots=True)
class ClockStepped:
    """The wall clock was stepped: it now reads so much beyond the driver's clock."""

    shift_ms: float


@dataclass(slots=True)
class ClientLeft:
    """The client's connection is gone, or its request broke off."""

    ticket: int


@dataclass(slots=True)
class BodyDropped:
    """The request's body has outgrown what is kept: it cannot be written again."""

    ticket: int


@dataclass(slots=True)
class Written:
    """The first bytes of an attempt are being written: from here it may run."""

    ticket: int
    attempt: int


@dataclass(slots=True)
class AnswerHead:
    """The head of an attempt's answer is whole."""

    ticket: int
    attempt: int
    status: int
    headers: Headers


@dataclass(slots=True)
class AnswerBegun:
    """More of an answer has come than is held back: it must go to the client now."""

    ticket: int
    attempt: int


@dataclass(slots=True)
class AnswerWhole:
    """The last byte of an attempt's answer has come."""

    ticket: int
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended without a whole answer."""

    ticket: int
    attempt: int
    how: Ending


@dataclass(slots=True)
class Counted:
    """The store's answer to one Add."""

    call: int
    verdict: CallResult
    total: float = 0.0
    kept_ms: float = math.inf  # for so long it is known to have lost nothing


@dataclass(slots=True)
class Tick:
    """Time has passed: what is due is done."""


@dataclass(slots=True)
class Checked:
    """An authentication service answered a check."""

    check: int
    attempt: int
    status: int
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class CheckFailed:
    """A check's attempt gave no answer that can be read."""

    check: int
    attempt: int


Event = (
    Arrived
    | ClockStepped
    | ClientLeft
    | BodyDropped
    | Checked
    | CheckFailed
    | Written
    | AnswerHead
    | AnswerBegun
    | AnswerWhole
    | AttemptEnded
    | Counted
    | Listed
    | Tick
)

# Actions ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Open:
    """Start an attempt: take or make a connection to the address and write the request."""

    ticket: int
    attempt: int
    server: int
    address: tuple[str, int]
    method: bytes
    target: bytes
    headers: Headers
    expires: float  # the request's deadline
    by: float | None = None  # not to be delivered later than this


@dataclass(slots=True)
class Abandon:
    """Stop an attempt and close its connection; nothing more may be written for it."""

    ticket: int
    attempt: int


@dataclass(slots=True)
class Pass:
    """Give the attempt's answer, with this head, to the client; what is held first, the rest as it comes."""

    ticket: int
    attempt: int
    status: int
    headers: Headers
    whole: bool


@dataclass(slots=True)
class Reply:
    """Final answer of the door's own."""

    ticket: int
    status: int
    headers: Headers
    body: bytes


@dataclass(slots=True)
class Break:
    """An answer that had begun broke off: the client's connection is closed to say so."""

    ticket: int


@dataclass(slots=True)
class Add:
    """Add units to a name of the store and learn the total."""

    call: int
    name: int
    units: float
    expire_ms: float
    proof: bool = False  # how long nothing was lost is to be proved


@dataclass(slots=True)
class Ask:
    """Ask an authentication service."""

    check: int
    attempt: int
    address: tuple[str, int]
    target: bytes
    headers: Headers


@dataclass(slots=True)
class StopAsking:
    """Stop an attempt of a check and close its connection."""

    check: int
    attempt: int


@dataclass(slots=True)
class Tried:
    """A request was sent on for the first time: to be recorded, once."""

    request: str
    customer: str
    plan: str
    cls: str
    units: float
    beyond: bool
    ticket: int = 0


@dataclass(slots=True)
class Traced:
    """A traced request is over."""

    trace: Trace


@dataclass(slots=True)
class Listen:
    """Ask the feed for changes from now on."""


@dataclass(slots=True)
class LogEvent:
    """One line for the operators."""

    event: str
    fields: dict[str, Any]


Action = Traced | Ask | StopAsking | Open | Abandon | Pass | Reply | Break | Add | Tried | Listen | LogEvent
