"""Pending increments: what a lost gateway replicated is delivered by another, once, and its group comes to an end."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenstep.counter.increment_ledger import IncrementLedger, is_ledger_group
from martenstep.counter.pending_increments import (
    Acknowledge,
    AddPending,
    AttemptRecord,
    Entry,
    FenceOwner,
    PendingIncrements,
    SetOwner,
    encode_entry,
    split_acknowledged,
    split_pending,
)
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.transport import Transport
from tests.replica_fleet_rig import FAST_RAFT_SETTINGS, KEYS, ReplicaFleet
from tests.replica_rig import Sum
from tests.socket_rig import LONG_S, run


def made(request: str) -> AttemptRecord:
    return AttemptRecord(request, 1e12, 1.0, False, "ada", "pro", "read")


def test_a_try_is_in_the_book_until_it_is_done_and_a_sealed_book_takes_no_more() -> None:
    book = PendingIncrements()
    assert book.apply(encode_entry(SetOwner("d1"))) and book.apply(encode_entry(SetOwner("d2"))) and book.owner == "d1"
    assert book.apply(encode_entry(AddPending((made("a"), made("b")))))
    assert (
        book.apply(encode_entry(Acknowledge(("a", "zz"))))
        and list(book.pending) == ["b"]
        and book.acknowledged_count == 1
    )
    assert (
        book.apply(encode_entry(FenceOwner()))
        and not book.apply(encode_entry(AddPending((made("c"),))))
        and list(book.pending) == ["b"]
    )
    assert not book.apply(b"\xff\x00") and book.apply(encode_entry(Acknowledge(("b",)))) and not book.pending


ENTRIES = st.lists(
    st.one_of(
        st.builds(lambda names: AddPending(tuple(map(made, names))), st.lists(st.sampled_from("abcdef"), max_size=3)),
        st.builds(lambda names: Acknowledge(tuple(names)), st.lists(st.sampled_from("abcdef"), max_size=3)),
        st.builds(SetOwner, st.sampled_from(["d1", "d2"])),
        st.just(FenceOwner()),
    ),
    max_size=20,
)


@given(ENTRIES, st.integers(0, 20))
def test_a_book_filled_by_a_snapshot_goes_on_as_one_that_saw_all(entries: list[Entry], cut: int) -> None:
    seen, filled = PendingIncrements(), PendingIncrements()
    for told in entries[:cut]:
        seen.apply(encode_entry(told))
    filled.restore(seen.snapshot())
    for told in entries[cut:]:
        assert filled.apply(encode_entry(told)) == seen.apply(encode_entry(told))
    assert (filled.pending, filled.owner, filled.fenced, filled.acknowledged_count) == (
        seen.pending,
        seen.owner,
        seen.fenced,
        seen.acknowledged_count,
    )


def test_large_entries_are_split_and_no_snapshot_is_named() -> None:
    tries = [
        AttemptRecord("r" * 64 + str(number), 1e12, 1.0, True, "c" * 64, "p" * 64, "k" * 64) for number in range(250)
    ]
    split = list(split_pending(tries))
    assert [one for put in split for one in put.attempts] == tries and max(
        len(encode_entry(put)) for put in split
    ) < 65536
    assert sum(len(done.request_ids) for done in split_acknowledged([one.request_id for one in tries])) == 250
    with pytest.raises(ValueError, match="not a snapshot of pending increments"):
        PendingIncrements().restore(b"\x01")


class BookFleet(ReplicaFleet):
    """Places with books; the counter is a list here."""

    def __init__(self, folder: Path, names: str, final_ms: float) -> None:
        super().__init__(folder, names, groups=(), node_lost_after_ms=final_ms)
        self.books: dict[str, IncrementLedger] = {}
        self.counter: dict[str, list[str]] = {}  # request: who delivered it
        self.down = False  # the counter is
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, *names: str) -> None:
        for name in names:

            def owner(group: str, name: str = name) -> str | None:
                host = self.managers[name].replica(group)
                return (
                    (host.state_machine.owner or None)
                    if host is not None and isinstance(host.state_machine, PendingIncrements)
                    else None
                )

            keeper = self.managers[name] = ReplicaManager(
                name,
                self.folder / name,
                self.folder / f"{name}-witness",
                self.replication,
                lambda group: PendingIncrements() if is_ledger_group(group) else Sum(),
                self.cluster_nodes,
                lambda event, fields: self.events.append((event, fields)),
                FAST_RAFT_SETTINGS,
                is_own_group=is_ledger_group,
                preferred_node=owner,
            )
            links = self.transports[name] = Transport(
                "f", name, lambda: KEYS, self.addresses.get, keeper.receive, keeper.report_unknown_replica
            )
            host, port = self.addresses.get(name, ("127.0.0.1", 0))
            self.addresses[name] = host, await links.start(host, port)
            await keeper.start(links)
            books = self.books[name] = IncrementLedger(
                name, keeper, partial(self.deliver, name), lambda event, fields: self.events.append((event, fields))
            )
            await books.start()

    def deliver(self, name: str, told: AttemptRecord) -> bool:
        if self.down:
            return False
        self.counter.setdefault(told.request_id, []).append(name)
        asyncio.get_running_loop().call_soon(self.books[name].on_acknowledged, told.request_id)
        return True

    async def kill(self, name: str, wipe: bool = False) -> None:
        await self.books.pop(name).stop()
        await super().kill(name, wipe)

    async def promised(self, name: str, request: str) -> None:
        """Until a try is promised: an election may come between."""
        while not await self.books[name].replicate(made(request)):
            await asyncio.sleep(0.02)

    def state(self, name: str, group: str) -> Any:
        keeper = self.managers.get(name)
        host = keeper.replica(group) if keeper is not None else None
        return host.state_machine if host is not None else None

    async def whole(self, name: str) -> str:
        """Until a place's book is at three places and led by its owner."""
        books = self.books[name]
        await self.until(
            lambda: (
                len(self.voter_nodes(books.own_group)) == 3
                and name
                in [
                    one
                    for one in self.managers
                    if any(led.replica.group == books.own_group for led in self.books[one].led_groups())
                ]
            )
        )
        return books.own_group


