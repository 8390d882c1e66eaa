"""The sharded counter: the gateways hold it themselves, with the keys split over slots.

Each slot is a replica group at some of the gateways.  Rendezvous hashing over the membership gives the desired places
of a slot's replicas (`replication.placement`), while the log of each group defines where they are.  A gateway tries the
most likely nodes in turn until it finds the leader; a replica that does not lead replies with the leader's address.
The number of slots is the version of the map of keys: a gateway with a different number is rejected, because its keys
would be in different slots.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.counter.increment_ledger import IncrementLedger, is_ledger_group
from martenstep.counter.pending_increments import AttemptRecord, PendingIncrements
from martenstep.counter.replicated_counter import ReplicatedCounter
from martenstep.counter.replicated_service import ReplicatedService, ServiceLimits
from martenstep.event_log import EventLog
from martenstep.maintenance.coordinator import QUEUE_GROUP
from martenstep.maintenance.queue import MaintenanceQueue
from martenstep.membership.service import MembershipService
from martenstep.replication.replica import Replica
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.settings import BootstrapMember, ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport

Address = tuple[str, int]


def slot_groups(copies: pb.Copies) -> tuple[str, ...]:
    """Return the names of the counter's groups, one for each slot."""
    return tuple(f"counter-{number}" for number in range(copies.slots))


def replica_requirements(settings: pb.Door) -> ReplicationSettings:
    """Return the replication settings that this gateway's settings require."""
    copies = settings.copies
    maintenance_groups = (QUEUE_GROUP,) if settings.HasField("maintenance") else ()
    return ReplicationSettings(
        slot_groups(copies) + maintenance_groups,
        tuple(BootstrapMember(founder.door, founder.disk) for founder in copies.founder),
        copies.count,
        copies.final_ms,
    )


class ShardedCounter:
    """One gateway's part of the counter: its local replicas, their transport, and the listener for all commands."""

    def __init__(
        self,
        settings: pb.Door,
        membership: MembershipService,
        log_event: EventLog,
        deliver: Callable[[AttemptRecord], bool],
    ) -> None:
        """`deliver` passes an attempt of a group that this gateway leads to its clients of the counter."""
        self._copies = settings.copies
        self._membership = membership
        self._host = settings.fleet.host
        self.replica_manager = ReplicaManager(
            settings.name,
            Path(settings.copies.directory),
            Path(settings.copies.witness),
            replica_requirements(settings),
            self._build_state_machine,
            self._nodes,
            log_event,
            is_own_group=is_ledger_group,
            preferred_node=self._group_owner,
        )
        self.ledger = (
            IncrementLedger(settings.name, self.replica_manager, deliver, log_event)
            if settings.copies.HasField("book")
            else None
        )
        self.transport = Transport(
            settings.fleet.cluster,
            settings.name,
            lambda: membership.keyring,
            self._transport_address,
            self.replica_manager.receive,
            self.replica_manager.report_unknown_replica,
        )
        limits = ServiceLimits(map_version=settings.copies.slots)
        self.service = ReplicatedService(self._find_counter_replica, self._gateway_address, limits)

    async def start(self) -> dict[str, int]:
        """Open the replicas and listen; returns the ports.  Raises ReplicaManagerError, LockedError, OSError."""
        ports = {"copies": await self.transport.start(self._host, self._copies.port)}
        await self.replica_manager.start(self.transport)
        if self.ledger is not None:
            await self.ledger.start()
        return {**ports, "counter": await self.service.start(self._host, self._copies.counter_port)}

    async def stop(self) -> None:
        """Stop; the groups that are led here get leaders on other nodes."""
        if self.ledger is not None:
            await self.ledger.stop()
        await self.replica_manager.stop()
        await self.service.stop()
        self.transport.stop()

    @staticmethod
    def _build_state_machine(group: str) -> ReplicatedCounter | PendingIncrements | MaintenanceQueue:
        if group == QUEUE_GROUP:
            return MaintenanceQueue()
        return PendingIncrements() if is_ledger_group(group) else ReplicatedCounter()

    def _find_counter_replica(self, group: str) -> Replica | None:
        replica = self.replica_manager.replica(group)
        return replica if replica is not None and isinstance(replica.state_machine, ReplicatedCounter) else None

    def _group_owner(self, group: str) -> str | None:
        replica = self.replica_manager.replica(group)
        if replica is None or not isinstance(replica.state_machine, PendingIncrements):
            return None
        return replica.state_machine.owner or None

    # Nodes and their addresses

    def _nodes(self) -> Iterable[ClusterNode]:
        core = self._membership.core
        return (
            [ClusterNode(member.name, member.zone, member.present) for member in core.table] if core is not None else []
        )

    def _node_address(self, node: str | None, port: int) -> Address | None:
        """Return an address in the form common to all gateways; each gateway applies its own route to it."""
        core = self._membership.core
        member = core.table.get(node) if core is not None and node is not None else None
        return (member.host, port) if member is not None else None

    def _transport_address(self, node: str) -> Address | None:
        address = self._node_address(node, self._copies.port)
        return self._membership.route(address) if address is not None else None

    def _gateway_address(self, group: str, replica_id: int | None) -> str | None:
        if replica_id is None:
            candidates = self.replica_manager.desired_nodes(group)
            node = next((node for node in candidates if node != self.replica_manager.node), None)
        else:
            replica: Replica | None = self.replica_manager.replica(group)
            node = replica.find_node(replica_id) if replica is not None else None
        address = self._node_address(node, self._copies.counter_port)
        return "{}:{}".format(*address) if address is not None else None

    def addresses(self, group: str) -> list[Address]:
        """Return the addresses where a slot's leader may be: the desired nodes first, then all others."""
        likely = self.replica_manager.desired_nodes(group)
        others = sorted(node.name for node in self._nodes() if node.present and node.name not in likely)
        addresses = [self._node_address(node, self._copies.counter_port) for node in [*likely, *others]]
        return [address for address in addresses if address is not None]
