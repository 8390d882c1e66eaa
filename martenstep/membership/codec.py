"""The protocol's bytes, version 1: datagrams of at most 1,200 bytes, and the frames of a full exchange.

Datagram: `2s magic "MG", u8 version, u8 0, u64 cluster, u64 sender's life, u64 receiver's life, u64 number`, a body in
MessagePack, and 16 bytes of HMAC-SHA-256 over all before them.  Numbers are big-endian; `cluster` is xxHash3-64 of
the cluster's name.  The receiver's life binds a datagram to one process, and its number to one moment of it: what is
played again, there or at a later process, is dropped.  A sender that does not know the life writes 0 and is told it.

Frame of an exchange: `u32 length`, body in MessagePack, HMAC over a context and the body.  The context holds both
sides' fresh draws, the direction and the frame's place, so that no frame of one exchange passes in another.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from typing import Annotated, Any

import msgspec
import xxhash

from martenstep.membership.member_table import BUCKETS, Digest, Fact, Name, Port, State

MAGIC, VERSION = b"MG", 1
MOST_BYTES = 1200  # of a datagram: passes any path of IPv6's least MTU with room for tunnels
MAC_BYTES = 16
MOST_FRAME = 4 << 20  # of an exchange: some ten thousands of members
MOST_FACTS = 20_000
HEAD = struct.Struct(">2sBBQQQQ")
ROOM = MOST_BYTES - HEAD.size - MAC_BYTES  # for a body
_U64 = Annotated[int, msgspec.Meta(ge=0)]  # MessagePack has none above 64 bits
_U32 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Facts = Annotated[list[Fact], msgspec.Meta(max_length=MOST_FACTS)]


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """Who sends, and where it is reached: the source address may be a relay's."""

    name: Name
    host: Host
    port: Port


class Seen(msgspec.Struct, array_like=True, frozen=True):
    """How the sender sees the receiver: who is suspected hears so from whoever speaks to it (Lifeguard's buddy)."""

    era: _U32
    identity: _U64
    incarnation: _U32
    state: State


class Ping(msgspec.Struct, array_like=True, tag=1):
    """Are you there?"""

    sender: Sender
    nonce: _U64
    to: Name
    seen: Seen | None
    digest: Digest
    facts: Facts = []


class Ack(msgspec.Struct, array_like=True, tag=2):
    """I am."""

    sender: Sender
    nonce: _U64
    seen: Seen | None
    digest: Digest
    facts: Facts = []


class Relay(msgspec.Struct, array_like=True, tag=3):
    """Ask that member for me."""

    sender: Sender
    nonce: _U64
    to: Name
    host: Host
    port: Port
    life: _U64


class Relayed(msgspec.Struct, array_like=True, tag=4):
    """It answered, or did not in my time."""

    sender: Sender
    nonce: _U64
    answered: bool


class Tell(msgspec.Struct, array_like=True, tag=5):
    """Sayings, without a question."""

    sender: Sender
    seen: Seen | None
    digest: Digest
    facts: Facts = []


class Challenge(msgspec.Struct, array_like=True, tag=6):
    """What came was not for this life: here is mine."""

    sender: Sender
    life: _U64
    identity: _U64


class Want(msgspec.Struct, array_like=True, tag=10):
    """Opens an exchange: digests of the parts of the table, and the asker's own saying."""

    sender: Sender
    digests: Annotated[list[Digest], msgspec.Meta(min_length=BUCKETS, max_length=BUCKETS)]
    own: Fact


class Have(msgspec.Struct, array_like=True, tag=11):
    """The sayings of those parts that differ."""

    sender: Sender
    own: Fact
    parts: list[int]
    facts: Facts = []


class Push(msgspec.Struct, array_like=True, tag=12):
    """What the asker holds of those parts and the other does not."""

    sender: Sender
    facts: Facts = []


class Done(msgspec.Struct, array_like=True, tag=13):
    """The exchange is over."""


