"""Whether an attempt may be begun now, and whether a connection may be closed now: the one place that says so.  No I/O.

By then the policy has chosen the endpoint and the connection has been made, and time has passed: what was allowed when
it was decided need not be when the first byte is written.  The server asks here at that moment, and does nothing that
is denied; each denial is counted by its name and logged.  A denial that no crossing of events explains (`UNEXPECTED`)
is a fault of the program's own: the soak test holds their count to zero.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martenstep.policy.messages import Idempotency


class Denial(Enum):
    """Why something may not be done now.  Operators read names and values in the log."""

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
    request_finished: bool  # the request has its final response, or its client has disconnected
    gateway_stopped: bool  # the gateway has answered all that was in flight
    is_current: bool  # it is the request's last attempt, and has not been given up
    endpoint_accepts: bool  # the endpoint accepts new requests
    idempotency: Idempotency
    may_have_run_since: float | None  # start of the first attempt that may have been executed
    deduplication_window_ms: float  # how long endpoints know an idempotency key


def may_begin(facts: AttemptFacts) -> Denial | None:
    """Why an attempt may not be begun now; None where it may."""
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
    """Why a client's connection may not be closed between two requests; None where it may.

    `bytes_read` by the loop and taken by nobody; `bytes_waiting` in the kernel: a close over them resets the
    connection.
    """
    if request_open:
        return Denial.REQUEST_OPEN
    if bytes_read or bytes_waiting:
        return Denial.BYTES_WAITING
    return None
