"""Replicas as they run, on sockets and files: kills, empty disks, a disk that fails, wrong keys and wrong disks."""

from __future__ import annotations

import asyncio
import itertools
import threading
import time
from pathlib import Path
from typing import Any

import pytest

from martenstep.membership.keyring import Keyring
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.frames import Envelope
from martenstep.replication.messages import Configuration, TimeoutNow, encode
from martenstep.replication.raft import Role
from martenstep.replication.transport import Transport
from martenstep.storage.disk_faults import DISK_FAULTS_VARIABLE
from tests.replica_rig import KEYS, QUICK, ReplicaGroup, Sum
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run


def test_committed_commands_survive_the_loss_of_the_leader_and_its_return(tmp_path: Path) -> None:
    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a", "b", "c")
        for number in range(1, 21):
            assert await group.add(1) >= number
        lost = (await group.leader()).raft.replica_id
        await group.kill(lost)
        total = await group.add(100)
        assert total >= 120
        await (await group.leader()).confirm_leadership()
        name = "abc"[group.bootstrap.voters.index(lost)]
        back = await group.start(group.open_storage(name))
        assert back.raft.replica_id == lost and back.raft.disk_verified
        await group.until(lambda: group.state_machines[lost].total == total)
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_an_empty_disk_joins_as_another_replica_catches_up_and_votes(tmp_path: Path) -> None:
    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a", "b", "c")
        total = 0
        for _ in range(10):
            total = await group.add(5)
        leading = (await group.leader()).raft.replica_id
        lost = next(number for number in group.bootstrap.voters if number != leading)
        await group.kill(lost)
        fresh = group.open_storage("d")
        await group.start(fresh)
        voters = group.bootstrap.voters
        for config in (
            Configuration(voters, (fresh.replica_id,)),
            Configuration((*voters, fresh.replica_id)),
            Configuration(tuple(one for one in (*voters, fresh.replica_id) if one != lost)),
        ):
            while not (await group.leader()).change_configuration(config):
                await asyncio.sleep(0.02)
        await group.until(lambda: group.state_machines[fresh.replica_id].total == total)
        await group.until(lambda: group.replicas[fresh.replica_id].raft.configuration.voters == config.voters)
        other = next(
            number
            for number in voters
            if number in group.replicas and group.replicas[number].raft.role is not Role.LEADER
        )
        await group.kill(other)  # the new one is needed for a majority now
        assert await group.add(1) == total + 1
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_replica_whose_machine_was_restarted_recovers_first(tmp_path: Path) -> None:
    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a", "b", "c")
        await group.add(7)
        follower = next(number for number, replica in group.replicas.items() if replica.raft.role is not Role.LEADER)
        name = "abc"[group.bootstrap.voters.index(follower)]
        await group.kill(follower)
        (tmp_path / f"{name}-witness" / "witness").unlink()  # its memory is empty
        storage = group.open_storage(name)
        assert not storage.disk_verified
        back = await group.start(storage)
        await group.until(lambda: back.raft.disk_verified and storage.disk_verified)
        await group.until(lambda: group.state_machines[follower].total == 7)
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_replica_that_stops_leaves_no_write_behind(tmp_path: Path) -> None:
    """What its thread still wrote would go into folders that the next start holds by then."""

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a")
        leader = await group.leader()
        storage, begun, ended = leader.storage, threading.Event(), threading.Event()
        plain = storage.write

        def slow(writes: list[Any]) -> None:
            begun.set()
            time.sleep(0.2)
            plain(writes)
            ended.set()

        storage.write = slow  # type: ignore[method-assign]
        asking = asyncio.create_task(leader.propose(b"1"))
        await group.until(begun.is_set)
        await group.kill(storage.replica_id)
        assert ended.is_set()
        with pytest.raises(IndeterminateError):
            await asking

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_disk_that_fails_halts_its_replica_and_the_group_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    faults = tmp_path / "faults"
    monkeypatch.setenv(DISK_FAULTS_VARIABLE, str(faults))

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        bad = group.open_storage("a")
        monkeypatch.delenv(DISK_FAULTS_VARIABLE)
        good = [group.open_storage("b"), group.open_storage("c")]
        group.bootstrap = Configuration((bad.replica_id, *(storage.replica_id for storage in good)))
        for storage in (bad, *good):
            await group.start(storage)
        await group.add(1)
        faults.write_text('{"full": 1}')
        await group.add(2)
        await group.until(lambda: group.replicas[bad.replica_id].raft.halted)
        assert await group.add(3) >= 6
        assert any(event == "replica halted" and "No space" in fields["error"] for event, fields in group.events)
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_frames_of_another_key_or_for_another_disk_are_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a", "b", "c")
        await group.add(1)
        leader = await group.leader()
        me, transport = leader.raft.replica_id, group.transports[leader.raft.replica_id]

        def there(place: str) -> tuple[str, int]:
            return group.addresses[str(me)]

        strange = Transport("g", "99", lambda: Keyring([b"x" * 32]), there)
        wrong = Transport("g", "99", lambda: KEYS, there)
        body = encode(TimeoutNow(9))
        strange.send(str(me), Envelope("g", 99, me), body)
        wrong.send(str(me), Envelope("g", 99, me + 1), body)  # another disk on that node
        wrong.send("98", Envelope("g", 99, me), body)  # another node at that address
        await group.until(
            lambda: (
                transport.counts["dropped_mac"]
                and transport.counts["not_for_this_disk"]
                and transport.counts["not_for_this_place"]
            )
        )
        strange.stop()
        wrong.stop()
        with pytest.raises(ValueError, match="at most"):
            await leader.propose(b"1" * 70_000)
        follower = next(replica for replica in group.replicas.values() if replica is not leader)
        with pytest.raises(NotLeaderError):
            await follower.propose(b"1")
        with pytest.raises(NotLeaderError):
            await follower.confirm_leadership()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_replica_that_is_alone_leads_and_serves_reads(tmp_path: Path) -> None:
    """It has nobody whose answers would renew its lease."""

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a")
        assert [await group.add(2) for _ in range(3)] == [2, 4, 6]
        await asyncio.sleep(3 * QUICK.election_timeout_ms / 1000)
        await (await group.leader()).confirm_leadership()
        assert await group.add(1) == 7
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_proposals_of_one_turn_are_committed_in_their_order(tmp_path: Path) -> None:
    async def test() -> None:
        for turn in itertools.count():  # a leader may lose its lead on a starved machine, and then promises nothing
            (tmp_path / str(turn)).mkdir()
            group = ReplicaGroup(tmp_path / str(turn))
            await group.start_all("a", "b", "c")
            leader = await group.leader()
            got = await asyncio.gather(*(leader.propose(b"1") for _ in range(300)), return_exceptions=True)
            if not any(isinstance(one, IndeterminateError | NotLeaderError) for one in got):
                break
            await group.stop()
        assert got == list(range(1, 301))
        await group.until(lambda: all(machine.total == 300 for machine in group.state_machines.values()))
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


