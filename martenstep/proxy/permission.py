"""The one place that says whether an attempt may be begun now, and whether a connection may be closed now.  No I/O.

The decision module has chosen the server and the driver has made the connection by then, and time has passed: what was
allowed when it was decided need not be when the first byte is written.  The driver asks here at that moment, and does
nothing that is denied; each denial is counted by its reason and told in the log.  A denial that no crossing of events
explains (`UNEXPECTED`) is a fault of the program's own: the soak holds their count to zero.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martenstep.policy.messages import Idempotency


class Denial(Enum):
    """Why something may not be done now."""

    ANSWERED = "the request has its final answer, or its client is gone"
    ENDED = "the gateway has answered all that it held"
    NO_TIME = "the client's time is over"
    NOT_LISTED = "the server takes nothing new"
    WINDOW_OVER = "the key of a keyed request may be forgotten"
    EFFECT = "an attempt before may have run, and may not be repeated"
    ANOTHER_OUT = "another attempt of the request is out"
    REQUEST_OPEN = "a request on the connection is owed its answer"
    BYTES_WAITING = "bytes have come that may be a request"


UNEXPECTED = frozenset((Denial.EFFECT, Denial.ANOTHER_OUT))


@dataclass(frozen=True, slots=True)
class AttemptFacts:
    """What is known of an attempt at the moment of its first byte.  Times are milliseconds on one clock."""

    now: float
    deadline: float
    request_finished: bool  # the request has its final answer, or its client is gone
    gateway_stopped: bool  # the gateway has answered all that it held
    is_current: bool  # it is the request's last attempt, and was not given up
    endpoint_accepts: bool  # as one that takes requests
    idempotency: Idempotency
    may_have_run_since: float | None  # when the first attempt was sent that may have run; none: there is none
    deduplication_window_ms: float  # of the key


def may_begin(facts: AttemptFacts) -> Denial | None:
    """Why an attempt may not be begun now; none where it may."""
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
    """Why a client's connection may not be closed between two requests; none where it may.

    `bytes_read` by the loop and looked at by nobody; `bytes_waiting` in the kernel: a close over them resets the
    connection."""
    if request_open:
        return Denial.REQUEST_OPEN
    if bytes_read or bytes_waiting:
        return Denial.BYTES_WAITING
    return None
