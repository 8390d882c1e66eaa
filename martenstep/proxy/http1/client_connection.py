"""One connection's asking side: requests written, answers read, and whether another request may follow."""

from __future__ import annotations

from martenstep.proxy.http1.message_head import AnswerHead, Headers
from martenstep.proxy.http1.message_reader import AnswerReader, Data, End, Gone
from martenstep.proxy.http1.message_writer import LAST_CHUNK, UnwritableError, chunk, head_of

HEAD_BYTES = 65_536  # of an answer's head: a server's cookies and policies may be long


class Asking:
    """The requests of one connection, one at a time."""

    __slots__ = ("_chunked", "_keep", "_reader", "_whole", "written")

    def __init__(self) -> None:
        self._reader = AnswerReader(HEAD_BYTES)
        self._chunked = False
        self._keep = True
        self._whole = True  # the last answer has come
        self.written = True  # and its request is written to its end

    def head(self, method: bytes, target: bytes, headers: Headers) -> bytes:
        """A request's head; raises UnwritableError."""
        out = head_of(b"%b %b HTTP/1.1" % (method, target), headers)
        if b" " in target:
            raise UnwritableError("a target with a space in it")
        if sum(name == b"host" for name, _ in headers) != 1:
            raise UnwritableError("not one host")
        self._chunked = (b"transfer-encoding", b"chunked") in headers
        self._reader.again()
        self._reader.asked(method)
        self._whole = self.written = False
        return out

    def data(self, part: bytes) -> bytes:
        """Bytes of its body."""
        return chunk(part) if self._chunked else part

    def end(self) -> bytes:
        """The request is whole."""
        self.written = True
        return LAST_CHUNK if self._chunked else b""

    def feed(self, data: bytes) -> None:
        """Bytes that have come; none: the connection's end."""
        self._reader.feed(data)

    def next(self) -> AnswerHead | Data | End | Gone | None:
        """What has come of the answer; raises Fault."""
        event = self._reader.next()
        if isinstance(event, AnswerHead):
            self._keep = event.keep
        elif isinstance(event, End):
            self._whole = True
        return event

    @property
    def reusable(self) -> bool:
        """Whether another request may be written: the last one and its answer are whole, nothing stands behind it,
        which would be taken for the next one's answer, and the server has not said that it closes."""
        return self.written and self._whole and self._keep and not self._reader.rest
