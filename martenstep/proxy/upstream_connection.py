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
    """A connection to which requests are written one at a time."""

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
        """Wrap a connection that was just opened."""
        self.address, self.reader, self.writer = address, reader, writer
        self.http = Http1ClientConnection()
        self.connected_at = now_ms()
        self.idle_since = 0.0
        self.reading_paused = False  # because the client reads too slowly
        self._has_delivery_timeout = False
        self._poll = select.poll()
        self._poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)

    @property
    def is_usable(self) -> bool:
        """Whether an idle connection can be written to: it has not ended, and no unsolicited bytes were received."""
        if self.reader.has_activity or self.writer.transport.is_closing():
            return False
        # Bytes that the event loop has not read yet count as well: a second copy of the last response, still in the
        # kernel, would be read as the next response.
        return not self._poll.poll(0)

    def feed(self, data: bytes) -> None:
        """Parse bytes of a response; empty bytes mean the end of the connection.  Raises ProtocolError."""
        if not data and self.reader.exception() is not None:
            # A reset does not end a response: one without a length would look complete although bytes are missing.
            raise ProtocolError(BAD_GATEWAY, "reset")
        self.http.feed(data)

    def set_delivery_timeout(self, timeout_ms: float | None) -> None:
        """Set how long written bytes may stay unacknowledged before the kernel breaks the connection (RFC 5482).

        None: the kernel's default.
        """
        if timeout_ms is None and not self._has_delivery_timeout:
            return
        self._has_delivery_timeout = timeout_ms is not None
        kernel_ms = max(int(timeout_ms), 1) if timeout_ms is not None else 0
        with suppress(OSError):  # the connection has ended already
            self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, kernel_ms)

    def abort(self) -> None:
        """Close at once, with a reset: bytes still buffered, here or in the kernel, are not delivered.

        The transport closes only in the next iteration of the event loop.  Writing is shut down immediately, because
        the request's next attempt may be written in this iteration, and two attempts would be open.
        """
        transport = self.writer.transport
        if not transport.is_closing() and transport.can_write_eof():
            with suppress(OSError):  # the other side has closed first
                transport.write_eof()
        transport.abort()
