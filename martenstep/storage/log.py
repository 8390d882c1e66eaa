"""The log: segments of records, each with its length and CRC32C; snapshots beside them.

Segment `seg-<first record, 16 hex digits>.log`: a header of 32 bytes (`MSTEPLOG`, u32 version, u64 number of the first
record, 8 bytes of zero, u32 CRC32C of the rest), then records: `u32 length, u32 crc32c, u64 number, u32 back, entry`.
`back` is how many records stand between this one and the last sync before it: all with the same `number - back` were
written since one sync.  The CRC covers number, back and entry.

Snapshot `snap-<records in it, 16 hex digits>.snap`: `MSTEPSNP`, u32 version, u64 records, u32 CRC32C of the body, body.
Written aside, synced, renamed.

On open: the newest snapshot that is whole, then every record after it.  A crash may leave any part of what was written
since the last sync, so in the *last* segment what follows the last whole record is cut off as a torn tail: it was never
acknowledged.  It is only that, though, as long as no whole record behind it was written after a later sync; else, and
in any earlier segment, it is damage, and is refused with file and offset.  So that this holds for the last group as
well, a seal (an entry of one byte that says nothing) is written behind each sync.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

import google_crc32c

from martenstep.storage.files import Appender, Files

crc32c = google_crc32c.value
MAGIC, SNAP_MAGIC, VERSION = b"MSTEPLOG", b"MSTEPSNP", 1
HEADER = struct.Struct(">8sIQ8sI")
SNAP_HEADER = struct.Struct(">8sIQI")
RECORD = struct.Struct(">IIQI")
MAX_ENTRY_BYTES = 1 << 17  # of one record: a length above it is damage
SYNC_MARKER = b"\x04"
_PLACE = struct.Struct(">QI")
_CHECKED = struct.Struct(">II")


class LogError(Exception):
    """Damage: which file, at which offset, and what."""

    def __init__(self, file: str, offset: int, text: str) -> None:
        self.file, self.offset, self.text = file, offset, text
        super().__init__(f"{file} at byte {offset}: {text}")


def encode_record(number: int, back: int, entry: bytes) -> bytes:
    """One record as it stands in a segment; the checksum is of all that follows it."""
    placed = _PLACE.pack(number, back) + entry
    return _CHECKED.pack(len(entry), crc32c(placed)) + placed


def encode_segment_header(first: int) -> bytes:
    """A segment's header."""
    head = HEADER.pack(MAGIC, VERSION, first, b"\0" * 8, 0)[:-4]
    return head + struct.pack(">I", crc32c(head))


def segment_name(first: int) -> str:
    """The file of a segment."""
    return f"seg-{first:016x}.log"


def snapshot_name(records: int) -> str:
    """The file of a snapshot."""
    return f"snap-{records:016x}.snap"


@dataclass(frozen=True, slots=True)
class Segment:
    """One segment and the number of its first record."""

    name: str
    first: int


def segments(files: Files) -> list[Segment]:
    """All segments, in order."""
    return [
        Segment(name, int(name[4:20], 16))
        for name in sorted(files.names())
        if name.startswith("seg-") and name.endswith(".log")
    ]


def snapshots(files: Files) -> list[tuple[str, int]]:
    """All snapshots, the newest first."""
    return sorted(
        ((name, int(name[5:21], 16)) for name in files.names() if name.startswith("snap-") and name.endswith(".snap")),
        key=lambda pair: -pair[1],
    )


def read_snapshot(files: Files, name: str) -> bytes:
    """A snapshot's body; raises LogError."""
    data = files.read(name)
    if len(data) < SNAP_HEADER.size:
        raise LogError(name, 0, "shorter than its header")
    magic, version, _, check = SNAP_HEADER.unpack_from(data)
    body = data[SNAP_HEADER.size :]
    if magic != SNAP_MAGIC or version != VERSION:
        raise LogError(name, 0, "not a snapshot of this version")
    if crc32c(body) != check:
        raise LogError(name, SNAP_HEADER.size, "the checksum does not fit")
    return body


def write_snapshot(files: Files, records: int, body: bytes) -> None:
    """Keep a snapshot, whole or not at all."""
    files.write_atomically(snapshot_name(records), SNAP_HEADER.pack(SNAP_MAGIC, VERSION, records, crc32c(body)) + body)


def _whole_at(data: bytes, at: int) -> tuple[int, int, bytes] | None:
    """Number, back and entry of a record that is whole at a place; None where none is."""
    if at + RECORD.size > len(data):
        return None
    length, check, number, back = RECORD.unpack_from(data, at)
    end = at + RECORD.size + length
    if not 1 <= length <= MAX_ENTRY_BYTES or end > len(data):
        return None
    if crc32c(data[at + _CHECKED.size : end]) != check:
        return None
    return number, back, data[at + RECORD.size : end]


