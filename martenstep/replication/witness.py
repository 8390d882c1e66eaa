"""The witness of a replica's disk: a record of how many log records were durable at the last durable write.

A replica that finds fewer records than its witness has recorded has been started from an old disk.  The witness is a
small file in another place, which is not restored together with the disk: memory that a restart of the machine clears
(`/run`, `/dev/shm`), or preferably another disk.  Marks are written to two slots in turn, so that a torn write leaves
the previous mark intact.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

import google_crc32c

from martenstep.storage.files import Files

WITNESS_FILE = "witness"
WITNESS_SLOT_BYTES = 64  # much smaller than a sector
_MARK = struct.Struct(">QQQ")
_CHECKSUM_BYTES = 4


@dataclass(frozen=True, slots=True)
class WitnessMark:
    """The content of one slot; the mark with the greatest number is the current one."""

    number: int
    replica: int
    records: int  # number of durable records in the replica's log

    def encode(self) -> bytes:
        """Encode the mark, followed by its CRC32C."""
        fields = _MARK.pack(self.number, self.replica, self.records)
        return fields + int(google_crc32c.value(fields)).to_bytes(_CHECKSUM_BYTES, "big")


def read_witness_mark(data: bytes) -> WitnessMark | None:
    """Return the latest undamaged mark in the slots of a witness file; None if there is none."""
    marks = []
    for start in (0, WITNESS_SLOT_BYTES):
        end = start + _MARK.size
        fields, checksum = data[start:end], data[end : end + _CHECKSUM_BYTES]
        if len(checksum) == _CHECKSUM_BYTES and google_crc32c.value(fields) == int.from_bytes(checksum, "big"):
            marks.append(WitnessMark(*_MARK.unpack(fields)))
    return max(marks, key=lambda mark: mark.number, default=None)


class Witness:
    """The witness file of one replica; a replica may have none."""

    def __init__(self, files: Files | None) -> None:
        """`files` is the directory of the witness; with None, no disk is ever confirmed."""
        self._files = files
        self._mark_number = 0
        self._written = False  # this process has written the whole file

    def confirms(self, replica: int, records: int) -> bool:
        """Whether a log of `records` records holds everything that the replica had made durable."""
        if self._files is None or WITNESS_FILE not in self._files.names():
            return False
        mark = read_witness_mark(self._files.read(WITNESS_FILE))
        if mark is None:
            return False
        self._mark_number = mark.number
        return mark.replica == replica and mark.records <= records

    def remove(self) -> None:
        """Remove the file, so that the next start cannot verify its disk by it either."""
        if self._files is not None and WITNESS_FILE in self._files.names():
            self._files.remove(WITNESS_FILE)

    def write(self, replica: int, records: int) -> None:
        """Write the next mark; raises OSError."""
        if self._files is None:
            return
        self._mark_number += 1
        data = WitnessMark(self._mark_number, replica, records).encode()
        if self._written:
            self._files.overwrite(WITNESS_FILE, self._mark_number % 2 * WITNESS_SLOT_BYTES, data)
        else:
            self._files.write_atomically(WITNESS_FILE, data.ljust(WITNESS_SLOT_BYTES, b"\0") * 2)
            self._written = True