def test_what_a_lost_door_promised_is_delivered_by_another_and_its_book_ends(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = BookFleet(tmp_path, "abcd", final_ms=2000.0)
        await fleet.start(*"abcd")
        own = await fleet.whole("a")
        fleet.down = True  # nobody can deliver yet
        await asyncio.gather(*(fleet.promised("a", f"r{number}") for number in range(250)))
        assert fleet.books["a"].counts["promised"] == 250
        await fleet.kill("a", wipe=True)  # the door is lost with its disk, and its own journal
        fleet.down = False
        await fleet.until(lambda: len(fleet.counter) == 250)
        assert all(len(by) == 1 and by[0] in "bcd" for by in fleet.counter.values())
        # Lost for good: sealed, and when all is recorded it is let go everywhere.
        await fleet.until(lambda: all(fleet.state(name, own) is None for name in "bcd"))
        assert any(event == "increment group fenced" for event, _ in fleet.events)
        await fleet.start("a")
        assert fleet.books["a"].own_group != own
        await fleet.whole("a")
        await fleet.stop()

    run(test(), LONG_S)


def test_a_door_that_was_cut_off_while_it_was_called_lost_finds_its_book_sealed_and_begins_another(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        fleet = BookFleet(tmp_path, "abcd", final_ms=600.0)
        await fleet.start(*"abcd")
        own = await fleet.whole("a")
        fleet.down = True
        await fleet.promised("a", "r1")
        fleet.names.remove("a")  # membership is wrong about it: it lives, and holds its book
        await fleet.kill("a")
        await fleet.until(lambda: any(getattr(fleet.state(name, own), "fenced", False) for name in "bcd"))
        fleet.names.append("a")
        await fleet.start("a")
        await fleet.until(lambda: fleet.books["a"].own_group != own)  # it finds the old one sealed
        await fleet.whole("a")
        fleet.down = False
        await fleet.until(lambda: "r1" in fleet.counter)
        await fleet.promised("a", "r2")
        await fleet.stop()

    run(test(), LONG_S)


def test_a_book_that_is_not_whole_yet_says_so(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = BookFleet(tmp_path, "a", final_ms=3_600_000.0)
        await fleet.start("a")
        await fleet.until(lambda: fleet.books["a"].led_groups())
        assert not await fleet.books["a"].replicate(made("r1")) and fleet.books["a"].counts["thin"] == 1
        await fleet.kill("a")
        await fleet.start("a")  # the same book, with what is in it
        await fleet.until(lambda: "r1" in fleet.counter)
        await fleet.until(lambda: not fleet.state("a", fleet.books["a"].own_group).pending)
        await fleet.stop()

    run(test(), LONG_S)
