"""What a door's connection is at any listener of the counter: frames in, bounded bytes out, an end with its reason."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection
from typing import cast

from martenstep.counter.protocol import Frame, FrameDecoder, ProtocolError, Rejection, Status, decode, encode

IDLE_CHECK_INTERVAL_S = 1.0  # how often connections that owe a frame and say nothing are looked for


class GatewayConnection(asyncio.Protocol):
    """One connection; `take` gets its frames."""

    def __init__(self, unsent_bytes: int) -> None:
        """A door that leaves more than these unread is cut off."""
        self._frames = FrameDecoder()
        self._unsent = unsent_bytes
        self.transport: asyncio.Transport | None = None
        self.last_received_s = time.monotonic()

    @property
    def owes_frame(self) -> bool:
        """Whether a frame has begun and nothing more has come of it."""
        return self._frames.has_partial_frame

    def handle_frame(self, frame: Frame) -> None:
        """One frame; raises FrameError where it is out of place."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.last_received_s = time.monotonic()
        try:
            for payload in self._frames.feed(data):
                self.handle_frame(decode(payload))
                if self.transport is None or self.transport.is_closing():
                    return
        except ProtocolError as error:
            self.reject(Status.BAD, str(error))

    def send(self, data: bytes) -> None:
        """Bytes to the door; a slow reader is cut off."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > self._unsent:
            transport.abort()

    def reject(self, status: Status, reason: str) -> None:
        """Say why, and close."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode(Rejection(status, reason[:1000])))
            self.transport.close()


async def close_idle_connections(connections: Collection[GatewayConnection], idle_s: float) -> None:
    """End, for as long as this runs, those that owe a frame and have said nothing for so long."""
    while True:
        await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        late = time.monotonic() - idle_s
        for connection in list(connections):
            if connection.owes_frame and connection.last_received_s < late:
                connection.reject(Status.BAD, "half a frame, and nothing more")
