"""Stops a server: drains it, finishes the requests in flight, and closes, all in a bounded time."""

from __future__ import annotations

import asyncio

from martenstep.proxy.acceptor import MIN_AGE_TO_CLOSE_MS, Acceptor
from martenstep.proxy.client_connection import ClientConnection
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.server_state import ServerState

ACCEPT_QUEUE_MS = 100.0  # time to empty the accept queue before the listener closes
CLIENT_CLOSE_MS = 150.0  # time for clients to read their last response and close their connections
STATE_POLL_S = 0.01


class GracefulShutdown:
    """Stops a server."""

    def __init__(self, state: ServerState, acceptor: Acceptor) -> None:
        """`acceptor` accepts the client connections."""
        self._state, self._acceptor = state, acceptor

    async def drain(self, accept_ms: float, serve_ms: float) -> None:
        """Go on serving while clients learn that the gateway is stopping.

        Accept connections for `accept_ms`, serve the open ones for `serve_ms` in total, and close each with its next
        response.  No connection is accepted after the return.
        """
        began_at = now_ms()
        self._state.draining = True
        if accept_ms:
            await asyncio.sleep(accept_ms / MS_PER_S)
        await self._acceptor.close(began_at + accept_ms + ACCEPT_QUEUE_MS - now_ms())
        if serve_ms:
            await asyncio.sleep(max(began_at + serve_ms - now_ms(), 0.0) / MS_PER_S)
        self._state.stopping = True

    async def finish_requests(self, timeout_ms: float) -> bool:
        """Wait until all requests in flight are answered; at the timeout answer the rest.  True if none was left."""
        state = self._state
        deadline = now_ms() + timeout_ms
        while True:
            # Clients that cannot be closed: each has a request, or unread bytes that may belong to one.
            open_clients = [client for client in state.clients if not (client.closing or self._close_idle(client))]
            if now_ms() >= deadline or not (state.engine.unanswered or open_clients):
                break
            await asyncio.sleep(STATE_POLL_S)
        all_answered = not state.engine.unanswered
        state.perform(state.engine.stop(now_ms()))
        return all_answered

    def _close_idle(self, client: ClientConnection) -> bool:
        """Close a connection between two requests; not a new one whose first request may still be in transit."""
        is_young = client in self._state.new_clients and now_ms() - client.waiting_since < MIN_AGE_TO_CLOSE_MS
        return not is_young and client.close_idle()

    async def close_clients(self) -> None:
        """Wait until clients have read their last responses and closed, then close the remaining connections."""
        deadline = now_ms() + CLIENT_CLOSE_MS
        while True:
            await asyncio.sleep(STATE_POLL_S)
            if not self._state.clients or now_ms() >= deadline:
                break
        for client in list(self._state.clients):
            client.writer.close()
