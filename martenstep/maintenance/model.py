"""The state of the maintenance queue: requests, limits and the observation of the machines.

The structures are stored in entries and snapshots and shown by the admin API: the external names of their fields, where
they differ, and the values of `RequestState` are part of those formats.  Times are in milliseconds of the queue's clock
(`queue_clock`), except those with `unix` in their name.
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
    """A request to take one machine out."""

    request_id: str = msgspec.field(name="id")
    machine: str
    duration_ms: float = msgspec.field(name="for_ms")
    reason: str = ""
    urgent: bool = False
    deadline_unix_ms: float = msgspec.field(name="before", default=0.0)  # 0: none
    plan: str = ""  # groups requests; if the work of one fails, the rest of the plan is paused
    number: int = 0
    requested_ms: float = msgspec.field(name="asked", default=0.0)
    state: RequestState = RequestState.WAITING
    token: int = 0
    state_since_ms: float = msgspec.field(name="since", default=0.0)
    lease_expires_ms: float = msgspec.field(name="lease_until", default=0.0)
    due_ms: float = msgspec.field(name="due", default=0.0)  # a machine that is still out after this time is overdue
    outcome: str = msgspec.field(name="end", default="")
    seen_unhealthy: bool = msgspec.field(name="away", default=False)  # observed since the maintenance started

    @property
    def active(self) -> bool:
        """Whether the request has not ended."""
        return self.state is not RequestState.ENDED


class MaintenanceLimits(msgspec.Struct, frozen=True):
    """The limits on machines that are out at the same time, and the queue's time limits."""

    max_out: int = msgspec.field(name="most_out", default=1)
    max_out_per_zone: int = msgspec.field(name="most_out_zone", default=1)
    max_capacity_share: float = msgspec.field(name="most_share", default=0.34)  # of the cluster's capacity
    zone_by_zone: bool = msgspec.field(name="by_zone", default=False)  # one zone is done before the next begins
    overdue_blocks: bool = msgspec.field(name="overdue_holds", default=True)  # no grant while a machine is overdue
    lease_ms: float = 30_000.0
    grace_ms: float = 60_000.0  # after the requested duration, before the machine is overdue
    starvation_ms: float = msgspec.field(name="starve_ms", default=3_600_000.0)  # a longer wait lets no other overtake


class Machine(msgspec.Struct, frozen=True):
    """A machine as the queue's leader observes it."""

    name: str
    zone: str = ""
    capacity: float = 1.0
    healthy: bool = True  # present, and its replicas are caught up
    is_leader: bool = msgspec.field(name="leads", default=False)  # of the queue


class ReplicaGroup(msgspec.Struct, frozen=True):
    """The machines that hold replicas of one group; no two of them may be out together."""

    name: str
    machines: tuple[str, ...]
    complete: bool = msgspec.field(name="whole", default=True)


class Observation(msgspec.Struct, tag=8, frozen=True):
    """What the leader observes: all machines, replica groups, and reasons why the cluster is short of capacity."""

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
        """The names of the healthy machines."""
        return {machine.name for machine in self.machines if machine.healthy}

    def unhealthy_names(self) -> set[str]:
        """The names of the machines that are not healthy."""
        return {machine.name for machine in self.machines if not machine.healthy}

    def total_capacity(self) -> float:
        """The sum of the capacity of all machines."""
        return sum(machine.capacity for machine in self.machines)


@dataclass(eq=False)
class QueueState:
    """The part of the queue's state that the admission rules read."""

    now_ms: float = 0.0
    limits: MaintenanceLimits = field(default_factory=MaintenanceLimits)
    paused: str | None = None  # the reason; None unless all grants are paused
    paused_plans: dict[str, str] = field(default_factory=dict)  # the reason for each paused plan
    observation: Observation = field(default_factory=lambda: Observation(()))
    observed_ms: float = 0.0  # time of the latest observation
    requests: dict[str, MaintenanceRequest] = field(default_factory=dict)
