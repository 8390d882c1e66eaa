"""Adding records to a log."""

from __future__ import annotations

from martenstep.storage.files import Appender, Files
from martenstep.storage.log.reader import OpenedLog
from martenstep.storage.log.record import HEADER, SYNC_MARKER, encode_record, encode_segment_header
from martenstep.storage.log.segment import segment_name


class LogWriter:
    """Adds records and makes them durable together."""

    def __init__(self, files: Files, opened: OpenedLog, segment_bytes: int) -> None:
        """Go on behind what was opened; a segment that reaches `segment_bytes` is the last of its records."""
        self._files = files
        self._segment_bytes = segment_bytes
        self.next = opened.start + opened.count  # number of the next record
        self.synced = self.next  # records that are durable: a marker behind them may still be lost
        self._file: Appender | None = None
        self._size = 0
        self._marker = b""  # the record behind the last sync, which is not durable yet
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
        """Add entries, durable once this returns.

        Gives the number of the first record for a follower and the records as written, with the marker before them.
        Raises OSError: then nothing more may be written.
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
        """Add entries of another log, markers included, under the same numbers; durable once this returns.

        Where they stand since the last sync is this log's own.  Raises OSError.
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
