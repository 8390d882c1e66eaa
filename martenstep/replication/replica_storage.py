"""The state that a replica stores, and the check that its disk is in the state in which the replica left it.

The state is stored in a log (`martenstep.storage.log`).  Each durable write of the Raft node becomes one or more
records, which a start reads back in order; a snapshot of the whole state bounds the log's length.  A crash may keep
only some records of a write.  That breaks no promise, because messages that depend on a write are sent only once all of
it is durable.

A start cannot verify the disk if the log holds fewer records than the witness has recorded, or if there is no witness.
It then removes the witness, so that later starts cannot verify the disk either until the Raft node has recovered
(`confirm_disk`).
"""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec

from martenstep.replication.errors import ReplicaStorageError
from martenstep.replication.messages import LogEntry, Snapshot
from martenstep.replication.raft import DurableWrite, LogPosition, PersistentState
from martenstep.replication.witness import Witness
from martenstep.storage.files import Files
from martenstep.storage.log import LogError, LogWriter, compact, open_log, write_snapshot

IDENTITY_FILE = "copy.json"
SEGMENT_BYTES = 4 << 20
MAX_RECORD_BYTES = 96 << 10  # size of the entries of one record; stays below the longest record that the log accepts
MAX_ENTRY_BYTES = 64 << 10  # size of one entry's data; a larger proposal is rejected
IDENTITY_BITS = 53  # integers that every JSON reader represents exactly


class WriteRecord(msgspec.Struct, array_like=True, frozen=True):
    """The record of one durable write, or of a part of it."""

    term: int
    voted_for: int | None
    log_floor: LogPosition
    truncate_from: int | None
    entries: tuple[LogEntry, ...]


class StateImage(msgspec.Struct, array_like=True, frozen=True):
    """The whole state of a replica, the content of a snapshot file of the log."""

    term: int
    voted_for: int | None
    log_floor: LogPosition
    snapshot: Snapshot | None
    entries: list[LogEntry]


class ReplicaIdentity(msgspec.Struct):
    """The content of the identity file: the id of the replica whose disk this is."""

    id: int


_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(WriteRecord).decode
_decode_image = msgspec.msgpack.Decoder(StateImage).decode


def apply_write(state: PersistentState, write: WriteRecord | DurableWrite) -> None:
    """Apply a durable write to a state."""
    state.term, state.voted_for, state.log_floor = write.term, write.voted_for, write.log_floor
    if write.truncate_from is not None:
        state.entries = [entry for entry in state.entries if entry.index < write.truncate_from]
    if isinstance(write, DurableWrite) and write.snapshot is not None:
        state.snapshot = write.snapshot
        state.entries = [entry for entry in state.entries if entry.index > write.snapshot.index]
    state.entries += write.entries


def coalesce_writes(writes: list[DurableWrite]) -> list[DurableWrite]:
    """Merge writes that only add entries into the write before them, so that one sync needs fewer records."""
    groups: list[list[DurableWrite]] = []
    for write in writes:
        if groups and _can_join(groups[-1][-1], write):
            groups[-1].append(write)
        else:
            groups.append([write])
    return [
        replace(group[0], sequence=group[-1].sequence, entries=tuple(entry for one in group for entry in one.entries))
        for group in groups
    ]


def _can_join(before: DurableWrite, write: DurableWrite) -> bool:
    return (
        write.truncate_from is None
        and write.snapshot is None
        and before.snapshot is None
        and (write.term, write.voted_for, write.log_floor) == (before.term, before.voted_for, before.log_floor)
    )


def encode_write(write: DurableWrite) -> list[bytes]:
    """Encode a write as records, none longer than the log accepts."""
    records: list[bytes] = []
    part: list[LogEntry] = []
    part_bytes, truncate_from = 0, write.truncate_from

    def end_part() -> None:
        records.append(_encode(WriteRecord(write.term, write.voted_for, write.log_floor, truncate_from, tuple(part))))

    for entry in write.entries:
        if part and part_bytes + len(entry.data) > MAX_RECORD_BYTES:
            end_part()
            part, part_bytes, truncate_from = [], 0, None
        part.append(entry)
        part_bytes += len(entry.data)
    end_part()
    return records


