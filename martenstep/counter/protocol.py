"""The counter's protocol, version 1, without sockets.  All numbers are big-endian.

Frame: `u32 length` of the payload (1 to 65,536), `u32 crc32c` of the payload, payload.  The payload's first byte is its
type.  Strings are `u16 length` and UTF-8.  A connection begins with HELLO and its answer.  Commands may then be
pipelined; the replies arrive in the order of the commands.

| type | name | payload after the type |
| --- | --- | --- |
| 0x01 | HELLO | u16 version, u32 map version, u64 epoch, u64 highest term seen, string gateway, optional string group |
| 0x02 | ADD | u64 sequence, u64 key, f64 units, f64 time to live in ms when the key is new |
| 0x03 | READ | u64 sequence, u64 key |
| 0x04 | RECORD | u64 sequence, f64 time (Unix ms), f64 units, u8 over quota, strings request, customer, plan, class |
| 0x05 | FOLLOW | u16 version, u64 term, u64 next record wanted, u32 CRC32C of the record before it |
| 0x06 | ACK | u64 next record: all earlier records are durable at the follower |
| 0x81 | WELCOME | u16 version, u32 map version, u64 term, u64 highest sequence known of this epoch |
| 0x82 | TOTAL | u64 sequence, u8 status, f64 total |
| 0x83 | STORED | u64 sequence, u8 status |
| 0x84 | REFUSED | u8 status, string reason; the connection ends |
| 0x85 | ENTRIES | u64 number of the first record, then records in the form of a segment |

The statuses are the values of `Status`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import google_crc32c

from martenstep.counter.errors import CounterError

PROTOCOL_VERSION = 1
MAX_PAYLOAD_BYTES = 65_536
MAX_STRING_BYTES = 0xFFFF
FRAME_HEADER = struct.Struct(">II")

HELLO = 0x01
ADD = 0x02
READ = 0x03
RECORD = 0x04
FOLLOW = 0x05
ACK = 0x06
WELCOME = 0x81
TOTAL = 0x82
STORED = 0x83
REFUSED = 0x84
ENTRIES = 0x85

_HELLO = struct.Struct(">BHIQQ")
_FOLLOW = struct.Struct(">BHQQI")
_ACK = struct.Struct(">BQ")
_ENTRIES = struct.Struct(">BQ")
_ADD = struct.Struct(">BQQdd")
_READ = struct.Struct(">BQQ")
_RECORD = struct.Struct(">BQddB")
_WELCOME = struct.Struct(">BHIQQ")
_TOTAL = struct.Struct(">BQBd")
_STORED = struct.Struct(">BQB")
_REFUSED = struct.Struct(">BB")

crc32c = google_crc32c.value


class Status(IntEnum):
    """The result of a command.  Logs and error texts show the names of the members."""

    DONE = 0  # counted or recorded by this command
    REPEATED = 1  # counted or recorded earlier under the same sequence; the reply holds the first result
    KNOWN = 2  # another command has recorded the attempt, so it was not recorded again
    TOO_OLD = 3  # outside the deduplication window: it may have been counted earlier, and is not counted now
    REUSED = 4  # the sequence was used for a different command: the gateway must begin a new epoch
    FENCED = 5  # the gateway's epoch is over, because a later one has begun
    FULL = 6  # a configured bound is reached; nothing was counted
    UNWRITTEN = 7  # the log cannot be written: the command is indeterminate
    VERSION = 8  # the protocol version is not supported
    MAP = 9  # the map of keys to services has a different version: reload it
    BAD = 10  # not a valid frame or command of this protocol
    MOVED = 11  # another replica leads: the reason is its address for gateways, or empty if unknown


class ProtocolError(CounterError):
    """The bytes are not a valid frame, or the frame is not allowed at this point; the connection ends."""


@dataclass(slots=True)
class Hello:
    """Opens a session for a gateway's epoch; `group` selects a replica group if the listener serves several."""

    gateway: str
    epoch: int
    map_version: int = 1
    version: int = PROTOCOL_VERSION
    term: int = 0
    group: str = ""


@dataclass(slots=True)
class FollowRequest:
    """A follower's request for the log, beginning with record `next_index`."""

    term: int
    next_index: int
    previous_checksum: int  # of the record before it, 0 if there is none; detects diverged logs
    version: int = PROTOCOL_VERSION


@dataclass(slots=True)
class FollowAck:
    """The follower's report that all records before `next_index` are durable there."""

    next_index: int


@dataclass(slots=True)
class LogRecords:
    """Records of the log, in the form of a segment."""

    first_index: int
    data: bytes


