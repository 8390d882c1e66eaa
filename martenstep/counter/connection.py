"""The base class of connections at the counter's listeners: it decodes frames, and bounds the bytes not yet sent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection
from typing import cast

from martenstep.counter.protocol import Frame, FrameDecoder, ProtocolError, Rejection, Status, decode, encode

IDLE_CHECK_INTERVAL_S = 1.0
MAX_REASON_CHARACTERS = 1000


class GatewayConnection(asyncio.Protocol):
    """One connection; subclasses implement `handle_frame`."""

    def __init__(self, max_unsent_bytes: int) -> None:
        """Create a connection; a gateway that leaves more than `max_unsent_bytes` unread is disconnected."""
        self._decoder = FrameDecoder()
        self._max_unsent_bytes = max_unsent_bytes
        self.transport: asyncio.Transport | None = None
        self.last_received_s = time.monotonic()

    @property
    def expects_frame(self) -> bool:
        """Whether the gateway has sent only part of a frame."""
        return self._decoder.has_partial_frame

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame; raises ProtocolError if it is not allowed at this point."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the transport."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes, and handle each complete frame."""
        self.last_received_s = time.monotonic()
        try:
            for payload in self._decoder.feed(data):
                self.handle_frame(decode(payload))
                if self.transport is None or self.transport.is_closing():
                    return
        except ProtocolError as error:
            self.reject(Status.BAD, str(error))

    def send(self, data: bytes) -> None:
        """Write to the gateway, and disconnect it if it reads too slowly."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > self._max_unsent_bytes:
            transport.abort()

    def reject(self, status: Status, reason: str) -> None:
        """Send the reason, and close the connection."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode(Rejection(status, reason[:MAX_REASON_CHARACTERS])))
            self.transport.close()


async def close_idle_connections(connections: Collection[GatewayConnection], idle_s: float) -> None:
    """Repeatedly close connections that expect a frame and have received nothing for `idle_s`."""
    while True:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        oldest_s = time.monotonic() - idle_s
        for connection in list(connections):
            if connection.expects_frame and connection.last_received_s < oldest_s:
                connection.reject(Status.BAD, "half a frame, and nothing more")