def _synced_behind(data: bytes, at: int, number: int) -> int | None:
    """Where, behind a bad record, stands a whole one that was written after a later sync."""
    size = len(data)
    for place in range(at + 1, size - RECORD.size):
        length = int.from_bytes(data[place : place + 4], "big")
        if 1 <= length <= MAX_ENTRY_BYTES and place + RECORD.size + length <= size:
            found = _whole_at(data, place)
            if found is not None and found[0] - found[1] > number:
                return place
    return None


@dataclass(slots=True)
class Scan:
    """One segment read: its entries, and where the last whole record ends."""

    segment: Segment
    entries: list[bytes]
    end: int
    torn: bool  # something follows that is no record


def scan(files: Files, segment: Segment, last: bool) -> Scan:
    """Read a segment; raises LogError on damage."""
    data = files.read(segment.name)
    if len(data) < HEADER.size or data[: HEADER.size] != encode_segment_header(segment.first):
        if last and len(data) <= HEADER.size:
            return Scan(segment, [], 0, True)  # the crash came while it was being begun
        raise LogError(segment.name, 0, "the header does not fit")
    entries: list[bytes] = []
    at, number, size = HEADER.size, segment.first, len(data)
    # The same test as _whole_at's, in line: a restart reads millions of them.
    unpack, most, begin, body = RECORD.unpack_from, MAX_ENTRY_BYTES, _CHECKED.size, RECORD.size
    while at + body <= size:
        length, check, told, _ = unpack(data, at)
        end = at + body + length
        if told != number or not 1 <= length <= most or end > size or crc32c(data[at + begin : end]) != check:
            break
        entries.append(data[at + body : end])
        at, number = end, number + 1
    if at == size:
        return Scan(segment, entries, at, False)
    if not last:
        raise LogError(segment.name, at, f"record {number} is damaged")
    behind = _synced_behind(data, at, number)
    if behind is not None:
        raise LogError(segment.name, at, f"record {number} is damaged, and later ones stand at byte {behind}")
    return Scan(segment, entries, at, True)


def fingerprint_entry(number: int, entry: bytes) -> int:
    """Tells whether two logs hold the same entry under a number, whenever each synced it."""
    return int(crc32c(number.to_bytes(8, "big") + entry))


def decode_records(data: bytes, first: int) -> list[bytes]:
    """The entries of records that stand one behind the other, numbered from the first; raises LogError."""
    entries: list[bytes] = []
    at = 0
    while at < len(data):
        found = _whole_at(data, at)
        if found is None or found[0] != first + len(entries):
            raise LogError("records", at, f"record {first + len(entries)} is not whole")
        entries.append(found[2])
        at += RECORD.size + len(found[2])
    return entries


def read_records(files: Files, first: int, until: int) -> tuple[bytes, int]:
    """Records as they stand in a segment, from one on and below another, up to the segment's end, and the number
    behind the last.  Raises LogError where the first is no longer kept."""
    found = segments(files)
    for index, segment in enumerate(found):
        after = found[index + 1].first if index + 1 < len(found) else until
        if not segment.first <= first < max(after, segment.first + 1):
            continue
        data, at, number = files.read(segment.name), HEADER.size, segment.first
        start = at
        while number < min(after, until) and at + RECORD.size <= len(data):
            if number == first:
                start = at
            at, number = at + RECORD.size + RECORD.unpack_from(data, at)[0], number + 1
        if number <= first:
            raise LogError(segment.name, at, f"ends before record {first}")
        return data[start:at], number
    raise LogError(segment_name(first), 0, f"record {first} is no longer kept here")


@dataclass(slots=True)
class OpenedLog:
    """What a log holds: a snapshot's body, the records after it, and where to go on writing."""

    snapshot: bytes | None
    start: int  # records in the snapshot
    entries: Iterator[bytes]
    count: int
    tail: tuple[Segment, int] | None  # the last segment and its size up to the last whole record
    torn_bytes: int  # bytes of a torn tail


