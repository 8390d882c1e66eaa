"""Encoding of the membership protocol, version 1: datagrams of at most 1,200 bytes, and the frames of a state exchange.

Datagram: `2s magic "MG", u8 version, u8 0, u64 cluster, u64 sender's boot id, u64 receiver's boot id, u64 number`, a
body in MessagePack, and 16 bytes of HMAC-SHA-256 over all before them.  Numbers are big-endian; `cluster` is xxHash3-64
of the cluster's name.  The receiver's boot id binds a datagram to one process, and its number to one moment of it: a
replayed datagram, there or at a later process, is dropped.  A sender that does not know the boot id writes 0 and is
told it.

Frame of an exchange: `u32 length`, body in MessagePack, HMAC over a context and the body.  The context holds both
sides' fresh nonces, the direction and the frame's index, so that no frame of one exchange passes in another.

The messages are arrays on the wire: the order of their fields and their tags are the format.
"""

from __future__ import annotations

import hashlib
import struct
from typing import Annotated, NamedTuple, cast

import msgspec
import xxhash

from martenstep.membership.errors import DropReason, ProtocolError
from martenstep.membership.keyring import MAC_BYTES, Keyring
from martenstep.membership.member import U32, U64, Host, MemberName, MemberRecord, MemberState, Port
from martenstep.membership.member_table import BUCKET_COUNT, Digest

MAGIC, VERSION = b"MG", 1
MAX_DATAGRAM_BYTES = 1200  # passes any path of IPv6's least MTU with room for tunnels
MAX_FRAME_BYTES = 4 << 20  # some ten thousands of members
MAX_RECORDS = 20_000
HEADER = struct.Struct(">2sBBQQQQ")
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - MAC_BYTES
Records = Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_RECORDS)]


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """Who sends, and where it is reached: the source address may be a relay's."""

    name: MemberName
    host: Host
    port: Port


class ReceiverView(msgspec.Struct, array_like=True, frozen=True):
    """The receiver as the sender holds it: who is suspected learns so from whoever writes to it (Lifeguard's buddy)."""

    epoch: U32
    node_id: U64
    incarnation: U32
    state: MemberState


class Ping(msgspec.Struct, array_like=True, tag=1):
    """A direct probe."""

    sender: Sender
    nonce: U64
    target: MemberName
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class Ack(msgspec.Struct, array_like=True, tag=2):
    """The answer to a probe."""

    sender: Sender
    nonce: U64
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class IndirectPing(msgspec.Struct, array_like=True, tag=3):
    """Asks the receiver to probe a target on behalf of the sender."""

    sender: Sender
    nonce: U64
    target: MemberName
    host: Host
    port: Port
    boot_id: U64


class IndirectPingResponse(msgspec.Struct, array_like=True, tag=4):
    """Whether the target acknowledged the helper's probe in time."""

    sender: Sender
    nonce: U64
    acknowledged: bool


class Gossip(msgspec.Struct, array_like=True, tag=5):
    """Member records that are being disseminated."""

    sender: Sender
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class WrongBootId(msgspec.Struct, array_like=True, tag=6):
    """The datagram was addressed to another process; this is the one that is here."""

    sender: Sender
    boot_id: U64
    node_id: U64


class PullRequest(msgspec.Struct, array_like=True, tag=10):
    """Opens an exchange: the digests of the requester's buckets, and its own record."""

    sender: Sender
    digests: Annotated[list[Digest], msgspec.Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]
    own_record: MemberRecord


class PullResponse(msgspec.Struct, array_like=True, tag=11):
    """The records of the buckets that differ."""

    sender: Sender
    own_record: MemberRecord
    buckets: list[int]
    records: Records = []


class PushState(msgspec.Struct, array_like=True, tag=12):
    """What the requester holds in those buckets and the other side does not."""

    sender: Sender
    records: Records = []


class ExchangeDone(msgspec.Struct, array_like=True, tag=13):
    """The exchange is over."""


Message = Ping | Ack | IndirectPing | IndirectPingResponse | Gossip | WrongBootId
GossipCarrier = Ping | Ack | Gossip  # messages with room for records
Frame = PullRequest | PullResponse | PushState | ExchangeDone
_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(Message)
_frame_decoder = msgspec.msgpack.Decoder(Frame)


def cluster_hash(name: str) -> int:
    """What stands for a cluster's name in each datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode(value: Message | Frame | MemberRecord) -> bytes:
    """The body of a message or frame, or a single record."""
    return _encoder.encode(value)


def attach_encoded(message: GossipCarrier, encoded_records: list[bytes]) -> None:
    """Let a message carry records that are encoded already."""
    message.records = cast(list[MemberRecord], [msgspec.Raw(data) for data in encoded_records])


class DatagramHeader(NamedTuple):
    """Which process sends to which, and the number that the sender gave the datagram."""

    source_boot_id: int
    target_boot_id: int
    number: int


class OpenedDatagram(NamedTuple):
    """A datagram whose MAC holds."""

    header: DatagramHeader
    body: bytes


def encode_datagram(keyring: Keyring, cluster: int, header: DatagramHeader, message: Message) -> bytes:
    """A message as it is sent."""
    data = HEADER.pack(MAGIC, VERSION, 0, cluster, *header) + _encoder.encode(message)
    return data + keyring.sign(data)


def open_datagram(keyring: Keyring, cluster: int, data: bytes) -> OpenedDatagram:
    """Check all but the body; raises ProtocolError."""
    if not HEADER.size + MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise ProtocolError(DropReason.LENGTH)
    magic, version, _, of_cluster, *header = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ProtocolError(DropReason.MAGIC)
    if version != VERSION:
        raise ProtocolError(DropReason.VERSION)
    if of_cluster != cluster:
        raise ProtocolError(DropReason.CLUSTER)
    if not keyring.verify(data[:-MAC_BYTES], data[-MAC_BYTES:]):
        raise ProtocolError(DropReason.MAC)
    return OpenedDatagram(DatagramHeader(*header), data[HEADER.size : -MAC_BYTES])


def decode_message(body: bytes) -> Message:
    """Decode a datagram's body; raises ProtocolError."""
    try:
        return _message_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ProtocolError(DropReason.BODY) from None


def decode_frame(body: bytes) -> Frame:
    """Decode a frame's body; raises ProtocolError."""
    try:
        return _frame_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ProtocolError(DropReason.BODY) from None


def frame_context(cluster: int, server_nonce: bytes, client_nonce: bytes, index: int) -> bytes:
    """What the MAC of a frame is bound to: both nonces, and the frame's index (even ones are the client's)."""
    header = struct.pack(">2sBBQ", MAGIC, VERSION, index, cluster)
    return hashlib.sha256(header + server_nonce + client_nonce).digest()


def encode_frame(keyring: Keyring, context: bytes, body: bytes) -> bytes:
    """A frame as it is sent."""
    return struct.pack(">I", len(body) + MAC_BYTES) + body + keyring.sign(context + body)


def open_frame(keyring: Keyring, context: bytes, data: bytes) -> bytes:
    """The body of a frame without its length; raises ProtocolError."""
    if len(data) <= MAC_BYTES:
        raise ProtocolError(DropReason.LENGTH)
    body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not keyring.verify(context + body, mac):
        raise ProtocolError(DropReason.MAC)
    return body
