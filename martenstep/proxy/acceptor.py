"""Accepts clients' connections, within their limit, and closes those that stay idle."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import TYPE_CHECKING

from martenstep.proxy.client_connection import UNAVAILABLE, ClientConnection
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.listener import BACKLOG, Listener
from martenstep.proxy.loop_lag import LoopClock
from martenstep.proxy.permission import may_close
from martenstep.proxy.server_state import ServerState
from martenstep.proxy.transport import (
    ClientProtocol,
    TlsHandshakeProtocol,
    WatchedProtocol,
    WatchedReader,
    is_ready,
)

if TYPE_CHECKING:  # loaded where the settings name certificates
    from martenstep.config.tls import ServerContext

# A new connection is not closed to make room: its first request may be on its way, and would be lost.
MIN_AGE_TO_CLOSE_MS = 300.0
MAX_REJECTING = 8  # connections beyond the limit that are answered at once: each holds a descriptor


class Acceptor:
    """The clients' connections of a server."""

    def __init__(self, state: ServerState, tls: ServerContext | None, clock: LoopClock) -> None:
        """`clock` tells when what the event loop finds ready came at the earliest."""
        self._state, self._tls, self._clock = state, tls, clock
        self.listener: Listener | None = None
        self._rejecting: set[asyncio.Task[None]] = set()

    def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> int:
        """Bind, or take a socket that is bound already, and accept; returns the port.  Raises OSError."""
        limits = self._state.listener
        if sock is None:
            family = socket.AF_INET6 if ":" in limits.host else socket.AF_INET
            address = (limits.host, limits.port)
            sock = socket.create_server(address, family=family, reuse_port=reuse_port, backlog=BACKLOG)
        self.listener = Listener(sock, self._make_protocol, self._accept_failed, self._clock)
        return self.listener.port

    async def close(self, timeout_ms: float) -> None:
        """Accept the connections that wait, for a bounded time, and then none."""
        if self.listener is not None:
            await self.listener.close(timeout_ms / MS_PER_S)

    # Connections --------------------------------------------------------------------------------------------

    def _make_protocol(self, connected_since: float) -> asyncio.Protocol:
        """The protocol of an accepted connection, which was made at the earliest at `connected_since`."""
        reader = WatchedReader(self._clock)
        reader.connect_times = connected_since, self._clock.looked_ms
        protocol = ClientProtocol(reader, self._connected)
        if self._tls is None:
            return protocol
        timeout_s = self._state.listener.head_ms / MS_PER_S
        return TlsHandshakeProtocol(protocol, self._tls.context, timeout_s, self._handshake_failed)

    def _accept_failed(self, error: OSError) -> None:
        self._state.counts["accepts_failed"] += 1
        self._state.log_event("accept failed", {"error": str(error)})

    def _handshake_failed(self, client_address: str, reason: str) -> None:
        self._state.counts["handshakes_refused"] += 1
        self._state.log_event("handshake failed", {"peer": client_address, "reason": reason})

    def _connected(self, reader: WatchedReader, writer: asyncio.StreamWriter, protocol: WatchedProtocol) -> None:
        state = self._state
        client = ClientConnection(state, reader, writer, protocol)
        at_limit = len(state.clients) >= state.listener.max_connections
        if state.stopping or (at_limit and not self.free_slot()):
            self._reject(client)
            return
        state.clients.add(client)
        state.new_clients[client] = None
        task = state.loop.create_task(client.run())
        task.add_done_callback(lambda done: self._disconnected(client, done))

    def _reject(self, client: ClientConnection) -> None:
        self._state.counts["connections_turned_away"] += 1
        if len(self._rejecting) >= MAX_REJECTING:
            client.send_local_reply(UNAVAILABLE, "full house")
            client.writer.close()
            return
        task = self._state.loop.create_task(client.reject())
        self._rejecting.add(task)
        task.add_done_callback(self._rejecting.discard)

    def _disconnected(self, client: ClientConnection, task: asyncio.Task[None]) -> None:
        self._forget(client)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._state.log_task_failure("client", error)
            client.abort()

    def _forget(self, client: ClientConnection) -> None:
        self._state.clients.discard(client)
        self._state.new_clients.pop(client, None)
        self._state.idle_clients.pop(client, None)

    # Limit ---------------------------------------------------------------------------------------------------

    def free_slot(self) -> bool:
        """Close a connection without a request.

        The oldest that never had one which could be accepted, else the one that has been idle for longest.  Whoever
        opens hundreds, and says nothing or asks once and stays, must not keep out those who ask.  False where a request
        is open on every one.
        """
        state = self._state
        min_waiting_since = now_ms() - MIN_AGE_TO_CLOSE_MS
        for client in [*state.new_clients, *state.idle_clients]:
            if client in state.new_clients and (
                client.request is not None or client.waiting_since >= min_waiting_since
            ):
                continue
            if not self._may_close(client):
                continue
            # It has its response, is silent, or has been at half a request all this time.
            client.closing = True
            client.writer.close()
            state.counts["connections_closed_for_room"] += 1
            self._forget(client)
            return True
        return False

    @staticmethod
    def _may_close(client: ClientConnection) -> bool:
        """Whether no bytes have come of which it would be said that the gateway lost them."""
        bytes_read, bytes_waiting = bool(client.reader.buffered), is_ready(client.writer, select.POLLIN)
        return client.lingering or may_close(False, bytes_read, bytes_waiting) is None

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle, or at one request, for too long."""
        limits = self._state.listener
        for client in list(self._state.clients):
            if client.request is not None or client.closing:
                continue
            waited_ms = now - client.waiting_since
            if client.has_partial_request and waited_ms > limits.head_ms:
                client.time_out_request()
            elif not client.has_partial_request and waited_ms > limits.idle_ms:
                client.close_idle()
