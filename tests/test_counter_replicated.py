"""The replicated counter: replicas give the same replies, and each command counts once across failovers."""

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

NOW_MS = 1_000_000.0
SMALL_LIMITS = CounterLimits(
    deduplication_window=6, attempt_window_ms=4000.0, max_attempts=5, max_keys=4, period_ms=1000.0
)


def make_entry(time_ms: float, gateway: int, epoch: int, sequence: int, kind: int, key: int) -> bytes:
    """Return one of few different entries, so that repeated and reused sequences are common."""
    name = f"door-{gateway}"
    if kind == 0:
        return encode_entry(time_ms, name, epoch, Hello(name, epoch))
    if kind == 1:
        return encode_entry(
            time_ms,
            name,
            epoch,
            RecordAttempt(sequence, time_ms - 500.0 * key, 1.0, key % 2 == 0, f"r{key}", "c", "p", "k"),
        )
    return encode_entry(time_ms, name, epoch, Add(sequence, key, float(kind), 700.0))


ENTRIES = st.lists(
    st.builds(
        make_entry,
        st.integers(0, 8000).map(lambda ms: NOW_MS + ms),
        st.integers(0, 2),
        st.integers(1, 3),
        st.integers(1, 12),
        st.integers(0, 3),
        st.integers(0, 9),
    ),
    max_size=60,
)


@given(ENTRIES, st.integers(0, 60))
def test_a_replica_restored_from_a_snapshot_replies_like_one_that_applied_all_entries(
    entries: list[bytes], cut: int
) -> None:
    complete, restored = ReplicatedCounter(SMALL_LIMITS), ReplicatedCounter(SMALL_LIMITS)
    for data in entries[:cut]:
        complete.apply(data)
    restored.restore(complete.snapshot())
    for data in entries[cut:]:
        assert restored.apply(data) == complete.apply(data)
    assert restored.state.usage() == complete.state.usage()
    assert [restored.total(key) for key in range(10)] == [complete.total(key) for key in range(10)]


def test_the_same_sequence_counts_once_and_a_later_epoch_ends_the_earlier() -> None:
    counter = ReplicatedCounter()
    first = counter.apply(encode_entry(NOW_MS, "a", 1, Add(1, 7, 2.0, 60_000.0)))  # without a Hello before it
    assert first == TotalReply(1, Status.DONE, 2.0)
    assert counter.apply(encode_entry(NOW_MS, "b", 1, Add(1, 7, 5.0, 60_000.0))) == TotalReply(1, Status.DONE, 7.0)
    assert counter.apply(encode_entry(NOW_MS + 9, "a", 1, Add(1, 7, 2.0, 60_000.0))) == TotalReply(
        1, Status.REPEATED, 2.0
    )
    assert counter.apply(encode_entry(NOW_MS, "a", 1, Hello("a", 1))) == Welcome(1)
    assert counter.apply(encode_entry(NOW_MS, "a", 2, Add(1, 7, 1.0, 60_000.0))) == TotalReply(1, Status.DONE, 8.0)
    assert counter.apply(encode_entry(NOW_MS, "a", 1, Add(2, 7, 1.0, 60_000.0))) == TotalReply(2, Status.FENCED, 0.0)
    assert isinstance(counter.apply(encode_entry(NOW_MS, "a", 1, Hello("a", 1))), Rejection)
    assert counter.total(7) == 8.0


def test_an_expired_key_stays_expired_when_a_leader_with_a_slower_clock_follows() -> None:
    counter = ReplicatedCounter()
    counter.apply(encode_entry(NOW_MS, "a", 1, Add(1, 7, 2.0, 1000.0)))
    counter.apply(encode_entry(NOW_MS + 1500, "a", 1, Add(2, 8, 1.0, 1000.0)))
    assert counter.total(7) == 0.0
    assert counter.apply(encode_entry(NOW_MS + 10, "a", 1, Add(3, 7, 4.0, 1000.0))) == TotalReply(3, Status.DONE, 4.0)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\0" * 17,
        b"\0" * 30,
        encode_entry(NOW_MS, "a", 1, Add(1, 7, 1.0, 9.0))[:-3],
        encode_entry(float("nan"), "a", 1, Hello("a", 1)),
    ],
)
def test_an_entry_that_cannot_be_read_changes_nothing(data: bytes) -> None:
    counter = ReplicatedCounter()
    before = counter.snapshot()
    assert isinstance(counter.apply(data), Rejection) and counter.snapshot() == before


def test_an_invalid_snapshot_body_is_reported() -> None:
    with pytest.raises(ValueError, match="not a counter's snapshot"):
        ReplicatedCounter().restore(b"\x93\x01\x02\x03")


