"""Encoding of the membership protocol, version 1: datagrams of at most 1,200 bytes, and the frames of a state exchange.

Datagram: `2s magic "MG", u8 version, u8 0, u64 cluster, u64 sender's boot id, u64 receiver's boot id, u64 number`, a
body in MessagePack, and the first 16 bytes of the HMAC-SHA-256 over everything before them.  Numbers are big-endian;
`cluster` is the xxHash3-64 of the cluster's name.  The receiver's boot id binds a datagram to one process, and `number`
increases with each datagram of a sender: a datagram that is replayed to the same process or to a later one is dropped.
A sender that has no boot id for the receiver writes 0 and receives the current one in a `WrongBootId`.

Frame of an exchange: `u32 length`, body in MessagePack, HMAC over a context and the body.  The context covers fresh
nonces of both sides and the frame's index, which also gives the direction, so that a frame of one exchange is not
valid in another.

Messages are encoded as arrays: their tags and the order of their fields are the wire format.
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
MAX_DATAGRAM_BYTES = 1200  # fits the minimum MTU of IPv6 and leaves room for tunnel headers
MAX_FRAME_BYTES = 4 << 20  # room for tens of thousands of members
MAX_RECORDS = 20_000
HEADER = struct.Struct(">2sBBQQQQ")
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - MAC_BYTES
Records = Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_RECORDS)]


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """The sending member and its address; the source address of the datagram may belong to a relay."""

    name: MemberName
    host: Host
    port: Port


class ReceiverView(msgspec.Struct, array_like=True, frozen=True):
    """The sender's record of the receiver, in short.

    With it, a ping, ack or gossip message carries a suspicion to the suspected member itself, which can refute it early
    (the buddy system of Lifeguard).
    """

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
    """Acknowledges a probe."""

    sender: Sender
    nonce: U64
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class IndirectPing(msgspec.Struct, array_like=True, tag=3):
    """Asks the receiver, a helper, to probe a target on behalf of the sender."""

    sender: Sender
    nonce: U64
    target: MemberName
    host: Host
    port: Port
    boot_id: U64


class IndirectPingResponse(msgspec.Struct, array_like=True, tag=4):
    """A helper's result: whether the target acknowledged its probe in time; a nack (as in Lifeguard) if not."""

    sender: Sender
    nonce: U64
    acknowledged: bool


class Gossip(msgspec.Struct, array_like=True, tag=5):
    """Disseminates member records."""

    sender: Sender
    receiver_view: ReceiverView | None
    digest: Digest
    records: Records = []


class WrongBootId(msgspec.Struct, array_like=True, tag=6):
    """Replies to a datagram that was addressed to another process, with the boot id of the process that received it."""

    sender: Sender
    boot_id: U64
    node_id: U64


class PullRequest(msgspec.Struct, array_like=True, tag=10):
    """Opens an exchange with the digests of the requester's buckets and its own record."""

    sender: Sender
    digests: Annotated[list[Digest], msgspec.Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]
    own_record: MemberRecord


class PullResponse(msgspec.Struct, array_like=True, tag=11):
    """Answers a pull request with the records of the buckets that differ."""

    sender: Sender
    own_record: MemberRecord
    buckets: list[int]
    records: Records = []


class PushState(msgspec.Struct, array_like=True, tag=12):
    """Sends the records of those buckets that the other side lacks or holds in an older version."""

    sender: Sender
    records: Records = []


class ExchangeDone(msgspec.Struct, array_like=True, tag=13):
    """Ends the exchange."""


Message = Ping | Ack | IndirectPing | IndirectPingResponse | Gossip | WrongBootId
GossipCarrier = Ping | Ack | Gossip  # messages with room for records
Frame = PullRequest | PullResponse | PushState | ExchangeDone
_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(Message)
_frame_decoder = msgspec.msgpack.Decoder(Frame)


def cluster_hash(name: str) -> int:
    """Return the hash that stands for a cluster's name in each datagram."""
    return xxhash.xxh3_64_intdigest(name.encode())


def encode(value: Message | Frame | MemberRecord) -> bytes:
    """Return the body of a message or frame, or a single record, in MessagePack."""
    return _encoder.encode(value)


def attach_encoded(message: GossipCarrier, encoded_records: list[bytes]) -> None:
    """Set the records of a message to records that are encoded already."""
    message.records = cast(list[MemberRecord], [msgspec.Raw(data) for data in encoded_records])


class DatagramHeader(NamedTuple):
    """The boot ids of the sending and the receiving process, and the sequence number of the datagram."""

    source_boot_id: int
    target_boot_id: int
    number: int


class OpenedDatagram(NamedTuple):
    """A datagram whose MAC has been verified."""

    header: DatagramHeader
    body: bytes


def encode_datagram(keyring: Keyring, cluster: int, header: DatagramHeader, message: Message) -> bytes:
    """Return the signed datagram that carries a message."""
    data = HEADER.pack(MAGIC, VERSION, 0, cluster, *header) + _encoder.encode(message)
    return data + keyring.sign(data)


def open_datagram(keyring: Keyring, cluster: int, data: bytes) -> OpenedDatagram:
    """Check everything except the body; raises ProtocolError."""
    if not HEADER.size + MAC_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise ProtocolError(DropReason.LENGTH)
    magic, version, _, datagram_cluster, *header = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise ProtocolError(DropReason.MAGIC)
    if version != VERSION:
        raise ProtocolError(DropReason.VERSION)
    if datagram_cluster != cluster:
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
    """Return the context of a frame's MAC: both nonces and the frame's index, which is even for the client's frames."""
    header = struct.pack(">2sBBQ", MAGIC, VERSION, index, cluster)
    return hashlib.sha256(header + server_nonce + client_nonce).digest()


def encode_frame(keyring: Keyring, context: bytes, body: bytes) -> bytes:
    """Return a frame with its length and its MAC."""
    return struct.pack(">I", len(body) + MAC_BYTES) + body + keyring.sign(context + body)


def open_frame(keyring: Keyring, context: bytes, data: bytes) -> bytes:
    """Verify a frame, given without its length, and return its body; raises ProtocolError."""
    if len(data) <= MAC_BYTES:
        raise ProtocolError(DropReason.LENGTH)
    body, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not keyring.verify(context + body, mac):
        raise ProtocolError(DropReason.MAC)
    return body