def open_log(files: Files) -> OpenedLog:
    """Read what a log holds; raises LogError on damage or a gap."""
    body, start = None, 0
    for name, records in snapshots(files):
        try:
            body, start = read_snapshot(files, name), records
            break
        except LogError:
            continue  # an older one, or the whole log, tells the same
    found = segments(files)
    scans = []
    reached = start
    for index, segment in enumerate(found):
        last = index == len(found) - 1
        if not last and found[index + 1].first <= start:
            continue  # whole in the snapshot
        if segment.first > reached:
            raise LogError(segment.name, 0, f"records {reached} to {segment.first - 1} are missing")
        read = scan(files, segment, last)
        end = segment.first + len(read.entries)
        if not last and found[index + 1].first != end:
            raise LogError(
                segment.name, read.end, f"ends at record {end}, the next segment begins at {found[index + 1].first}"
            )
        scans.append(read)
        reached = max(reached, end)

    def entries() -> Iterator[bytes]:
        for read in scans:
            yield from read.entries[max(start - read.segment.first, 0) :]

    count = sum(
        len(read.entries) - max(start - read.segment.first, 0)
        for read in scans
        if read.segment.first + len(read.entries) > start
    )
    tail, cut = None, 0
    if scans:
        final = scans[-1]
        if final.segment.first + len(final.entries) < start:
            raise LogError(final.segment.name, final.end, f"ends before the snapshot's {start} records")
        tail = final.segment, final.end
        cut = len(files.read(final.segment.name)) - final.end if final.torn else 0
    return OpenedLog(body, start, entries(), count, tail, cut)


class LogWriter:
    """Adds records and makes them durable together."""

    def __init__(self, files: Files, opened: OpenedLog, segment_bytes: int) -> None:
        self._files, self._segment_bytes = files, segment_bytes
        self.next = opened.start + opened.count
        self.synced = self.next  # records that are durable: a seal behind them may still be lost
        self._file: Appender | None = None
        self._size = 0
        self._seal = b""  # written behind the last group, and not durable yet
        if opened.tail is not None:
            segment, end = opened.tail
            if end >= HEADER.size:
                self._file, self._size = files.append(segment.name, end), end
            else:
                files.remove(segment.name)
        if self._file is None:
            self._begin()

    def _begin(self) -> None:
        if self._file is not None:
            self._file.close()
        self._file = self._files.create(segment_name(self.next))
        data = encode_segment_header(self.next)
        self._file.write(data)
        self._file.sync()
        self._size = len(data)

    def write(self, entries: list[bytes], durable: bool) -> tuple[int, bytes]:
        """Add entries, durable once this returns; gives the records as written, with the seal before them, and the
        number of their first.  Raises OSError: then nothing more may be written."""
        assert self._file is not None
        first, back = self.next, self.next - self.synced
        data = b"".join([encode_record(first + index, back + index, entry) for index, entry in enumerate(entries)])
        self._file.write(data)
        self.next += len(entries)
        self._size += len(data)
        full = self._size >= self._segment_bytes
        if durable or full:
            self._file.sync()
            self.synced = self.next
        shipped = first - bool(self._seal), self._seal + data
        self._seal = b""
        if full:
            self._begin()
        elif durable:
            self._seal = encode_record(self.next, 0, SYNC_MARKER)
            self._file.write(self._seal)
            self.next += 1
            self._size += len(self._seal)
        return shipped

    def append_copied(self, entries: list[bytes]) -> None:
        """Add entries of another log, seals included, under the same numbers; durable once this returns.  Their place
        since the last sync is this log's own.  Raises OSError."""
        assert self._file is not None
        data = b"".join([encode_record(self.next + index, index, entry) for index, entry in enumerate(entries)])
        self._file.write(data)
        self._file.sync()
        self.next += len(entries)
        self.synced = self.next
        self._size += len(data)
        if self._size >= self._segment_bytes:
            self._begin()

    def sync(self) -> None:
        """Make all that was written durable; raises OSError."""
        assert self._file is not None
        if self.synced < self.next:
            self._file.sync()
            self.synced = self.next

    def abandon(self) -> None:
        """Close without making anything durable, after a failure."""
        file, self._file = self._file, None
        if file is not None:
            file.close()

    def close(self) -> None:
        """Make the rest durable and close."""
        if self._file is not None:
            self._file.sync()
            self._file.close()
            self._file = None


def compact(files: Files, keep_from: int) -> list[str]:
    """Remove segments that lie before the first record to be kept and are whole in both of the two newest snapshots
    (the older stands in where the newer is damaged), and all older snapshots; gives their names."""
    kept = snapshots(files)
    found, gone = segments(files), []
    before = kept[1][1] if len(kept) > 1 else 0
    for segment, after in pairwise(found):
        if after.first <= min(before, keep_from):
            files.remove(segment.name)
            gone.append(segment.name)
    for name, _ in snapshots(files)[2:]:
        files.remove(name)
        gone.append(name)
    return gone
