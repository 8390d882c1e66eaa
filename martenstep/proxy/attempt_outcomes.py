"""What each way an attempt can end proves: the written table that rule 2 rests on.

| how it ended | verdict | proves that it never ran, because |
| --- | --- | --- |
| no connection was made, or none may be | CONNECT_FAILED | nothing was written to a socket |
| the connection ended before a write | CONNECT_FAILED | nothing was written to a socket |
| the back end's refusal (status and header) | FULL | the back end says so |
| closed after a write, answer not whole | RESET | no: what was written may have been read |
| an error status | ERROR | no |
| not HTTP, or an answer that stood still | ERROR, RESET | no |
| time-out, nothing written yet | CONNECT_FAILED | nothing was written to a socket |
| time-out after a write | TIMEOUT | no |
| called off, nothing written yet | CONNECT_FAILED | nothing was written to a socket |
| called off after a write | CANCELLED | no |

A kept-alive connection that the server closed is found before the write wherever its end has already come; a
write that crosses the close on the wire is RESET, since the bytes may have been read before it.
"""

from __future__ import annotations

from martenstep.policy.messages import CallResult
from martenstep.proxy.engine_messages import AttemptFailure, Headers

RESULT_BY_FAILURE = {
    AttemptFailure.NOT_CONNECTED: CallResult.CONNECT_FAILED,
    AttemptFailure.CONNECTION_LIMIT: CallResult.CONNECT_FAILED,
    AttemptFailure.NOT_WRITTEN: CallResult.CONNECT_FAILED,
    AttemptFailure.CLOSED: CallResult.RESET,
    AttemptFailure.MALFORMED_RESPONSE: CallResult.ERROR,
    AttemptFailure.STALLED: CallResult.RESET,
}


def classify_failure(how: AttemptFailure) -> CallResult:
    """The verdict on an attempt without a whole answer."""
    return RESULT_BY_FAILURE[how]


def classify_stop(wanted: CallResult, written: bool) -> CallResult:
    """The verdict on an attempt that the door itself stopped: time-out, or called off."""
    return wanted if written else CallResult.CONNECT_FAILED


class StatusTable:
    """What the status of an answer means; the refusal is a status together with a header, so that an answer of
    some other part between, with the same status, proves nothing."""

    __slots__ = ("_errors", "_header", "_refusal")

    def __init__(self, refusal: int, header: str, errors: frozenset[int]) -> None:
        self._refusal, self._header, self._errors = refusal, header.lower().encode(), errors

    def classify(self, status: int, headers: Headers) -> CallResult:
        """FULL, ERROR or OK."""
        if status == self._refusal and any(name == self._header for name, _ in headers):
            return CallResult.OVERLOADED
        return CallResult.ERROR if status in self._errors else CallResult.OK
