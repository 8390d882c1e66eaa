"""Snapshot files: `snap-<number of records included, 16 hex digits>.snap`.

A file contains `MSTEPSNP`, u32 version, u64 records, u32 CRC32C of the body, body.
"""

from __future__ import annotations

import struct

import google_crc32c

from martenstep.storage.files import Files
from martenstep.storage.log.errors import LogError

MAGIC = b"MSTEPSNP"
VERSION = 1
HEADER = struct.Struct(">8sIQI")
PREFIX = "snap-"
SUFFIX = ".snap"


def snapshot_name(records: int) -> str:
    """Return the file name of a snapshot."""
    return f"{PREFIX}{records:016x}{SUFFIX}"


def snapshots(files: Files) -> list[tuple[str, int]]:
    """Return the names of all snapshots and their numbers of records, the newest first."""
    found = [
        (name, int(name.removeprefix(PREFIX).removesuffix(SUFFIX), 16))
        for name in files.names()
        if name.startswith(PREFIX) and name.endswith(SUFFIX)
    ]
    return sorted(found, key=lambda snapshot: -snapshot[1])


def read_snapshot(files: Files, name: str) -> bytes:
    """Read a snapshot's body; raises LogError if it is damaged."""
    data = files.read(name)
    if len(data) < HEADER.size:
        raise LogError(name, 0, "the file is shorter than a snapshot's header")
    magic, version, _, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC or version != VERSION:
        raise LogError(name, 0, f"not a snapshot of version {VERSION}")
    if google_crc32c.value(body) != checksum:
        raise LogError(name, HEADER.size, "the checksum does not match the body")
    return body


def write_snapshot(files: Files, records: int, body: bytes) -> None:
    """Write a snapshot atomically; raises OSError."""
    header = HEADER.pack(MAGIC, VERSION, records, google_crc32c.value(body))
    files.write_atomically(snapshot_name(records), header + body)


def read_newest_snapshot(files: Files) -> tuple[bytes | None, int]:
    """Return the body of the newest undamaged snapshot and its number of records; None and 0 if there is none.

    A damaged snapshot is skipped, because an older one or the whole log contains the same data.
    """
    for name, records in snapshots(files):
        try:
            return read_snapshot(files, name), records
        except LogError:
            continue
    return None, 0
