"""The client's side of one connection: requests written, responses read, and whether another request may follow."""

from __future__ import annotations

from martenstep.proxy.http1.message_head import Headers, ResponseHead
from martenstep.proxy.http1.message_reader import ConnectionClosed, Data, EndOfMessage, ResponseReader
from martenstep.proxy.http1.message_writer import LAST_CHUNK, InvalidMessageError, encode_chunk, encode_head

MAX_HEAD_BYTES = 65_536  # of a response's head: an endpoint's cookies and policies may be long
CHUNKED = (b"transfer-encoding", b"chunked")


class Http1ClientConnection:
    """The requests of one connection, one at a time."""

    __slots__ = ("_chunked", "_keep_alive", "_reader", "_response_complete", "request_complete")

    def __init__(self) -> None:
        """No request has been written."""
        self._reader = ResponseReader(MAX_HEAD_BYTES)
        self._chunked = False
        self._keep_alive = True
        self._response_complete = True  # of the last request,
        self.request_complete = True  # which has been written to its end

    def encode_head(self, method: bytes, target: bytes, headers: Headers) -> bytes:
        """A request's head; raises InvalidMessageError."""
        out = encode_head(b"%b %b HTTP/1.1" % (method, target), headers)
        if b" " in target:
            raise InvalidMessageError("a target with a space in it")
        if sum(name == b"host" for name, _ in headers) != 1:
            raise InvalidMessageError("not one host")
        self._chunked = CHUNKED in headers
        self._reader.start_next()
        self._reader.request_sent(method)
        self._response_complete = self.request_complete = False
        return out

    def encode_data(self, data: bytes) -> bytes:
        """Bytes of its body."""
        return encode_chunk(data) if self._chunked else data

    def encode_end(self) -> bytes:
        """The end of the request."""
        self.request_complete = True
        return LAST_CHUNK if self._chunked else b""

    def feed(self, data: bytes) -> None:
        """Bytes that have come; none: the connection's end."""
        self._reader.feed(data)

    def next_event(self) -> ResponseHead | Data | EndOfMessage | ConnectionClosed | None:
        """What has come of the response; raises ProtocolError."""
        event = self._reader.next_event()
        if isinstance(event, ResponseHead):
            self._keep_alive = event.keep_alive
        elif isinstance(event, EndOfMessage):
            self._response_complete = True
        return event

    @property
    def reusable(self) -> bool:
        """Whether another request may be written.

        The last one and its response are complete, nothing stands behind it, which would be taken for the next one's
        response, and the endpoint has not said that it closes.
        """
        return self.request_complete and self._response_complete and self._keep_alive and not self._reader.buffered
