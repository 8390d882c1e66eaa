"""Frames of the streams between nodes: `u32 length, body, HMAC`.

The HMAC covers the connection's context (the nonces of both ends), the frame's number and the body, so that a frame
cannot be replayed, neither on its connection nor on another one.  A body is an envelope (`u16 length`, MessagePack)
followed by a message.
"""

from __future__ import annotations

import asyncio
import hashlib
import struct

import msgspec

from martenstep.membership.keyring import MAC_BYTES, Keyring
from martenstep.replication.errors import FrameError

MAX_FRAME_BYTES = 8 << 20
NONCE_BYTES = 16
CONTEXT_LABEL = b"martenstep copies 2"
_FRAME_LENGTH = struct.Struct(">I")
_FRAME_NUMBER = struct.Struct(">Q")
_ENVELOPE_LENGTH = struct.Struct(">H")


class Hello(msgspec.Struct, array_like=True):
    """The nodes at both ends of a connection; `cluster` keeps apart fleets that share a key."""

    cluster: str
    source: str
    target: str


class Envelope(msgspec.Struct, array_like=True):
    """The group, and the sending and receiving replicas; 0 where a message concerns nodes and no replica."""

    group: str
    source: int
    target: int


class AuthenticatedFrames:
    """Encodes or reads the frames of one direction of a connection."""

    def __init__(self, keys: Keyring, server_nonce: bytes, client_nonce: bytes) -> None:
        """The nonces are the random ones that both ends drew for this connection."""
        self._keys = keys
        self._context = hashlib.sha256(CONTEXT_LABEL + server_nonce + client_nonce).digest()
        self._number = 0

    def _bind(self, body: bytes) -> bytes:
        """Return the bytes that the next frame's HMAC covers, and count the frame."""
        bound = self._context + _FRAME_NUMBER.pack(self._number) + body
        self._number += 1
        return bound

    def encode(self, body: bytes) -> bytes:
        """Return the next frame to be sent."""
        return _FRAME_LENGTH.pack(len(body) + MAC_BYTES) + body + self._keys.sign(self._bind(body))

    async def read(self, reader: asyncio.StreamReader) -> bytes:
        """Read the body of the next frame; raises FrameError, OSError, asyncio.IncompleteReadError."""
        (length,) = _FRAME_LENGTH.unpack(await reader.readexactly(_FRAME_LENGTH.size))
        if not MAC_BYTES <= length <= MAX_FRAME_BYTES:
            raise FrameError("length")
        data = await reader.readexactly(length)
        body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not self._keys.verify(self._bind(body), mac):
            raise FrameError("mac")
        return body


def encode_body(envelope: Envelope, message: bytes) -> bytes:
    """Encode an envelope and an already encoded message as one body."""
    head = msgspec.msgpack.encode(envelope)
    return _ENVELOPE_LENGTH.pack(len(head)) + head + message


def decode_body(body: bytes) -> tuple[Envelope, bytes]:
    """Return the envelope and the still encoded message of a body; raises msgspec.DecodeError."""
    start = _ENVELOPE_LENGTH.size
    end = start + int.from_bytes(body[:start], "big")
    return msgspec.msgpack.decode(body[start:end], type=Envelope), body[end:]
