"""The state of the maintenance queue: requests, limits and what is observed of machines.

The structures are stored in entries and snapshots and shown by the admin API: the external names of their fields, where
they differ, and the values of `RequestState` are part of those formats.  Times are in milliseconds of the queue's clock
(`queue_clock`), unless their name says Unix.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec


class RequestState(StrEnum):
    """The state of a request."""

    WAITING = "waiting"
    GRANTED = "granted"  # it has a token; its machine may start within the lease
    OUT = "out"
    RECOVERING = "coming"  # the work is done, and the machine is not healthy yet
    ENDED = "ended"


class MaintenanceRequest(msgspec.Struct):
    """A machine to be taken out."""

    request_id: str = msgspec.field(name="id")
    machine: str
    duration_ms: float = msgspec.field(name="for_ms")
    reason: str = ""
    urgent: bool = False
    deadline_unix_ms: float = msgspec.field(name="before", default=0.0)  # 0: none
    plan: str = ""  # of several requests; one that failed stops the rest
    number: int = 0
    requested_ms: float = msgspec.field(name="asked", default=0.0)
    state: RequestState = RequestState.WAITING
    token: int = 0
    state_since_ms: float = msgspec.field(name="since", default=0.0)
    lease_expires_ms: float = msgspec.field(name="lease_until", default=0.0)
    due_ms: float = msgspec.field(name="due", default=0.0)  # a machine that is out for longer is overdue
    outcome: str = msgspec.field(name="end", default="")
    seen_unhealthy: bool = msgspec.field(name="away", default=False)  # since it started to drain

    @property
    def active(self) -> bool:
        """It has not ended."""
        return self.state is not RequestState.ENDED


class MaintenanceLimits(msgspec.Struct, frozen=True):
    """How many machines may be out together."""

    max_out: int = msgspec.field(name="most_out", default=1)
    max_out_per_zone: int = msgspec.field(name="most_out_zone", default=1)
    max_capacity_share: float = msgspec.field(name="most_share", default=0.34)  # of the cluster's capacity
    zone_by_zone: bool = msgspec.field(name="by_zone", default=False)  # one zone is done before the next begins
    overdue_blocks: bool = msgspec.field(name="overdue_holds", default=True)  # no grant while a machine is overdue
    lease_ms: float = 30_000.0
    grace_ms: float = 60_000.0  # beyond the duration, until a machine is overdue
    starvation_ms: float = msgspec.field(name="starve_ms", default=3_600_000.0)  # then no request passes it any more


class Machine(msgspec.Struct, frozen=True):
    """A machine as the leader observes it."""

    name: str
    zone: str = ""
    capacity: float = 1.0
    healthy: bool = True  # present, and its replicas are caught up
    is_leader: bool = msgspec.field(name="leads", default=False)  # of the queue


class ReplicaGroup(msgspec.Struct, frozen=True):
    """Machines with replicas of one group, no two of which may be out together."""

    name: str
    machines: tuple[str, ...]
    complete: bool = msgspec.field(name="whole", default=True)


class Observation(msgspec.Struct, tag=8, frozen=True):
    """What the leader observes: all machines, replica groups, and why the cluster is short of capacity."""

    machines: tuple[Machine, ...]
    groups: tuple[ReplicaGroup, ...] = ()
    shortages: tuple[str, ...] = msgspec.field(name="short", default=())

    def by_name(self) -> dict[str, Machine]:
        """The machines by their names."""
        return {machine.name: machine for machine in self.machines}

    def zones(self) -> dict[str, str]:
        """The zone of each machine."""
        return {machine.name: machine.zone for machine in self.machines}

    def healthy_names(self) -> set[str]:
        """Machines that are healthy."""
        return {machine.name for machine in self.machines if machine.healthy}

    def unhealthy_names(self) -> set[str]:
        """Machines that are not healthy."""
        return {machine.name for machine in self.machines if not machine.healthy}

    def total_capacity(self) -> float:
        """Of all machines."""
        return sum(machine.capacity for machine in self.machines)


@dataclass(eq=False)
class QueueState:
    """All that the admission rules read."""

    now_ms: float = 0.0
    limits: MaintenanceLimits = field(default_factory=MaintenanceLimits)
    paused: str | None = None  # the reason, where no request is granted
    paused_plans: dict[str, str] = field(default_factory=dict)  # with the reason
    observation: Observation = field(default_factory=lambda: Observation(()))
    observed_ms: float = 0.0  # when the leader observed last
    requests: dict[str, MaintenanceRequest] = field(default_factory=dict)
