"""Reading a log: whole segments, a range of records, and the whole log at a start."""

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
    """The content of one segment."""

    segment: Segment
    entries: list[bytes]
    end: int  # offset after the last whole record
    torn: bool  # bytes that are no whole record follow

    @property
    def next(self) -> int:
        """The number that follows its last record."""
        return self.segment.first + len(self.entries)

    def entries_from(self, number: int) -> list[bytes]:
        """Return its entries from record `number` on."""
        return self.entries[max(number - self.segment.first, 0) :]


@dataclass(slots=True)
class OpenedLog:
    """The content of a log: a snapshot's body, the records after it, and the position to continue writing."""

    snapshot: bytes | None
    start: int  # number of records that the snapshot includes
    entries: Iterator[bytes]
    count: int
    tail: tuple[Segment, int] | None  # the last segment, and the offset after its last whole record
    torn_bytes: int  # number of bytes after that offset


def scan(files: Files, segment: Segment, last: bool) -> SegmentContent:
    """Read a segment; only the `last` one may end in a torn tail.  Raises LogError on damage."""
    data = files.read(segment.name)
    if len(data) < HEADER.size or data[: HEADER.size] != encode_segment_header(segment.first):
        if last and len(data) <= HEADER.size:
            return SegmentContent(segment, [], 0, True)  # a crash occurred while the segment was being created
        raise LogError(segment.name, 0, "the header does not fit")
    entries, end = _read_entries(data, segment.first)
    if end == len(data):
        return SegmentContent(segment, entries, end, False)
    number = segment.first + len(entries)
    if not last:
        raise LogError(segment.name, end, f"record {number} is damaged")
    later = _find_record_of_later_sync(data, end, number)
    if later is not None:
        raise LogError(segment.name, end, f"record {number} is damaged; records of a later sync follow at byte {later}")
    return SegmentContent(segment, entries, end, True)


def _read_entries(data: bytes, first: int) -> tuple[list[bytes], int]:
    """Return the entries of a segment's whole records, and the offset after the last one.

    Makes the same checks as `decode_record_at`, but inline, because a restart reads millions of records.
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


def _find_record_of_later_sync(data: bytes, start: int, number: int) -> int | None:
    """Return the offset after `start` of a whole record that was written after a sync later than record `number`."""
    size = len(data)
    for offset in range(start + 1, size - RECORD.size):
        length = int.from_bytes(data[offset : offset + 4], "big")
        if 1 <= length <= MAX_ENTRY_BYTES and offset + RECORD.size + length <= size:
            record = decode_record_at(data, offset)
            if record is not None and record.durable_records > number:
                return offset
    return None


def read_records(files: Files, first: int, until: int) -> tuple[bytes, int]:
    """Return the encoded records from `first` on and below `until`, and the number that follows the last one.

    They end at the end of a segment at the latest.  Raises LogError if the first record is no longer kept.
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
    """Read a whole log; raises LogError on damage or a gap."""
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
            raise LogError(final.segment.name, final.end, f"the log ends before the snapshot's {start} records do")
        tail = final.segment, final.end
        torn_bytes = len(files.read(final.segment.name)) - final.end if final.torn else 0
    return OpenedLog(snapshot, start, entries(), count, tail, torn_bytes)


def _read_segments(files: Files, start: int) -> list[SegmentContent]:
    """Read all segments with records that a snapshot of `start` records lacks; raises LogError on damage or a gap."""
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
            text = f"the segment ends before record {content.next}, but the next segment begins at {following.first}"
            raise LogError(segment.name, content.end, text)
        contents.append(content)
        reached = max(reached, content.next)
    return contents
