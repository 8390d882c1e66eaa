"""What each way an attempt can end proves of its execution.

| how it ended | result | proves that it was never executed, because |
| --- | --- | --- |
| no connection was made, or none may be | CONNECT_FAILED | nothing was written to a socket |
| the connection ended before a write | CONNECT_FAILED | nothing was written to a socket |
| the endpoint's rejection (status and header) | OVERLOADED | the endpoint says so |
| closed after a write, response not complete | RESET | no: what was written may have been read |
| an error status | ERROR | no |
| not HTTP, or a response that stood still | ERROR, RESET | no |
| timeout, nothing written yet | CONNECT_FAILED | nothing was written to a socket |
| timeout after a write | TIMEOUT | no |
| cancelled, nothing written yet | CONNECT_FAILED | nothing was written to a socket |
| cancelled after a write | CANCELLED | no |

A kept-alive connection that the endpoint closed is found before the write wherever its end has already come; a write
that crosses the close on the wire is RESET, since the bytes may have been read before it.
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


def classify_failure(failure: AttemptFailure) -> CallResult:
    """The result of an attempt without a complete response."""
    return RESULT_BY_FAILURE[failure]


def classify_stop(result: CallResult, written: bool) -> CallResult:
    """The result of an attempt that the gateway itself stopped: `result` where it was written."""
    return result if written else CallResult.CONNECT_FAILED


class StatusTable:
    """What the status of a response means.

    A rejection is a status together with a header, so that a response of some part between, with the same status,
    proves nothing.
    """

    __slots__ = ("_error_statuses", "_rejection_header", "_rejection_status")

    def __init__(self, rejection_status: int, rejection_header: str, error_statuses: frozenset[int]) -> None:
        """The header's name in any case."""
        self._rejection_status, self._error_statuses = rejection_status, error_statuses
        self._rejection_header = rejection_header.lower().encode()

    def classify(self, status: int, headers: Headers) -> CallResult:
        """OVERLOADED, ERROR or OK."""
        if status == self._rejection_status and any(name == self._rejection_header for name, _ in headers):
            return CallResult.OVERLOADED
        return CallResult.ERROR if status in self._error_statuses else CallResult.OK
