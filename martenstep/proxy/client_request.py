"""The socket side of a client's request: its body, its current attempt, and the response received so far."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from martenstep.proxy.http1.message_head import RequestHead
from martenstep.proxy.http1.message_reader import ConnectionClosed, Data, EndOfMessage
from martenstep.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from martenstep.proxy.client_connection import ClientConnection


class RequestBody:
    """The body of a request, buffered so that another attempt can write it again."""

    __slots__ = ("_max_buffered", "buffer", "changed", "complete", "discarded", "length", "may_read", "size", "written")

    def __init__(self, max_buffered: int, length: int | None) -> None:
        """Buffer at most `max_buffered` bytes.  `length` is the Content-Length; None: the body is chunked."""
        self._max_buffered = max(max_buffered, 1)
        self.length = length
        self.buffer = bytearray()
        self.discarded = 0  # bytes discarded from the front of the buffer
        self.size = 0  # bytes read so far
        self.written = 0  # bytes that the current attempt has written, counted from the start of the body
        self.complete = False
        self.changed = asyncio.Event()  # set when more bytes or the end of the body were received
        self.may_read = asyncio.Event()
        self.may_read.set()

    def add(self, event: RequestHead | Data | EndOfMessage | ConnectionClosed) -> None:
        """Add what was received next of the message."""
        if isinstance(event, Data):
            self.append(event.data)
        elif isinstance(event, EndOfMessage):
            self.finish()

    def append(self, data: bytes) -> None:
        """Add bytes from the client."""
        self.buffer += data
        self.size += len(data)
        self.changed.set()
        if self.size - self.discarded > self._max_buffered:
            self.may_read.clear()

    def finish(self) -> None:
        """Record that the last byte was received."""
        self.complete = True
        self.changed.set()

    def take_unwritten(self) -> bytes:
        """Return the bytes that the current attempt has not written yet, and count them as written."""
        data = bytes(self.buffer[self.written - self.discarded :])
        self.written = self.size
        return data

    def trim(self) -> bool:
        """Discard written bytes if the buffer is full; True the first time: the body can no longer be replayed."""
        if self.may_read.is_set():
            return False
        is_first = self.discarded == 0
        del self.buffer[: self.written - self.discarded]
        self.discarded = self.written
        if self.size - self.discarded <= self._max_buffered:
            self.may_read.set()
        return is_first

    def release(self) -> None:
        """Free the buffer of a request that is given up, which its reader and its attempt may still refer to."""
        self.buffer = bytearray()
        self.discarded = self.written = self.size

    def rewind(self) -> None:
        """Start again at the first byte of the buffer, for another attempt."""
        self.written = self.discarded


class ClientRequest:
    """One client request in flight."""

    __slots__ = (
        "attempt",
        "attempt_task",
        "body",
        "body_reader",
        "buffered_bytes",
        "buffered_data",
        "client",
        "finished",
        "last_progress_at",
        "request_id",
        "response_bytes",
        "streaming",
        "upstream",
        "usage_recorded",
        "withheld_data",
    )

    def __init__(
        self, request_id: int, client: ClientConnection, body: RequestBody | None, finished: asyncio.Future[None]
    ) -> None:
        """`finished` is done once the client was sent its response or can no longer receive one."""
        self.request_id, self.client, self.body, self.finished = request_id, client, body, finished
        self.attempt = 0  # number of the current attempt
        self.attempt_task: asyncio.Task[None] | None = None  # connects, or writes the body, for the current attempt
        self.body_reader: asyncio.Task[None] | None = None  # reads the body from the client
        self.upstream: UpstreamConnection | None = None
        self.buffered_data: list[bytes] = []  # parts of the response body, not sent to the client yet
        self.buffered_bytes = 0
        self.response_bytes = 0  # body bytes received so far for the current attempt
        self.streaming = False  # the start of an incomplete response was sent to the client
        self.last_progress_at = 0.0  # when bytes of a streamed response were last received, or its reading was resumed
        self.usage_recorded: asyncio.Future[bool] | None = None  # pending while the response waits for the usage record
        self.withheld_data: list[tuple[UpstreamConnection, bytes]] = []  # received while that is pending

    @property
    def response_buffer_bytes(self) -> int:
        """The bytes of the response that are held back, and those of the request not yet sent to the endpoint."""
        held = self.buffered_bytes + sum(len(data) for _, data in self.withheld_data)
        if self.upstream is not None:
            held += self.upstream.writer.transport.get_write_buffer_size()
        return held

    def begin_attempt(self, number: int) -> None:
        """Discard what was received for the previous attempt."""
        self.attempt = number
        self.buffered_data, self.buffered_bytes, self.response_bytes = [], 0, 0

    def finish(self) -> None:
        """Mark the request finished: the client was sent its response or can no longer receive one."""
        if not self.finished.done():
            self.finished.set_result(None)
