"""The format of segments and records.

A segment begins with a header of 32 bytes: `MSTEPLOG`, u32 version, u64 number of its first record, 8 bytes of zero,
u32 CRC32C of the rest.  Records follow: `u32 length, u32 crc32c, u64 number, u32 since_sync, entry`.  `since_sync` is
the number of records between this one and the last sync before it: all records with the same `number - since_sync` were
written after the same sync.  The CRC covers number, since_sync and entry.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import google_crc32c

from martenstep.storage.log.errors import LogError

crc32c = google_crc32c.value
MAGIC = b"MSTEPLOG"
VERSION = 1
HEADER = struct.Struct(">8sIQ8sI")
RECORD = struct.Struct(">IIQI")
MAX_ENTRY_BYTES = 1 << 17  # of one record; a greater length means damage
SYNC_MARKER = b"\x04"  # the entry that is written after a sync
_RESERVED = b"\0" * 8
_CHECKSUM = struct.Struct(">I")
_CHECKED_FIELDS = struct.Struct(">QI")  # number, since_sync
LENGTH_AND_CHECKSUM = struct.Struct(">II")


@dataclass(frozen=True, slots=True)
class Record:
    """One decoded record."""

    number: int
    since_sync: int
    entry: bytes

    @property
    def durable_records(self) -> int:
        """Number of records that were durable when this one was written."""
        return self.number - self.since_sync


def encode_record(number: int, since_sync: int, entry: bytes) -> bytes:
    """Encode one record for a segment."""
    checked = _CHECKED_FIELDS.pack(number, since_sync) + entry
    return LENGTH_AND_CHECKSUM.pack(len(entry), crc32c(checked)) + checked


def encode_segment_header(first: int) -> bytes:
    """Encode the header of a segment whose first record has the number `first`."""
    checked = HEADER.pack(MAGIC, VERSION, first, _RESERVED, 0)[: -_CHECKSUM.size]
    return checked + _CHECKSUM.pack(crc32c(checked))


def decode_record_at(data: bytes, offset: int) -> Record | None:
    """Decode the record at an offset; None if there is no whole record."""
    if offset + RECORD.size > len(data):
        return None
    length, checksum, number, since_sync = RECORD.unpack_from(data, offset)
    end = offset + RECORD.size + length
    if not 1 <= length <= MAX_ENTRY_BYTES or end > len(data):
        return None
    if crc32c(data[offset + LENGTH_AND_CHECKSUM.size : end]) != checksum:
        return None
    return Record(number, since_sync, data[offset + RECORD.size : end])


def decode_records(data: bytes, first: int) -> list[bytes]:
    """Decode consecutive records, numbered from `first`, and return their entries; raises LogError."""
    entries: list[bytes] = []
    offset = 0
    while offset < len(data):
        record = decode_record_at(data, offset)
        if record is None or record.number != first + len(entries):
            raise LogError("records", offset, f"record {first + len(entries)} is not whole")
        entries.append(record.entry)
        offset += RECORD.size + len(record.entry)
    return entries


def fingerprint_entry(number: int, entry: bytes) -> int:
    """Return a checksum of an entry and its number, to compare logs independently of when each synced it."""
    return int(crc32c(number.to_bytes(8, "big") + entry))
