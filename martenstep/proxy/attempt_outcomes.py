"""Maps each way in which an attempt can end to its result, and states whether that proves non-execution.

| how it ended | result | proves that the request was never executed |
| --- | --- | --- |
| no connection was opened, or the limit forbids one | CONNECT_FAILED | yes: nothing was written to a socket |
| the connection ended before a write | CONNECT_FAILED | yes: nothing was written to a socket |
| the endpoint rejected it (status and header) | OVERLOADED | yes: the endpoint says so |
| closed after a write, response incomplete | RESET | no: the endpoint may have read the request |
| an error status | ERROR | no |
| the response is not HTTP, or it stalled | ERROR, RESET | no |
| timeout, nothing written yet | CONNECT_FAILED | yes: nothing was written to a socket |
| timeout after a write | TIMEOUT | no |
| cancelled, nothing written yet | CONNECT_FAILED | yes: nothing was written to a socket |
| cancelled after a write | CANCELLED | no |

If the endpoint has closed a kept-alive connection and the close has arrived, it is detected before the write.  A write
that crosses the close on the wire is RESET, because the endpoint may have read the bytes before it closed.
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
    """The result of an attempt that the gateway itself stopped: `result` if it was written."""
    return result if written else CallResult.CONNECT_FAILED


class StatusTable:
    """Classifies a response by its status.

    A rejection needs a status together with a header: an intermediary can send the same status, which proves nothing.
    """

    __slots__ = ("_error_statuses", "_rejection_header", "_rejection_status")

    def __init__(self, rejection_status: int, rejection_header: str, error_statuses: frozenset[int]) -> None:
        """`rejection_header` is matched case-insensitively."""
        self._rejection_status, self._error_statuses = rejection_status, error_statuses
        self._rejection_header = rejection_header.lower().encode()

    def classify(self, status: int, headers: Headers) -> CallResult:
        """OVERLOADED, ERROR or OK."""
        if status == self._rejection_status and any(name == self._rejection_header for name, _ in headers):
            return CallResult.OVERLOADED
        return CallResult.ERROR if status in self._error_statuses else CallResult.OK
