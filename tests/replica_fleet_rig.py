"""Nodes in one event loop, each with a replica manager, a loopback socket and folders of its own."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

from martenstep.membership.keyring import Keyring
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.node_disk import load_disk_identity
from martenstep.replication.raft import RaftSettings, Role
from martenstep.replication.replica import Replica, now_ms
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.settings import BootstrapMember, ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk
from tests.replica_rig import Sum

KEYS = Keyring([b"k" * 32])
FAST_RAFT_SETTINGS = RaftSettings(
    election_timeout_ms=400.0, heartbeat_interval_ms=60.0, recovery_query_interval_ms=50.0
)  # long enough for a loaded machine


class ReplicaFleet:
    """Nodes in one event loop, with a membership that always shows which nodes are running."""

    def __init__(
        self,
        folder: Path,
        names: str,
        bootstrap_nodes: str = "abc",
        groups: tuple[str, ...] = ("g-0", "g-1"),
        node_lost_after_ms: float = 300.0,
    ) -> None:
        self.folder, self.names = folder, list(names)
        self.addresses: dict[str, tuple[str, int]] = {}
        self.managers: dict[str, ReplicaManager] = {}
        self.transports: dict[str, Transport] = {}
        self.events: list[tuple[str, dict[str, Any]]] = []
        disks = []
        for name in bootstrap_nodes:
            disk = Disk(folder / name)
            disks.append(BootstrapMember(name, load_disk_identity(disk).id))
            disk.close()
        self.replication = ReplicationSettings(groups, tuple(disks), 3, node_lost_after_ms)

    def cluster_nodes(self) -> list[ClusterNode]:
        return [ClusterNode(name, f"z{name}", name in self.managers) for name in self.names]

    async def start(self, *names: str) -> None:
        for name in names:
            manager = self.managers[name] = ReplicaManager(
                name,
                self.folder / name,
                self.folder / f"{name}-witness",
                self.replication,
                lambda group: Sum(),
                self.cluster_nodes,
                lambda event, fields: self.events.append((event, fields)),
                FAST_RAFT_SETTINGS,
            )
            transport = self.transports[name] = Transport(
                "f", name, lambda: KEYS, self.addresses.get, manager.receive, manager.report_unknown_replica
            )
            host, port = self.addresses.get(name, ("127.0.0.1", 0))
            self.addresses[name] = host, await transport.start(host, port)
            await manager.start(transport)

    async def kill(self, name: str, wipe: bool = False) -> None:
        self.transports.pop(name).stop()
        manager = self.managers.pop(name)
        for local in manager.local:
            local.replica.raft.role = Role.FOLLOWER  # so that `stop` transfers no leadership, as after a crash
        await manager.stop()
        if wipe:
            shutil.rmtree(self.folder / name)
            shutil.rmtree(self.folder / f"{name}-witness")

    async def leader(self, group: str) -> Replica:
        while True:
            for manager in list(self.managers.values()):
                replica = manager.replica(group)
                if replica is not None and replica.raft.can_serve_read(now_ms()):
                    return replica
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

    def voter_nodes(self, group: str) -> list[str]:
        """Nodes of the voters in the committed configuration; empty without a leader or while there are learners."""
        for manager in self.managers.values():
            replica = manager.replica(group)
            if replica is not None and replica.raft.role is Role.LEADER and replica.raft.configuration_committed:
                config = replica.raft.configuration
                return [] if config.learners else sorted(replica.find_node(voter) or "?" for voter in config.voters)
        return []

    def total(self, name: str, group: str) -> int:
        replica = self.managers[name].replica(group)
        return replica.state_machine.total if replica is not None and isinstance(replica.state_machine, Sum) else -1

    async def stop(self) -> None:
        for name in list(self.managers):
            await self.kill(name)
