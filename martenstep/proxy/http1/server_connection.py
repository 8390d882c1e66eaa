"""One connection's answering side: requests read, answers written under the framing that the request allows."""

from __future__ import annotations

from martenstep.proxy.http1.message_head import NO_BODY, Headers, RequestHead
from martenstep.proxy.http1.message_reader import Data, End, Gone, RequestReader
from martenstep.proxy.http1.message_writer import LAST_CHUNK, PHRASES, UnwritableError, chunk, head_of

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLOSE = (b"connection", b"close")
KEEP = (b"connection", b"keep-alive")  # HTTP/1.0 takes silence for an end
CHUNKED = (b"transfer-encoding", b"chunked")


class Answering:
    """The requests of one connection, one at a time."""

    __slots__ = ("_begun", "_chunked", "_done", "_expects", "_head", "_left", "_reader", "_silent", "ends", "read")

    def __init__(self, head_bytes: int) -> None:
        self._reader = RequestReader(head_bytes)
        self.ends = False  # the connection closes once the answer is whole
        self._begin()

    def _begin(self) -> None:
        self._head: RequestHead | None = None
        self._begun = self._done = self._chunked = self._silent = self._expects = False
        self._left: int | None = None  # bytes that the answer's length still asks for; none: it has no length
        self.read = False  # the request is whole

    # The request ----------------------------------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Bytes that have come; none: the connection's end."""
        self._reader.feed(data)

    def next(self) -> RequestHead | Data | End | Gone | None:
        """What has come of the request; raises Fault, after which only an answer may follow."""
        event = self._reader.next()
        if isinstance(event, RequestHead):
            self._head, self._expects = event, event.expects
            self.ends = self.ends or not event.keep
        elif isinstance(event, Data):
            self._expects = False
        elif isinstance(event, End):
            self.read = True
        return event

    @property
    def waiting(self) -> int:
        """Bytes that have come and were not read yet."""
        return self._reader.rest

    def proceed(self) -> bytes:
        """The word that a client waits for before it sends its body, where it does."""
        wanted, self._expects = self._expects and not self._begun, False
        return CONTINUE if wanted else b""

    # The answer -----------------------------------------------------------------------------------------

    @property
    def owed(self) -> bool:
        """Whether an answer may begin: also to what was no request."""
        return not self._begun

    def head(self, status: int, headers: Headers) -> bytes:
        """The head of the answer; raises UnwritableError."""
        asked = self._head
        old = asked is not None and asked.minor == 0
        self._silent = status in NO_BODY or (asked is not None and asked.method == b"HEAD")
        length = next((value for name, value in headers if name == b"content-length"), None)
        more: Headers = []
        if length is not None:
            self._left = int(length)
        elif status not in NO_BODY:
            if old:
                self.ends = True
            else:
                self._chunked = True
                more.append(CHUNKED)
        if any(name == b"connection" and value == b"close" for name, value in headers):
            self.ends = True
        elif self.ends:
            more.append(CLOSE)
        elif old:
            more.append(KEEP)
        out = head_of(b"HTTP/1.1 %d %b" % (status, PHRASES.get(status, b"")), headers + more if more else headers)
        self._begun = True
        return out

    def data(self, part: bytes) -> bytes:
        """Bytes of its body, none where the request or the status allows none; raises UnwritableError where they are
        more than its length says."""
        if self._silent:
            return b""
        if self._left is not None:
            self._left -= len(part)
            if self._left < 0:
                raise UnwritableError("more than its length")
        return chunk(part) if self._chunked else part

    def end(self) -> bytes:
        """The answer is whole; raises UnwritableError where bytes are missing, since it must not be taken for whole."""
        if self._left and not self._silent:
            raise UnwritableError("less than its length")
        self._done = True
        return LAST_CHUNK if self._chunked and not self._silent else b""

    def again(self) -> bool:
        """Whether another request may follow: then the next one is read."""
        if not (self._done and self.read) or self.ends:
            return False
        self._begin()
        self._reader.again()
        return True
