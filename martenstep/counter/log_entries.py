"""The entries of the counter's log: their binary layouts, and the functions that encode and decode them.

The first byte is the entry's type, and the next eight are the service's time (Unix ms).  All numbers are big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from martenstep.counter.protocol import ProtocolError, RecordAttempt

ENTRY_ADD = 1
ENTRY_ATTEMPT = 2
ENTRY_GATEWAY = 3
ENTRY_TERM = 5  # 4 is the log's seal, which carries no entry of the counter

MAX_ATTEMPT_TEXT_BYTES = 0xFFFF  # for all strings of one attempt together

ADD_LAYOUT = struct.Struct(">BdIQQdd")  # type, time, gateway, sequence, key, units, time to live
_ATTEMPT_LAYOUT = struct.Struct(">BdIQddBBHHHH")  # type, time, gateway, sequence, attempt's time, units, flags, lengths
_GATEWAY_LAYOUT = struct.Struct(">BdIQH")  # type, time, number, epoch, length of the name
_TERM_LAYOUT = struct.Struct(">BdQ")  # type, time, term


@dataclass(slots=True)
class AddEntry:
    """An add, as stored in the log."""

    logged_at_ms: float
    gateway_number: int
    sequence: int
    key: int
    units: float
    ttl_ms: float


@dataclass(slots=True)
class AttemptEntry:
    """A recorded attempt, as stored in the log."""

    logged_at_ms: float
    gateway_number: int
    sequence: int
    time_ms: float
    units: float
    over_quota: bool
    duplicate: bool  # its request id was already known, so it adds nothing to the usage
    request_id: str
    customer: str
    plan: str
    request_class: str


@dataclass(slots=True)
class GatewayEntry:
    """The beginning of a gateway's epoch, as stored in the log."""

    logged_at_ms: float
    number: int
    epoch: int
    name: str


def decode_add(entry: bytes) -> AddEntry:
    """Decode the entry of an add."""
    return AddEntry(*ADD_LAYOUT.unpack(entry)[1:])


def encode_attempt(
    logged_at_ms: float, gateway_number: int, command: RecordAttempt, time_ms: float, duplicate: bool
) -> bytes:
    """Encode the entry of an attempt; raises ProtocolError if its strings are too long.

    `time_ms` is the attempt's time as the service may have corrected it.
    """
    texts = [text.encode() for text in (command.request_id, command.customer, command.plan, command.request_class)]
    if sum(map(len, texts)) > MAX_ATTEMPT_TEXT_BYTES:
        raise ProtocolError("an attempt whose strings are too long")
    head = _ATTEMPT_LAYOUT.pack(
        ENTRY_ATTEMPT,
        logged_at_ms,
        gateway_number,
        command.sequence,
        time_ms,
        command.units,
        command.over_quota,
        duplicate,
        *map(len, texts),
    )
    return head + b"".join(texts)


def decode_attempt(entry: bytes) -> AttemptEntry:
    """Decode the entry of an attempt."""
    _, logged_at_ms, gateway_number, sequence, time_ms, units, over_quota, duplicate, *sizes = (
        _ATTEMPT_LAYOUT.unpack_from(entry)
    )
    texts = []
    offset = _ATTEMPT_LAYOUT.size
    for size in sizes:
        texts.append(entry[offset : offset + size].decode())
        offset += size
    return AttemptEntry(
        logged_at_ms, gateway_number, sequence, time_ms, units, bool(over_quota), bool(duplicate), *texts
    )


def encode_gateway(entry: GatewayEntry) -> bytes:
    """Encode the beginning of a gateway's epoch."""
    name = entry.name.encode()
    return _GATEWAY_LAYOUT.pack(ENTRY_GATEWAY, entry.logged_at_ms, entry.number, entry.epoch, len(name)) + name


def decode_gateway(entry: bytes) -> GatewayEntry:
    """Decode the beginning of a gateway's epoch."""
    _, logged_at_ms, number, epoch, size = _GATEWAY_LAYOUT.unpack_from(entry)
    begin = _GATEWAY_LAYOUT.size
    return GatewayEntry(logged_at_ms, number, epoch, entry[begin : begin + size].decode())


def encode_term(now_ms: float, term: int) -> bytes:
    """Encode the beginning of a term."""
    return _TERM_LAYOUT.pack(ENTRY_TERM, now_ms, term)


def decode_term(entry: bytes) -> int:
    """Return the term that an entry begins."""
    return int(_TERM_LAYOUT.unpack(entry)[2])
