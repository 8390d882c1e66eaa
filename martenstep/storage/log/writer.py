"""Appending records to a log."""

from __future__ import annotations

from martenstep.storage.files import Appender, Files
from martenstep.storage.log.reader import OpenedLog
from martenstep.storage.log.record import HEADER, SYNC_MARKER, encode_record, encode_segment_header
from martenstep.storage.log.segment import segment_name


class LogWriter:
    """Appends records and makes them durable in groups."""

    def __init__(self, files: Files, opened: OpenedLog, segment_bytes: int) -> None:
        """Continue an opened log; a new segment is begun when one reaches `segment_bytes`."""
        self._files = files
        self._segment_bytes = segment_bytes
        self.next = opened.start + opened.count  # number of the next record
        self.synced = self.next  # number of durable records; a marker after them may still be lost
        self._file: Appender | None = None
        self._size = 0
        self._marker = b""  # the record written after the last sync, which is not durable yet
        if opened.tail is not None:
            segment, end = opened.tail
            if end >= HEADER.size:
                self._file, self._size = files.append(segment.name, end), end
            else:
                files.remove(segment.name)
        if self._file is None:
            self._begin_segment()

    def _begin_segment(self) -> None:
        if self._file is not None:
            self._file.close()
        self._file = self._files.create(segment_name(self.next))
        header = encode_segment_header(self.next)
        self._file.write(header)
        self._file.sync()
        self._size = len(header)

    def write(self, entries: list[bytes], durable: bool) -> tuple[int, bytes]:
        """Append entries; with `durable` they are durable on return.

        Returns the encoded records for a follower, which begin with the marker of the last sync if there is one, after
        the number of the first of them.  Raises OSError; after that nothing more may be written.
        """
        assert self._file is not None
        first, since_sync = self.next, self.next - self.synced
        data = b"".join(
            [encode_record(first + index, since_sync + index, entry) for index, entry in enumerate(entries)]
        )
        self._append(data, len(entries))
        full = self._size >= self._segment_bytes
        if durable or full:
            self._file.sync()
            self.synced = self.next
        written = first - bool(self._marker), self._marker + data
        self._marker = b""
        if full:
            self._begin_segment()
        elif durable:
            self._marker = encode_record(self.next, 0, SYNC_MARKER)
            self._append(self._marker, 1)
        return written

    def _append(self, data: bytes, records: int) -> None:
        assert self._file is not None
        self._file.write(data)
        self.next += records
        self._size += len(data)

    def append_copied(self, entries: list[bytes]) -> None:
        """Append entries of another log, including its markers, under the same numbers; they are durable on return.

        Their `since_sync` values follow the syncs of this log.  Raises OSError.
        """
        assert self._file is not None
        data = b"".join([encode_record(self.next + index, index, entry) for index, entry in enumerate(entries)])
        self._file.write(data)
        self._file.sync()
        self.next += len(entries)
        self.synced = self.next
        self._size += len(data)
        if self._size >= self._segment_bytes:
            self._begin_segment()

    def sync(self) -> None:
        """Make everything that was written durable; raises OSError."""
        assert self._file is not None
        if self.synced < self.next:
            self._file.sync()
            self.synced = self.next

    def abandon(self) -> None:
        """Close the file without a sync, after a failure."""
        file, self._file = self._file, None
        if file is not None:
            file.close()

    def close(self) -> None:
        """Make everything that was written durable, and close the file."""
        if self._file is not None:
            self._file.sync()
            self._file.close()
            self._file = None
