"""Replica placement: on which nodes a group should be, and the next step towards that.

All functions are pure: nodes with the same view compute the same result.

Rendezvous hashing of a group's name selects its nodes, spread over zones (`membership.ownership`), among all present
nodes and those that already hold a replica and are not lost.  A node counts as lost once it has been absent for a
configured time, which is longer than a restart.  Therefore a node that has just started, and has discovered few others
yet, moves nothing: nodes that hold a replica count as candidates until that time has passed.

The leader of a group takes one step after another, each through the group's own log (single-server changes).  Safety
does not require that nodes agree on the placement: nodes with different views take different steps, each of them safe.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from martenstep.membership.ownership import select_owners
from martenstep.replication.messages import Configuration

UNKNOWN_ZONE_PREFIX = "?"


@dataclass(frozen=True, slots=True)
class AddReplica:
    """Have a node create a replica."""

    node: str


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Change the configuration; Raft rejects it while another change is in progress or a learner lags too far."""

    configuration: Configuration
    reason: str


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Transfer leadership to another replica."""

    to: int


Step = AddReplica | ChangeConfiguration | TransferLeadership


class AbsenceTracker:
    """Times since which nodes have been absent, as observed by this node."""

    def __init__(self, lost_after_ms: float) -> None:
        """After `lost_after_ms` an absent node counts as lost."""
        self._lost_after_ms = lost_after_ms
        self._absent_since: dict[str, float] = {}

    def observe(self, now: float, present: Collection[str], owners: Iterable[str]) -> None:
        """Record which of the nodes that hold replicas are absent now."""
        self._absent_since = {node: self._absent_since.get(node, now) for node in set(owners) if node not in present}

    def lost(self, now: float) -> set[str]:
        """Return the nodes that count as lost."""
        return {node for node, since in self._absent_since.items() if now - since >= self._lost_after_ms}


def desired_nodes(  # noqa: PLR0913 (all inputs of the placement)
    group: str,
    configuration: Configuration,
    zones: Mapping[str, str],
    present: Collection[str],
    lost: Collection[str],
    replication_factor: int,
    preferred: str | None = None,
) -> list[str]:
    """Return the nodes that should hold a group; fewer than `replication_factor` if there are fewer candidates.

    `zones` gives the zone of every known node; an unknown owner counts as a zone of its own.  `preferred` is a node
    that always holds the group unless it is lost; the other nodes are then in other zones where possible.
    """
    owners = {node for replica, node in configuration.locations if replica in configuration.voters}
    candidates = {node: zones.get(node, f"{UNKNOWN_ZONE_PREFIX}{node}") for node in (set(present) | owners) - set(lost)}
    if preferred is None or preferred not in candidates:
        return select_owners(group, candidates.items(), replication_factor)
    preferred_zone = candidates.pop(preferred)
    ranked = select_owners(group, candidates.items(), len(candidates))
    ranked.sort(key=lambda node: candidates[node] == preferred_zone)  # stable: keeps the order within a part
    return [preferred, *ranked[: replication_factor - 1]]


def without_replica(configuration: Configuration, replica: int) -> Configuration:
    """Return the configuration without one replica."""
    return Configuration(
        tuple(voter for voter in configuration.voters if voter != replica),
        tuple(learner for learner in configuration.learners if learner != replica),
        tuple(location for location in configuration.locations if location[0] != replica),
    )


def with_learner(configuration: Configuration, replica: int, node: str) -> Configuration:
    """Return the configuration with one more learner."""
    return Configuration(
        configuration.voters,
        (*configuration.learners, replica),
        (*configuration.locations, (replica, node)),
    )


def with_promoted_learner(configuration: Configuration, replica: int) -> Configuration:
    """Return the configuration with a learner promoted to a voter."""
    return Configuration(
        (*configuration.voters, replica),
        tuple(learner for learner in configuration.learners if learner != replica),
        configuration.locations,
    )


@dataclass(frozen=True, slots=True)
class GroupView:
    """The inputs from which a group's leader chooses the next step."""

    leader: int  # the replica that leads
    nodes: list[str]  # nodes that should hold the group (`desired_nodes`)
    missing: Collection[int]  # replicas that were reported as not found
    present: Collection[str]  # nodes that can be reached
    replication_factor: int
    may_add: bool = True  # False while this node already sends data to learners of enough groups
    preferred_leader: str | None = None  # node