@dataclass(slots=True)
class Add:
    """Adds units to a key."""

    sequence: int
    key: int
    units: float
    ttl_ms: float  # applies if the key is new


@dataclass(slots=True)
class Read:
    """Requests a key's total."""

    sequence: int
    key: int


@dataclass(slots=True)
class RecordAttempt:
    """Records an attempt that was forwarded."""

    sequence: int
    time_ms: float  # Unix
    units: float
    over_quota: bool
    request_id: str
    customer: str
    plan: str
    request_class: str


@dataclass(slots=True)
class Welcome:
    """The reply to Hello: the session is open."""

    highest_sequence: int
    map_version: int = 1
    version: int = PROTOCOL_VERSION
    term: int = 0


@dataclass(slots=True)
class TotalReply:
    """The reply to Add and Read."""

    sequence: int
    status: Status
    total: float


@dataclass(slots=True)
class RecordReply:
    """The reply to RecordAttempt."""

    sequence: int
    status: Status


@dataclass(slots=True)
class Rejection:
    """States why the connection is being closed."""

    status: Status
    reason: str


Command = Hello | Add | Read | RecordAttempt | FollowRequest | FollowAck
Reply = Welcome | TotalReply | RecordReply | Rejection | LogRecords
Frame = Command | Reply


def reply_without_result(
    message: Add | Read | RecordAttempt | TotalReply | RecordReply, status: Status
) -> TotalReply | RecordReply:
    """Build a reply that has only a status, for a command or in place of another reply."""
    if isinstance(message, RecordAttempt | RecordReply):
        return RecordReply(message.sequence, status)
    return TotalReply(message.sequence, status, 0.0)


def frame_payload(payload: bytes) -> bytes:
    """Return a payload with its frame header."""
    return FRAME_HEADER.pack(len(payload), crc32c(payload)) + payload


def _encode_strings(*texts: str) -> bytes:
    parts = []
    for text in texts:
        data = text.encode()
        if len(data) > MAX_STRING_BYTES:
            raise ProtocolError(f"a string of {len(data)} bytes")
        parts.append(len(data).to_bytes(2, "big") + data)
    return b"".join(parts)


def _decode_strings(payload: bytes, offset: int, count: int) -> list[str]:
    texts = []
    for _ in range(count):
        size = int.from_bytes(payload[offset : offset + 2], "big")
        offset += 2
        if len(payload) < offset + size:
            raise ProtocolError("a string is cut off")
        texts.append(payload[offset : offset + size].decode())
        offset += size
    if offset != len(payload):
        raise ProtocolError(f"{len(payload) - offset} bytes too many")
    return texts


def _encode_record(frame: RecordAttempt) -> bytes:
    head = _RECORD.pack(RECORD, frame.sequence, frame.time_ms, frame.units, frame.over_quota)
    return head + _encode_strings(frame.request_id, frame.customer, frame.plan, frame.request_class)


def _encode_hello(frame: Hello) -> bytes:
    head = _HELLO.pack(HELLO, frame.version, frame.map_version, frame.epoch, frame.term)
    if frame.group:
        return head + _encode_strings(frame.gateway, frame.group)
    return head + _encode_strings(frame.gateway)


_ENCODERS: dict[type[Frame], Callable[[Any], bytes]] = {
    RecordAttempt: _encode_record,
    RecordReply: lambda frame: _STORED.pack(STORED, frame.sequence, frame.status),
    Hello: _encode_hello,
    Welcome: lambda frame: _WELCOME.pack(WELCOME, frame.version, frame.map_version, frame.term, frame.highest_sequence),
    LogRecords: lambda frame: _ENTRIES.pack(ENTRIES, frame.first_index) + frame.data,
    FollowRequest: lambda frame: _FOLLOW.pack(
        FOLLOW, frame.version, frame.term, frame.next_index, frame.previous_checksum
    ),
    FollowAck: lambda frame: _ACK.pack(ACK, frame.next_index),
    Rejection: lambda frame: _REFUSED.pack(REFUSED, frame.status) + _encode_strings(frame.reason),
}


def encode(frame: Frame) -> bytes:
    """Encode a frame, header included; raises ProtocolError if it is too large."""
    # Adds, reads and their replies are the hot path, so they are handled inline.
    if isinstance(frame, Add):
        payload = _ADD.pack(ADD, frame.sequence, frame.key, frame.units, frame.ttl_ms)
    elif isinstance(frame, TotalReply):
        payload = _TOTAL.pack(TOTAL, frame.sequence, frame.status, frame.total)
    elif isinstance(frame, Read):
        payload = _READ.pack(READ, frame.sequence, frame.key)
    else:
        payload = _ENCODERS[type(frame)](frame)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ProtocolError(f"a frame of {len(payload)} bytes: {MAX_PAYLOAD_BYTES} are allowed")
    return frame_payload(payload)


