"""Machines that hold copies of groups, each with links and folders of its own: founded, lost, filled, let go."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from martenstep.membership.keyring import Keyring
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.node_disk import derive_replica_id, load_disk_identity
from martenstep.replication.node_messages import CreateReplica, RemovedFromGroup, ReplicaNotFound
from martenstep.replication.raft import RaftSettings, Role
from martenstep.replication.replica import Replica, now_ms
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.settings import BootstrapMember, ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk
from tests.socket_rig import LONG_S, run
from tests.test_replication_host import Sum

KEYS = Keyring([b"k" * 32])
QUICK = RaftSettings(
    election_timeout_ms=400.0, heartbeat_interval_ms=60.0, recovery_query_interval_ms=50.0
)  # a loaded machine bears it


class Fleet:
    """Places in one loop, and a membership that always knows."""

    def __init__(
        self,
        folder: Path,
        names: str,
        founders: str = "abc",
        groups: tuple[str, ...] = ("g-0", "g-1"),
        final_ms: float = 300.0,
    ) -> None:
        self.folder, self.names = folder, list(names)
        self.where: dict[str, tuple[str, int]] = {}
        self.keepers: dict[str, ReplicaManager] = {}
        self.links: dict[str, Transport] = {}
        self.notes: list[tuple[str, dict[str, Any]]] = []
        disks = []
        for name in founders:
            disk = Disk(folder / name)
            disks.append(BootstrapMember(name, load_disk_identity(disk).id))
            disk.close()
        self.holding = ReplicationSettings(groups, tuple(disks), 3, final_ms)

    def places(self) -> list[ClusterNode]:
        return [ClusterNode(name, f"z{name}", name in self.keepers) for name in self.names]

    async def start(self, *names: str) -> None:
        for name in names:
            keeper = self.keepers[name] = ReplicaManager(
                name,
                self.folder / name,
                self.folder / f"{name}-witness",
                self.holding,
                lambda group: Sum(),
                self.places,
                lambda event, fields: self.notes.append((event, fields)),
                QUICK,
            )
            links = self.links[name] = Transport(
                "f", name, lambda: KEYS, self.where.get, keeper.receive, keeper.report_unknown_replica
            )
            host, port = self.where.get(name, ("127.0.0.1", 0))
            self.where[name] = host, await links.start(host, port)
            await keeper.start(links)

    async def kill(self, name: str, wipe: bool = False) -> None:
        self.links.pop(name).stop()
        keeper = self.keepers.pop(name)
        for held in keeper.local:
            held.replica.raft.role = Role.FOLLOWER  # it ends as it is: nobody is handed to
        await keeper.stop()
        if wipe:
            shutil.rmtree(self.folder / name)
            shutil.rmtree(self.folder / f"{name}-witness")

    async def leader(self, group: str) -> Replica:
        while True:
            for keeper in list(self.keepers.values()):
                host = keeper.replica(group)
                if host is not None and host.raft.can_serve_read(now_ms()):
                    return host
            await asyncio.sleep(0.01)

    async def add(self, group: str, number: int = 1) -> int:
        while True:
            try:
                return int(await (await self.leader(group)).propose(b"%d" % number))
            except (NotLeaderError, IndeterminateError):
                await asyncio.sleep(0.02)

    async def until(self, holds: Callable[[], Any]) -> None:
        while not holds():
            await asyncio.sleep(0.02)

    def at(self, group: str) -> list[str]:
        """Where a group's copies that count are, as its leader has it committed; empty while nobody leads it."""
        for keeper in self.keepers.values():
            host = keeper.replica(group)
            if host is not None and host.raft.role is Role.LEADER and host.raft.configuration_committed:
                config = host.raft.configuration
                return [] if config.learners else sorted(host.find_node(copy) or "?" for copy in config.voters)
        return []

    def total(self, name: str, group: str) -> int:
        host = self.keepers[name].replica(group)
        return host.state_machine.total if host is not None and isinstance(host.state_machine, Sum) else -1

    async def stop(self) -> None:
        for name in list(self.keepers):
            await self.kill(name)


def test_a_wiped_disk_is_filled_under_another_identity(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "abc", final_ms=3_600_000.0)  # the place is there again long before it counts as lost
        await fleet.start(*"abc")
        for number in range(20):
            assert await fleet.add("g-0") == number + 1
        old = derive_replica_id(fleet.holding.bootstrap_members[1].disk_id, "g-0")
        assert fleet.keepers["b"].replica("g-0").raft.replica_id == old  # type: ignore[union-attr]
        await fleet.kill("b", wipe=True)
        assert await fleet.add("g-0", 100) == 120
        await fleet.start("b")
        assert any(event == "not a bootstrap member" for event, _ in fleet.notes)
        await fleet.until(
            lambda: (
                fleet.total("b", "g-0") == 120
                and all(fleet.at(group) == ["a", "b", "c"] for group in fleet.holding.groups)
            )
        )
        host = await fleet.leader("g-0")
        assert old not in host.raft.configuration.members and len(host.raft.configuration.voters) == 3
        await fleet.kill("c")
        assert await fleet.add("g-0") == 121  # the new copy counts
        await fleet.stop()

    run(test(), LONG_S)


