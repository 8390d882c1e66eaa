"""Bodies as their bytes come: by length, by chunks (RFC 9112 7.1), or to the connection's end."""

from __future__ import annotations

import re
from collections.abc import Iterator

from martenstep.proxy.http1.message_head import END_OF_HEAD, Fault

SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
LINE_BYTES = 1024  # of a chunk's size line: extensions are read past, not kept
TRAILER_BYTES = 8192
TRAILER = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n")
CRLF = b"\r\n"


class Sized:
    """A body of a known length."""

    __slots__ = ("left",)

    def __init__(self, length: int) -> None:
        self.left = length  # bytes that are still to come

    @property
    def whole(self) -> bool:
        """Whether its last byte has come."""
        return self.left == 0

    def take(self, data: bytearray) -> Iterator[bytes]:
        """Its bytes, taken off the front."""
        if data and self.left:
            part = bytes(data[: self.left])
            del data[: len(part)]
            self.left -= len(part)
            yield part

    def end(self) -> None:
        """The connection is at its end."""
        if self.left:
            raise Fault(400, "body broke off")


class Unbounded:
    """A body that ends with its connection."""

    __slots__ = ("whole",)

    def __init__(self) -> None:
        self.whole = False

    def take(self, data: bytearray) -> Iterator[bytes]:
        """All that is there."""
        if data:
            part = bytes(data)
            data.clear()
            yield part

    def end(self) -> None:
        """The connection is at its end, and so is the body."""
        self.whole = True


class Chunked:
    """A body in chunks; its trailers are read past."""

    __slots__ = ("_left", "_state", "whole")

    def __init__(self) -> None:
        self._left = 0
        self._state = "size"
        self.whole = False

    def take(self, data: bytearray) -> Iterator[bytes]:
        """What the chunks hold, taken off the front; raises Fault."""
        at = 0  # behind what is done with: deleted once, since each deletion moves the rest
        try:
            while not self.whole:
                if self._state == "data":
                    part = bytes(data[at : at + self._left])
                    if not part:
                        return
                    at, self._left = at + len(part), self._left - len(part)
                    self._state = "data" if self._left else "line end"
                    yield part
                elif self._state == "line end":
                    if len(data) - at < len(CRLF):
                        if len(data) > at and data[at] != CRLF[0]:
                            raise Fault(400, "bad body")
                        return
                    if data[at : at + 2] != CRLF:
                        raise Fault(400, "bad body")
                    at, self._state = at + 2, "size"
                elif self._state == "size":
                    end = data.find(CRLF, at)
                    if end < 0 or end - at > LINE_BYTES:
                        if len(data) - at > LINE_BYTES or data.find(b"\n", at) >= 0:
                            raise Fault(400, "bad body")
                        return
                    found = SIZE_LINE.fullmatch(data, at, end)
                    if found is None:
                        raise Fault(400, "bad body")
                    at, self._left = end + 2, int(found[1], 16)
                    self._state = "data" if self._left else "trailer"
                else:
                    none = data[at : at + 2] == CRLF
                    found_at = at if none else data.find(END_OF_HEAD, at)
                    if found_at < 0:
                        if len(data) - at > TRAILER_BYTES:
                            raise Fault(431, "head too large")
                        return
                    end = found_at + (len(CRLF) if none else len(END_OF_HEAD))
                    if TRAILER.fullmatch(data, at, end) is None:
                        raise Fault(400, "bad body")
                    at, self.whole = end, True
        finally:
            del data[:at]

    def end(self) -> None:
        """The connection is at its end."""
        if not self.whole:
            raise Fault(400, "body broke off")


Body = Sized | Unbounded | Chunked
