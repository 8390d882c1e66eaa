"""A log of records in segment files, with snapshots in the same directory.

Opening a log reads the newest undamaged snapshot and every record after it.  A crash may leave any part of what was
written since the last sync.  Therefore bytes after the last whole record of the *last* segment are a torn tail, which
was never acknowledged and is truncated.  If a whole record that was written after a later sync follows them, or in any
earlier segment, they are damage instead, and opening fails with the file and offset.  To make this distinction possible
for the last group of records too, a sync marker (an entry of one byte without meaning) is written after each sync.

`record` and `snapshot` define the formats; `reader` opens a log, `writer` appends to it, and `compaction` removes what
is no longer needed.
"""

from martenstep.storage.log.compaction import compact
from martenstep.storage.log.errors import LogError
from martenstep.storage.log.reader import OpenedLog, SegmentContent, open_log, read_records, scan
from martenstep.storage.log.record import (
    HEADER,
    MAX_ENTRY_BYTES,
    RECORD,
    SYNC_MARKER,
    decode_records,
    encode_record,
    encode_segment_header,
    fingerprint_entry,
)
from martenstep.storage.log.segment import Segment, segment_name, segments
from martenstep.storage.log.snapshot import read_snapshot, snapshot_name, snapshots, write_snapshot
from martenstep.storage.log.writer import LogWriter

__all__ = [
    "HEADER",
    "MAX_ENTRY_BYTES",
    "RECORD",
    "SYNC_MARKER",
    "LogError",
    "LogWriter",
    "OpenedLog",
    "Segment",
    "SegmentContent",
    "compact",
    "decode_records",
    "encode_record",
    "encode_segment_header",
    "fingerprint_entry",
    "open_log",
    "read_records",
    "read_snapshot",
    "scan",
    "segment_name",
    "segments",
    "snapshot_name",
    "snapshots",
    "write_snapshot",
]