def next_step(configuration: Configuration, view: GroupView) -> Step | None:
    """Return the next step for a group's leader; None if nothing is to do, or the leader must wait.

    A voter is removed only while there are more voters than `replication_factor`: its replacement votes first, so that
    the group never has fewer voters than it should.
    """
    kept = _voters_to_keep(configuration, view)
    unwanted = _unwanted_learner(configuration, view, kept)
    if unwanted is not None:
        return ChangeConfiguration(without_replica(configuration, unwanted), "remove a lost or unneeded learner")
    if len(configuration.voters) > view.replication_factor:
        return _remove_voter(configuration, view, kept)
    if configuration.learners:
        promoted = with_promoted_learner(configuration, configuration.learners[0])
        return ChangeConfiguration(promoted, "promote a learner that has caught up")
    return _add_replica(view, kept) or _transfer_to_preferred(view, kept)


def _voters_to_keep(configuration: Configuration, view: GroupView) -> dict[str, int]:
    """Return one voter for each desired node that holds one, preferring the leader."""
    node_by_replica = dict(configuration.locations)
    kept: dict[str, int] = {}
    for replica in configuration.voters:
        node = node_by_replica.get(replica, "")
        if replica in view.missing or node not in view.nodes:
            continue
        if node not in kept or replica == view.leader:
            kept[node] = replica
    return kept


def _unwanted_learner(configuration: Configuration, view: GroupView, kept: Mapping[str, int]) -> int | None:
    """Return a learner that is lost, on a node that should not hold the group, or on one that has a voter."""
    node_by_replica = dict(configuration.locations)
    for replica in configuration.learners:
        node = node_by_replica.get(replica)
        if replica in view.missing or node not in view.nodes or node in kept:
            return replica
    return None


def _remove_voter(configuration: Configuration, view: GroupView, kept: Mapping[str, int]) -> Step | None:
    """Remove one surplus voter: lost ones first, the leader last.

    The leader transfers leadership before it is removed, because removing itself would cost an election.
    """
    node_by_replica = dict(configuration.locations)

    def removal_order(replica: int) -> tuple[bool, bool]:
        reachable = replica not in view.missing and node_by_replica.get(replica) in view.present
        return replica == view.leader, reachable

    surplus = [replica for replica in configuration.voters if replica not in kept.values()]
    removed = min(surplus, key=removal_order)  # not empty: there are at most as many desired nodes as the factor
    if removed != view.leader:
        return ChangeConfiguration(without_replica(configuration, removed), "remove a voter that is lost or surplus")
    successors = [replica for node, replica in kept.items() if node in view.present]
    return TransferLeadership(successors[0]) if successors else None


def _add_replica(view: GroupView, kept: Mapping[str, int]) -> AddReplica | None:
    """Return the step that adds a replica on the first present desired node that has no voter."""
    if not view.may_add:
        return None
    without_voter = (node for node in view.nodes if node not in kept and node in view.present)
    node = next(without_voter, None)
    return AddReplica(node) if node is not None else None


def _transfer_to_preferred(view: GroupView, kept: Mapping[str, int]) -> TransferLeadership | None:
    """Return the step that transfers leadership to the preferred node, if it is possible and needed."""
    preferred = view.preferred_leader
    if preferred is None or preferred not in kept or preferred not in view.present:
        return None
    successor = kept[preferred]
    return TransferLeadership(successor) if successor != view.leader else None
