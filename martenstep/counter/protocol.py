"""The counter's protocol, version 1, without sockets.  All numbers are big-endian.

Frame: `u32 length` of the payload (1 to 65,536), `u32 crc32c` of the payload, payload.  The payload's first byte is its
kind.  Strings are `u16 length` and UTF-8.  A connection begins with HELLO and its answer; then commands and replies,
pipelined: replies come in the order of the commands.

| kind | name | payload after the kind |
| --- | --- | --- |
| 0x01 | HELLO | u16 version, u32 map version, u64 epoch, u64 highest term seen, string door, string group if any |
| 0x02 | ADD | u64 sequence, u64 name, f64 units, f64 expiry in ms when the name is new |
| 0x03 | READ | u64 sequence, u64 name |
| 0x04 | RECORD | u64 sequence, f64 time (Unix ms), f64 units, u8 beyond, strings request, customer, plan, class |
| 0x05 | FOLLOW | u16 version, u64 term, u64 next record wanted, u32 CRC32C of the record before it |
| 0x06 | ACK | u64 next record: all before it are durable at the follower |
| 0x81 | WELCOME | u16 version, u32 map version, u64 term, u64 highest sequence known of this epoch |
| 0x82 | TOTAL | u64 sequence, u8 status, f64 total |
| 0x83 | STORED | u64 sequence, u8 status |
| 0x84 | REFUSED | u8 status, string reason; the connection ends |
| 0x85 | ENTRIES | u64 number of the first record, then records as they stand in a segment |

Statuses are those of `Status`.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

import google_crc32c

PROTOCOL_VERSION = 1
MAX_PAYLOAD_BYTES = 65_536  # of a payload
FRAME_HEADER = struct.Struct(">II")
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
HELLO, ADD, READ, RECORD, FOLLOW, ACK = 0x01, 0x02, 0x03, 0x04, 0x05, 0x06
WELCOME, TOTAL, STORED, REFUSED, ENTRIES = 0x81, 0x82, 0x83, 0x84, 0x85
crc32c = google_crc32c.value


class Status(IntEnum):
    """What became of a command."""

    DONE = 0  # counted or recorded, now
    REPEATED = 1  # was counted or recorded before under the same sequence; this is the first result
    KNOWN = 2  # the try is recorded already, by another command: not once more
    TOO_OLD = 3  # beyond the window in which repeats are known: whether it was counted is not known, and it is not now
    REUSED = 4  # the sequence was used for another command: the door must take a new epoch
    FENCED = 5  # the door's epoch is over: a later one was seen
    FULL = 6  # a stated bound is reached: not counted
    UNWRITTEN = 7  # the log cannot be written: not acknowledged, and it may or may not be there
    VERSION = 8  # the protocol's version is not spoken here
    MAP = 9  # the map of names to services is another: reload it
    BAD = 10  # not a frame of this protocol
    MOVED = 11  # another copy leads: the reason is its address for doors, or empty while nobody is known to


class ProtocolError(Exception):
    """Bytes that are no frame: the connection ends."""


@dataclass(slots=True)
class Hello:
    """Who speaks: a door, and which of its lives; and to which group, where several are held there."""

    gateway: str
    epoch: int
    map_version: int = 1
    version: int = PROTOCOL_VERSION
    term: int = 0
    group: str = ""


@dataclass(slots=True)
class FollowRequest:
    """A follower asks for the log from a record on."""

    term: int
    next_index: int
    previous_checksum: int  # of the record before it, 0 where there is none: tells logs apart
    version: int = PROTOCOL_VERSION


@dataclass(slots=True)
class FollowAck:
    """All records before this one are durable at the follower."""

    next_index: int


@dataclass(slots=True)
class LogRecords:
    """Records of the log, as they stand in a segment."""

    first_index: int
    data: bytes


@dataclass(slots=True)
class Add:
    """Add units to a name."""

    sequence: int
    key: int
    units: float
    ttl_ms: float


@dataclass(slots=True)
class Read:
    """Tell a name's total."""

    sequence: int
    key: int


@dataclass(slots=True)
class RecordAttempt:
    """A try that was sent on."""

    sequence: int
    time_ms: float
    units: float
    over_quota: bool
    request_id: str
    customer: str
    plan: str
    request_class: str


@dataclass(slots=True)
class Welcome:
    """The session is open."""

    highest_sequence: int
    map_version: int = 1
    version: int = PROTOCOL_VERSION
    term: int = 0


@dataclass(slots=True)
class TotalReply:
    """Reply to Add and Read."""

    sequence: int
    status: Status
    total: float


@dataclass(slots=True)
class RecordReply:
    """Reply to Record."""

    sequence: int
    status: Status


@dataclass(slots=True)
class Rejection:
    """The connection ends, and why."""

    status: Status
    reason: str


Command = Hello | Add | Read | RecordAttempt | FollowRequest | FollowAck
Reply = Welcome | TotalReply | RecordReply | Rejection | LogRecords
Frame = Command | Reply


def reply_without_result(
    told: Add | Read | RecordAttempt | TotalReply | RecordReply, status: Status
) -> TotalReply | RecordReply:
    """The reply to a command, or in place of a reply to one, that has no result but a status."""
    if isinstance(told, RecordAttempt | RecordReply):
        return RecordReply(told.sequence, status)
    return TotalReply(told.sequence, status, 0.0)


def frame_payload(payload: bytes) -> bytes:
    """A payload with its head."""
    return FRAME_HEADER.pack(len(payload), crc32c(payload)) + payload


