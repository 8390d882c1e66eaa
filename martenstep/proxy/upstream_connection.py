"""One connection to an endpoint or to an authentication service."""

from __future__ import annotations

import asyncio
import select
import socket
from contextlib import suppress

from martenstep.proxy.clock import now_ms
from martenstep.proxy.http1.client_connection import Http1ClientConnection
from martenstep.proxy.http1.message_head import ProtocolError
from martenstep.proxy.transport import WatchedReader

BAD_GATEWAY = 502


class UpstreamConnection:
    """A connection that requests are written to, one at a time."""

    __slots__ = (
        "_has_delivery_timeout",
        "_poll",
        "address",
        "connected_at",
        "http",
        "idle_since",
        "reader",
        "reading_paused",
        "writer",
    )

    def __init__(self, address: tuple[str, int], reader: WatchedReader, writer: asyncio.StreamWriter) -> None:
        """Of a connection that has just been made."""
        self.address, self.reader, self.writer = address, reader, writer
        self.http = Http1ClientConnection()
        self.connected_at = now_ms()
        self.idle_since = 0.0
        self.reading_paused = False  # for a slow client
        self._has_delivery_timeout = False
        self._poll = select.poll()
        self._poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)

    @property
    def is_usable(self) -> bool:
        """Whether an idle connection may be written to: its end has not come, and no bytes that nobody asked for."""
        if self.reader.has_activity or self.writer.transport.is_closing():
            return False
        # What the loop has not read yet counts as well: a second copy of the last response, still in the kernel, would
        # be taken for the next one's.
        return not self._poll.poll(0)

    def feed(self, data: bytes) -> None:
        """Take bytes of a response in, none at the connection's end; raises ProtocolError."""
        if not data and self.reader.exception() is not None:
            # A reset is no end: what came so far of a response without a length would pass for all of it.
            raise ProtocolError(BAD_GATEWAY, "reset")
        self.http.feed(data)

    def set_delivery_timeout(self, timeout_ms: float | None) -> None:
        """Have the kernel break the connection where what is written next is not acknowledged in this time (RFC 5482).

        None: as usual.
        """
        if timeout_ms is None and not self._has_delivery_timeout:
            return
        self._has_delivery_timeout = timeout_ms is not None
        kernel_ms = max(int(timeout_ms), 1) if timeout_ms is not None else 0
        with suppress(OSError):  # it has ended already
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, kernel_ms)

    def abort(self) -> None:
        """Close at once, with a reset: what is still buffered, here or in the kernel, reaches nobody.

        The transport closes in the next turn of the loop.  Sending is ended here and now: the request's next attempt
        may be written within this turn, and two would be open.
        """
        transport = self.writer.transport
        if not transport.is_closing() and transport.can_write_eof():
            with suppress(OSError):  # the other side was sooner
                transport.write_eof()
        transport.abort()
