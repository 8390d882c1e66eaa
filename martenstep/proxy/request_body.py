"""The body of a client's request, buffered so that another attempt can write it again."""

from __future__ import annotations

import asyncio


class RequestBody:
    """What is buffered of a request's body, and how much of it the present attempt has written."""

    __slots__ = ("_max_buffered", "buffer", "changed", "complete", "discarded", "length", "may_read", "size", "written")

    def __init__(self, max_buffered: int, length: int | None) -> None:
        """At most `max_buffered` bytes are read ahead and kept; `length` as the head states it, None: chunked."""
        self._max_buffered = max(max_buffered, 1)
        self.length = length
        self.buffer = bytearray()
        self.discarded = 0  # bytes before those in the buffer
        self.size = 0  # bytes read so far
        self.written = 0  # bytes that the present attempt has written
        self.complete = False
        self.changed = asyncio.Event()  # more has come, or the end
        self.may_read = asyncio.Event()
        self.may_read.set()

    def append(self, data: bytes) -> None:
        """Add bytes from the client."""
        self.buffer += data
        self.size += len(data)
        self.changed.set()
        if self.size - self.discarded > self._max_buffered:
            self.may_read.clear()

    def finish(self) -> None:
        """The last byte has come."""
        self.complete = True
        self.changed.set()

    def take_unwritten(self) -> bytes:
        """What the present attempt has not written yet, which then counts as written."""
        data = bytes(self.buffer[self.written - self.discarded :])
        self.written = self.size
        return data

    def trim(self) -> bool:
        """Discard what has been written, where more must be read than is kept; True the first time."""
        if self.may_read.is_set():
            return False
        is_first = self.discarded == 0
        del self.buffer[: self.written - self.discarded]
        self.discarded = self.written
        if self.size - self.discarded <= self._max_buffered:
            self.may_read.set()
        return is_first

    def rewind(self) -> None:
        """Another attempt begins at the start."""
        self.written = self.discarded
