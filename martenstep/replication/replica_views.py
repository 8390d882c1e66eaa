"""Views of a node's replicas for operators and other packages: the admin page, gauges, and the state of led groups.

The keys of the page and the names of the gauges differ from the names in the code, and stay for compatibility.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from martenstep.replication.local_replicas import LocalReplicas
from martenstep.replication.raft import Role
from martenstep.replication.repair import GroupRepair
from martenstep.replication.replica import Replica

MAX_CAUGHT_UP_LAG_ENTRIES = 1000  # greatest lag of a replica that counts as caught up


@dataclass(frozen=True, slots=True)
class LedGroup:
    """A group that is led here."""

    group: str
    nodes: list[str]  # of its voters
    healthy: bool  # all voters are present and have caught up


def build_page(node: str, local: LocalReplicas, repair: GroupRepair, replication_factor: int) -> dict[str, Any]:
    """Return the admin page's view of this node's replicas."""
    present = repair.observe().present
    replicas = sorted((each.replica for each in local), key=lambda replica: replica.group)
    return {
        "me": node,
        "disk": local.disk.id,
        "copies": replication_factor,
        "groups": [_replica_page(replica, repair, present) for replica in replicas],
        "counts": dict(local.counts),
    }


def _replica_page(replica: Replica, repair: GroupRepair, present: set[str]) -> dict[str, Any]:
    raft = replica.raft
    return {
        "group": replica.group,
        "copy": raft.replica_id,
        "role": "halted" if raft.halted else raft.role.value,
        "term": raft.term,
        "commit": raft.commit_index,
        "last": raft.last_index,
        "proven": raft.disk_verified,
        "leader": replica.find_node(raft.leader) if raft.leader is not None else None,
        "at": _member_pages(replica, repair, present),
        "wanted": repair.desired_nodes(replica.group),
    }


def _member_pages(replica: Replica, repair: GroupRepair, present: set[str]) -> list[dict[str, Any]]:
    lags = replica.raft.replication_lag()
    missing = repair.missing_replicas(replica.group)
    return [
        {
            "copy": member,
            "place": replica.find_node(member) or "",
            "counts": member in replica.raft.configuration.voters,
            "present": replica.find_node(member) in present and member not in missing,
            "behind": lags.get(member),
        }
        for member in replica.raft.configuration.members
    ]


def build_gauges(local: LocalReplicas, repair: GroupRepair, replication_factor: int) -> dict[str, float]:
    """Return gauges for metrics, by name."""
    present = repair.observe().present
    replicas = [each.replica for each in local]
    leading = [replica for replica in replicas if replica.raft.role is Role.LEADER]
    under_strength = sum(_present_voters(replica, repair, present) < replication_factor for replica in leading)
    lags = (lag for replica in leading for lag in replica.raft.replication_lag().values())
    return {
        "copies_held": len(replicas),
        "copies_led": len(leading),
        "copies_under_strength": under_strength,
        "copies_halted": sum(replica.raft.halted for replica in replicas),
        "copies_unproven": sum(not replica.raft.disk_verified for replica in replicas),
        "copies_no_leader": sum(replica.raft.leader is None for replica in replicas),
        "copies_most_behind": max(lags, default=0),
    }


def _present_voters(replica: Replica, repair: GroupRepair, present: set[str]) -> int:
    missing = repair.missing_replicas(replica.group)
    return sum(
        replica.find_node(voter) in present and voter not in missing for voter in replica.raft.configuration.voters
    )


def list_led_groups(local: LocalReplicas, repair: GroupRepair, replication_factor: int) -> list[LedGroup]:
    """Return the groups that are led here."""
    present = repair.observe().present
    led = []
    for each in local:
        replica = each.replica
        if replica.raft.role is Role.LEADER:
            nodes = [replica.find_node(voter) or "" for voter in replica.raft.configuration.voters]
            healthy = _is_healthy(replica, repair, present, replication_factor)
            led.append(LedGroup(replica.group, nodes, healthy))
    return led


def _is_healthy(replica: Replica, repair: GroupRepair, present: set[str], replication_factor: int) -> bool:
    configuration = replica.raft.configuration
    lags = replica.raft.replication_lag()
    return (
        len(configuration.voters) >= replication_factor
        and not configuration.learners
        and all((replica.find_node(voter) or "") in present for voter in configuration.voters)
        and not repair.missing_replicas(replica.group) & set(configuration.voters)
        and all(lags.get(voter, 0) < MAX_CAUGHT_UP_LAG_ENTRIES for voter in configuration.voters)
    )
