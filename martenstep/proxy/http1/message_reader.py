"""Reads the messages of a connection one after another.

The next head is not parsed before `start_next`, so that pipelined bytes stay unread until the previous message has been
dealt with.
"""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.proxy.http1.message_body import Body, BodyUntilClose, ChunkedBody, FixedLengthBody
from martenstep.proxy.http1.message_head import (
    BAD_GATEWAY,
    BAD_REQUEST,
    END_OF_HEAD,
    HEADERS_TOO_LARGE,
    STATUSES_WITHOUT_BODY,
    ProtocolError,
    RequestHead,
    ResponseHead,
    parse_request_head,
    parse_response_head,
)

SWITCHING_PROTOCOLS = 101
MIN_FINAL_STATUS = 200


@dataclass(slots=True)
class Data:
    """A part of a message's body."""

    data: bytes


@dataclass(slots=True)
class EndOfMessage:
    """The message is complete."""


@dataclass(slots=True)
class ConnectionClosed:
    """The connection ended between two messages."""


class _MessageReader:
    """The common part of the readers of requests and of responses."""

    def __init__(self, max_head_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._data = bytearray()
        # Received bytes of a body of known length, kept without a copy; bytes that follow them are in `_data`.
        self._uncopied = b""
        self._searched = 0  # bytes of the head that have been searched for the end of the head
        self._ended = False
        self._body: Body | None = None
        self._complete = False  # the message is complete and `start_next` has not been called

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty `data` marks the end of the connection."""
        body = self._body
        if not data:
            self._ended = True
        elif isinstance(body, FixedLengthBody) and not self._data and not self._uncopied:
            if len(data) <= body.remaining:
                self._uncopied = data
            else:
                self._uncopied = data[: body.remaining]
                self._data += data[body.remaining :]
        else:
            self._data += data

    @property
    def buffered(self) -> int:
        """The number of received bytes that have not been parsed: of this message or of the following ones."""
        return len(self._data)

    def discard(self) -> None:
        """Discard the bytes that have not been parsed; no further message can be read."""
        self._data.clear()

    def start_next(self) -> None:
        """Allow the next message to be read."""
        self._complete, self._body, self._searched = False, None, 0

    def _consume_head(self) -> bytes | None:
        """Remove and return a head with its empty line; None if more bytes are needed.  Raises ProtocolError."""
        data = self._data
        if data and data[0] in b"\r\n":
            raise ProtocolError(BAD_REQUEST, "bad request")
        end = data.find(END_OF_HEAD, max(self._searched - 3, 0))
        if end < 0:
            self._check_partial_head()
            return None
        if end + len(END_OF_HEAD) > self._max_head_bytes:
            raise ProtocolError(HEADERS_TOO_LARGE, "head too large")
        raw = bytes(data[: end + len(END_OF_HEAD)])
        del data[: len(raw)]
        return raw

    def _check_partial_head(self) -> None:
        """Raise ProtocolError if an incomplete head can no longer become a valid one."""
        data, searched = self._data, self._searched
        # A line feed without a carriage return does not end a line, so the end of such a head would never be found.
        if data.find(b"\n\n", max(searched - 1, 0)) >= 0 or data.find(b"\n\r\n", max(searched - 2, 0)) >= 0:
            raise ProtocolError(BAD_REQUEST, "bad request")
        if len(data) > self._max_head_bytes:
            raise ProtocolError(HEADERS_TOO_LARGE, "head too large")
        self._searched = len(data)
        if self._ended and data:
            raise ProtocolError(BAD_REQUEST, "bad request")

    def _next_body_event(self) -> Data | EndOfMessage | None:
        body = self._body
        assert body is not None
        if self._uncopied:
            part, self._uncopied = self._uncopied, b""
            assert isinstance(body, FixedLengthBody)
            body.remaining -= len(part)
            return Data(part)
        for part in body.consume(self._data):
            return Data(part)
        if not body.complete and self._ended:
            body.connection_ended()
        if body.complete:
            self._complete = True
            return EndOfMessage()
        return None


class RequestReader(_MessageReader):
    """Reads requests on the server's side."""

    def next_event(self) -> RequestHead | Data | EndOfMessage | ConnectionClosed | None:
        """The next event; None if more bytes are needed or `start_next` must be called.

        Raises ProtocolError, after which the connection must not be read any further.
        """
        if self._complete:
            return None
        if self._body is not None:
            return self._next_body_event()
        raw = self._consume_head()
        if raw is None:
            return ConnectionClosed() if self._ended else None
        head = parse_request_head(raw)
        self._body = ChunkedBody() if head.chunked else FixedLengthBody(head.length or 0)
        return head


class ResponseReader(_MessageReader):
    """Reads responses on the client's side; `request_sent` must be called before each."""

    def __init__(self, max_head_bytes: int) -> None:
        """`max_head_bytes` limits the head of one response."""
        super().__init__(max_head_bytes)
        self._method = b""

    def request_sent(self, method: bytes) -> None:
        """Record the method of the request whose response comes next."""
        self._method = method

    def next_event(self) -> ResponseHead | Data | EndOfMessage | ConnectionClosed | None:
        """The next event, as for requests; interim responses (1xx) are skipped.  Raises ProtocolError."""
        if self._complete:
            return None
        if self._body is not None:
            return self._next_body_event()
        while True:
            raw = self._consume_head()
            if raw is None:
                return ConnectionClosed() if self._ended else None
            head = parse_response_head(raw)
            if head.status >= MIN_FINAL_STATUS:
                break
            if head.status == SWITCHING_PROTOCOLS:  # no request asks for an upgrade
                raise ProtocolError(BAD_GATEWAY, "response status 101: expected another one, no upgrade was requested")
            self._searched = 0
        self._body = self._make_body(head)
        return head

    def _make_body(self, head: ResponseHead) -> Body:
        if self._method == b"HEAD" or head.status in STATUSES_WITHOUT_BODY:
            return FixedLengthBody(0)
        if head.chunked:
            return ChunkedBody()
        return FixedLengthBody(head.length) if head.length is not None else BodyUntilClose()
