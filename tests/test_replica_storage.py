"""A replica's disk: the state that is read back after a crash, and when the disk counts as verified."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from martenstep.replication.errors import ReplicaStorageError
from martenstep.replication.messages import Configuration, EntryKind, LogEntry, Snapshot
from martenstep.replication.raft import DurableWrite, LogPosition, PersistentState
from martenstep.replication.replica_storage import (
    IDENTITY_FILE,
    ReplicaStorage,
    WriteRecord,
    apply_write,
    coalesce_writes,
    encode_write,
)
from martenstep.replication.witness import WITNESS_FILE, WITNESS_SLOT_BYTES, WitnessMark, read_witness_mark
from tests.faulty_files import Crash, FaultFiles


def entry(index: int, term: int = 1, size: int = 3) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, b"x" * size)


def test_torn_witness_mark_leaves_the_previous_one_readable() -> None:
    older, newer = WitnessMark(4, 7, 10), WitnessMark(5, 7, 12)
    both = older.encode().ljust(WITNESS_SLOT_BYTES, b"\0") + newer.encode().ljust(WITNESS_SLOT_BYTES, b"\0")
    assert (
        read_witness_mark(both) == newer
        and read_witness_mark(both[WITNESS_SLOT_BYTES:] + both[:WITNESS_SLOT_BYTES]) == newer
    )
    for at in range(len(newer.encode())):
        bad = bytearray(both)
        bad[WITNESS_SLOT_BYTES + at] ^= 0x10
        assert read_witness_mark(bytes(bad)) == older
    assert (
        read_witness_mark(bytes(2 * WITNESS_SLOT_BYTES)) is None
        and read_witness_mark(b"") is None
        and read_witness_mark(both[:WITNESS_SLOT_BYTES]) == older
    )


def open_storage(files: FaultFiles, witness: FaultFiles | None, seed: int = 1) -> ReplicaStorage:
    return ReplicaStorage(files, witness, random.Random(seed))


def draw_write(rng: random.Random, state: PersistentState, sequence: int) -> DurableWrite:
    """Draw a write that a Raft node could make next."""
    last = state.entries[-1].index if state.entries else (state.snapshot.index if state.snapshot is not None else 0)
    base = state.snapshot.index if state.snapshot is not None else 0
    term, kind = state.term + rng.randrange(2), rng.randrange(5)
    if kind == 0:
        return DurableWrite(sequence, term, rng.randrange(4), LogPosition(rng.randrange(3), 1))
    if kind == 1 and last > base:
        cut = rng.randrange(base + 1, last + 1)
        return DurableWrite(sequence, term, state.voted_for, state.log_floor, cut, (entry(cut, term),))
    if kind == 2 and last > base:
        index = rng.randrange(base + 1, last + 1)
        return DurableWrite(
            sequence,
            term,
            state.voted_for,
            state.log_floor,
            snapshot=Snapshot(index, term, Configuration((1, 2, 3)), b"s" * index),
        )
    count = rng.randrange(1, 4)
    return DurableWrite(
        sequence,
        term,
        state.voted_for,
        state.log_floor,
        None,
        tuple(entry(last + 1 + n, term, rng.choice((3, 50_000))) for n in range(count)),
    )


def possible_states(state: PersistentState, write: DurableWrite) -> list[PersistentState]:
    """The states that a crash within a write may leave: after any number of its records, or the whole write."""
    states = [state]
    for record in encode_write(write):
        after = replace(states[-1], entries=list(states[-1].entries))
        apply_write(after, msgspec.msgpack.decode(record, type=WriteRecord))
        states.append(after)
    complete = replace(state, entries=list(state.entries))
    apply_write(complete, write)
    return [*states, complete]


@pytest.mark.parametrize("seed", range(150))
def test_durable_state_is_read_back_after_a_crash_at_any_step(seed: int) -> None:
    rng = random.Random(seed)
    files, witness = FaultFiles(seed), FaultFiles(seed + 1)
    storage = open_storage(files, witness)
    files.crash_at = files.steps + rng.randrange(1, 60)
    allowed, first = [storage.read_state()], storage.replica_id
    try:
        for sequence in range(1, 40):
            write = draw_write(rng, storage.read_state(), sequence)
            allowed = possible_states(storage.read_state(), write)
            storage.write([write])
            allowed = [storage.read_state()]
    except Crash:
        pass
    files.crash()
    again = open_storage(files, witness)
    assert again.replica_id == first and again.disk_verified
    assert again.read_state() in allowed


def test_everything_written_is_read_back_after_a_process_restart() -> None:
    rng = random.Random(7)
    files, witness = FaultFiles(7), FaultFiles(8)
    storage = open_storage(files, witness)
    for sequence in range(1, 200):
        storage.write([draw_write(rng, storage.read_state(), sequence)])
        if sequence % 20 == 0:
            stored = storage.read_state()
            files.kill()
            storage = open_storage(files, witness)
            assert storage.read_state() == stored and storage.disk_verified


def test_restored_or_moved_disk_is_not_verified_now_nor_at_its_next_start() -> None:
    import copy

    files, witness = FaultFiles(1), FaultFiles(2)
    storage = open_storage(files, witness)
    storage.write([DurableWrite(1, 1, 1, entries=(entry(1),))])
    old = copy.deepcopy(files)
    storage.write([DurableWrite(2, 2, 3, entries=(entry(2),))])
    assert open_storage(copy.deepcopy(files), copy.deepcopy(witness)).disk_verified
    back = open_storage(old, witness)
    assert not back.disk_verified and back.replica_id == storage.replica_id and WITNESS_FILE not in witness.names()
    for sequence in range(3, 9):  # more records than the witness ever recorded
        back.write([DurableWrite(sequence, 2, 2)])
    assert not open_storage(old, witness).disk_verified
    again = open_storage(old, witness)
    again.confirm_disk()
    assert open_storage(old, witness).disk_verified
    assert not open_storage(old, FaultFiles(3)).disk_verified  # a restart of the machine clears the witness's memory
    assert not open_storage(old, None).disk_verified


def test_empty_disk_becomes_another_replica_and_a_log_without_its_identity_is_rejected() -> None:
    files, witness = FaultFiles(1), FaultFiles(2)
    storage = open_storage(files, witness)
    assert storage.disk_verified
    storage.write([DurableWrite(1, 1, 1)])
    other = open_storage(FaultFiles(5), witness, seed=2)
    assert other.replica_id != storage.replica_id
    del files._files[IDENTITY_FILE]
    with pytest.raises(ReplicaStorageError, match="empty the disk"):
        open_storage(files, witness)


def test_damage_is_reported_with_its_file() -> None:
    files, witness = FaultFiles(1), FaultFiles(2)
    storage = open_storage(files, witness)
    for sequence in range(1, 6):
        storage.write([DurableWrite(sequence, sequence, 1)])
    files.flip("seg-0000000000000000.log", 60)
    with pytest.raises(ReplicaStorageError, match="seg-0000000000000000"):
        open_storage(files, witness)


def test_write_to_a_full_disk_raises_and_does_not_update_the_witness() -> None:
    files, witness = FaultFiles(1), FaultFiles(2)
    storage = open_storage(files, witness)
    files.fail_at = files.steps
    before = witness.read(WITNESS_FILE)
    with pytest.raises(OSError, match="space"):
        storage.write([DurableWrite(1, 1, 1)])
    assert witness.read(WITNESS_FILE) == before


def test_coalesced_writes_produce_the_same_state() -> None:
    saved_writes = 0
    for seed in range(60):
        rng, separate, merged, writes = random.Random(seed), PersistentState(), PersistentState(), list[DurableWrite]()
        for sequence in range(1, 25):
            writes.append(draw_write(rng, separate, sequence))
            apply_write(separate, writes[-1])
        copies = [replace(write) for write in writes]
        for write in (coalesced := coalesce_writes(writes)):
            apply_write(merged, write)
        assert merged == separate and writes == copies and coalesced[-1].sequence == 24
        saved_writes += len(writes) - len(coalesced)
    assert saved_writes > 100
