"""The interface through which a client connection uses its server; loaded for type checks only."""

from __future__ import annotations

import asyncio
from typing import Protocol

from martenstep.proxy import engine_messages as ev
from martenstep.proxy.buffer_budget import BufferBudget
from martenstep.proxy.client_connection import ClientConnection
from martenstep.proxy.client_request import ClientRequest
from martenstep.proxy.dependencies import ListenerLimits, UpstreamLimits
from martenstep.proxy.pipeline_turns import PipelineTurns


class ConnectionOwner(Protocol):
    """What a client connection needs from its server."""

    loop: asyncio.AbstractEventLoop
    listener: ListenerLimits
    upstream: UpstreamLimits
    buffers: BufferBudget
    pipeline_turns: PipelineTurns
    counts: dict[str, int]
    requests: dict[int, ClientRequest]
    idle_clients: dict[ClientConnection, None]
    draining: bool
    stopping: bool

    def handle(self, event: ev.Event) -> None:
        """Pass an event to the engine and perform the actions that it returns."""

    def next_request_id(self) -> int:
        """The id of the next request."""

    def local_reply(self, reason: str) -> tuple[ev.Headers, bytes]:
        """Headers and body of a response to a message that never reaches the engine."""
