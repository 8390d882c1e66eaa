"""Accepts client connections up to a limit, and closes those that stay idle."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import TYPE_CHECKING

from martenstep.proxy.client_connection import ClientConnection
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
    make_receive_buffer,
)

if TYPE_CHECKING:  # loaded only if the settings name certificates
    from martenstep.config.tls import ServerContext

# A newer connection is not closed to make room: its first request may still be in transit and would be lost.
MIN_AGE_TO_CLOSE_MS = 300.0
CONNECTION_BYTES = 8 << 10  # memory of a connection's objects
MIN_CONNECTIONS = 64  # accepted however little memory is left
MAX_CONCURRENT_REJECTIONS = 8  # connections over the limit that linger after the 503 response; each holds a descriptor


class Acceptor:
    """Accepts and closes the client connections of one server."""

    def __init__(self, state: ServerState, tls: ServerContext | None, clock: LoopClock) -> None:
        """`clock` gives the earliest arrival time of what the event loop finds ready."""
        self._state, self._tls, self._clock = state, tls, clock
        self.listener: Listener | None = None
        self._receive_buffer = make_receive_buffer()
        self._rejection_tasks: set[asyncio.Task[None]] = set()

    def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> int:
        """Start accepting on a new socket, or on one that is bound already; returns the port.  Raises OSError."""
        limits = self._state.listener
        if sock is None:
            family = socket.AF_INET6 if ":" in limits.host else socket.AF_INET
            address = (limits.host, limits.port)
            sock = socket.create_server(address, family=family, reuse_port=reuse_port, backlog=BACKLOG)
        self.listener = Listener(sock, self._make_protocol, self._accept_failed, self._clock)
        return self.listener.port

    async def close(self, timeout_ms: float) -> None:
        """Accept the connections in the accept queue, for a bounded time, then stop accepting."""
        if self.listener is not None:
            await self.listener.close(timeout_ms / MS_PER_S)

    # Connections --------------------------------------------------------------------------------------------

    def _make_protocol(self, connected_since: float) -> asyncio.Protocol:
        """The protocol of an accepted connection that was established at `connected_since` at the earliest."""
        reader = WatchedReader(self._clock)
        reader.accepted(self._clock, connected_since)
        protocol = ClientProtocol(reader, self._client_connected, self._receive_buffer)
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

    def _client_connected(self, reader: WatchedReader, writer: asyncio.StreamWriter, protocol: WatchedProtocol) -> None:
        state = self._state
        client = ClientConnection(state, reader, writer, protocol)
        state.buffers.count_growth(CONNECTION_BYTES)
        connections = len(state.clients)
        at_limit = connections >= state.listener.max_connections
        at_limit = at_limit or (state.buffers.process_full and connections >= MIN_CONNECTIONS)
        if state.stopping or (at_limit and not self.free_slot()):
            self._reject(client)
            return
        state.clients.add(client)
        state.new_clients[client] = None
        task = state.loop.create_task(client.run())
        task.add_done_callback(lambda done: self._client_disconnected(client, done))

    def _reject(self, client: ClientConnection) -> None:
        self._state.counts["connections_turned_away"] += 1
        if len(self._rejection_tasks) >= MAX_CONCURRENT_REJECTIONS:
            client.close_rejected()
            return
        task = self._state.loop.create_task(client.reject())
        self._rejection_tasks.add(task)
        task.add_done_callback(self._rejection_tasks.discard)

    def _client_disconnected(self, client: ClientConnection, task: asyncio.Task[None]) -> None:
        self._remove(client)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._state.log_task_failure("client", error)
            client.abort()

    def _remove(self, client: ClientConnection) -> None:
        self._state.clients.discard(client)
        self._state.new_clients.pop(client, None)
        self._state.idle_clients.pop(client, None)

    # Limit ---------------------------------------------------------------------------------------------------

    def free_slot(self) -> bool:
        """Close one connection that has no open request; False if there is none that may be closed.

        It closes the oldest connection that has not had an accepted request, or else the one that has been idle for
        longest.  A client that opens hundreds of connections and sends nothing, or one request on each, must not keep
        out clients that send requests.
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
            # It has had its response, has sent nothing, or has left a request incomplete for MIN_AGE_TO_CLOSE_MS.
            client.closing = True
            client.writer.close()
            state.counts["connections_closed_for_room"] += 1
            self._remove(client)
            return True
        return False

    @staticmethod
    def _may_close(client: ClientConnection) -> bool:
        """Whether a close loses no bytes that the client has sent as part of a request."""
        bytes_read, bytes_waiting = client.has_read_ahead, is_ready(client.writer, select.POLLIN)
        return client.lingering or may_close(False, bytes_read, bytes_waiting) is None

    def close_expired(self, now: float) -> None:
        """Close connections that have been idle, or have left a request incomplete, for too long."""
        limits = self._state.listener
        for client in list(self._state.clients):
            if client.request is not None or client.closing:
                continue
            waited_ms = now - client.waiting_since
            if client.has_partial_request and waited_ms > limits.head_ms:
                client.time_out_request()
            elif not client.has_partial_request and waited_ms > limits.idle_ms:
                client.close_idle()
