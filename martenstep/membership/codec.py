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

from martenstep.membership.member_table import BUCKET_COUNT, Digest, MemberName, MemberRecord, MemberState, Port

MAGIC, VERSION = b"MG", 1
MAX_DATAGRAM_BYTES = 1200  # of a datagram: passes any path of IPv6's least MTU with room for tunnels
MAC_BYTES = 16
MAX_FRAME_BYTES = 4 << 20  # of an exchange: some ten thousands of members
MAX_RECORDS = 20_000
HEADER = struct.Struct(">2sBBQQQQ")
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - MAC_BYTES  # for a body
_U64 = Annotated[int, msgspec.Meta(ge=0)]  # MessagePack has none above 64 bits
_U32 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Records = Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_RECORDS)]


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """Who sends, and where it is reached: the source address may be a relay's."""

    name: MemberName
    host: Host
    port: Port


class ReceiverView(msgspec.Struct, array_like=True, frozen=True):
    """How the sender sees the receiver: who is suspected hears so from whoever speaks to it (Lifeguard's buddy)."""

    epoch: _U32
    node_id: _U64
    incarnation: _U32
    state: MemberState


class Ping(msgspec.Struct, array_like=True, tag=1):
    """Are you there?"""

    sender: Sender
    nonce: _U64
    target: MemberName
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class Ack(msgspec.Struct, array_like=True, tag=2):
    """I am."""

    sender: Sender
    nonce: _U64
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class IndirectPing(msgspec.Struct, array_like=True, tag=3):
    """Ask that member for me."""

    sender: Sender
    nonce: _U64
    target: MemberName
    host: Host
    port: Port
    boot_id: _U64


class IndirectPingResponse(msgspec.Struct, array_like=True, tag=4):
    """It answered, or did not in my time."""

    sender: Sender
    nonce: _U64
    acknowledged: bool


class Gossip(msgspec.Struct, array_like=True, tag=5):
    """Sayings, without a question."""

    sender: Sender
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class WrongBootId(msgspec.Struct, array_like=True, tag=6):
    """What came was not for this life: here is mine."""

    sender: Sender
    boot_id: _U64
    node_id: _U64


class PullRequest(msgspec.Struct, array_like=True, tag=10):
    """Opens an exchange: digests of the parts of the table, and the asker's own saying."""

    sender: Sender
    digests: Annotated[list[Digest], msgspec.Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]
    own_record: MemberRecord


class PullResponse(msgspec.Struct, array_like=True, tag=11):
    """The sayings of those parts that differ."""

    sender: Sender
    own_record: MemberRecord
    buckets: list[int]
    records: Records = []


class PushState(msgspec.Struct, array_like=True, tag=12):
    """What the asker holds of those parts and the other does not."""

    sender: Sender
    records: Records = []


class ExchangeDone(msgspec.Struct, array_like=True, tag=13):
    """The exchange is over."""


Message = Ping | Ack | IndirectPing | IndirectPingResponse | Gossip | WrongBootId
Frame = PullRequest | PullResponse | PushState | ExchangeDone
_encoder = msgspec.msgpack.Encoder()
_messages = msgspec.msgpack.Decoder(Message)
_frames = msgspec.msgpack.Decoder(Frame)


class ProtocolError(Exception):
    """Bytes that are dropped; `reason` is counted."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


def cluster_hash(name: str) -> int:
    """What stands for a cluster's name in each datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Keyring:
    """The keys in force: the first seals, all open, so that a change of key passes through the fleet door by door."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys:
            raise ValueError("no key")
        self._keys = keys

    def sign(self, data: bytes) -> bytes:
        """The MAC of some bytes."""
        return hmac.digest(self._keys[0], data, "sha256")[:MAC_BYTES]

    def verify(self, data: bytes | memoryview, mac: bytes) -> bool:
        """Whether one of the keys made this MAC."""
        return any(hmac.compare_digest(hmac.digest(key, data, "sha256")[:MAC_BYTES], mac) for key in self._keys)


def encode(value: Any) -> bytes:
    """Any of the messages, or a single saying."""
    return _encoder.encode(value)


def seal_datagram(keys: Keyring, cluster: int, source: int, target: int, number: int, message: Message) -> bytes:
    """A message as it is sent."""
    data = HEADER.pack(MAGIC, VERSION, 0, cluster, source, target, number) + _encoder.encode(message)
    return data + keys.sign(data)


class OpenedDatagram(msgspec.Struct):
    """A datagram whose seal holds."""

    source_boot_id: int
    target_boot_id: int
    number: int
    body: bytes


def open_datagram(keys: Keyring, cluster: int, data: bytes) -> OpenedDatagram:
    """Check all but the body; raises WireError."""
    if not HEADER.size + MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise ProtocolError("length")
    magic, version, _, of, source, target, number = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ProtocolError("magic")
    if version != VERSION:
        raise ProtocolError("version")
    if of != cluster:
        raise ProtocolError("cluster")
    if not keys.verify(data[:-MAC_BYTES], data[-MAC_BYTES:]):
        raise ProtocolError("mac")
    return OpenedDatagram(source, target, number, data[HEADER.size : -MAC_BYTES])


def decode_message(body: bytes) -> Message:
    """Read a body; raises WireError."""
    try:
        return _messages.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ProtocolError("body") from None


def decode_frame(body: bytes) -> Frame:
    """Read a frame of an exchange; raises WireError."""
    try:
        return _frames.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ProtocolError("body") from None


def frame_context(cluster: int, server: bytes, client: bytes, place: int) -> bytes:
    """What the MAC of a frame is bound to: both draws, and its place (even ones are the client's)."""
    return hashlib.sha256(struct.pack(">2sBBQ", MAGIC, VERSION, place, cluster) + server + client).digest()


def seal_frame(keys: Keyring, context: bytes, body: bytes) -> bytes:
    """A frame as it is sent."""
    return struct.pack(">I", len(body) + MAC_BYTES) + body + keys.sign(context + body)


def open_frame(keys: Keyring, context: bytes, data: bytes) -> bytes:
    """The body of a frame without its length; raises WireError."""
    if len(data) <= MAC_BYTES:
        raise ProtocolError("length")
    body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not keys.verify(context + body, mac):
        raise ProtocolError("mac")
    return body


class ReplayWindow:
    """Which numbers of one sender's life have come: each counts once, and what is too old to tell counts as come."""

    SIZE = 1024  # a sender writes some tens of datagrams a second to all: half a minute of reordering

    __slots__ = ("_bits", "_highest")

    def __init__(self) -> None:
        self._highest, self._bits = -1, 0

    def accept(self, number: int) -> bool:
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
