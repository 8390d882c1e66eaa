"""Nodes that hold replicas of groups: bootstrap, lost disks, catching up, replacement and removal of replicas."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from martenstep.replication.node_disk import derive_replica_id
from martenstep.replication.node_messages import CreateReplica, RemovedFromGroup, ReplicaNotFound
from martenstep.replication.replica_manager import ReplicaManager
from tests.replica_fleet_rig import ReplicaFleet
from tests.replica_rig import Sum
from tests.socket_rig import LONG_TEST_TIMEOUT_S, run


def test_node_with_a_wiped_disk_gets_a_replica_with_another_identity(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = ReplicaFleet(
            tmp_path, "abc", node_lost_after_ms=3_600_000.0
        )  # the node returns long before it counts as lost
        await fleet.start(*"abc")
        for number in range(20):
            assert await fleet.add("g-0") == number + 1
        old = derive_replica_id(fleet.replication.bootstrap_members[1].disk_id, "g-0")
        assert fleet.managers["b"].replica("g-0").raft.replica_id == old  # type: ignore[union-attr]
        await fleet.kill("b", wipe=True)
        assert await fleet.add("g-0", 100) == 120
        await fleet.start("b")
        assert any(event == "not a bootstrap member" for event, _ in fleet.events)
        await fleet.until(
            lambda: (
                fleet.total("b", "g-0") == 120
                and all(fleet.voter_nodes(group) == ["a", "b", "c"] for group in fleet.replication.groups)
            )
        )
        replica = await fleet.leader("g-0")
        assert old not in replica.raft.configuration.members and len(replica.raft.configuration.voters) == 3
        await fleet.kill("c")
        assert await fleet.add("g-0") == 121  # without `c` the new replica's acknowledgement is needed for a quorum
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_recovery_from_an_old_disk_queries_voters_that_joined_later(tmp_path: Path) -> None:
    """The voters that it must query joined the group after its disk was copied."""

    async def test() -> None:
        fleet = ReplicaFleet(tmp_path, "abc", groups=("g-0",), node_lost_after_ms=3_600_000.0)
        await fleet.start(*"abc")
        await fleet.add("g-0", 5)
        shutil.copytree(tmp_path / "c", tmp_path / "old")
        await fleet.kill("b", wipe=True)
        await fleet.start("b")
        await fleet.until(lambda: fleet.total("b", "g-0") == 5 and fleet.voter_nodes("g-0") == ["a", "b", "c"])
        total = await fleet.add("g-0", 2)
        await fleet.kill("c")
        shutil.rmtree(tmp_path / "c")
        shutil.copytree(tmp_path / "old", tmp_path / "c")
        await fleet.start("c")
        replica = fleet.managers["c"].replica("g-0")
        assert replica is not None and not replica.raft.disk_verified
        await fleet.until(lambda: replica.raft.disk_verified and fleet.total("c", "g-0") == total)
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_lost_node_is_replaced_and_its_replicas_are_removed_when_it_returns(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        fleet = ReplicaFleet(tmp_path, "abcd")
        await fleet.start(*"abcd")
        # With four nodes and three replicas, rendezvous hashing may select `d` from the start.
        await fleet.until(lambda: all(len(fleet.voter_nodes(group)) == 3 for group in fleet.replication.groups))
        for group in fleet.replication.groups:
            await fleet.add(group, 7)
        lost = fleet.voter_nodes("g-0")[0]
        spare = next(name for name in "abcd" if name not in fleet.voter_nodes("g-0"))
        await fleet.kill(lost)
        await fleet.until(lambda: lost not in fleet.voter_nodes("g-0") and spare in fleet.voter_nodes("g-0"))
        await fleet.until(lambda: fleet.total(spare, "g-0") == 7)
        fleet.names.remove(lost)  # it runs, but the membership does not list it, so no group selects it
        await fleet.start(lost)
        fleet.names = [name for name in fleet.names if name != lost]
        await fleet.until(lambda: fleet.managers[lost].replica("g-0") is None)
        await fleet.until(lambda: not (tmp_path / lost / "groups" / "g-0").exists())
        assert any(event == "replica removed" for event, _ in fleet.events)
        assert await fleet.add("g-0") == 8
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_damaged_folder_is_renamed_and_a_new_replica_catches_up(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = ReplicaFleet(tmp_path, "abc", groups=("g-0",))
        await fleet.start(*"abc")
        for _ in range(10):
            await fleet.add("g-0")
        await fleet.kill("a")
        segment = max((tmp_path / "a" / "groups" / "g-0").glob("seg-*"), key=lambda path: path.stat().st_size)
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 0x40
        segment.write_bytes(data)
        await fleet.start("a")
        assert any(event == "replica not opened" for event, _ in fleet.events)
        await fleet.until(lambda: fleet.total("a", "g-0") == 10 and fleet.voter_nodes("g-0") == ["a", "b", "c"])
        assert list((tmp_path / "a" / "groups").glob("g-0.damaged.*"))
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_old_message_does_not_remove_a_replica_with_a_later_configuration(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = ReplicaFleet(tmp_path, "abc", groups=("g-0",))
        await fleet.start(*"abc")
        await fleet.add("g-0")
        await fleet.kill("b", wipe=True)
        await fleet.start("b")
        await fleet.until(lambda: fleet.total("b", "g-0") == 1 and fleet.voter_nodes("g-0") == ["a", "b", "c"])
        manager = fleet.managers["b"]
        replica = manager.replica("g-0")
        assert replica is not None
        replica_id, index = replica.raft.replica_id, replica.raft.configuration_index
        manager.receive("a", "g-0", 0, RemovedFromGroup(replica_id, index))
        manager.receive("a", "g-0", 0, CreateReplica(index, (1, 2)))
        manager.receive("a", "g-0", 0, RemovedFromGroup(replica_id + 1, index + 9))
        manager.receive("a", "strange", 0, CreateReplica(1, ()))  # a group that this fleet does not have
        assert manager.replica("g-0") is replica and not manager.counts["let_go"] and manager.replica("strange") is None
        leader = await fleet.leader("g-0")
        leading = next(one for one in fleet.managers.values() if one.replica("g-0") is leader)
        leading.receive("z", "g-0", 0, ReplicaNotFound(replica_id))  # sent by a node that is not the replica's location
        assert replica_id not in leading.repair.missing_replicas("g-0")
        manager.receive("a", "g-0", 0, RemovedFromGroup(replica_id, index + 1))
        assert manager.replica("g-0") is None
        await fleet.until(lambda: fleet.total("b", "g-0") == 1 and fleet.voter_nodes("g-0") == ["a", "b", "c"])
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)


def test_node_that_creates_no_replica_in_time_is_skipped(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("martenstep.replication.repair.CREATE_TIMEOUT_MS", 400.0)

    async def test() -> None:
        fleet = ReplicaFleet(tmp_path, "abcde", groups=("g-0", "g-1", "g-2"), node_lost_after_ms=100.0)
        await fleet.start(*"abcd")
        for group in fleet.replication.groups:
            await fleet.add(group)
        unreachable = ReplicaManager(
            "e",
            tmp_path / "e",
            tmp_path / "e-w",
            fleet.replication,
            lambda group: Sum(),
            fleet.cluster_nodes,
            lambda event, fields: None,
        )
        fleet.managers["e"] = unreachable  # present in the membership, but without a transport
        await fleet.kill("a", wipe=True)
        await fleet.until(
            lambda: all(fleet.voter_nodes(group) == ["b", "c", "d"] for group in fleet.replication.groups)
        )
        assert all([await fleet.add(group) == 2 for group in fleet.replication.groups])
        del fleet.managers["e"]
        await fleet.stop()

    run(test(), LONG_TEST_TIMEOUT_S)
