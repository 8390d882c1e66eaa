"""A client's request on its way through the sockets: its body, its present attempt, and what came back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from martenstep.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from martenstep.proxy.client_connection import ClientConnection


class RequestBody:
    """The body of a request, buffered so that another attempt can write it again."""

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


class ClientRequest:
    """One client request on its way, as its sockets have it."""

    __slots__ = (
        "attempt",
        "attempt_task",
        "body",
        "body_reader",
        "buffered",
        "buffered_bytes",
        "client",
        "finished",
        "progress_at",
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
        """`finished` is done once the client has its response, or can get none any more."""
        self.request_id, self.client, self.body, self.finished = request_id, client, body, finished
        self.attempt = 0  # number of the present attempt
        self.attempt_task: asyncio.Task[None] | None = None  # that connects or writes for it
        self.body_reader: asyncio.Task[None] | None = None  # that reads the client's body
        self.upstream: UpstreamConnection | None = None
        self.buffered: list[bytes] = []  # of the response, not passed on yet
        self.buffered_bytes = 0
        self.response_bytes = 0  # received so far of the present attempt's response
        self.streaming = False  # the response has begun to go to the client
        self.progress_at = 0.0  # when a response that has begun last moved
        self.usage_recorded: asyncio.Future[bool] | None = None  # its usage is not recorded yet
        self.withheld_data: list[tuple[UpstreamConnection, bytes]] = []  # received of responses meanwhile

    def begin_attempt(self, number: int) -> None:
        """Forget what was received for the attempt before."""
        self.attempt = number
        self.buffered, self.buffered_bytes, self.response_bytes = [], 0, 0

    def finish(self) -> None:
        """The client has its response, or can get none any more."""
        if not self.finished.done():
            self.finished.set_result(None)
