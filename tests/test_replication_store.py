"""A copy's disk: what is read back after any crash, and what it can prove of itself."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
import pytest

from martenstep.replication.messages import Config, Entry, Kind, Snapshot
from martenstep.replication.raft import Kept, Write
from martenstep.replication.replica_storage import (
    IDENTITY,
    SLOT,
    WITNESS,
    Line,
    Mark,
    Store,
    StoreError,
    apply,
    lines_of,
    mark_of,
    together,
)
from tests.counter_rig import Crash, FaultFiles


def entry(index: int, term: int = 1, size: int = 3) -> Entry:
    return Entry(index, term, Kind.COMMAND, b"x" * size)


def test_a_torn_mark_leaves_the_one_before_it_and_a_flipped_byte_too() -> None:
    older, newer = Mark(4, 7, 10), Mark(5, 7, 12)
    both = older.packed().ljust(SLOT, b"\0") + newer.packed().ljust(SLOT, b"\0")
    assert mark_of(both) == newer and mark_of(both[SLOT:] + both[:SLOT]) == newer
    for at in range(len(newer.packed())):
        bad = bytearray(both)
        bad[SLOT + at] ^= 0x10
        assert mark_of(bytes(bad)) == older
    assert mark_of(bytes(2 * SLOT)) is None and mark_of(b"") is None and mark_of(both[:SLOT]) == older


def opened(files: FaultFiles, witness: FaultFiles | None, seed: int = 1) -> Store:
    return Store(files, witness, random.Random(seed))


def drawn(rng: random.Random, kept: Kept, ticket: int) -> Write:
    """A write that a core could make next."""
    last = kept.entries[-1].index if kept.entries else (kept.snapshot.index if kept.snapshot is not None else 0)
    base = kept.snapshot.index if kept.snapshot is not None else 0
    term, kind = kept.term + rng.randrange(2), rng.randrange(5)
    if kind == 0:
        return Write(ticket, term, rng.randrange(4), (rng.randrange(3), 1))
    if kind == 1 and last > base:
        cut = rng.randrange(base + 1, last + 1)
        return Write(ticket, term, kept.vote, kept.floor, cut, (entry(cut, term),))
    if kind == 2 and last > base:
        index = rng.randrange(base + 1, last + 1)
        return Write(
            ticket, term, kept.vote, kept.floor, snapshot=Snapshot(index, term, Config((1, 2, 3)), b"s" * index)
        )
    count = rng.randrange(1, 4)
    return Write(
        ticket,
        term,
        kept.vote,
        kept.floor,
        None,
        tuple(entry(last + 1 + n, term, rng.choice((3, 50_000))) for n in range(count)),
    )


def possible(kept: Kept, write: Write) -> list[Kept]:
    """What a crash within a write may leave: any of its lines, in order, and its snapshot or not."""
    made = [kept]
    for line in lines_of(write):
        after = replace(made[-1], entries=list(made[-1].entries))
        apply(after, msgspec.msgpack.decode(line, type=Line))
        made.append(after)
    whole = replace(kept, entries=list(kept.entries))
    apply(whole, write)
    return [*made, whole]


@pytest.mark.parametrize("seed", range(150))
def test_what_was_durable_is_read_back_after_a_crash_at_any_step(seed: int) -> None:
    rng = random.Random(seed)
    files, witness = FaultFiles(seed), FaultFiles(seed + 1)
    store = opened(files, witness)
    files.crash_at = files.steps + rng.randrange(1, 60)
    allowed, first = [store.image()], store.id
    try:
        for ticket in range(1, 40):
            write = drawn(rng, store.image(), ticket)
            allowed = possible(store.image(), write)
            store.write([write])
            allowed = [store.image()]
    except Crash:
        pass
    files.crash()
    again = opened(files, witness)
    assert again.id == first and again.proven
    assert again.image() in allowed


def test_all_that_was_written_is_there_at_the_next_start() -> None:
    rng = random.Random(7)
    files, witness = FaultFiles(7), FaultFiles(8)
    store = opened(files, witness)
    for ticket in range(1, 200):
        store.write([drawn(rng, store.image(), ticket)])
        if ticket % 20 == 0:
            held = store.image()
            files.kill()
            store = opened(files, witness)
            assert store.image() == held and store.proven


def test_a_disk_put_back_or_moved_cannot_prove_itself_and_neither_can_its_next_start() -> None:
    import copy

    files, witness = FaultFiles(1), FaultFiles(2)
    store = opened(files, witness)
    store.write([Write(1, 1, 1, entries=(entry(1),))])
    old = copy.deepcopy(files)
    store.write([Write(2, 2, 3, entries=(entry(2),))])
    assert opened(copy.deepcopy(files), copy.deepcopy(witness)).proven
    back = opened(old, witness)
    assert not back.proven and back.id == store.id and WITNESS not in witness.names()
    for ticket in range(3, 9):  # more lines than the witness ever knew of
        back.write([Write(ticket, 2, 2)])
    assert not opened(old, witness).proven
    again = opened(old, witness)
    again.proved()
    assert opened(old, witness).proven
    assert not opened(old, FaultFiles(3)).proven  # the machine was restarted: its memory is empty
    assert not opened(old, None).proven


def test_an_empty_disk_is_another_and_a_log_without_its_identity_is_refused() -> None:
    files, witness = FaultFiles(1), FaultFiles(2)
    store = opened(files, witness)
    assert store.proven
    store.write([Write(1, 1, 1)])
    other = opened(FaultFiles(5), witness, seed=2)
    assert other.id != store.id
    del files._files[IDENTITY]
    with pytest.raises(StoreError, match="empty the disk"):
        opened(files, witness)


def test_damage_is_told_with_its_file() -> None:
    files, witness = FaultFiles(1), FaultFiles(2)
    store = opened(files, witness)
    for ticket in range(1, 6):
        store.write([Write(ticket, ticket, 1)])
    files.flip("seg-0000000000000000.log", 60)
    with pytest.raises(StoreError, match="seg-0000000000000000"):
        opened(files, witness)


def test_a_full_disk_is_told_and_nothing_is_marked() -> None:
    files, witness = FaultFiles(1), FaultFiles(2)
    store = opened(files, witness)
    files.fail_at = files.steps
    before = witness.read(WITNESS)
    with pytest.raises(OSError, match="space"):
        store.write([Write(1, 1, 1)])
    assert witness.read(WITNESS) == before


def test_writes_that_are_joined_make_the_same_of_a_disk() -> None:
    joined = 0
    for seed in range(60):
        rng, apart, whole, writes = random.Random(seed), Kept(), Kept(), list[Write]()
        for ticket in range(1, 25):
            writes.append(drawn(rng, apart, ticket))
            apply(apart, writes[-1])
        told = [replace(write) for write in writes]
        for write in (made := together(writes)):
            apply(whole, write)
        assert whole == apart and writes == told and made[-1].ticket == 24
        joined += len(writes) - len(made)
    assert joined > 100
