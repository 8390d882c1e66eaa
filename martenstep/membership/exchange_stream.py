"""State exchanges over TCP, as client and as server.

The server sends a greeting, `2s magic, u8 version, 16 bytes of nonce`.  The client sends a nonce of its own and its
first frame.  Frames then alternate, at most two from each side; the MAC of each covers both nonces.  The duration, the
frame size and the number of concurrent streams are bounded.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable

from martenstep.membership.codec import (
    MAGIC,
    MAX_FRAME_BYTES,
    VERSION,
    cluster_hash,
    encode_frame,
    frame_context,
    open_frame,
)
from martenstep.membership.errors import DropReason, ProtocolError
from martenstep.membership.keyring import Keyring
from martenstep.membership.member import Address

EXCHANGE_TIMEOUT_S = 2.0  # for a whole exchange, on both sides
MAX_STREAMS = 32  # served at once; further ones are closed, and their clients retry
NONCE_BYTES = 16
GREETING = MAGIC + bytes([VERSION])
CLIENT_FRAME_INDEXES = (0, 2)  # the answer to each has the next index
STREAM_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError)


class ExchangeStreams:
    """Carries signed frames over streams, as client and as server."""

    def __init__(self, cluster: str, keyring: Callable[[], Keyring]) -> None:
        """`keyring` returns the current keys."""
        self._cluster = cluster_hash(cluster)
        self._keyring = keyring
        self._open_streams = 0

    async def run(self, address: Address, body: bytes, on_answer: Callable[[bytes], bytes | None]) -> bool:
        """Open an exchange; `on_answer` takes each answer and returns the next frame, None at the end.

        Returns whether the exchange was completed.
        """
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self._run(address, body, on_answer)
        except (*STREAM_ERRORS, ProtocolError):
            return False
        return True

    async def _run(self, address: Address, body: bytes, on_answer: Callable[[bytes], bytes | None]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        try:
            greeting = await reader.readexactly(len(GREETING) + NONCE_BYTES)
            if greeting[: len(GREETING)] != GREETING:
                raise ProtocolError(DropReason.VERSION)
            server_nonce, client_nonce = greeting[len(GREETING) :], secrets.token_bytes(NONCE_BYTES)
            writer.write(client_nonce)
            index = 0
            frame: bytes | None = body
            while frame is not None:
                writer.write(self._encode_frame(server_nonce, client_nonce, index, frame))
                answer = await self._read_frame(reader, server_nonce, client_nonce, index + 1)
                frame = on_answer(answer)
                index += 2
        finally:
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answer: Callable[[bytes], bytes]
    ) -> None:
        """Answer the frames of one stream and close it; raises ProtocolError."""
        if self._open_streams >= MAX_STREAMS:
            writer.close()
            return
        self._open_streams += 1
        server_nonce = secrets.token_bytes(NONCE_BYTES)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                writer.write(GREETING + server_nonce)
                client_nonce = await reader.readexactly(NONCE_BYTES)
                for index in CLIENT_FRAME_INDEXES:
                    body = await self._read_frame(reader, server_nonce, client_nonce, index)
                    writer.write(self._encode_frame(server_nonce, client_nonce, index + 1, answer(body)))
                    await writer.drain()
        except STREAM_ERRORS:
            pass
        finally:
            self._open_streams -= 1
            writer.close()

    def _encode_frame(self, server_nonce: bytes, client_nonce: bytes, index: int, body: bytes) -> bytes:
        return encode_frame(self._keyring(), frame_context(self._cluster, server_nonce, client_nonce, index), body)

    async def _read_frame(
        self, reader: asyncio.StreamReader, server_nonce: bytes, client_nonce: bytes, index: int
    ) -> bytes:
        length = int.from_bytes(await reader.readexactly(4), "big")
        if length > MAX_FRAME_BYTES:
            raise ProtocolError(DropReason.LENGTH)
        data = await reader.readexactly(length)
        return open_frame(self._keyring(), frame_context(self._cluster, server_nonce, client_nonce, index), data)
