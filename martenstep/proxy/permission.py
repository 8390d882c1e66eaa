"""The last checks before an attempt is written and before a client connection is closed.  No I/O.

Time passes between the policy's decision and the first byte: the endpoint is chosen, then the connection is made.  What
was allowed at the decision may no longer be allowed at the write, so the server checks again immediately before it, and
does nothing that is denied.  Each denial is counted by its name and logged.  The denials in `UNEXPECTED_DENIALS` cannot
come from events that cross each other; they are faults of this program, and the soak test requires their count to be
zero.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martenstep.policy.messages import Idempotency


class Denial(Enum):
    """Why an action is denied now.  Names and values appear in the log, so they stay as they are."""

    ANSWERED = "the request has its final answer, or its client is gone"
    ENDED = "the gateway has answered all that it held"
    NO_TIME = "the client's time is over"
    NOT_LISTED = "the server takes nothing new"
    WINDOW_OVER = "the key of a keyed request may be forgotten"
    EFFECT = "an attempt before may have run, and may not be repeated"
    ANOTHER_OUT = "another attempt of the request is out"
    REQUEST_OPEN = "a request on the connection is owed its answer"
    BYTES_WAITING = "bytes have come that may be a request"


UNEXPECTED_DENIALS = frozenset((Denial.EFFECT, Denial.ANOTHER_OUT))


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """The state of an attempt immediately before its first byte is written.  Times are milliseconds on one clock."""

    now: float
    deadline: float
    request_finished: bool  # the final response was sent, or the client has disconnected
    gateway_stopped: bool  # the gateway has answered every request in flight
    is_current: bool  # it is the request's latest attempt and was not aborted
    endpoint_accepts: bool  # the endpoint accepts new requests
    idempotency: Idempotency
    may_have_run_since: float | None  # start of the first attempt that the endpoint may have executed; None: no attempt
    deduplication_window_ms: float  # how long endpoints remember an idempotency key


def may_begin(facts: AttemptFacts) -> Denial | None:
    """Why the attempt must not be written now; None if it may be."""
    if facts.request_finished:
        return Denial.ANSWERED
    if facts.gateway_stopped:
        return Denial.ENDED
    if not facts.is_current:
        return Denial.ANOTHER_OUT
    if facts.now >= facts.deadline:
        return Denial.NO_TIME
    if not facts.endpoint_accepts:
        return Denial.NOT_LISTED
    if facts.may_have_run_since is not None and facts.idempotency is Idempotency.AT_MOST_ONCE:
        return Denial.EFFECT
    if (
        facts.may_have_run_since is not None
        and facts.idempotency is Idempotency.KEYED
        and facts.now >= facts.may_have_run_since + facts.deduplication_window_ms
    ):
        return Denial.WINDOW_OVER
    return None


def may_close(request_open: bool, bytes_read: bool, bytes_waiting: bool) -> Denial | None:
    """Why a client's connection must not be closed between two requests; None if it may be.

    `bytes_read`: the event loop has read bytes that are not processed yet.  `bytes_waiting`: the kernel holds unread
    bytes.  A close with unread bytes would reset the connection.
    """
    if request_open:
        return Denial.REQUEST_OPEN
    if bytes_read or bytes_waiting:
        return Denial.BYTES_WAITING
    return None
