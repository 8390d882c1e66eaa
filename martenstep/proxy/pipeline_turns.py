"""Gives connections that pipeline requests their turns.

A client that sends the next request before the last response has been read needs no wait of the event loop.  Hundreds
of such clients would each be served a request in every iteration of the loop, and all others would wait for them.
"""

from __future__ import annotations

import asyncio
from collections import deque

TURNS_PER_ITERATION = 2  # pipelined requests, of all connections, in one iteration of the event loop


class PipelineTurns:
    """A queue of connections whose next request has been received already."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Nobody waits."""
        self._loop = loop
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self) -> None:
        """Wait for the caller's turn, in the order of the calls."""
        turn = self._loop.create_future()
        if not self._waiting:
            self._loop.call_soon(self._give_turns)
        self._waiting.append(turn)
        await turn

    def _give_turns(self) -> None:
        for _ in range(min(TURNS_PER_ITERATION, len(self._waiting))):
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
        if self._waiting:
            self._loop.call_soon(self._give_turns)
