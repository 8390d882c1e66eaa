"""One replica of the counter as a process: its identity, the list of replicas, and the server."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections.abc import Callable
from pathlib import Path

from martenstep.config.text_format import SettingsError
from martenstep.counter import counter_pb2 as pb
from martenstep.counter.errors import CounterError
from martenstep.counter.log_output import log_event
from martenstep.counter.replicated_counter import ReplicatedCounter
from martenstep.counter.replicated_service import ReplicatedService, ServiceLimits
from martenstep.counter.settings import build_limits
from martenstep.event_log import EventLog
from martenstep.lifetime import until_stopped
from martenstep.membership.keyring import KeyFileError, Keyring, read_keyring
from martenstep.replication.errors import ReplicaStorageError
from martenstep.replication.messages import Configuration
from martenstep.replication.placement import (
    AddReplica,
    ChangeConfiguration,
    GroupView,
    TransferLeadership,
    next_step,
    with_learner,
)
from martenstep.replication.raft import Role
from martenstep.replication.replica import Replica
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.replication.transport import Transport
from martenstep.storage.files import Disk

RECONFIGURATION_INTERVAL_S = 0.25  # between two comparisons of the group with the list of replicas
LEADERSHIP_TRANSFER_S = 0.2  # the time for another replica to take over before this process ends


class ReplicaError(CounterError):
    """A replica cannot start with the given settings; the text gives the reason."""


def read_identity(directory: Path, witness: Path) -> int:
    """Return the id of the replica whose disk a directory is; an empty directory becomes that of a new replica.

    Raises ReplicaError, LockedError, OSError.
    """
    with contextlib.ExitStack() as stack:
        disk = stack.enter_context(contextlib.closing(Disk(directory)))
        witness_disk = stack.enter_context(contextlib.closing(Disk(witness)))
        return stack.enter_context(contextlib.closing(_open_storage(disk, witness_disk))).replica_id


def _open_storage(disk: Disk, witness: Disk) -> ReplicaStorage:
    try:
        return ReplicaStorage(disk, witness, random.SystemRandom())
    except ReplicaStorageError as error:
        raise ReplicaError(str(error)) from None


def _read_keys(path: Path) -> Keyring:
    try:
        return read_keyring(path)
    except KeyFileError as error:
        raise ReplicaError(str(error)) from None


class ReplicaList:
    """The replicas that the settings list; the leader changes the group's configuration to match the list."""

    def __init__(self, copies: pb.Copies) -> None:
        """Store the list of the settings at the start."""
        self.update(copies)
        # Danger: with the later replicas included, two of three new replicas could form a second group.
        self.bootstrap_config = Configuration(tuple(copy.id for copy in copies.copy if not copy.later))

    def update(self, copies: pb.Copies) -> None:
        """Replace the list."""
        self.replicas = {copy.id: copy for copy in copies.copy}

    def address(self, node: str) -> tuple[str, int] | None:
        """Return the address of a replica's node; the node's name is the replica's id."""
        replica = self.replicas.get(int(node))
        return (replica.host, replica.port) if replica is not None else None

    def gateway_address(self, replica: int | None) -> str | None:
        """Return the address at which gateways reach a replica."""
        return self.replicas[replica].doors if replica in self.replicas else None

    def next_change(self, config: Configuration, own_id: int) -> Configuration | TransferLeadership | None:
        """Return the next step that leads from a configuration to the list, to be taken by the leader."""
        nodes = [str(replica) for replica in self.replicas]
        homes = tuple((replica, str(replica)) for replica in config.members)
        placed = Configuration(config.voters, config.learners, homes)
        step = next_step(placed, GroupView(own_id, nodes, (), nodes, len(nodes)))
        if isinstance(step, AddReplica):
            return with_learner(config, int(step.node), step.node)
        return step.configuration if isinstance(step, ChangeConfiguration) else step


def _reload_replicas(replicas: ReplicaList, load: Callable[[], pb.Service]) -> None:
    """Load a new list of replicas; if the settings are wrong, the old list stays."""
    try:
        replicas.update(load().copies)
    except (SettingsError, OSError) as error:
        log_event("replica list not reloaded", {"error": str(error)})
    else:
        log_event("replica list reloaded", {"copies": list(replicas.replicas)})


async def _reconfigure_forever(replicas: ReplicaList, replica: Replica, log_event: EventLog) -> None:
    """Change the group to match the list, one step at a time, while this replica is the leader."""
    while True:
        await asyncio.sleep(RECONFIGURATION_INTERVAL_S)
        raft = replica.raft
        step = replicas.next_change(raft.configuration, raft.replica_id) if raft.role is Role.LEADER else None
        if isinstance(step, TransferLeadership):
            replica.transfer_leadership(step.to)
        elif step is not None and replica.change_configuration(step):
            log_event("replica configuration change", {"voters": step.voters, "learners": step.learners})


async def serve(settings: pb.Service, load: Callable[[], pb.Service] | None = None) -> int:
    """Run one replica until SIGTERM; returns the exit code.  Raises ReplicaError, LockedError or OSError.

    `load` reads the settings again; on SIGHUP the list of replicas is reloaded from them.
    """
    keys = _read_keys(Path(settings.copies.key_file))
    with contextlib.ExitStack() as stack:
        disk = stack.enter_context(contextlib.closing(Disk(Path(settings.log.directory))))
        witness = stack.enter_context(contextlib.closing(Disk(Path(settings.copies.witness))))
        storage = _open_storage(disk, witness)
        await _serve_storage(settings, load, keys, storage)
    return 0


async def _serve_storage(
    settings: pb.Service, load: Callable[[], pb.Service] | None, keys: Keyring, storage: ReplicaStorage
) -> None:
    replicas = ReplicaList(settings.copies)
    if storage.replica_id not in replicas.replicas:
        raise ReplicaError(
            f"{settings.log.directory} holds copy {storage.replica_id}, which is not among those of the settings "
            f"({', '.join(map(str, replicas.replicas))}); an emptied disk becomes a new copy with another id"
        )
    group = settings.copies.group
    machine = ReplicatedCounter(build_limits(settings))
    transport = Transport(group, str(storage.replica_id), lambda: keys, replicas.address)
    replica = Replica(group, storage, replicas.bootstrap_config, machine, transport, log_event, find_node=str)
    limits = ServiceLimits(
        settings.max_connections, settings.max_waiting, settings.unsent_bytes, settings.idle_ms / 1000
    )
    service = ReplicatedService(
        lambda group: replica, lambda group, replica_id: replicas.gateway_address(replica_id), limits
    )
    own = replicas.replicas[storage.replica_id]
    await transport.start(own.host, own.port)
    replica.start()
    reconfiguration = asyncio.get_running_loop().create_task(_reconfigure_forever(replicas, replica, log_event))
    port = await service.start(settings.host, settings.port)
    if load is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _reload_replicas, replicas, load)
    await until_stopped({"port": port}, copy=storage.replica_id, proven=storage.disk_verified)
    reconfiguration.cancel()
    if replica.transfer_leadership():  # avoids the wait for an election
        await asyncio.sleep(LEADERSHIP_TRANSFER_S)
    await service.stop()
    await replica.stop()
    transport.stop()
    storage.close()