def _strings(*texts: str) -> bytes:
    parts = []
    for text in texts:
        data = text.encode()
        if len(data) > 0xFFFF:
            raise ProtocolError(f"a string of {len(data)} bytes")
        parts.append(len(data).to_bytes(2, "big") + data)
    return b"".join(parts)


def _texts(payload: bytes, at: int, count: int) -> list[str]:
    found = []
    for _ in range(count):
        size = int.from_bytes(payload[at : at + 2], "big")
        at += 2
        if len(payload) < at + size:
            raise ProtocolError("a string is cut off")
        found.append(payload[at : at + size].decode())
        at += size
    if at != len(payload):
        raise ProtocolError(f"{len(payload) - at} bytes too many")
    return found


def encode(frame: Frame) -> bytes:
    """A frame as bytes, head included; raises FrameError where it is too large."""
    match frame:
        case Add():
            payload = _ADD.pack(ADD, frame.sequence, frame.key, frame.units, frame.ttl_ms)
        case TotalReply():
            payload = _TOTAL.pack(TOTAL, frame.sequence, frame.status, frame.total)
        case Read():
            payload = _READ.pack(READ, frame.sequence, frame.key)
        case RecordAttempt():
            payload = _RECORD.pack(RECORD, frame.sequence, frame.time_ms, frame.units, frame.over_quota)
            payload += _strings(frame.request_id, frame.customer, frame.plan, frame.request_class)
        case RecordReply():
            payload = _STORED.pack(STORED, frame.sequence, frame.status)
        case Hello():
            payload = _HELLO.pack(HELLO, frame.version, frame.map_version, frame.epoch, frame.term)
            payload += _strings(frame.gateway, frame.group) if frame.group else _strings(frame.gateway)
        case Welcome():
            payload = _WELCOME.pack(WELCOME, frame.version, frame.map_version, frame.term, frame.highest_sequence)
        case LogRecords():
            payload = _ENTRIES.pack(ENTRIES, frame.first_index) + frame.data
        case FollowRequest():
            payload = _FOLLOW.pack(FOLLOW, frame.version, frame.term, frame.next_index, frame.previous_checksum)
        case FollowAck():
            payload = _ACK.pack(ACK, frame.next_index)
        case Rejection():
            payload = _REFUSED.pack(REFUSED, frame.status) + _strings(frame.reason)
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ProtocolError(f"a frame of {len(payload)} bytes: {MAX_PAYLOAD_BYTES} are allowed")
    return frame_payload(payload)


def decode(payload: bytes) -> Frame:
    """A payload as a frame; raises FrameError."""
    try:
        kind = payload[0]
        if kind == ADD:
            return Add(*_ADD.unpack(payload)[1:])
        if kind == TOTAL:
            _, sequence, status, total = _TOTAL.unpack(payload)
            return TotalReply(sequence, Status(status), total)
        if kind == READ:
            return Read(*_READ.unpack(payload)[1:])
        if kind == RECORD:
            _, sequence, time_ms, units, beyond = _RECORD.unpack_from(payload)
            return RecordAttempt(sequence, time_ms, units, bool(beyond), *_texts(payload, _RECORD.size, 4))
        if kind == STORED:
            _, sequence, status = _STORED.unpack(payload)
            return RecordReply(sequence, Status(status))
        if kind == HELLO:
            _, version, map_version, epoch, term = _HELLO.unpack_from(payload)
            size = _HELLO.size + 2 + int.from_bytes(payload[_HELLO.size : _HELLO.size + 2], "big")
            door, *group = _texts(payload, _HELLO.size, 1 if len(payload) <= size else 2)
            return Hello(door, epoch, map_version, version, term, *group)
        if kind == WELCOME:
            _, version, map_version, term, highest = _WELCOME.unpack(payload)
            return Welcome(highest, map_version, version, term)
        if kind == ENTRIES:
            return LogRecords(_ENTRIES.unpack_from(payload)[1], payload[_ENTRIES.size :])
        if kind == FOLLOW:
            _, version, term, after, check = _FOLLOW.unpack(payload)
            return FollowRequest(term, after, check, version)
        if kind == ACK:
            return FollowAck(_ACK.unpack(payload)[1])
        if kind == REFUSED:
            return Rejection(Status(_REFUSED.unpack_from(payload)[1]), _texts(payload, _REFUSED.size, 1)[0])
    except (struct.error, ValueError, IndexError) as error:
        raise ProtocolError(f"a frame that cannot be read: {error}") from None
    raise ProtocolError(f"a frame of no known kind: {kind:#x}")


class FrameDecoder:
    """Takes bytes as they come and gives whole payloads, their checksums proven."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has begun and is not whole."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """The payloads that are whole; raises FrameError on a bad length or checksum."""
        buffer = self._buffer
        buffer += data
        found, at, size = [], 0, len(buffer)
        while size - at >= 8:
            length, check = FRAME_HEADER.unpack_from(buffer, at)
            if not 1 <= length <= MAX_PAYLOAD_BYTES:
                raise ProtocolError(f"a frame of {length} bytes: 1 to {MAX_PAYLOAD_BYTES} are allowed")
            end = at + 8 + length
            if size < end:
                break
            payload = bytes(buffer[at + 8 : end])
            if crc32c(payload) != check:
                raise ProtocolError("a frame whose checksum does not fit")
            found.append(payload)
            at = end
        if at:
            del buffer[:at]
        return found
