"""Bodies as their bytes come: by length, by chunks (RFC 9112 7.1), or to the connection's end."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum, auto

from martenstep.proxy.http1.message_head import END_OF_HEAD, ProtocolError

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
MAX_CHUNK_LINE_BYTES = 1024  # extensions are read past, not kept
MAX_TRAILER_BYTES = 8192
TRAILER = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n")
CRLF = b"\r\n"
BAD_REQUEST, HEADERS_TOO_LARGE = 400, 431


class FixedLengthBody:
    """A body of a known length."""

    __slots__ = ("remaining",)

    def __init__(self, length: int) -> None:
        """`length` in bytes."""
        self.remaining = length  # bytes that are still to come

    @property
    def complete(self) -> bool:
        """Whether its last byte has come."""
        return self.remaining == 0

    def take(self, data: bytearray) -> Iterator[bytes]:
        """Its bytes, taken off the front of `data`."""
        if data and self.remaining:
            part = bytes(data[: self.remaining])
            del data[: len(part)]
            self.remaining -= len(part)
            yield part

    def end(self) -> None:
        """The connection is at its end; raises ProtocolError where the body is not complete."""
        if self.remaining:
            raise ProtocolError(BAD_REQUEST, "body broke off")


class BodyUntilClose:
    """A body that ends with its connection."""

    __slots__ = ("complete",)

    def __init__(self) -> None:
        """Of a length that nobody knows."""
        self.complete = False

    def take(self, data: bytearray) -> Iterator[bytes]:
        """All bytes, taken off the front of `data`."""
        if data:
            part = bytes(data)
            data.clear()
            yield part

    def end(self) -> None:
        """The connection is at its end, and so is the body."""
        self.complete = True


class _ChunkState(Enum):
    """What comes next of a chunked body."""

    SIZE = auto()
    DATA = auto()
    LINE_END = auto()
    TRAILER = auto()


class ChunkedBody:
    """A body in chunks; its trailers are read past."""

    __slots__ = ("_remaining", "_state", "complete")

    def __init__(self) -> None:
        """Starts before the first chunk."""
        self._remaining = 0  # bytes of the present chunk
        self._state = _ChunkState.SIZE
        self.complete = False

    def take(self, data: bytearray) -> Iterator[bytes]:
        """What the chunks hold, taken off the front of `data`; raises ProtocolError."""
        position = 0  # behind what is done with: deleted once, since each deletion moves the rest
        try:
            while not self.complete:
                if self._state is _ChunkState.DATA:
                    part = bytes(data[position : position + self._remaining])
                    if not part:
                        return
                    position += len(part)
                    self._remaining -= len(part)
                    if not self._remaining:
                        self._state = _ChunkState.LINE_END
                    yield part
                    continue
                next_position = self._read_framing(data, position)
                if next_position is None:
                    return
                position = next_position
        finally:
            del data[:position]

    def _read_framing(self, data: bytearray, position: int) -> int | None:
        """Read what stands between chunks; returns the position behind it, None where more bytes must come."""
        if self._state is _ChunkState.LINE_END:
            return self._read_line_end(data, position)
        if self._state is _ChunkState.SIZE:
            return self._read_size(data, position)
        return self._read_trailer(data, position)

    def _read_line_end(self, data: bytearray, position: int) -> int | None:
        if len(data) - position < len(CRLF):
            if len(data) > position and data[position] != CRLF[0]:
                raise ProtocolError(BAD_REQUEST, "bad body")
            return None
        end = position + len(CRLF)
        if data[position:end] != CRLF:
            raise ProtocolError(BAD_REQUEST, "bad body")
        self._state = _ChunkState.SIZE
        return end

    def _read_size(self, data: bytearray, position: int) -> int | None:
        line_end = data.find(CRLF, position)
        if line_end < 0 or line_end - position > MAX_CHUNK_LINE_BYTES:
            if len(data) - position > MAX_CHUNK_LINE_BYTES or data.find(b"\n", position) >= 0:
                raise ProtocolError(BAD_REQUEST, "bad body")
            return None
        match = CHUNK_SIZE_LINE.fullmatch(data, position, line_end)
        if match is None:
            raise ProtocolError(BAD_REQUEST, "bad body")
        self._remaining = int(match[1], 16)
        self._state = _ChunkState.DATA if self._remaining else _ChunkState.TRAILER
        return line_end + len(CRLF)

    def _read_trailer(self, data: bytearray, position: int) -> int | None:
        is_empty = data[position : position + len(CRLF)] == CRLF
        found = position if is_empty else data.find(END_OF_HEAD, position)
        if found < 0:
            if len(data) - position > MAX_TRAILER_BYTES:
                raise ProtocolError(HEADERS_TOO_LARGE, "head too large")
            return None
        end = found + len(CRLF if is_empty else END_OF_HEAD)
        if TRAILER.fullmatch(data, position, end) is None:
            raise ProtocolError(BAD_REQUEST, "bad body")
        self.complete = True
        return end

    def end(self) -> None:
        """The connection is at its end; raises ProtocolError where the body is not complete."""
        if not self.complete:
            raise ProtocolError(BAD_REQUEST, "body broke off")


Body = FixedLengthBody | BodyUntilClose | ChunkedBody