class CounterGroup(ReplicaGroup):
    """Replicas of a counter with their listeners, and a client that repeats a command until it gets its reply."""

    make_state_machine = ReplicatedCounter

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.services: dict[int, ReplicatedService] = {}
        self.ports: dict[int, int] = {}

    def address(self, group: str, replica_id: int | None) -> str | None:
        return f"127.0.0.1:{self.ports[replica_id]}" if replica_id in self.ports else None

    async def start(self, storage: ReplicaStorage, keys: Keyring = KEYS) -> Replica:
        replica = await super().start(storage, keys)
        service = self.services[storage.replica_id] = ReplicatedService(
            lambda group: replica, self.address, clock=lambda: NOW_MS / 1000
        )
        self.ports[storage.replica_id] = await service.start("127.0.0.1", self.ports.get(storage.replica_id, 0))
        return replica

    async def kill(self, number: int) -> None:
        await self.services.pop(number).stop()
        await super().kill(number)

    def client(self, answer: Any, first: int) -> CounterClient:
        order = [*self.bootstrap.voters[first:], *self.bootstrap.voters[:first]]
        addresses = [("127.0.0.1", self.ports[replica_id]) for replica_id in order]
        journal = AttemptJournal(self.folder / "journal", 1000)
        return CounterClient(
            addresses, journal, answer, lambda event, fields: None, ClientOptions("door", timeout_ms=300.0)
        )

    async def execute(self, epoch: int, command: Add | RecordAttempt) -> Reply:
        while True:
            try:
                reply: Reply = await (await self.leader()).propose(encode_entry(NOW_MS, "door", epoch, command))
                return reply
            except (NotLeaderError, IndeterminateError):
                await asyncio.sleep(0.02)


def test_killed_leaders_under_load_lose_nothing_and_count_nothing_twice(tmp_path: Path) -> None:
    """An indeterminate command is sent again to the next leader, under the same sequence."""

    async def test() -> None:
        group = CounterGroup(tmp_path)
        await group.start_all("a", "b", "c")
        rng, replies = random.Random(5), list[Reply]()

        async def load() -> None:
            for number in range(1, 121):
                command = (
                    Add(number, 7, 1.0, 3_600_000.0)
                    if number % 2
                    else RecordAttempt(number, NOW_MS, 1.0, False, f"r{number}", "c", "p", "k")
                )
                replies.append(await group.execute(1, command))

        loading = asyncio.create_task(load())
        for kill in range(3):
            while len(replies) < 30 * (kill + 1):
                await asyncio.sleep(0.005)
            lost = (await group.leader()).raft.replica_id
            await group.kill(lost)
            await asyncio.sleep(0.1 * rng.random())
            await group.start(group.open_storage("abc"[group.bootstrap.voters.index(lost)]))
        await loading
        leader = await group.leader()
        await leader.confirm_leadership()
        state = group.state_machines[leader.raft.replica_id].state
        assert state.total(7) == 60.0
        assert sum(totals.attempts for totals in state.usage().values()) == 60
        assert [reply.total for reply in replies if isinstance(reply, TotalReply)] == [float(n) for n in range(1, 61)]
        assert {reply.status for reply in replies if isinstance(reply, RecordReply)} <= {Status.DONE, Status.REPEATED}
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


@pytest.mark.parametrize("first", [0, 1, 2])
def test_a_client_finds_the_leader_from_any_first_address(tmp_path: Path, first: int) -> None:
    async def test() -> None:
        group, results = CounterGroup(tmp_path), dict[int, tuple[CallResult, float]]()
        await group.start_all("a", "b", "c")
        await group.leader()
        client = group.client(lambda call, result, total, retained_ms: results.update({call: (result, total)}), first)
        client.start()
        assert client.record(AttemptRecord("r1", NOW_MS, 1.0, False, "c", "p", "k"))  # sent once the leader is found
        assert await client.flush(10_000)
        for call in range(5):
            client.add(call, 7, 2.0, 60_000.0)
            assert await client.flush(10_000)
        assert results == {call: (CallResult.OK, 2.0 * (call + 1)) for call in range(5)}
        await client.stop()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_clients_adds_and_attempts_count_once_across_lost_leaders(tmp_path: Path) -> None:
    async def test() -> None:
        group, results = CounterGroup(tmp_path), list[CallResult]()
        await group.start_all("a", "b", "c")
        client = group.client(lambda call, result, total, retained_ms: results.append(result), 0)
        client.start()
        for number in range(150):
            client.add(number, 7, 1.0, 3_600_000.0)
            client.record(AttemptRecord(f"r{number}", NOW_MS + number, 1.0, False, "c", "p", "k"))
            await asyncio.sleep(0.005)
            if number in (40, 90):
                lost = (await group.leader()).raft.replica_id
                await group.kill(lost)
                await group.start(group.open_storage("abc"[group.bootstrap.voters.index(lost)]))
        assert await client.flush(20_000)
        leader = await group.leader()
        await leader.confirm_leadership()
        state = group.state_machines[leader.raft.replica_id].state
        # An add is confirmed or indeterminate, and counts once in both cases, or was never sent and does not count.
        assert len(results) == 150 and set(results) <= {CallResult.OK, CallResult.TIMEOUT, CallResult.CONNECT_FAILED}
        assert state.total(7) == 150 - results.count(CallResult.CONNECT_FAILED)
        assert sum(totals.attempts for totals in state.usage().values()) == 150
        await client.stop()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_replica_that_does_not_lead_names_the_leader_and_unlisted_addresses_are_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        group = CounterGroup(tmp_path)
        await group.start_all("a", "b", "c")
        leader = (await group.leader()).raft.replica_id
        await group.until(lambda: all(replica.raft.leader == leader for replica in group.replicas.values()))
        other = next(replica_id for replica_id in group.bootstrap.voters if replica_id != leader)
        reader, writer = await asyncio.open_connection("127.0.0.1", group.ports[other])
        writer.write(encode(Hello("door", 1)) + encode(Add(1, 7, 1.0, 60_000.0)))
        [payload] = FrameDecoder().feed(await reader.read())
        assert decode(payload) == Rejection(Status.MOVED, group.address("", leader) or "")
        writer.close()
        client = group.client(lambda *result: None, 0)
        assert not client._choose_address("192.0.2.1:80") and not client._choose_address("")
        await client.stop()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)
