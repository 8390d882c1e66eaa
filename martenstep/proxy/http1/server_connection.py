"""The server's side of a connection: reads requests, and writes responses with a framing that the client supports."""

from __future__ import annotations

from martenstep.proxy.http1.message_head import STATUSES_WITHOUT_BODY, Headers, RequestHead
from martenstep.proxy.http1.message_reader import ConnectionClosed, Data, EndOfMessage, RequestReader
from martenstep.proxy.http1.message_writer import (
    LAST_CHUNK,
    REASON_PHRASES,
    InvalidMessageError,
    encode_chunk,
    encode_head,
)

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLOSE = (b"connection", b"close")
KEEP_ALIVE = (b"connection", b"keep-alive")  # HTTP/1.0 closes the connection without it
CHUNKED = (b"transfer-encoding", b"chunked")


class Http1ServerConnection:
    """The server's side of one connection, for one request at a time."""

    __slots__ = (
        "_chunked",
        "_expects_continue",
        "_has_no_body",
        "_reader",
        "_remaining",
        "_request",
        "_response_begun",
        "_response_complete",
        "closes",
        "request_complete",
    )

    def __init__(self, max_head_bytes: int) -> None:
        """`max_head_bytes` limits the head of one request."""
        self._reader = RequestReader(max_head_bytes)
        self.closes = False  # the connection closes once the response is complete
        self._start()

    def _start(self) -> None:
        self._request: RequestHead | None = None
        self._response_begun = self._response_complete = self._chunked = self._has_no_body = False
        self._expects_continue = False
        self._remaining: int | None = None  # response bytes still to be written by its length; None without one
        self.request_complete = False

    # The request --------------------------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty `data` marks the end of the connection."""
        self._reader.feed(data)

    def discard_input(self) -> None:
        """Discard the received bytes that have not been parsed."""
        self._reader.discard()

    def next_event(self) -> RequestHead | Data | EndOfMessage | ConnectionClosed | None:
        """The next event of the request; raises ProtocolError, after which only a response may be written."""
        event = self._reader.next_event()
        if isinstance(event, RequestHead):
            self._request, self._expects_continue = event, event.expects_continue
            self.closes = self.closes or not event.keep_alive
        elif isinstance(event, Data):
            self._expects_continue = False
        elif isinstance(event, EndOfMessage):
            self.request_complete = True
        return event

    @property
    def buffered(self) -> int:
        """The number of received bytes that have not been parsed."""
        return self._reader.buffered

    def continue_response(self) -> bytes:
        """The interim response 100 Continue if the client waits for it before it sends the body; else nothing."""
        wanted, self._expects_continue = self._expects_continue and not self._response_begun, False
        return CONTINUE_RESPONSE if wanted else b""

    # The response -------------------------------------------------------------------------------------------

    @property
    def can_respond(self) -> bool:
        """Whether a response may be written; one is also allowed if no valid request was received."""
        return not self._response_begun

    def encode_head(self, status: int, headers: Headers) -> bytes:
        """The bytes of the response's head; raises InvalidMessageError."""
        request = self._request
        is_http_1_0 = request is not None and request.minor_version == 0
        has_no_body = status in STATUSES_WITHOUT_BODY
        self._has_no_body = has_no_body or (request is not None and request.method == b"HEAD")
        length = next((value for name, value in headers if name == b"content-length"), None)
        added: Headers = []
        if length is not None:
            self._remaining = int(length)
        elif not has_no_body:
            if is_http_1_0:
                self.closes = True
            else:
                self._chunked = True
                added.append(CHUNKED)
        if any(name == b"connection" and value == b"close" for name, value in headers):
            self.closes = True
        elif self.closes:
            added.append(CLOSE)
        elif is_http_1_0:
            added.append(KEEP_ALIVE)
        status_line = b"HTTP/1.1 %d %b" % (status, REASON_PHRASES.get(status, b""))
        out = encode_head(status_line, headers + added if added else headers)
        self._response_begun = True
        return out

    def encode_data(self, data: bytes) -> bytes:
        """The encoding of a part of the body; nothing if the request or the status allows no body.

        Raises InvalidMessageError if the body exceeds its Content-Length.
        """
        if self._has_no_body:
            return b""
        if self._remaining is not None:
            self._remaining -= len(data)
            if self._remaining < 0:
                raise InvalidMessageError("response body is longer than its Content-Length")
        return encode_chunk(data) if self._chunked else data

    def encode_end(self) -> bytes:
        """The encoding of the end of the response.

        Raises InvalidMessageError if the body is shorter than its Content-Length, since the response must not appear
        complete.
        """
        if self._remaining and not self._has_no_body:
            raise InvalidMessageError("response body is shorter than its Content-Length")
        self._response_complete = True
        return LAST_CHUNK if self._chunked and not self._has_no_body else b""

    def start_next_request(self) -> bool:
        """Start reading the next request if one may follow on this connection; returns whether it may."""
        if not (self._response_complete and self.request_complete) or self.closes:
            return False
        self._start()
        self._reader.start_next()
        return True