def _decode_record(payload: bytes) -> RecordAttempt:
    _, sequence, time_ms, units, over_quota = _RECORD.unpack_from(payload)
    return RecordAttempt(sequence, time_ms, units, bool(over_quota), *_decode_strings(payload, _RECORD.size, 4))


def _decode_stored(payload: bytes) -> RecordReply:
    _, sequence, status = _STORED.unpack(payload)
    return RecordReply(sequence, Status(status))


def _decode_hello(payload: bytes) -> Hello:
    _, version, map_version, epoch, term = _HELLO.unpack_from(payload)
    size_without_group = _HELLO.size + 2 + int.from_bytes(payload[_HELLO.size : _HELLO.size + 2], "big")
    string_count = 1 if len(payload) <= size_without_group else 2
    gateway, *group = _decode_strings(payload, _HELLO.size, string_count)
    return Hello(gateway, epoch, map_version, version, term, *group)


def _decode_welcome(payload: bytes) -> Welcome:
    _, version, map_version, term, highest_sequence = _WELCOME.unpack(payload)
    return Welcome(highest_sequence, map_version, version, term)


def _decode_entries(payload: bytes) -> LogRecords:
    return LogRecords(_ENTRIES.unpack_from(payload)[1], payload[_ENTRIES.size :])


def _decode_follow(payload: bytes) -> FollowRequest:
    _, version, term, next_index, previous_checksum = _FOLLOW.unpack(payload)
    return FollowRequest(term, next_index, previous_checksum, version)


def _decode_ack(payload: bytes) -> FollowAck:
    return FollowAck(_ACK.unpack(payload)[1])


def _decode_refused(payload: bytes) -> Rejection:
    status = Status(_REFUSED.unpack_from(payload)[1])
    return Rejection(status, _decode_strings(payload, _REFUSED.size, 1)[0])


_DECODERS: dict[int, Callable[[bytes], Frame]] = {
    RECORD: _decode_record,
    STORED: _decode_stored,
    HELLO: _decode_hello,
    WELCOME: _decode_welcome,
    ENTRIES: _decode_entries,
    FOLLOW: _decode_follow,
    ACK: _decode_ack,
    REFUSED: _decode_refused,
}


def decode(payload: bytes) -> Frame:
    """Decode a payload; raises ProtocolError."""
    try:
        frame_type = payload[0]
        # Adds, reads and their replies are the hot path, so they are handled inline.
        if frame_type == ADD:
            return Add(*_ADD.unpack(payload)[1:])
        if frame_type == TOTAL:
            _, sequence, status, total = _TOTAL.unpack(payload)
            return TotalReply(sequence, Status(status), total)
        if frame_type == READ:
            return Read(*_READ.unpack(payload)[1:])
        decoder = _DECODERS.get(frame_type)
        if decoder is not None:
            return decoder(payload)
    except (struct.error, ValueError, IndexError) as error:
        raise ProtocolError(f"a frame that cannot be read: {error}") from None
    raise ProtocolError(f"a frame of no known kind: {frame_type:#x}")


class FrameDecoder:
    """Splits received bytes into complete payloads, and verifies their checksums."""

    def __init__(self) -> None:
        """Create a decoder with an empty buffer."""
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether the buffer holds an incomplete frame."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes, and return the complete payloads; raises ProtocolError on a bad length or checksum."""
        buffer = self._buffer
        buffer += data
        payloads = []
        offset = 0
        size = len(buffer)
        header_bytes = FRAME_HEADER.size
        while size - offset >= header_bytes:
            length, checksum = FRAME_HEADER.unpack_from(buffer, offset)
            if not 1 <= length <= MAX_PAYLOAD_BYTES:
                raise ProtocolError(f"a frame of {length} bytes: 1 to {MAX_PAYLOAD_BYTES} are allowed")
            begin = offset + header_bytes
            end = begin + length
            if size < end:
                break
            payload = bytes(buffer[begin:end])
            if crc32c(payload) != checksum:
                raise ProtocolError("a frame whose checksum does not fit")
            payloads.append(payload)
            offset = end
        if offset:
            del buffer[:offset]
        return payloads
