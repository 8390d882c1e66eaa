"""What a copy keeps on its disk, and how it knows that the disk is as it left it.

On the log of `storage`: each durable write of the core is one or more lines, read back in order; a snapshot of all that
holds bounds the log.  Lines of one write that a crash cuts apart promise nothing: what answers a write leaves only once
all of it is durable.

The **witness** is a small file in another place that a copied disk does not bring along: memory that a restart of the
machine clears (`/run`, `/dev/shm`), or better another disk.  It tells how many lines this copy had made durable when it
last promised something, in two slots written in turn, so that a torn one leaves the other.  A start whose log holds
fewer, or that finds no witness, cannot prove its disk; it takes the witness away, so that neither can the next, until
the core has proven itself (`proved`).
"""

from __future__ import annotations

import random
import struct
from dataclasses import dataclass, replace

import google_crc32c
import msgspec

from martenstep.replication.messages import LogEntry, Snapshot
from martenstep.replication.raft import DurableWrite, LogPosition, PersistentState
from martenstep.storage.files import Files
from martenstep.storage.log import LogError, Writer, compact, open_log, write_snapshot

IDENTITY_FILE, WITNESS_FILE = "copy.json", "witness"
SEGMENT_BYTES = 4 << 20
MAX_RECORD_BYTES = 96 << 10  # of the entries of one line: below what the log takes for damage
WITNESS_SLOT_BYTES = 64  # bytes of a witness's mark, far within a sector
_MARK = struct.Struct(">QQQ")
MAX_ENTRY_BYTES = 64 << 10  # of one entry's data: more is refused where it is proposed


class WriteRecord(msgspec.Struct, array_like=True, frozen=True):
    """One durable write, or a part of it."""

    term: int
    voted_for: int | None
    log_floor: LogPosition
    truncate_from: int | None
    entries: tuple[LogEntry, ...]


class StateImage(msgspec.Struct, array_like=True, frozen=True):
    """All that holds, as a snapshot of the log has it."""

    term: int
    voted_for: int | None
    log_floor: LogPosition
    snapshot: Snapshot | None
    entries: list[LogEntry]


class ReplicaIdentity(msgspec.Struct):
    """Whose disk this is."""

    id: int


@dataclass(frozen=True, slots=True)
class WitnessMark:
    """What the witness knows: of `number` marks the latest."""

    number: int
    replica: int
    records: int

    def encode(self) -> bytes:
        """One slot's bytes."""
        told = _MARK.pack(self.number, self.replica, self.records)
        return told + int(google_crc32c.value(told)).to_bytes(4, "big")


def read_witness_mark(data: bytes) -> WitnessMark | None:
    """The latest of a witness's slots that are whole."""
    marks = []
    for at in (0, WITNESS_SLOT_BYTES):
        told, check = data[at : at + _MARK.size], data[at + _MARK.size : at + _MARK.size + 4]
        if len(check) == 4 and google_crc32c.value(told) == int.from_bytes(check, "big"):
            marks.append(WitnessMark(*_MARK.unpack(told)))
    return max(marks, key=lambda mark: mark.number, default=None)


_encode = msgspec.msgpack.Encoder().encode
_line = msgspec.msgpack.Decoder(WriteRecord).decode
_image = msgspec.msgpack.Decoder(StateImage).decode


class ReplicaStorageError(Exception):
    """A disk that cannot be read: what is wrong, and where."""


def apply_write(kept: PersistentState, line: WriteRecord | DurableWrite) -> None:
    """Let a durable write hold."""
    kept.term, kept.voted_for, kept.log_floor = line.term, line.voted_for, line.log_floor
    if line.truncate_from is not None:
        kept.entries = [entry for entry in kept.entries if entry.index < line.truncate_from]
    if isinstance(line, DurableWrite) and line.snapshot is not None:
        kept.snapshot = line.snapshot
        kept.entries = [entry for entry in kept.entries if entry.index > line.snapshot.index]
    kept.entries += line.entries


def coalesce_writes(writes: list[DurableWrite]) -> list[DurableWrite]:
    """Writes that only add entries, joined with the one before: a group that is synced together needs few lines."""
    groups: list[list[DurableWrite]] = []
    for write in writes:
        last = groups[-1][-1] if groups else None
        if (
            last is not None
            and write.truncate_from is None
            and write.snapshot is None
            and last.snapshot is None
            and (write.term, write.voted_for, write.log_floor) == (last.term, last.voted_for, last.log_floor)
        ):
            groups[-1].append(write)
        else:
            groups.append([write])
    return [
        replace(group[0], sequence=group[-1].sequence, entries=tuple(entry for one in group for entry in one.entries))
        for group in groups
    ]


