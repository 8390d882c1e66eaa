"""The client's side of a connection: writes requests, reads responses and tells whether the connection is reusable."""

from __future__ import annotations

from martenstep.proxy.http1.message_head import Headers, ResponseHead
from martenstep.proxy.http1.message_reader import ConnectionClosed, Data, EndOfMessage, ResponseReader
from martenstep.proxy.http1.message_writer import LAST_CHUNK, InvalidMessageError, encode_chunk, encode_head

MAX_HEAD_BYTES = 65_536  # of a response: cookies and policy headers may be long
CHUNKED = (b"transfer-encoding", b"chunked")


class Http1ClientConnection:
    """The client's side of one connection, for one request at a time."""

    __slots__ = ("_chunked", "_keep_alive", "_reader", "_response_complete", "request_complete")

    def __init__(self) -> None:
        """Starts before the first request."""
        self._reader = ResponseReader(MAX_HEAD_BYTES)
        self._chunked = False
        self._keep_alive = True
        self._response_complete = True  # of the last request
        self.request_complete = True  # the last request has been written completely

    def encode_head(self, method: bytes, target: bytes, headers: Headers) -> bytes:
        """The bytes of a request's head; raises InvalidMessageError."""
        out = encode_head(b"%b %b HTTP/1.1" % (method, target), headers)
        if b" " in target:
            raise InvalidMessageError("request target contains a space")
        if sum(name == b"host" for name, _ in headers) != 1:
            raise InvalidMessageError("request must have exactly one Host header")
        self._chunked = CHUNKED in headers
        self._reader.start_next()
        self._reader.request_sent(method)
        self._response_complete = self.request_complete = False
        return out

    def encode_data(self, data: bytes) -> bytes:
        """The encoding of a part of the request's body."""
        return encode_chunk(data) if self._chunked else data

    def encode_end(self) -> bytes:
        """The encoding of the end of the request."""
        self.request_complete = True
        return LAST_CHUNK if self._chunked else b""

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty `data` marks the end of the connection."""
        self._reader.feed(data)

    def next_event(self) -> ResponseHead | Data | EndOfMessage | ConnectionClosed | None:
        """The next event of the response; None if more bytes are needed.  Raises ProtocolError."""
        event = self._reader.next_event()
        if isinstance(event, ResponseHead):
            self._keep_alive = event.keep_alive
        elif isinstance(event, EndOfMessage):
            self._response_complete = True
        return event

    @property
    def reusable(self) -> bool:
        """Whether another request may be written.

        The last request and its response must be complete, and the endpoint must not have announced that it closes the
        connection.  No bytes may follow the response, since they would be read as the response to the next request.
        """
        return self.request_complete and self._response_complete and self._keep_alive and not self._reader.buffered