Message = Ping | Ack | Relay | Relayed | Tell | Challenge
Frame = Want | Have | Push | Done
_encoder = msgspec.msgpack.Encoder()
_messages = msgspec.msgpack.Decoder(Message)
_frames = msgspec.msgpack.Decoder(Frame)


class WireError(Exception):
    """Bytes that are dropped; `reason` is counted."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


def cluster_number(name: str) -> int:
    """What stands for a cluster's name in each datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Keys:
    """The keys in force: the first seals, all open, so that a change of key passes through the fleet door by door."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys:
            raise ValueError("no key")
        self._keys = keys

    def seal(self, data: bytes) -> bytes:
        """The MAC of some bytes."""
        return hmac.digest(self._keys[0], data, "sha256")[:MAC_BYTES]

    def opens(self, data: bytes | memoryview, mac: bytes) -> bool:
        """Whether one of the keys made this MAC."""
        return any(hmac.compare_digest(hmac.digest(key, data, "sha256")[:MAC_BYTES], mac) for key in self._keys)


def encode(value: Any) -> bytes:
    """Any of the messages, or a single saying."""
    return _encoder.encode(value)


def datagram(keys: Keys, cluster: int, source: int, target: int, number: int, message: Message) -> bytes:
    """A message as it is sent."""
    data = HEAD.pack(MAGIC, VERSION, 0, cluster, source, target, number) + _encoder.encode(message)
    return data + keys.seal(data)


class Opened(msgspec.Struct):
    """A datagram whose seal holds."""

    source: int
    target: int
    number: int
    body: bytes


def open_datagram(keys: Keys, cluster: int, data: bytes) -> Opened:
    """Check all but the body; raises WireError."""
    if not HEAD.size + MAC_BYTES < len(data) <= MOST_BYTES:
        raise WireError("length")
    magic, version, _, of, source, target, number = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise WireError("magic")
    if version != VERSION:
        raise WireError("version")
    if of != cluster:
        raise WireError("cluster")
    if not keys.opens(data[:-MAC_BYTES], data[-MAC_BYTES:]):
        raise WireError("mac")
    return Opened(source, target, number, data[HEAD.size : -MAC_BYTES])


def message_of(body: bytes) -> Message:
    """Read a body; raises WireError."""
    try:
        return _messages.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise WireError("body") from None


def frame_of(body: bytes) -> Frame:
    """Read a frame of an exchange; raises WireError."""
    try:
        return _frames.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise WireError("body") from None


def context_of(cluster: int, server: bytes, client: bytes, place: int) -> bytes:
    """What the MAC of a frame is bound to: both draws, and its place (even ones are the client's)."""
    return hashlib.sha256(struct.pack(">2sBBQ", MAGIC, VERSION, place, cluster) + server + client).digest()


def frame(keys: Keys, context: bytes, body: bytes) -> bytes:
    """A frame as it is sent."""
    return struct.pack(">I", len(body) + MAC_BYTES) + body + keys.seal(context + body)


def open_frame(keys: Keys, context: bytes, data: bytes) -> bytes:
    """The body of a frame without its length; raises WireError."""
    if len(data) <= MAC_BYTES:
        raise WireError("length")
    body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not keys.opens(context + body, mac):
        raise WireError("mac")
    return body


class Window:
    """Which numbers of one sender's life have come: each counts once, and what is too old to tell counts as come."""

    SIZE = 1024  # a sender writes some tens of datagrams a second to all: half a minute of reordering

    __slots__ = ("_bits", "_highest")

    def __init__(self) -> None:
        self._highest, self._bits = -1, 0

    def new(self, number: int) -> bool:
        """Note a number; False where it came before, or may have."""
        ahead = number - self._highest
        if ahead > 0:
            self._bits = ((self._bits << ahead) | 1) & ((1 << self.SIZE) - 1) if ahead < self.SIZE else 1
            self._highest = number
            return True
        if -ahead >= self.SIZE or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