def encode_write(write: DurableWrite) -> list[bytes]:
    """A write as lines, none longer than the log takes."""
    made: list[bytes] = []
    part: list[LogEntry] = []
    size, cut = 0, write.truncate_from
    for entry in write.entries:
        if part and size + len(entry.data) > MAX_RECORD_BYTES:
            made.append(_encode(WriteRecord(write.term, write.voted_for, write.log_floor, cut, tuple(part))))
            part, size, cut = [], 0, None
        part.append(entry)
        size += len(entry.data)
    made.append(_encode(WriteRecord(write.term, write.voted_for, write.log_floor, cut, tuple(part))))
    return made


class ReplicaStorage:
    """One copy's disk."""

    def __init__(
        self, files: Files, witness: Files | None, rng: random.Random, founding: int | None = None, alone: bool = False
    ) -> None:
        """Read all that is there; raises StoreError where it is damaged.  An empty disk becomes a new identity: a drawn
        one, or the one that is given to a copy that founds its group.

        A founding copy is not proven, but where it is `alone` in a group whose name was drawn just now.  Danger: its
        identity follows from the settings, so a disk that was put back from before the founding would get it again, and
        with it a vote that it has given already."""
        self._files, self._witness = files, witness
        self._mark_number, self._witness_written = (
            0,
            False,
        )  # marks so far, and whether the file is there as this process wrote it
        try:
            opened = open_log(files)
            self.state = self._decode_image(opened.snapshot)
            for entry in opened.entries:
                if len(entry) > 1:  # a seal says nothing
                    apply_write(self.state, _line(entry))
            self._writer = Writer(files, opened, SEGMENT_BYTES)
        except LogError as error:
            raise ReplicaStorageError(str(error)) from None
        except msgspec.DecodeError as error:
            raise ReplicaStorageError(f"a line that is none: {error}") from None
        self.replica_id, fresh = self._identity(rng, founding)
        self.disk_verified = (fresh and (founding is None or alone)) or (not fresh and self._is_disk_verified())
        if not self.disk_verified:
            self._remove_witness()
        elif fresh:
            self._write_witness()

    @staticmethod
    def _decode_image(body: bytes | None) -> PersistentState:
        if body is None:
            return PersistentState()
        image = _image(body)
        return PersistentState(image.term, image.voted_for, list(image.entries), image.snapshot, image.log_floor)

    def _identity(self, rng: random.Random, founding: int | None) -> tuple[int, bool]:
        """Drawn once, before the first line; lines without it are nobody's."""
        if IDENTITY_FILE in self._files.names():
            try:
                return msgspec.json.decode(self._files.read(IDENTITY_FILE), type=ReplicaIdentity).id, False
            except msgspec.DecodeError as error:
                raise ReplicaStorageError(f"{IDENTITY_FILE}: {error}") from None
        if self.state.term or self.state.entries or self.state.snapshot is not None:
            raise ReplicaStorageError(
                f"{IDENTITY_FILE} is missing beside a log that promises something: empty the disk to join anew"
            )
        drawn = rng.getrandbits(53) if founding is None else founding
        self._files.write_aside(IDENTITY_FILE, msgspec.json.encode(ReplicaIdentity(drawn)))
        return drawn, True

    def _is_disk_verified(self) -> bool:
        if self._witness is None or WITNESS_FILE not in self._witness.names():
            return False
        mark = read_witness_mark(self._witness.read(WITNESS_FILE))
        if mark is None:
            return False
        self._mark_number = mark.number
        return mark.replica == self.replica_id and mark.records <= self._writer.next

    def _remove_witness(self) -> None:
        if self._witness is not None and WITNESS_FILE in self._witness.names():
            self._witness.remove(WITNESS_FILE)

    def _write_witness(self) -> None:
        if self._witness is None:
            return
        self._mark_number += 1
        data = WitnessMark(self._mark_number, self.replica_id, self._writer.synced).encode()
        if self._witness_written:
            self._witness.patch(WITNESS_FILE, self._mark_number % 2 * WITNESS_SLOT_BYTES, data)
        else:
            self._witness.write_aside(WITNESS_FILE, data.ljust(WITNESS_SLOT_BYTES, b"\0") * 2)
            self._witness_written = True

    def confirm_disk(self) -> None:
        """The core was told by all others, or a person vouched; what it made of that is durable."""
        if not self.disk_verified:
            self.disk_verified = True
            self._write_witness()

    def write(self, writes: list[DurableWrite]) -> None:
        """Make writes durable, in order, with one sync; then the witness knows of them.  Raises OSError: the core is to
        be told that it failed."""
        lines: list[bytes] = []
        for write in coalesce_writes(writes):
            apply_write(self.state, write)
            lines += encode_write(write)
        self._writer.write(lines, durable=True)
        if any(write.snapshot is not None for write in writes):
            kept = self.state
            image = StateImage(kept.term, kept.voted_for, kept.log_floor, kept.snapshot, kept.entries)
            write_snapshot(self._files, self._writer.synced, _encode(image))
            compact(self._files, self._writer.synced)
        if self.disk_verified:
            self._write_witness()

    def close(self) -> None:
        """Let go."""
        self._writer.close()

    def read_state(self) -> PersistentState:
        """What holds now, as its own."""
        return replace(self.state, entries=list(self.state.entries))
