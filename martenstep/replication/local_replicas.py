"""The replicas that run on one node: opened from their folders, bootstrapped, created, removed with their files."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import time
from collections import Counter
from collections.abc import Callable, Iterator

from martenstep.event_log import EventLog
from martenstep.replication.errors import ReplicaStorageError
from martenstep.replication.messages import Configuration
from martenstep.replication.node_disk import NodeDisk, derive_replica_id
from martenstep.replication.raft import RaftSettings
from martenstep.replication.replica import Replica, StateMachine
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.replication.settings import ReplicationSettings
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk, LockedError
from martenstep.tasks import BackgroundTasks

STOP_TASKS_TIMEOUT_S = 2.0  # for replicas that are being created or removed
STOP_TRANSFER_S = 0.3  # for other nodes to take over leadership
NOT_IN_GROUP = Configuration((0,))  # of a replica that no configuration has yet: 0 stands for no replica


class LocalReplica:
    """One replica, with the folders that it has locked."""

    def __init__(self, replica: Replica, disk: Disk, witness: Disk) -> None:
        """Both folders are unlocked when the replica stops."""
        self.replica = replica
        self._disk = disk
        self._witness = witness
        self.without_leader_since: float | None = None

    async def stop(self) -> None:
        """Stop the replica and unlock its folders."""
        await self.replica.stop()
        self.replica.storage.close()
        self._disk.close()
        self._witness.close()


class LocalReplicas:
    """All replicas of one node, by group."""

    def __init__(  # noqa: PLR0913 (combines all parts)
        self,
        node: str,
        disk: NodeDisk,
        settings: ReplicationSettings,
        make_state_machine: Callable[[str], StateMachine],
        log_event: EventLog,
        raft_settings: RaftSettings,
        tasks: BackgroundTasks,
    ) -> None:
        """`make_state_machine` creates a group's state machine from its name; `tasks` runs background work."""
        self.disk = disk
        self._node = node
        self._settings = settings
        self._make_state_machine = make_state_machine
        self._log_event = log_event
        self._raft_settings = raft_settings
        self._tasks = tasks
        self._transport: Transport | None = None
        self._by_group: dict[str, LocalReplica] = {}
        self._busy_groups: set[str] = set()  # groups whose replica is being created or removed
        self.is_open = False  # until `start` is done, a replica that is not found here may still be opened
        self.counts: Counter[str] = Counter()  # shown as metrics under these names

    # Start and stop.

    async def start(self, transport: Transport) -> None:
        """Open the stored replicas and bootstrap groups.  Raises ReplicaManagerError, LockedError, OSError."""
        self._transport = transport
        self.disk.open()
        for group in self.disk.stored_groups():
            await self.open(group)
        await self._bootstrap()
        self.is_open = True

    async def stop(self) -> None:
        """Transfer leadership to other nodes, then stop all replicas."""
        if any([local.replica.transfer_leadership() for local in self]):
            await asyncio.sleep(STOP_TRANSFER_S)
        # If the removal of a replica were interrupted, its folders would stay locked.
        await self._tasks.finish(STOP_TASKS_TIMEOUT_S)
        self.is_open = False
        stopping = list(self)
        self._by_group = {}
        await asyncio.gather(*(local.stop() for local in stopping))
        self.disk.close()

    async def _bootstrap(self) -> None:
        """Bootstrap the groups of the settings, once, if the settings name this disk."""
        member = next((one for one in self._settings.bootstrap_members if one.node == self._node), None)
        if member is None:
            return
        if member.disk_id != self.disk.id:
            self._log_event("not a bootstrap member", {"disk": self.disk.id, "settings": member.disk_id})
            return
        missing = [group for group in self._settings.groups if group not in self.disk.bootstrapped_groups]
        for group in missing:
            await self.open(group, derive_replica_id(self.disk.id, group))
        if missing:
            # This is written after the folders.  If it came first, a crash in between would leave a bootstrap member
            # without its replica.  In this order, a crash only makes the next start bootstrap the replica again, under
            # the same identity, which is safe because the replica is not verified.
            self.disk.add_bootstrapped(missing)

    # The replicas.

    def __iter__(self) -> Iterator[LocalReplica]:
        """Iterate over a copy of the current replicas."""
        return iter(list(self._by_group.values()))

    def groups(self) -> list[str]:
        """Return the groups that have a replica on this node."""
        return list(self._by_group)

    def replica(self, group: str) -> Replica | None:
        """Return this node's replica of a group; None if there is none."""
        local = self._by_group.get(group)
        return local.replica if local is not None else None

    def is_busy(self, group: str) -> bool:
        """Whether a replica of a group is being created or removed."""
        return group in self._busy_groups

    async def open(self, group: str, bootstrap_id: int | None = None) -> Replica | None:
        """Open a replica's folder, create it if needed, and start the replica; None if it cannot be opened."""
        disks: list[Disk] = []
        try:
            state_machine = self._make_state_machine(group)
            disks.append(Disk(self.disk.group_folder(group)))
            disks.append(Disk(self.disk.witness_folder(group)))
            sole_member = group not in self._settings.groups
            storage = await asyncio.to_thread(
                ReplicaStorage, disks[0], disks[1], random.SystemRandom(), bootstrap_id, sole_member
            )
            replica = self._make_replica(group, storage, state_machine)
        except (ReplicaStorageError, LockedError, OSError, ValueError) as error:
            for disk in disks:
                disk.close()
            self._open_failed(group, error)
            return None
        self._by_group[group] = LocalReplica(replica, disks[0], disks[1])
        replica.start()
        fields = {
            "group": group,
            "copy": storage.replica_id,
            "proven": storage.disk_verified,
            "entries": replica.raft.last_index,
        }
        self._log_event("replica opened", fields)
        return replica

    def _make_replica(self, group: str, storage: ReplicaStorage, state_machine: StateMachine) -> Replica:
        assert self._transport is not None
        bootstrap = self._bootstrap_configuration(group, storage.replica_id)
        if storage.replica_id not in bootstrap.voters:
            bootstrap = NOT_IN_GROUP
        return Replica(group, storage, bootstrap, state_machine, self._transport, self._log_event, self._raft_settings)

    def _bootstrap_configuration(self, group: str, replica_id: int) -> Configuration:
        """Return a group's first configuration; replicas that are created later are not in it."""
        if group not in self._settings.groups:
            # Only the replica that created the group may start as its sole member.
            if replica_id != derive_replica_id(self.disk.id, group):
                return NOT_IN_GROUP
            return Configuration((replica_id,), (), ((replica_id, self._node),))
        members = self._settings.bootstrap_members
        locations = tuple((derive_replica_id(member.disk_id, group), member.node) for member in members)
        return Configuration(tuple(replica for replica, _ in locations), (), locations)

    def _open_failed(self, group: str, error: Exception) -> None:
        """Log the error, and rename a damaged folder so that operators can inspect it.

        A new replica can then be created here, and receives its data from the other replicas.
        """
        self._log_event("replica not opened", {"group": group, "error": str(error)})
        if isinstance(error, ReplicaStorageError):
            folder = self.disk.group_folder(group)
            folder.rename(folder.with_name(f"{group}.damaged.{time.time_ns()}"))

    def create(self, group: str, on_created: Callable[[Replica], None]) -> None:
        """Create a replica in the background, to be added to its group; `on_created` receives it."""
        self._busy_groups.add(group)
        self._tasks.spawn(self._create(group, on_created))

    async def _create(self, group: str, on_created: Callable[[Replica], None]) -> None:
        try:
            replica = await self.open(group)
        finally:
            self._busy_groups.discard(group)
        if replica is not None:
            self.counts["begun"] += 1
            on_created(replica)

    async def create_own_group(self, group: str) -> Replica | None:
        """Create a group under a new name, with this node's replica as its sole member."""
        # The name is stored first: after a crash in between it has no folder, and the next start draws another name.
        self.disk.set_latest_own_group(group)
        await asyncio.to_thread(self.disk.save)
        return await self.open(group, derive_replica_id(self.disk.id, group))

    def remove(self, group: str, reason: str) -> None:
        """Stop a replica and delete its folders, in the background."""
        local = self._by_group.pop(group)
        self.counts["let_go"] += 1
        fields = {"group": group, "copy": local.replica.raft.replica_id, "why": reason}
        self._log_event("replica removed", fields)
        self._busy_groups.add(group)
        self._tasks.spawn(self._stop_and_delete(group, local))

    async def _stop_and_delete(self, group: str, local: LocalReplica) -> None:
        try:
            await local.stop()
            folder = self.disk.group_folder(group)
            removed = folder.with_name(f"{group}.out")
            with contextlib.suppress(FileNotFoundError):
                await asyncio.to_thread(shutil.rmtree, removed)
            folder.rename(removed)
            await asyncio.to_thread(shutil.rmtree, removed)
            await asyncio.to_thread(shutil.rmtree, self.disk.witness_folder(group))
        finally:
            self._busy_groups.discard(group)
