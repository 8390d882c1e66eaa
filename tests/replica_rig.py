"""A group of replicas in one event loop, each with its own loopback socket and folders."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

from martenstep.membership.keyring import Keyring
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.messages import Configuration
from martenstep.replication.raft import RaftSettings, Role
from martenstep.replication.replica import Replica
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk

KEYS = Keyring([b"k" * 32])
FAST_RAFT_SETTINGS = RaftSettings(
    election_timeout_ms=150.0, heartbeat_interval_ms=30.0, recovery_query_interval_ms=50.0
)


class Sum:
    """A state machine that adds numbers; the result of a command is the total so far."""

    def __init__(self) -> None:
        self.total, self.applied = 0, 0

    def apply(self, data: bytes) -> int:
        self.total += int(data)
        self.applied += 1
        return self.total

    def snapshot(self) -> bytes:
        return b"%d %d" % (self.total, self.applied)

    def restore(self, body: bytes) -> None:
        total, applied = body.split()
        self.total, self.applied = int(total), int(applied)


class ReplicaGroup:
    """The replicas of one group, each with its own folders."""

    make_state_machine: Any = Sum

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.addresses: dict[str, tuple[str, int]] = {}
        self.transports: dict[int, Transport] = {}
        self.replicas: dict[int, Replica] = {}
        self.state_machines: dict[int, Any] = {}
        self.disks: dict[int, list[Disk]] = {}
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.bootstrap = Configuration((0,))

    def open_storage(self, name: str) -> ReplicaStorage:
        disk, witness = Disk(self.folder / name), Disk(self.folder / f"{name}-witness")
        storage = ReplicaStorage(disk, witness, random.SystemRandom())
        self.disks[storage.replica_id] = [disk, witness]
        return storage

    async def start_all(self, *names: str) -> None:
        storages = [self.open_storage(name) for name in names]
        self.bootstrap = Configuration(tuple(storage.replica_id for storage in storages))
        for storage in storages:
            await self.start(storage)

    async def start(self, storage: ReplicaStorage, keys: Keyring = KEYS) -> Replica:
        machine = self.state_machines[storage.replica_id] = self.make_state_machine()
        transport = self.transports[storage.replica_id] = Transport(
            "g", str(storage.replica_id), lambda: keys, self.addresses.get
        )
        replica = self.replicas[storage.replica_id] = Replica(
            "g",
            storage,
            self.bootstrap,
            machine,
            transport,
            lambda event, fields: self.events.append((event, fields)),
            FAST_RAFT_SETTINGS,
            find_node=str,
        )
        self.addresses[str(storage.replica_id)] = "127.0.0.1", await transport.start("127.0.0.1", 0)
        replica.start()
        return replica

    async def kill(self, number: int) -> None:
        await self.replicas.pop(number).stop()
        self.transports.pop(number).stop()
        for disk in self.disks[number]:
            disk.close()

    async def leader(self) -> Replica:
        while True:
            for replica in self.replicas.values():
                if replica.raft.role is Role.LEADER and not replica.raft.halted:
                    return replica
            await asyncio.sleep(0.01)

    async def add(self, number: int) -> int:
        """Propose a command, and repeat that until one proposal is known to be committed; returns the total."""
        while True:
            try:
                return int(await (await self.leader()).propose(b"%d" % number))
            except (NotLeaderError, IndeterminateError):
                await asyncio.sleep(0.02)

    async def until(self, holds: Any) -> None:
        while not holds():
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        for number in list(self.replicas):
            await self.kill(number)
