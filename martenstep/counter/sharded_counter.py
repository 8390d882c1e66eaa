"""The counter held by the gateways themselves: keys split over slots, each slot a group of replicas at some gateways.

Where a slot's replicas should be follows from the membership by rendezvous hashing (`replication.placement`); who holds
them in truth, each group's own log says.  A gateway asks the likeliest nodes in turn until it is led to the leader; a
reply of one that does not lead names it.  The number of slots is the map of keys: a gateway with another number is
rejected, as its keys would be in other slots.
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
    """Return the groups of the counter."""
    return tuple(f"counter-{number}" for number in range(copies.slots))


def replica_requirements(door: pb.Door) -> ReplicationSettings:
    """Return what the settings require of each gateway."""
    copies = door.copies
    more = (QUEUE_GROUP,) if door.HasField("maintenance") else ()
    return ReplicationSettings(
        slot_groups(copies) + more,
        tuple(BootstrapMember(founder.door, founder.disk) for founder in copies.founder),
        copies.count,
        copies.final_ms,
    )


class ShardedCounter:
    """One gateway's part in it: the replicas that are here, their transport, and the listener for all commands."""

    def __init__(
        self,
        door: pb.Door,
        membership: MembershipService,
        log_event: EventLog,
        deliver: Callable[[AttemptRecord], bool],
    ) -> None:
        """`deliver` hands an attempt of a group that is led here to this gateway's clients of the counter."""
        self._copies = door.copies
        self._membership = membership
        self._host = door.fleet.host
        self.replica_manager = ReplicaManager(
            door.name,
            Path(door.copies.directory),
            Path(door.copies.witness),
            replica_requirements(door),
            self._build_machine,
            self._nodes,
            log_event,
            is_own_group=is_ledger_group,
            preferred_node=self._group_owner,
        )
        self.ledger = (
            IncrementLedger(door.name, self.replica_manager, deliver, log_event)
            if door.copies.HasField("book")
            else None
        )
        self.transport = Transport(
            door.fleet.cluster,
            door.name,
            lambda: membership.keyring,
            self._transport_address,
            self.replica_manager.receive,
            self.replica_manager.report_unknown_replica,
        )
        limits = ServiceLimits(map_version=door.copies.slots)
        self.service = ReplicatedService(self._find_replica, self._gateway_address, limits)

    async def start(self) -> dict[str, int]:
        """Open the replicas and listen; returns the ports.  Raises ReplicaManagerError, LockedError, OSError."""
        ports = {"copies": await self.transport.start(self._host, self._copies.port)}
        await self.replica_manager.start(self.transport)
        if self.ledger is not None:
            await self.ledger.start()
        return {**ports, "counter": await self.service.start(self._host, self._copies.counter_port)}

    async def stop(self) -> None:
        """Let others lead, and end."""
        if self.ledger is not None:
            await self.ledger.stop()
        await self.replica_manager.stop()
        await self.service.stop()
        self.transport.stop()

    @staticmethod
    def _build_machine(group: str) -> ReplicatedCounter | PendingIncrements | MaintenanceQueue:
        if group == QUEUE_GROUP:
            return MaintenanceQueue()
        return PendingIncrements() if is_ledger_group(group) else ReplicatedCounter()

    def _find_replica(self, group: str) -> Replica | None:
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
        return [ClusterNode(fact.name, fact.zone, fact.present) for fact in core.table] if core is not None else []

    def _node_address(self, node: str | None, port: int) -> Address | None:
        """Return an address as every gateway knows it: ways to it are each gateway's own."""
        core = self._membership.core
        fact = core.table.get(node) if core is not None and node is not None else None
        return (fact.host, port) if fact is not None else None

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
        """Return where a slot's leader may be: the nodes that should hold it first, then all others."""
        likely = self.replica_manager.desired_nodes(group)
        others = sorted(node.name for node in self._nodes() if node.present and node.name not in likely)
        addresses = [self._node_address(node, self._copies.counter_port) for node in [*likely, *others]]
        return [address for address in addresses if address is not None]