class Slow(Sum):
    """Whose snapshot takes long."""

    def snapshot(self) -> bytes:
        time.sleep(0.3)
        return super().snapshot()


def test_a_snapshot_is_made_while_the_replica_goes_on(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Of the state at one moment, whatever is added meanwhile; a start from it and the log gives all."""
    monkeypatch.setattr("martenstep.replication.replica.SNAPSHOT_INTERVAL_ENTRIES", 50)

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        group.make_state_machine = Slow
        await group.start_all("a")
        leader = await group.leader()
        while leader.raft.snapshot_index < 100:
            await group.add(1)
        total = await group.add(1)
        kept = leader.raft.snapshot
        assert kept is not None and 0 < int(kept.body.split()[0]) <= kept.index < total + 2
        held = leader.raft.snapshot_index
        await group.kill(leader.raft.replica_id)  # perhaps in the middle of the next one
        back = await group.start(group.open_storage("a"))
        assert back.raft.snapshot_index >= held
        assert await group.add(1) == total + 1
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_a_snapshot_that_fails_leaves_the_log(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("martenstep.replication.replica.SNAPSHOT_INTERVAL_ENTRIES", 20)

    class Broken(Sum):
        def snapshot(self) -> bytes:
            raise RuntimeError("no")

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        group.make_state_machine = Broken
        await group.start_all("a")
        for number in range(60):
            assert await group.add(1) == number + 1
        await group.until(lambda: any(event == "replica snapshot failed" for event, _ in group.events))
        assert (await group.leader()).raft.snapshot_index == 0
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)
