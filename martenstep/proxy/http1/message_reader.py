"""One message after another off a connection's bytes.  The next head is not looked at before `again`, so that what was
pipelined stays as it came until the message before it is done with."""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.proxy.http1.message_body import Body, Chunked, Sized, Unbounded
from martenstep.proxy.http1.message_head import (
    END_OF_HEAD,
    NO_BODY,
    AnswerHead,
    Fault,
    RequestHead,
    answer_head,
    request_head,
)


@dataclass(slots=True)
class Data:
    """Bytes of the body."""

    data: bytes


@dataclass(slots=True)
class End:
    """The message is whole."""


@dataclass(slots=True)
class Gone:
    """The connection ended between two messages."""


class _Reader:
    """What both sides share."""

    def __init__(self, head_bytes: int) -> None:
        self._bound = head_bytes
        self._data = bytearray()
        self._direct = b""  # bytes of a sized body as they came, not copied; what is behind them is in the buffer
        self._seen = 0  # of the head: looked through for its end
        self._ended = False
        self._body: Body | None = None
        self._over = False  # the message is whole, and `again` has not come

    def feed(self, data: bytes) -> None:
        """Bytes of the connection; none: its end."""
        if not data:
            self._ended = True
        elif isinstance(self._body, Sized) and not self._data and not self._direct:
            self._direct, rest = (
                (data, b"") if len(data) <= self._body.left else (data[: self._body.left], data[self._body.left :])
            )
            self._data += rest
        else:
            self._data += data

    @property
    def rest(self) -> int:
        """Bytes that wait behind the present message, or of one that has begun."""
        return len(self._data)

    def again(self) -> None:
        """The next message may be read."""
        self._over, self._body, self._seen = False, None, 0

    def _whole_head(self) -> bytes | None:
        """A head with its empty line, taken off the front; raises Fault."""
        data = self._data
        if data and data[0] in b"\r\n":
            raise Fault(400, "bad request")
        end = data.find(END_OF_HEAD, max(self._seen - 3, 0))
        if end < 0:
            # A line that ends without a carriage return ends none here, and its head would be waited for in vain.
            bare = data.find(b"\n\n", max(self._seen - 1, 0)) >= 0 or data.find(b"\n\r\n", max(self._seen - 2, 0)) >= 0
            if bare:
                raise Fault(400, "bad request")
            if len(data) > self._bound:
                raise Fault(431, "head too large")
            self._seen = len(data)
            if self._ended and data:
                raise Fault(400, "bad request")
            return None
        if end + len(END_OF_HEAD) > self._bound:
            raise Fault(431, "head too large")
        raw = bytes(data[: end + len(END_OF_HEAD)])
        del data[: len(raw)]
        return raw

    def _next_of_body(self) -> Data | End | None:
        body = self._body
        assert body is not None
        if self._direct:
            part, self._direct = self._direct, b""
            assert isinstance(body, Sized)
            body.left -= len(part)
            return Data(part)
        for part in body.take(self._data):
            return Data(part)
        if not body.whole and self._ended:
            body.end()
        if body.whole:
            self._over = True
            return End()
        return None


class RequestReader(_Reader):
    """Requests, at the side that is asked."""

    def next(self) -> RequestHead | Data | End | Gone | None:
        """What has come next; None where more bytes are needed, or `again`.  Raises Fault: nothing may follow."""
        if self._over:
            return None
        if self._body is not None:
            return self._next_of_body()
        raw = self._whole_head()
        if raw is None:
            return Gone() if self._ended else None
        head = request_head(raw)
        self._body = Chunked() if head.chunked else Sized(head.length or 0)
        return head


class AnswerReader(_Reader):
    """Answers, at the side that asked: `asked` before each."""

    def __init__(self, head_bytes: int) -> None:
        super().__init__(head_bytes)
        self._method = b""

    def asked(self, method: bytes) -> None:
        """A request of this method was written: its answer is the next."""
        self._method = method

    def next(self) -> AnswerHead | Data | End | Gone | None:
        """What has come next; provisional answers (1xx) are read past.  Raises Fault."""
        if self._over:
            return None
        if self._body is not None:
            return self._next_of_body()
        while True:
            raw = self._whole_head()
            if raw is None:
                return Gone() if self._ended else None
            head = answer_head(raw)
            if head.status >= 200:
                break
            if head.status == 101:  # to a protocol that nobody asked for
                raise Fault(502, "bad answer")
            self._seen = 0
        if self._method == b"HEAD" or head.status in NO_BODY:
            self._body = Sized(0)
        elif head.chunked:
            self._body = Chunked()
        else:
            self._body = Sized(head.length) if head.length is not None else Unbounded()
        return head
