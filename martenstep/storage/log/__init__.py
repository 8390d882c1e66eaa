"""A log of records in segments, with snapshots beside them.

On open: the newest snapshot that is whole, then every record after it.  A crash may leave any part of what was written
since the last sync, so in the *last* segment what follows the last whole record is cut off as a torn tail: it was never
acknowledged.  It is only that, though, as long as no whole record behind it was written after a later sync; else, and
in any earlier segment, it is damage, and is refused with file and offset.  So that this holds for the last group as
well, a sync marker (an entry of one byte that says nothing) is written behind each sync.

The bytes are in `record` and `snapshot`; `reader` opens a log, `writer` adds to it, `compaction` removes what is no
longer needed.
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
