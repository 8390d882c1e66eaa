"""Requests of instances to the queue's leader, and its responses; the tags and external names are the format."""

from __future__ import annotations

import msgspec

from martenstep.maintenance import admission_rules
from martenstep.maintenance.commands import Command, CommandResult
from martenstep.maintenance.model import Machine, MaintenanceLimits, MaintenanceRequest, QueueState, ReplicaGroup


class MachineReport(msgspec.Struct, tag=50, frozen=True):
    """Reports the state of one instance, with the replica groups that it leads."""

    machine: str
    zone: str
    capacity: float
    ready: bool
    groups: tuple[ReplicaGroup, ...] = ()


class GetQueue(msgspec.Struct, tag=51, frozen=True):
    """Requests the whole queue."""


class QueueView(msgspec.Struct, frozen=True):
    """The queue at its leader, with the reason why each waiting request waits."""

    leader: str
    limits: MaintenanceLimits
    paused: str | None
    paused_plans: dict[str, str] = msgspec.field(name="plans")
    requests: list[MaintenanceRequest]
    waiting_reasons: dict[str, str] = msgspec.field(name="waits")
    waiting_order: list[str] = msgspec.field(name="order")
    machines: list[Machine]
    shortages: list[str] = msgspec.field(name="short")


LeaderRequest = Command | MachineReport | GetQueue
encode = msgspec.msgpack.Encoder().encode
decode_leader_request = msgspec.msgpack.Decoder(LeaderRequest).decode
decode_result = msgspec.msgpack.Decoder(CommandResult).decode
decode_view = msgspec.msgpack.Decoder(QueueView).decode


def build_view(state: QueueState, leader: str) -> QueueView:
    """Build the view of a queue's state."""
    order = admission_rules.waiting_order(state)
    return QueueView(
        leader=leader,
        limits=state.limits,
        paused=state.paused,
        paused_plans=state.paused_plans,
        requests=list(state.requests.values()),
        waiting_reasons={
            request.request_id: admission_rules.waiting_reason(state, request) or "its turn" for request in order
        },
        waiting_order=[request.request_id for request in order],
        machines=list(state.observation.machines),
        shortages=list(state.observation.shortages),
    )
