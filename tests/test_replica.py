"""Running replicas on sockets and files: kills, empty disks, failing disks, wrong keys, misdirected messages."""

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
from tests.replica_rig import FAST_RAFT_SETTINGS, KEYS, ReplicaGroup, Sum
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


def test_node_with_an_empty_disk_joins_as_a_new_replica_catches_up_and_votes(tmp_path: Path) -> None:
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
        for configuration in (
            Configuration(voters, (fresh.replica_id,)),
            Configuration((*voters, fresh.replica_id)),
            Configuration(tuple(one for one in (*voters, fresh.replica_id) if one != lost)),
        ):
            while not (await group.leader()).change_configuration(configuration):
                await asyncio.sleep(0.02)
        await group.until(lambda: group.state_machines[fresh.replica_id].total == total)
        await group.until(lambda: group.replicas[fresh.replica_id].raft.configuration.voters == configuration.voters)
        other = next(
            number
            for number in voters
            if number in group.replicas and group.replicas[number].raft.role is not Role.LEADER
        )
        await group.kill(other)  # now the new replica is needed for a quorum
        assert await group.add(1) == total + 1
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_replica_without_its_witness_mark_recovers_before_it_takes_part(tmp_path: Path) -> None:
    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a", "b", "c")
        await group.add(7)
        follower = next(number for number, replica in group.replicas.items() if replica.raft.role is not Role.LEADER)
        name = "abc"[group.bootstrap.voters.index(follower)]
        await group.kill(follower)
        (tmp_path / f"{name}-witness" / "witness").unlink()  # a restart of the machine clears the witness's memory
        storage = group.open_storage(name)
        assert not storage.disk_verified
        back = await group.start(storage)
        await group.until(lambda: back.raft.disk_verified and storage.disk_verified)
        await group.until(lambda: group.state_machines[follower].total == 7)
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_stopped_replica_has_no_write_in_progress(tmp_path: Path) -> None:
    """A write that outlives its replica would change folders that the next start has locked by then."""

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a")
        leader = await group.leader()
        storage, begun, ended = leader.storage, threading.Event(), threading.Event()
        original_write = storage.write

        def slow_write(writes: list[Any]) -> None:
            begun.set()
            time.sleep(0.2)
            original_write(writes)
            ended.set()

        storage.write = slow_write  # type: ignore[method-assign]
        proposal = asyncio.create_task(leader.propose(b"1"))
        await group.until(begun.is_set)
        await group.kill(storage.replica_id)
        assert ended.is_set()
        with pytest.raises(IndeterminateError):
            await proposal

    run(test(), LONG_TEST_TIMEOUT_S)


def test_failing_disk_halts_its_replica_and_the_group_continues(
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


def test_frames_with_another_key_or_for_another_replica_or_node_are_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a", "b", "c")
        await group.add(1)
        leader = await group.leader()
        leader_id, transport = leader.raft.replica_id, group.transports[leader.raft.replica_id]

        def find_leader_address(node: str) -> tuple[str, int]:
            return group.addresses[str(leader_id)]

        wrong_key = Transport("g", "99", lambda: Keyring([b"x" * 32]), find_leader_address)
        wrong_target = Transport("g", "99", lambda: KEYS, find_leader_address)
        body = encode(TimeoutNow(9))
        wrong_key.send(str(leader_id), Envelope("g", 99, leader_id), body)
        wrong_target.send(str(leader_id), Envelope("g", 99, leader_id + 1), body)  # another replica id on that node
        wrong_target.send("98", Envelope("g", 99, leader_id), body)  # another node name at that address
        await group.until(
            lambda: (
                transport.counts["dropped_mac"]
                and transport.counts["not_for_this_disk"]
                and transport.counts["not_for_this_place"]
            )
        )
        wrong_key.stop()
        wrong_target.stop()
        with pytest.raises(ValueError, match="at most"):
            await leader.propose(b"1" * 70_000)
        follower = next(replica for replica in group.replicas.values() if replica is not leader)
        with pytest.raises(NotLeaderError):
            await follower.propose(b"1")
        with pytest.raises(NotLeaderError):
            await follower.confirm_leadership()
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_sole_replica_leads_and_serves_reads(tmp_path: Path) -> None:
    """No other voter's response renews its lease, so each heartbeat round must."""

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        await group.start_all("a")
        assert [await group.add(2) for _ in range(3)] == [2, 4, 6]
        await asyncio.sleep(3 * FAST_RAFT_SETTINGS.election_timeout_ms / 1000)
        await (await group.leader()).confirm_leadership()
        assert await group.add(1) == 7
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_proposals_of_one_loop_iteration_are_committed_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        for turn in itertools.count():  # repeated, because on an overloaded machine the leader may lose leadership
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


class SlowSnapshotSum(Sum):
    """A state machine whose snapshot takes 0.3 s."""

    def snapshot(self) -> bytes:
        time.sleep(0.3)
        return super().snapshot()


def test_snapshot_is_made_while_the_replica_continues(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The snapshot holds the state at its start; a restart from it and the log restores everything."""
    monkeypatch.setattr("martenstep.replication.replica.SNAPSHOT_INTERVAL_ENTRIES", 50)

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        group.make_state_machine = SlowSnapshotSum
        await group.start_all("a")
        leader = await group.leader()
        while leader.raft.snapshot_index < 100:
            await group.add(1)
        total = await group.add(1)
        kept = leader.raft.snapshot
        assert kept is not None and 0 < int(kept.body.split()[0]) <= kept.index < total + 2
        held = leader.raft.snapshot_index
        await group.kill(leader.raft.replica_id)  # possibly while the next snapshot is being made
        back = await group.start(group.open_storage("a"))
        assert back.raft.snapshot_index >= held
        assert await group.add(1) == total + 1
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_failed_snapshot_leaves_the_log_uncompacted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("martenstep.replication.replica.SNAPSHOT_INTERVAL_ENTRIES", 20)

    class FailingSnapshotSum(Sum):
        def snapshot(self) -> bytes:
            raise RuntimeError("no")

    async def test() -> None:
        group = ReplicaGroup(tmp_path)
        group.make_state_machine = FailingSnapshotSum
        await group.start_all("a")
        for number in range(60):
            assert await group.add(1) == number + 1
        await group.until(lambda: any(event == "replica snapshot failed" for event, _ in group.events))
        assert (await group.leader()).raft.snapshot_index == 0
        await group.stop()

    run(test(), LONG_TEST_TIMEOUT_S)
