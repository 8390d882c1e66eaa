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
from martenstep.counter.increment_ledger import IncrementLedger, is_ledger_group
from martenstep.counter.pending_increments import AttemptRecord, PendingIncrements
from martenstep.counter.replicated_counter import ReplicatedCounter
from martenstep.counter.replicated_service import ReplicatedService, ServiceLimits
from martenstep.event_log import EventLog
from martenstep.maintenance.coordinator import GROUP as ORDERS
from martenstep.maintenance.queue import Book as OrderBook
from martenstep.membership.transport import Membership
from martenstep.replication.replica import Host
from martenstep.replication.replica_manager import Founder, Holding, Keeper, Place
from martenstep.replication.transport import Links

Address = tuple[str, int]


def slot_groups(copies: pb.Copies) -> tuple[str, ...]:
    """The groups of the counter."""
    return tuple(f"counter-{number}" for number in range(copies.slots))


def replica_requirements(door: pb.Door) -> Holding:
    """What the settings ask of each door."""
    copies = door.copies
    more = (ORDERS,) if door.HasField("maintenance") else ()
    return Holding(
        slot_groups(copies) + more,
        tuple(Founder(one.door, one.disk) for one in copies.founder),
        copies.count,
        copies.final_ms,
    )


class ShardedCounter:
    """One door's part in it: the copies that are here, their links, and the listener for all doors' commands."""

    def __init__(
        self,
        door: pb.Door,
        membership: Membership,
        log_event: EventLog,
        deliver: Callable[[AttemptRecord], bool],
    ) -> None:
        """`deliver` hands a try of somebody's book to this door's clients of the counter."""
        self._copies, self._membership = door.copies, membership
        self._host = door.fleet.host
        self.replica_manager = Keeper(
            door.name,
            Path(door.copies.directory),
            Path(door.copies.witness),
            replica_requirements(door),
            self._machine,
            self._places,
            log_event,
            also=is_ledger_group,
            first=self._owner,
        )
        self.ledger = (
            IncrementLedger(door.name, self.replica_manager, deliver, log_event)
            if door.copies.HasField("book")
            else None
        )
        self.transport = Links(
            door.fleet.cluster,
            door.name,
            lambda: membership.keys,
            self._link_address,
            self.replica_manager.word,
            self.replica_manager.nobody,
        )
        self.service = ReplicatedService(self._counter, self._where, ServiceLimits(map_version=door.copies.slots))

    async def start(self) -> dict[str, int]:
        """Hold what is to be held; gives the ports.  Raises KeeperError, LockedError, OSError."""
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
    def _machine(group: str) -> ReplicatedCounter | PendingIncrements | OrderBook:
        if group == ORDERS:
            return OrderBook()
        return PendingIncrements() if is_ledger_group(group) else ReplicatedCounter()

    def _counter(self, group: str) -> Host | None:
        host = self.replica_manager.host(group)
        return host if host is not None and isinstance(host.machine, ReplicatedCounter) else None

    def _owner(self, group: str) -> str | None:
        host = self.replica_manager.host(group)
        return (
            (host.machine.owner or None) if host is not None and isinstance(host.machine, PendingIncrements) else None
        )

    # Who is where.

    def _places(self) -> Iterable[Place]:
        core = self._membership.core
        return [Place(fact.name, fact.zone, fact.present) for fact in core.table] if core is not None else []

    def _address(self, place: str | None, port: int) -> Address | None:
        """As every door knows it: ways to it are each door's own."""
        core = self._membership.core
        fact = core.table.get(place) if core is not None and place is not None else None
        return (fact.host, port) if fact is not None else None

    def _link_address(self, place: str) -> Address | None:
        address = self._address(place, self._copies.port)
        return self._membership.way(address) if address is not None else None

    def _where(self, group: str, copy: int | None) -> str | None:
        if copy is None:
            place = next(
                (place for place in self.replica_manager.wanted(group) if place != self.replica_manager.me), None
            )
        else:
            host: Host | None = self.replica_manager.host(group)
            place = host.home(copy) if host is not None else None
        address = self._address(place, self._copies.counter_port)
        return "{}:{}".format(*address) if address is not None else None

    def addresses(self, group: str) -> list[Address]:
        """Where a slot's leader may be: those that should hold it first, then all others."""
        likely = self.replica_manager.wanted(group)
        rest = sorted(place.name for place in self._places() if place.present and place.name not in likely)
        return [
            address
            for place in [*likely, *rest]
            if (address := self._address(place, self._copies.counter_port)) is not None
        ]
