"""The counter held by the doors themselves: names split over slots, each slot a group of copies at some of the doors.

Where a slot's copies should be follows from the membership by rendezvous hashing (`replication.placing`); who holds
them in truth, each group's own log says.  A door asks at the likeliest places in turn until it is led to the leader; a
reply of one that does not lead names it.  The number of slots is the map of names: a door with another number is turned
away, as its names would stand elsewhere.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.counter.increment_ledger import Books, is_book
from martenstep.counter.pending_increments import Book, Try
from martenstep.counter.replicated_counter import CopiedCounter
from martenstep.counter.replicated_service import Bounds, CopiedService
from martenstep.event_log import EventLog
from martenstep.maintenance.coordinator import QUEUE_GROUP
from martenstep.maintenance.queue import MaintenanceQueue
from martenstep.membership.service import MembershipService
from martenstep.replication.replica import Replica
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.replication.settings import BootstrapMember, ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport

Address = tuple[str, int]


def slots(copies: pb.Copies) -> tuple[str, ...]:
    """The groups of the counter."""
    return tuple(f"counter-{number}" for number in range(copies.slots))


def holding(door: pb.Door) -> ReplicationSettings:
    """What the settings ask of each door."""
    copies = door.copies
    more = (QUEUE_GROUP,) if door.HasField("maintenance") else ()
    return ReplicationSettings(
        slots(copies) + more,
        tuple(BootstrapMember(one.door, one.disk) for one in copies.founder),
        copies.count,
        copies.final_ms,
    )


class HeldByDoors:
    """One door's part in it: the copies that are here, their links, and the listener for all doors' commands."""

    def __init__(
        self,
        door: pb.Door,
        membership: MembershipService,
        log_event: EventLog,
        deliver: Callable[[Try], bool],
    ) -> None:
        """`deliver` hands a try of somebody's book to this door's clients of the counter."""
        self._copies, self._membership = door.copies, membership
        self._host = door.fleet.host
        self.keeper = ReplicaManager(
            door.name,
            Path(door.copies.directory),
            Path(door.copies.witness),
            holding(door),
            self._machine,
            self._places,
            log_event,
            is_own_group=is_book,
            preferred_node=self._owner,
        )
        self.books = Books(door.name, self.keeper, deliver, log_event) if door.copies.HasField("book") else None
        self.links = Transport(
            door.fleet.cluster,
            door.name,
            lambda: membership.keyring,
            self._link_address,
            self.keeper.receive,
            self.keeper.report_unknown_replica,
        )
        self.service = CopiedService(self._counter, self._where, Bounds(map_version=door.copies.slots))

    async def start(self) -> dict[str, int]:
        """Hold what is to be held; gives the ports.  Raises KeeperError, LockedError, OSError."""
        ports = {"copies": await self.links.start(self._host, self._copies.port)}
        await self.keeper.start(self.links)
        if self.books is not None:
            await self.books.start()
        return {**ports, "counter": await self.service.start(self._host, self._copies.counter_port)}

    async def stop(self) -> None:
        """Let others lead, and end."""
        if self.books is not None:
            await self.books.stop()
        await self.keeper.stop()
        await self.service.stop()
        self.links.stop()

    @staticmethod
    def _machine(group: str) -> CopiedCounter | Book | MaintenanceQueue:
        if group == QUEUE_GROUP:
            return MaintenanceQueue()
        return Book() if is_book(group) else CopiedCounter()

    def _counter(self, group: str) -> Replica | None:
        host = self.keeper.replica(group)
        return host if host is not None and isinstance(host.state_machine, CopiedCounter) else None

    def _owner(self, group: str) -> str | None:
        host = self.keeper.replica(group)
        return (host.state_machine.owner or None) if host is not None and isinstance(host.state_machine, Book) else None

    # Who is where.

    def _places(self) -> Iterable[ClusterNode]:
        core = self._membership.core
        return [ClusterNode(fact.name, fact.zone, fact.present) for fact in core.table] if core is not None else []

    def _address(self, place: str | None, port: int) -> Address | None:
        """As every door knows it: ways to it are each door's own."""
        core = self._membership.core
        fact = core.table.get(place) if core is not None and place is not None else None
        return (fact.host, port) if fact is not None else None

    def _link_address(self, place: str) -> Address | None:
        address = self._address(place, self._copies.port)
        return self._membership.route(address) if address is not None else None

    def _where(self, group: str, copy: int | None) -> str | None:
        if copy is None:
            place = next((place for place in self.keeper.desired_nodes(group) if place != self.keeper.node), None)
        else:
            host: Replica | None = self.keeper.replica(group)
            place = host.find_node(copy) if host is not None else None
        address = self._address(place, self._copies.counter_port)
        return "{}:{}".format(*address) if address is not None else None

    def addresses(self, group: str) -> list[Address]:
        """Where a slot's leader may be: those that should hold it first, then all others."""
        likely = self.keeper.desired_nodes(group)
        rest = sorted(place.name for place in self._places() if place.present and place.name not in likely)
        return [
            address
            for place in [*likely, *rest]
            if (address := self._address(place, self._copies.counter_port)) is not None
        ]
