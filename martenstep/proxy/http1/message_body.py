"""Incremental readers of bodies: by length, by chunks (RFC 9112 7.1), or up to the end of the connection."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum, auto

from martenstep.proxy.http1.message_head import END_OF_HEAD, HEADERS_TOO_LARGE, ProtocolError

CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
MAX_CHUNK_LINE_BYTES = 1024  # with chunk extensions, which are discarded
MAX_TRAILER_BYTES = 8192
TRAILER = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n")
CRLF = b"\r\n"
BAD_REQUEST = 400


class FixedLengthBody:
    """A body of a known length."""

    __slots__ = ("remaining",)

    def __init__(self, length: int) -> None:
        """`length` in bytes."""
        self.remaining = length  # bytes not yet received

    @property
    def complete(self) -> bool:
        """Whether the last byte has been received."""
        return self.remaining == 0

    def consume(self, data: bytearray) -> Iterator[bytes]:
        """Yield the bytes of the body, and remove them from the front of `data`."""
        if data and self.remaining:
            part = bytes(data[: self.remaining])
            del data[: len(part)]
            self.remaining -= len(part)
            yield part

    def connection_ended(self) -> None:
        """The connection has ended; raises ProtocolError if the body is incomplete."""
        if self.remaining:
            raise ProtocolError(BAD_REQUEST, "body broke off")


class BodyUntilClose:
    """A body that ends with the connection."""

    __slots__ = ("complete",)

    def __init__(self) -> None:
        """Starts with an unknown length."""
        self.complete = False

    def consume(self, data: bytearray) -> Iterator[bytes]:
        """Yield all bytes of `data`, and clear it."""
        if data:
            part = bytes(data)
            data.clear()
            yield part

    def connection_ended(self) -> None:
        """The connection has ended, which completes the body."""
        self.complete = True


class _ChunkState(Enum):
    """Which part of a chunked body is expected next."""

    SIZE = auto()
    DATA = auto()
    LINE_END = auto()
    TRAILER = auto()


class ChunkedBody:
    """A chunked body; trailers are discarded."""

    __slots__ = ("_remaining", "_state", "complete")

    def __init__(self) -> None:
        """Starts before the first chunk."""
        self._remaining = 0  # bytes of the current chunk that are not yet received
        self._state = _ChunkState.SIZE
        self.complete = False

    def consume(self, data: bytearray) -> Iterator[bytes]:
        """Yield the content of chunks, and remove what was read from the front of `data`; raises ProtocolError."""
        position = 0  # end of what was read; it is deleted once, since each deletion moves the remaining bytes
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
        """Read the framing between chunks; returns the position after it, or None if more bytes are needed."""
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

    def connection_ended(self) -> None:
        """The connection has ended; raises ProtocolError if the body is incomplete."""
        if not self.complete:
            raise ProtocolError(BAD_REQUEST, "body broke off")


Body = FixedLengthBody | BodyUntilClose | ChunkedBody
