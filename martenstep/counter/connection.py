"""A gateway's connection at any listener of the counter: frames in, bounded bytes out, an end with its reason."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection
from typing import cast

from martenstep.counter.protocol import Frame, FrameDecoder, ProtocolError, Rejection, Status, decode, encode

IDLE_CHECK_INTERVAL_S = 1.0
MAX_REASON_CHARACTERS = 1000


class GatewayConnection(asyncio.Protocol):
    """One connection; `handle_frame` gets its frames."""

    def __init__(self, max_unsent_bytes: int) -> None:
        """A gateway that leaves more bytes than these unread is disconnected."""
        self._decoder = FrameDecoder()
        self._max_unsent_bytes = max_unsent_bytes
        self.transport: asyncio.Transport | None = None
        self.last_received_s = time.monotonic()

    @property
    def owes_frame(self) -> bool:
        """Whether a frame has begun and is not complete."""
        return self._decoder.has_partial_frame

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame; raises ProtocolError if it is out of place."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the transport."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Decode and handle the frames that are complete."""
        self.last_received_s = time.monotonic()
        try:
            for payload in self._decoder.feed(data):
                self.handle_frame(decode(payload))
                if self.transport is None or self.transport.is_closing():
                    return
        except ProtocolError as error:
            self.reject(Status.BAD, str(error))

    def send(self, data: bytes) -> None:
        """Write to the gateway; a slow reader is disconnected."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > self._max_unsent_bytes:
            transport.abort()

    def reject(self, status: Status, reason: str) -> None:
        """Say why, and close."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode(Rejection(status, reason[:MAX_REASON_CHARACTERS])))
            self.transport.close()


async def close_idle_connections(connections: Collection[GatewayConnection], idle_s: float) -> None:
    """Close, for as long as this runs, those that owe a frame and have sent nothing for so long."""
    while True:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        oldest_s = time.monotonic() - idle_s
        for connection in list(connections):
            if connection.owes_frame and connection.last_received_s < oldest_s:
                connection.reject(Status.BAD, "half a frame, and nothing more")
