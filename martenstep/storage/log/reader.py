"""Reading a log: whole segments, some records of one, and all that a start needs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from martenstep.storage.files import Files
from martenstep.storage.log.errors import LogError
from martenstep.storage.log.record import (
    HEADER,
    LENGTH_AND_CHECKSUM,
    MAX_ENTRY_BYTES,
    RECORD,
    crc32c,
    decode_record_at,
    encode_segment_header,
)
from martenstep.storage.log.segment import Segment, segment_name, segments
from martenstep.storage.log.snapshot import read_newest_snapshot


@dataclass(slots=True)
class SegmentContent:
    """One segment as it was read."""

    segment: Segment
    entries: list[bytes]
    end: int  # offset behind the last whole record
    torn: bool  # something follows that is no record

    @property
    def next(self) -> int:
        """The number behind its last record."""
        return self.segment.first + len(self.entries)

    def entries_from(self, number: int) -> list[bytes]:
        """Its entries from a record on."""
        return self.entries[max(number - self.segment.first, 0) :]


@dataclass(slots=True)
class OpenedLog:
    """What a log holds: a snapshot's body, the records after it, and where to go on writing."""

    snapshot: bytes | None
    start: int  # records in the snapshot
    entries: Iterator[bytes]
    count: int
    tail: tuple[Segment, int] | None  # the last segment and its size up to the last whole record
    torn_bytes: int  # behind that


def scan(files: Files, segment: Segment, last: bool) -> SegmentContent:
    """Read a segment; `last` tells whether it may end in a torn tail.  Raises LogError on damage."""
    data = files.read(segment.name)
    if len(data) < HEADER.size or data[: HEADER.size] != encode_segment_header(segment.first):
        if last and len(data) <= HEADER.size:
            return SegmentContent(segment, [], 0, True)  # the crash came while it was being begun
        raise LogError(segment.name, 0, "the header does not fit")
    entries, end = _read_entries(data, segment.first)
    if end == len(data):
        return SegmentContent(segment, entries, end, False)
    number = segment.first + len(entries)
    if not last:
        raise LogError(segment.name, end, f"record {number} is damaged")
    later = _find_synced_later(data, end, number)
    if later is not None:
        raise LogError(segment.name, end, f"record {number} is damaged, and later ones stand at byte {later}")
    return SegmentContent(segment, entries, end, True)


def _read_entries(data: bytes, first: int) -> tuple[list[bytes], int]:
    """The entries of a segment's whole records, and the offset behind the last.

    The same checks as `decode_record_at`, in line: a restart reads millions of records.
    """
    entries: list[bytes] = []
    offset, number, size = HEADER.size, first, len(data)
    unpack, max_length, checked_from, header_size = (
        RECORD.unpack_from,
        MAX_ENTRY_BYTES,
        LENGTH_AND_CHECKSUM.size,
        RECORD.size,
    )
    while offset + header_size <= size:
        length, checksum, stored_number, _ = unpack(data, offset)
        end = offset + header_size + length
        if stored_number != number or not 1 <= length <= max_length or end > size:
            break
        if crc32c(data[offset + checked_from : end]) != checksum:
            break
        entries.append(data[offset + header_size : end])
        offset, number = end, number + 1
    return entries, offset


def _find_synced_later(data: bytes, start: int, number: int) -> int | None:
    """Where, behind a bad record, stands a whole one that was written after a later sync."""
    size = len(data)
    for offset in range(start + 1, size - RECORD.size):
        length = int.from_bytes(data[offset : offset + 4], "big")
        if 1 <= length <= MAX_ENTRY_BYTES and offset + RECORD.size + length <= size:
            record = decode_record_at(data, offset)
            if record is not None and record.synced_before > number:
                return offset
    return None


def read_records(files: Files, first: int, until: int) -> tuple[bytes, int]:
    """Records as they stand in a segment, from `first` on and below `until`, and the number behind the last.

    They end with the segment.  Raises LogError where the first is no longer kept.
    """
    found = segments(files)
    for index, segment in enumerate(found):
        next_first = found[index + 1].first if index + 1 < len(found) else until
        if segment.first <= first < max(next_first, segment.first + 1):
            return _read_from_segment(files, segment, first, min(next_first, until))
    raise LogError(segment_name(first), 0, f"record {first} is no longer kept here")


def _read_from_segment(files: Files, segment: Segment, first: int, until: int) -> tuple[bytes, int]:
    data = files.read(segment.name)
    start = offset = HEADER.size
    number = segment.first
    while number < until and offset + RECORD.size <= len(data):
        if number == first:
            start = offset
        offset, number = offset + RECORD.size + RECORD.unpack_from(data, offset)[0], number + 1
    if number <= first:
        raise LogError(segment.name, offset, f"ends before record {first}")
    return data[start:offset], number


def open_log(files: Files) -> OpenedLog:
    """Read what a log holds; raises LogError on damage or a gap."""
    snapshot, start = read_newest_snapshot(files)
    contents = _read_segments(files, start)

    def entries() -> Iterator[bytes]:
        for content in contents:
            yield from content.entries_from(start)

    count = sum(max(content.next - max(content.segment.first, start), 0) for content in contents)
    tail, torn_bytes = None, 0
    if contents:
        final = contents[-1]
        if final.next < start:
            raise LogError(final.segment.name, final.end, f"ends before the snapshot's {start} records")
        tail = final.segment, final.end
        torn_bytes = len(files.read(final.segment.name)) - final.end if final.torn else 0
    return OpenedLog(snapshot, start, entries(), count, tail, torn_bytes)


def _read_segments(files: Files, start: int) -> list[SegmentContent]:
    """All segments that are not whole in a snapshot of `start` records; raises LogError on damage or a gap."""
    found = segments(files)
    contents: list[SegmentContent] = []
    reached = start
    for index, segment in enumerate(found):
        following = found[index + 1] if index + 1 < len(found) else None
        if following is not None and following.first <= start:
            continue
        if segment.first > reached:
            raise LogError(segment.name, 0, f"records {reached} to {segment.first - 1} are missing")
        content = scan(files, segment, last=following is None)
        if following is not None and following.first != content.next:
            text = f"ends at record {content.next}, the next segment begins at {following.first}"
            raise LogError(segment.name, content.end, text)
        contents.append(content)
        reached = max(reached, content.next)
    return contents
