"""The connections to all endpoints: keeps idle ones by address and limits how many are open."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

from martenstep.proxy.clock import now_ms
from martenstep.proxy.transport import (
    HandshakeRejected,
    WatchedProtocol,
    WatchedReader,
    disable_nagle,
    is_tls_error,
    make_receive_buffer,
)
from martenstep.proxy.upstream_connection import UpstreamConnection

if TYPE_CHECKING:  # a gateway without TLS does not load it
    import ssl

Address = tuple[str, int]
# A second response may follow some milliseconds after the first, and would be read as the one to the next request.
REUSE_DELAY_MS = 20.0
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: a close sends a reset


class ConnectionPool:
    """Connections in use, idle, or being opened.  Each holds a slot that counts towards the limits."""

    def __init__(  # noqa: PLR0913  # limits and TLS, each a setting
        self,
        max_per_address: int,
        idle_timeout_ms: float,
        handshake_rejected: HandshakeRejected,
        tls: ssl.SSLContext | None = None,
        server_name: str = "",
        max_connections: int = 0,
        reuse_delay_ms: float = REUSE_DELAY_MS,
    ) -> None:
        """`max_connections` limits the connections to all addresses together (0: no such limit).

        A connection is not reused until `reuse_delay_ms` after its response.
        `handshake_rejected` is called when a TLS handshake fails.
        """
        self._max_per_address, self._idle_timeout_ms = max_per_address, idle_timeout_ms
        self._max_connections = max_connections
        self._handshake_rejected = handshake_rejected
        self.reuse_delay_ms = reuse_delay_ms
        self._tls, self._server_name = tls, server_name
        self._receive_buffer = make_receive_buffer()
        self._idle: dict[Address, list[UpstreamConnection]] = {}  # the most recently used one is last
        self._slots: dict[Address, int] = {}  # slots in use by address
        # Connections opened before this time are closed after their response.
        self._retired_at: dict[Address, float] = {}
        self.opened = 0  # connections opened since the start

    @property
    def connections(self) -> int:
        """Connections in use, idle or being opened."""
        return sum(self._slots.values())

    # Use ----------------------------------------------------------------------------------------------------

    def acquire_idle(self, address: Address) -> UpstreamConnection | None:
        """Take the most recently used idle connection, discarding those that have ended; None if there is none."""
        idle = self._idle.get(address, [])
        latest_idle_since = now_ms() - self.reuse_delay_ms
        for index in reversed(range(len(idle))):
            if idle[index].idle_since > latest_idle_since:
                continue
            upstream = idle.pop(index)
            if upstream.is_usable:
                return upstream
            self.discard(upstream)
        return None

    def recycle(self, upstream: UpstreamConnection) -> None:
        """Keep a connection after its response for another attempt, or discard it if it cannot be reused."""
        # Request bytes are still unsent if the endpoint responded before it had received the whole request.
        has_unsent = upstream.writer.transport.get_write_buffer_size() > 0
        is_retired = upstream.connected_at <= self._retired_at.get(upstream.address, -math.inf)
        if not upstream.http.reusable or upstream.reader.ended or has_unsent or is_retired:
            self.discard(upstream)
            return
        upstream.reader.has_activity = False
        upstream.idle_since = now_ms()
        self._idle.setdefault(upstream.address, []).append(upstream)

    def discard(self, upstream: UpstreamConnection) -> None:
        """Close a connection and release its slot."""
        upstream.abort()
        self.release_slot(upstream.address)

    # Slots --------------------------------------------------------------------------------------------------

    def reserve_slot(self, address: Address) -> bool:
        """Take a slot for a new connection; False if a limit is reached."""
        if self._slots.get(address, 0) >= self._max_per_address:
            idle = self._idle.get(address)  # `acquire_idle` found none, so these may not be reused yet
            if not idle:
                return False
            self.discard(idle.pop(0))
        elif self._max_connections and self.connections >= self._max_connections and not self._discard_longest_idle():
            return False
        self._slots[address] = self._slots.get(address, 0) + 1
        return True

    def _discard_longest_idle(self) -> bool:
        """Discard the connection that has been idle for longest; False if every connection is in use."""
        oldest = (idle[0] for idle in self._idle.values() if idle)
        found = min(oldest, key=lambda upstream: upstream.idle_since, default=None)
        if found is None:
            return False
        self._idle[found.address].remove(found)
        self.discard(found)
        return True

    def release_slot(self, address: Address) -> None:
        """Return a slot."""
        remaining = self._slots.get(address, 1) - 1
        if remaining > 0:
            self._slots[address] = remaining
        else:
            self._slots.pop(address, None)
            self._idle.pop(address, None)
            self._retired_at.pop(address, None)

    async def connect(self, address: Address) -> UpstreamConnection:
        """Open a connection in a slot that was reserved.  Raises OSError after it has released the slot.

        From the start every close of the connection sends a reset, also the kernel's close when the process is killed.
        After a plain close the kernel goes on delivering an aborted request, for minutes if the network loses packets:
        after the request's final response, and while its next attempt is open.
        """
        loop = asyncio.get_running_loop()
        reader = WatchedReader()
        try:
            transport, protocol = await loop.create_connection(
                lambda: WatchedProtocol(reader, self._receive_buffer),
                *address,
                ssl=self._tls,
                server_hostname=(self._server_name or None) if self._tls else None,
            )
        except BaseException as error:
            self.release_slot(address)
            if is_tls_error(error):
                reason = getattr(error, "verify_message", "") or str(getattr(error, "reason", error))
                self._handshake_rejected(f"{address[0]}:{address[1]}", reason)
            raise
        with suppress(OSError):  # the connection has ended already
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        disable_nagle(transport)
        protocol.secure = self._tls is not None
        self.opened += 1
        return UpstreamConnection(address, reader, asyncio.StreamWriter(transport, protocol, reader, loop))

    # Close --------------------------------------------------------------------------------------------------

    def retire_address(self, address: Address) -> None:
        """Close the idle connections to an address whose endpoint was removed, and those in use after their response.

        Another endpoint may be started at the same address.
        """
        if address in self._slots:
            self._retired_at[address] = now_ms()
        for upstream in self._idle.pop(address, []):
            self.discard(upstream)

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long or have ended."""
        now = now_ms()
        for address in list(self._idle):
            usable = []
            for upstream in self._idle[address]:
                if upstream.is_usable and now - upstream.idle_since < self._idle_timeout_ms:
                    usable.append(upstream)
                else:
                    self.discard(upstream)
            if usable and address in self._idle:
                self._idle[address] = usable
            else:
                self._idle.pop(address, None)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in list(self._idle.values()):
            for upstream in list(idle):
                self.discard(upstream)
        self._idle.clear()
