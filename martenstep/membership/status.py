"""The membership in the admin API and in the metrics, under their external names."""

from __future__ import annotations

import msgspec

from martenstep.membership.core import MembershipCore
from martenstep.membership.member import MemberRecord, MemberState


class MemberStatus(msgspec.Struct):
    """A member in the admin API."""

    name: str
    state: str
    zone: str
    host: str
    port: int
    epoch: int = msgspec.field(name="era")
    incarnation: int
    boot_id: int = msgspec.field(name="life")
    node_id: str = msgspec.field(name="identity")  # in hexadecimal
    receive_partitioned: bool = msgspec.field(name="deaf")
    send_partitioned: bool = msgspec.field(name="unheard")
    reported_by: str = msgspec.field(name="by")
    self_report: int = msgspec.field(name="says")
    state_age_ms: int = msgspec.field(name="since_ms")


class MembershipStatus(msgspec.Struct):
    """The membership in the admin API."""

    cluster: str
    own_name: str = msgspec.field(name="me")
    stage: str
    version: int
    receive_partitioned: bool = msgspec.field(name="deaf")
    send_partitioned: bool = msgspec.field(name="unheard")
    health_score: int = msgspec.field(name="health")
    boot_id: int = msgspec.field(name="life")
    members: list[MemberStatus]
    counters: dict[str, int] = msgspec.field(name="counts")


class InactiveStatus(msgspec.Struct):
    """The membership in the admin API before it has started."""

    stage: str = "off"
    members: list[MemberStatus] = []


def build_status(core: MembershipCore, now: float) -> MembershipStatus:
    """Return the status of this node and its member table, with members sorted by name."""
    return MembershipStatus(
        cluster=core.settings.cluster,
        own_name=core.record.name,
        stage=core.stage.value,
        version=core.table.version,
        receive_partitioned=core.receive_partitioned,
        send_partitioned=core.send_partitioned,
        health_score=core.health_score,
        boot_id=core.record.boot_id,
        members=[_member_status(core, record, now) for record in sorted(core.table, key=lambda record: record.name)],
        counters=dict(core.counters),
    )


def _member_status(core: MembershipCore, record: MemberRecord, now: float) -> MemberStatus:
    return MemberStatus(
        name=record.name,
        state=record.state.label,
        zone=record.zone,
        host=record.host,
        port=record.port,
        epoch=record.epoch,
        incarnation=record.incarnation,
        boot_id=record.boot_id,
        node_id=f"{record.node_id:016x}",
        receive_partitioned=record.receive_partitioned,
        send_partitioned=record.send_partitioned,
        reported_by=record.reported_by,
        self_report=record.self_report,
        state_age_ms=round(now - core.table.state_since_ms.get(record.name, now)),
    )


def metric_counters(core: MembershipCore) -> dict[str, float]:
    """Return the counters by the names of their metrics."""
    return {f"fleet_{name}": count for name, count in core.counters.items()}


def metric_gauges(core: MembershipCore) -> dict[str, float]:
    """Return the gauges by the names of their metrics."""
    gauges: dict[str, float] = {f"fleet_members_{state.label}": 0 for state in MemberState}
    for record in core.table:
        gauges[f"fleet_members_{record.state.label}"] += 1
    return {
        **gauges,
        "fleet_joined": core.joined,
        "fleet_deaf": core.receive_partitioned,
        "fleet_unheard": core.send_partitioned,
        "fleet_health": core.health_score,
        "fleet_version": core.table.version,
    }