class ReplicaStorage:
    """One replica's disk."""

    def __init__(
        self,
        files: Files,
        witness: Files | None,
        rng: random.Random,
        bootstrap_id: int | None = None,
        sole_member: bool = False,
    ) -> None:
        """Read the stored state; raises ReplicaStorageError if it is damaged.

        An empty disk becomes a new replica, with a random identity or, if it bootstraps its group, with `bootstrap_id`.

        The disk of a replica that bootstraps its group is not verified, unless the replica is the `sole_member` of a
        group with a newly drawn name.  The identity of a bootstrap member follows from the settings: a disk that was
        restored from before the bootstrap would get the same identity again, and could repeat a vote.
        """
        self._files = files
        self._witness = Witness(witness)
        self._read_log()
        stored_id = self._read_identity()
        if stored_id is None:
            self.replica_id = self._write_identity(
                rng.getrandbits(IDENTITY_BITS) if bootstrap_id is None else bootstrap_id
            )
            self.disk_verified = bootstrap_id is None or sole_member
            if self.disk_verified:
                self._write_witness()
        else:
            self.replica_id = stored_id
            self.disk_verified = self._witness.confirms(stored_id, self._writer.next)
        if not self.disk_verified:
            self._witness.remove()

    def _read_log(self) -> None:
        """Read the state, and open the log for writing after it; raises ReplicaStorageError."""
        try:
            opened = open_log(self._files)
            self.state = _decode_state(opened.snapshot)
            for record in opened.entries:
                if len(record) > 1:  # a sync marker has no content
                    apply_write(self.state, _decode_record(record))
            self._writer = LogWriter(self._files, opened, SEGMENT_BYTES)
        except LogError as error:
            raise ReplicaStorageError(str(error)) from None
        except msgspec.DecodeError as error:
            raise ReplicaStorageError(f"cannot decode a record or a snapshot of the log: {error}") from None

    def _read_identity(self) -> int | None:
        """Read the identity of the disk; None if the disk is empty."""
        if IDENTITY_FILE in self._files.names():
            try:
                return msgspec.json.decode(self._files.read(IDENTITY_FILE), type=ReplicaIdentity).id
            except msgspec.DecodeError as error:
                raise ReplicaStorageError(f"cannot decode {IDENTITY_FILE}: {error}") from None
        if self.state.term or self.state.entries or self.state.snapshot is not None:
            raise ReplicaStorageError(
                f"{IDENTITY_FILE} is missing although the log is not empty: empty the disk to join as a new replica"
            )
        return None

    def _write_identity(self, replica_id: int) -> int:
        """Write the identity of a new replica; called once, before its first record."""
        self._files.write_atomically(IDENTITY_FILE, msgspec.json.encode(ReplicaIdentity(replica_id)))
        return replica_id

    def _write_witness(self) -> None:
        self._witness.write(self.replica_id, self._writer.synced)

    def confirm_disk(self) -> None:
        """Mark the disk as verified, after a recovery or an operator's confirmation whose result is durable."""
        if not self.disk_verified:
            self.disk_verified = True
            self._write_witness()

    def write(self, writes: list[DurableWrite]) -> None:
        """Make writes durable, in order, with one sync, and then update the witness.

        Raises OSError; the caller must then call the Raft node's `write_failed`.
        """
        records: list[bytes] = []
        for write in coalesce_writes(writes):
            apply_write(self.state, write)
            records += encode_write(write)
        self._writer.write(records, durable=True)
        if any(write.snapshot is not None for write in writes):
            self._write_snapshot()
        if self.disk_verified:
            self._write_witness()

    def _write_snapshot(self) -> None:
        """Write a snapshot of the whole state, and remove the records that it replaces."""
        state = self.state
        image = StateImage(state.term, state.voted_for, state.log_floor, state.snapshot, state.entries)
        write_snapshot(self._files, self._writer.synced, _encode(image))
        compact(self._files, self._writer.synced)

    def close(self) -> None:
        """Close the log."""
        self._writer.close()

    def read_state(self) -> PersistentState:
        """Return a copy of the stored state."""
        return replace(self.state, entries=list(self.state.entries))


def _decode_state(body: bytes | None) -> PersistentState:
    if body is None:
        return PersistentState()
    image = _decode_image(body)
    return PersistentState(image.term, image.voted_for, list(image.entries), image.snapshot, image.log_floor)
