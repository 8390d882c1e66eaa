"""The counter that copies feed: the same entries make the same answers, and each command counts once over failovers."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.counter.protocol import (
    Add,
    FrameDecoder,
    Hello,
    RecordAttempt,
    RecordReply,
    Rejection,
    Reply,
    Status,
    TotalReply,
    Welcome,
    decode,
    encode,
)
from martenstep.counter.replicated_counter import ReplicatedCounter, encode_entry
from martenstep.counter.replicated_service import ReplicatedService
from martenstep.counter.state import CounterLimits
from martenstep.membership.keyring import Keyring
from martenstep.policy.messages import CallResult
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.replica import Replica
from martenstep.replication.replica_storage import ReplicaStorage
from tests.replica_rig import KEYS, ReplicaGroup
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run

NOW = 1_000_000.0
SMALL = CounterLimits(deduplication_window=6, attempt_window_ms=4000.0, max_attempts=5, max_keys=4, period_ms=1000.0)


def entry(at: float, door: int, epoch: int, sequence: int, kind: int, key: int) -> bytes:
    """One of few commands, so that repeats and reuse of sequences are common."""
    name = f"door-{door}"
    if kind == 0:
        return encode_entry(at, name, epoch, Hello(name, epoch))
    if kind == 1:
        return encode_entry(
            at, name, epoch, RecordAttempt(sequence, at - 500.0 * key, 1.0, key % 2 == 0, f"r{key}", "c", "p", "k")
        )
    return encode_entry(at, name, epoch, Add(sequence, key, float(kind), 700.0))


ENTRIES = st.lists(
    st.builds(
        entry,
        st.integers(0, 8000).map(lambda ms: NOW + ms),
        st.integers(0, 2),
        st.integers(1, 3),
        st.integers(1, 12),
        st.integers(0, 3),
        st.integers(0, 9),
    ),
    max_size=60,
)


@given(ENTRIES, st.integers(0, 60))
def test_a_copy_filled_by_a_snapshot_answers_as_one_that_saw_all(entries: list[bytes], cut: int) -> None:
    seen, filled = ReplicatedCounter(SMALL), ReplicatedCounter(SMALL)
    for data in entries[:cut]:
        seen.apply(data)
    filled.restore(seen.snapshot())
    for data in entries[cut:]:
        assert filled.apply(data) == seen.apply(data)
    assert filled.state.usage() == seen.state.usage()
    assert [filled.total(name) for name in range(10)] == [seen.total(name) for name in range(10)]


def test_the_same_sequence_counts_once_and_a_later_epoch_ends_the_earlier() -> None:
    made = ReplicatedCounter()
    first = made.apply(encode_entry(NOW, "a", 1, Add(1, 7, 2.0, 60_000.0)))  # no greeting before it
    assert first == TotalReply(1, Status.DONE, 2.0)
    assert made.apply(encode_entry(NOW, "b", 1, Add(1, 7, 5.0, 60_000.0))) == TotalReply(1, Status.DONE, 7.0)
    assert made.apply(encode_entry(NOW + 9, "a", 1, Add(1, 7, 2.0, 60_000.0))) == TotalReply(1, Status.REPEATED, 2.0)
    assert made.apply(encode_entry(NOW, "a", 1, Hello("a", 1))) == Welcome(1)
    assert made.apply(encode_entry(NOW, "a", 2, Add(1, 7, 1.0, 60_000.0))) == TotalReply(1, Status.DONE, 8.0)
    assert made.apply(encode_entry(NOW, "a", 1, Add(2, 7, 1.0, 60_000.0))) == TotalReply(2, Status.FENCED, 0.0)
    assert isinstance(made.apply(encode_entry(NOW, "a", 1, Hello("a", 1))), Rejection)
    assert made.total(7) == 8.0


def test_a_leader_whose_clock_is_behind_brings_no_name_back() -> None:
    made = ReplicatedCounter()
    made.apply(encode_entry(NOW, "a", 1, Add(1, 7, 2.0, 1000.0)))
    made.apply(encode_entry(NOW + 1500, "a", 1, Add(2, 8, 1.0, 1000.0)))
    assert made.total(7) == 0.0
    assert made.apply(encode_entry(NOW + 10, "a", 1, Add(3, 7, 4.0, 1000.0))) == TotalReply(3, Status.DONE, 4.0)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\0" * 17,
        b"\0" * 30,
        encode_entry(NOW, "a", 1, Add(1, 7, 1.0, 9.0))[:-3],
        encode_entry(float("nan"), "a", 1, Hello("a", 1)),
    ],
)
def test_an_entry_that_cannot_be_read_changes_nothing(data: bytes) -> None:
    made = ReplicatedCounter()
    before = made.snapshot()
    assert isinstance(made.apply(data), Rejection) and made.snapshot() == before


def test_a_body_that_is_no_snapshot_is_named() -> None:
    with pytest.raises(ValueError, match="not a counter's snapshot"):
        ReplicatedCounter().restore(b"\x93\x01\x02\x03")


class CountingGroup(ReplicaGroup):
    """Copies of a counter with their listeners, and a door that asks until it knows."""

    make_state_machine = ReplicatedCounter

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.services: dict[int, ReplicatedService] = {}
        self.ports: dict[int, int] = {}

    def address(self, group: str, copy: int | None) -> str | None:
        return f"127.0.0.1:{self.ports[copy]}" if copy in self.ports else None

    async def start(self, store: ReplicaStorage, keys: Keyring = KEYS) -> Replica:
        host = await super().start(store, keys)
        service = self.services[store.replica_id] = ReplicatedService(
            lambda group: host, self.address, clock=lambda: NOW / 1000
        )
        self.ports[store.replica_id] = await service.start("127.0.0.1", self.ports.get(store.replica_id, 0))
        return host

    async def kill(self, number: int) -> None:
        await self.services.pop(number).stop()
        await super().kill(number)

    def client(self, answer: Any, first: int) -> CounterClient:
        order = [*self.bootstrap.voters[first:], *self.bootstrap.voters[:first]]
        addresses = [("127.0.0.1", self.ports[copy]) for copy in order]
        journal = AttemptJournal(self.folder / "journal", 1000)
        return CounterClient(
            addresses, journal, answer, lambda event, fields: None, ClientOptions("door", timeout_ms=300.0)
        )

    async def command(self, epoch: int, command: Add | RecordAttempt) -> Reply:
        while True:
            try:
                reply: Reply = await (await self.leader()).propose(encode_entry(NOW, "door", epoch, command))
                return reply
            except (NotLeaderError, IndeterminateError):
                await asyncio.sleep(0.02)


def test_leaders_killed_under_load_lose_and_double_nothing(tmp_path: Path) -> None:
    """A command in doubt is asked again under its sequence at whoever leads next."""

    async def test() -> None:
        group = CountingGroup(tmp_path)
        await group.start_all("a", "b", "c")
        draw, replies = random.Random(5), list[Reply]()

        async def load() -> None:
            for number in range(1, 121):
                told = (
                    Add(number, 7, 1.0, 3_600_000.0)
                    if number % 2
                    else RecordAttempt(number, NOW, 1.0, False, f"r{number}", "c", "p", "k")
                )
                replies.append(await group.command(1, told))

        loading = asyncio.create_task(load())
        for round_ in range(3):
            while len(replies) < 30 * (round_ + 1):
                await asyncio.sleep(0.005)
            lost = (await group.leader()).raft.replica_id
            await group.kill(lost)
            await asyncio.sleep(0.1 * draw.random())
            await group.start(group.open_storage("abc"[group.bootstrap.voters.index(lost)]))
        await loading
        leader = await group.leader()
        await leader.confirm_leadership()
        counter = group.state_machines[leader.raft.replica_id].state
        assert counter.total(7) == 60.0
        assert sum(use.attempts for use in counter.usage().values()) == 60
        assert [reply.total for reply in replies if isinstance(reply, TotalReply)] == [float(n) for n in range(1, 61)]
        assert {reply.status for reply in replies if isinstance(reply, RecordReply)} <= {Status.DONE, Status.REPEATED}
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


@pytest.mark.parametrize("first", [0, 1, 2])
def test_a_door_finds_the_leader_whichever_copy_it_asks_first(tmp_path: Path, first: int) -> None:
    async def test() -> None:
        group, told = CountingGroup(tmp_path), dict[int, tuple[CallResult, float]]()
        await group.start_all("a", "b", "c")
        await group.leader()
        client = group.client(lambda call, verdict, total, kept: told.update({call: (verdict, total)}), first)
        client.start()
        assert client.record(
            AttemptRecord("r1", NOW, 1.0, False, "c", "p", "k")
        )  # waits until the leader has been found
        assert await client.flush(10_000)
        for call in range(5):
            client.add(call, 7, 2.0, 60_000.0)
            assert await client.flush(10_000)
        assert told == {call: (CallResult.OK, 2.0 * (call + 1)) for call in range(5)}
        await client.stop()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_doors_adds_and_tries_come_through_lost_leaders_once(tmp_path: Path) -> None:
    async def test() -> None:
        group, told = CountingGroup(tmp_path), list[CallResult]()
        await group.start_all("a", "b", "c")
        client = group.client(lambda call, verdict, total, kept: told.append(verdict), 0)
        client.start()
        for number in range(150):
            client.add(number, 7, 1.0, 3_600_000.0)
            client.record(AttemptRecord(f"r{number}", NOW + number, 1.0, False, "c", "p", "k"))
            await asyncio.sleep(0.005)
            if number in (40, 90):
                lost = (await group.leader()).raft.replica_id
                await group.kill(lost)
                await group.start(group.open_storage("abc"[group.bootstrap.voters.index(lost)]))
        assert await client.flush(20_000)
        leader = await group.leader()
        await leader.confirm_leadership()
        counter = group.state_machines[leader.raft.replica_id].state
        # What the door was told is certain, or in doubt until it came through; what never left it was not added.
        assert len(told) == 150 and set(told) <= {CallResult.OK, CallResult.TIMEOUT, CallResult.CONNECT_FAILED}
        assert counter.total(7) == 150 - told.count(CallResult.CONNECT_FAILED)
        assert sum(use.attempts for use in counter.usage().values()) == 150
        await client.stop()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_copy_that_cannot_say_names_the_leader_and_strangers_are_not_gone_to(tmp_path: Path) -> None:
    async def test() -> None:
        group = CountingGroup(tmp_path)
        await group.start_all("a", "b", "c")
        leader = (await group.leader()).raft.replica_id
        await group.until(lambda: all(host.raft.leader == leader for host in group.replicas.values()))
        other = next(copy for copy in group.bootstrap.voters if copy != leader)
        reader, writer = await asyncio.open_connection("127.0.0.1", group.ports[other])
        writer.write(encode(Hello("door", 1)) + encode(Add(1, 7, 1.0, 60_000.0)))
        [payload] = FrameDecoder().feed(await reader.read())
        assert decode(payload) == Rejection(Status.MOVED, group.address("", leader) or "")
        writer.close()
        client = group.client(lambda *told: None, 0)
        assert not client._choose_address("192.0.2.1:80") and not client._choose_address("")
        await client.stop()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)
