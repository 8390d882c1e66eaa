"""The end of a server: it drains, answers what is in flight, and closes in a bounded time."""

from __future__ import annotations

import asyncio

from martenstep.proxy.acceptor import Acceptor
from martenstep.proxy.clock import MS_PER_S, now_ms
from martenstep.proxy.server_state import ServerState

ACCEPT_QUEUE_MS = 100.0  # in this time the accept queue is emptied before the listener closes
CLOSE_MS = 150.0  # at the end: clients that have their last response close their connections in this time
POLL_S = 0.01


class GracefulShutdown:
    """Stops a server."""

    def __init__(self, state: ServerState, acceptor: Acceptor) -> None:
        """`acceptor` has the clients' connections."""
        self._state, self._acceptor = state, acceptor

    async def drain(self, accept_ms: float, serve_ms: float) -> None:
        """Serve on, for clients that need time to notice.

        Accept connections for `accept_ms`, serve those that stand for `serve_ms` in all, and close each with a
        response.  Returns with no connection being accepted any more.
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
        """Wait until all that is in flight is answered, and answer the rest; True where there was no rest."""
        state = self._state
        until = now_ms() + timeout_ms
        while True:
            # A client that stays has a request, or bytes that may become one and that nobody has read yet.
            staying = [client for client in state.clients if not (client.closing or client.close_idle())]
            if now_ms() >= until or not (state.engine.unanswered or staying):
                break
            await asyncio.sleep(POLL_S)
        all_answered = not state.engine.unanswered
        state.perform(state.engine.stop(now_ms()))
        return all_answered

    async def close_clients(self) -> None:
        """Wait until the clients have taken the last responses and closed, and close the others."""
        until = now_ms() + CLOSE_MS
        while True:
            await asyncio.sleep(POLL_S)
            if not self._state.clients or now_ms() >= until:
                break
        for client in list(self._state.clients):
            client.writer.close()