def test_an_old_disk_that_knows_only_lost_copies_still_finds_whom_to_ask(tmp_path: Path) -> None:
    """Those that it has to hear came after its disk was copied."""

    async def test() -> None:
        fleet = Fleet(tmp_path, "abc", groups=("g-0",), final_ms=3_600_000.0)
        await fleet.start(*"abc")
        await fleet.add("g-0", 5)
        shutil.copytree(tmp_path / "c", tmp_path / "old")
        await fleet.kill("b", wipe=True)
        await fleet.start("b")
        await fleet.until(lambda: fleet.total("b", "g-0") == 5 and fleet.at("g-0") == ["a", "b", "c"])
        total = await fleet.add("g-0", 2)
        await fleet.kill("c")
        shutil.rmtree(tmp_path / "c")
        shutil.copytree(tmp_path / "old", tmp_path / "c")
        await fleet.start("c")
        host = fleet.keepers["c"].replica("g-0")
        assert host is not None and not host.raft.disk_verified
        await fleet.until(lambda: host.raft.disk_verified and fleet.total("c", "g-0") == total)
        await fleet.stop()

    run(test(), LONG_S)


def test_another_place_takes_over_what_is_lost_for_good_and_the_lost_one_is_out_when_it_comes_back(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "abcd")
        await fleet.start(*"abcd")
        # Four places, three copies: rendezvous may want `d` at once.
        await fleet.until(lambda: all(len(fleet.at(group)) == 3 for group in fleet.holding.groups))
        for group in fleet.holding.groups:
            await fleet.add(group, 7)
        lost = fleet.at("g-0")[0]
        spare = next(name for name in "abcd" if name not in fleet.at("g-0"))
        await fleet.kill(lost)
        await fleet.until(lambda: lost not in fleet.at("g-0") and spare in fleet.at("g-0"))
        await fleet.until(lambda: fleet.total(spare, "g-0") == 7)
        fleet.names.remove(lost)  # it is there, but nobody wants it: the membership does not know it
        await fleet.start(lost)
        fleet.names = [name for name in fleet.names if name != lost]
        await fleet.until(lambda: fleet.keepers[lost].replica("g-0") is None)
        await fleet.until(lambda: not (tmp_path / lost / "groups" / "g-0").exists())
        assert any(event == "replica removed" for event, _ in fleet.notes)
        assert await fleet.add("g-0") == 8
        await fleet.stop()

    run(test(), LONG_S)


def test_a_damaged_folder_is_set_aside_and_filled_by_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "abc", groups=("g-0",))
        await fleet.start(*"abc")
        for _ in range(10):
            await fleet.add("g-0")
        await fleet.kill("a")
        segment = max((tmp_path / "a" / "groups" / "g-0").glob("seg-*"), key=lambda path: path.stat().st_size)
        data = bytearray(segment.read_bytes())
        data[len(data) // 2] ^= 0x40
        segment.write_bytes(data)
        await fleet.start("a")
        assert any(event == "replica not opened" for event, _ in fleet.notes)
        await fleet.until(lambda: fleet.total("a", "g-0") == 10 and fleet.at("g-0") == ["a", "b", "c"])
        assert list((tmp_path / "a" / "groups").glob("g-0.damaged.*"))
        await fleet.stop()

    run(test(), LONG_S)


def test_an_older_word_lets_go_of_nothing_that_knows_better(tmp_path: Path) -> None:
    async def test() -> None:
        fleet = Fleet(tmp_path, "abc", groups=("g-0",))
        await fleet.start(*"abc")
        await fleet.add("g-0")
        await fleet.kill("b", wipe=True)
        await fleet.start("b")
        await fleet.until(lambda: fleet.total("b", "g-0") == 1 and fleet.at("g-0") == ["a", "b", "c"])
        keeper = fleet.keepers["b"]
        host = keeper.replica("g-0")
        assert host is not None
        me, index = host.raft.replica_id, host.raft.configuration_index
        keeper.receive("a", "g-0", 0, RemovedFromGroup(me, index))
        keeper.receive("a", "g-0", 0, CreateReplica(index, (1, 2)))
        keeper.receive("a", "g-0", 0, RemovedFromGroup(me + 1, index + 9))
        keeper.receive("a", "strange", 0, CreateReplica(1, ()))  # of no group of this fleet
        assert keeper.replica("g-0") is host and not keeper.counts["let_go"] and keeper.replica("strange") is None
        leader = await fleet.leader("g-0")
        leading = next(one for one in fleet.keepers.values() if one.replica("g-0") is leader)
        leading.receive("z", "g-0", 0, ReplicaNotFound(me))  # said by a place where that copy is not
        assert me not in leading.repair.missing_replicas("g-0")
        keeper.receive("a", "g-0", 0, RemovedFromGroup(me, index + 1))
        assert keeper.replica("g-0") is None
        await fleet.until(lambda: fleet.total("b", "g-0") == 1 and fleet.at("g-0") == ["a", "b", "c"])
        await fleet.stop()

    run(test(), LONG_S)


def test_a_place_that_holds_no_copies_is_passed_over(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("martenstep.replication.repair.CREATE_TIMEOUT_MS", 400.0)

    async def test() -> None:
        fleet = Fleet(tmp_path, "abcde", groups=("g-0", "g-1", "g-2"), final_ms=100.0)
        await fleet.start(*"abcd")
        for group in fleet.holding.groups:
            await fleet.add(group)
        deaf = ReplicaManager(
            "e",
            tmp_path / "e",
            tmp_path / "e-w",
            fleet.holding,
            lambda group: Sum(),
            fleet.places,
            lambda event, fields: None,
        )
        fleet.keepers["e"] = deaf  # present, but nobody listens there
        await fleet.kill("a", wipe=True)
        await fleet.until(lambda: all(fleet.at(group) == ["b", "c", "d"] for group in fleet.holding.groups))
        assert all([await fleet.add(group) == 2 for group in fleet.holding.groups])
        del fleet.keepers["e"]
        await fleet.stop()

    run(test(), LONG_S)
