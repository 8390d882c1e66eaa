"""Replica placement: on which nodes a group should be, and the next step towards that.

Pure: the same at every node that knows the same.

A group is on the nodes that rendezvous hashing gives its name, spread over zones (`membership.ownership`), among those
that may hold it: all that are present, and those that hold a replica already and are not lost.  A node counts as lost
once it has been absent for a stated time, longer than a restart.  That is why a node that has just started, and knows
few others yet, moves nothing: who holds a replica counts as there until that time is over.

The leader of a group takes the steps, one after another, each by the group's own log (single-server changes).  So no
agreement on the placement is needed for safety: nodes that hold different views take different steps, each of them
safe.
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
    """Put another configuration in place; Raft refuses it until it may be, and a learner until it has caught up."""

    configuration: Configuration
    reason: str


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Let another replica lead."""

    to: int


Step = AddReplica | ChangeConfiguration | TransferLeadership


class AbsenceTracker:
    """Since when nodes have been absent, as far as this node knows."""

    def __init__(self, lost_after_ms: float) -> None:
        """After `lost_after_ms` an absent node counts as lost."""
        self._lost_after_ms = lost_after_ms
        self._absent_since: dict[str, float] = {}

    def observe(self, now: float, present: Collection[str], owners: Iterable[str]) -> None:
        """Note who is present now, among the nodes that hold replicas."""
        self._absent_since = {node: self._absent_since.get(node, now) for node in set(owners) if node not in present}

    def lost(self, now: float) -> set[str]:
        """The nodes that count as lost."""
        return {node for node, since in self._absent_since.items() if now - since >= self._lost_after_ms}


def desired_nodes(  # noqa: PLR0913 (what the placement follows from)
    group: str,
    configuration: Configuration,
    zones: Mapping[str, str],
    present: Collection[str],
    lost: Collection[str],
    replication_factor: int,
    preferred: str | None = None,
) -> list[str]:
    """The nodes that should hold a group, fewer than `replication_factor` where there are fewer.

    `zones` tells the zone of every known node; an owner that is not known counts as a zone of its own.  `preferred` is
    a node that should hold the group in any case, as long as it is not lost: the others are then in other zones if they
    can be.
    """
    owners = {node for replica, node in configuration.locations if replica in configuration.voters}
    candidates = {node: zones.get(node, f"{UNKNOWN_ZONE_PREFIX}{node}") for node in (set(present) | owners) - set(lost)}
    if preferred is None or preferred not in candidates:
        return select_owners(group, candidates.items(), replication_factor)
    preferred_zone = candidates.pop(preferred)
    ranked = select_owners(group, candidates.items(), len(candidates))
    ranked.sort(key=lambda node: candidates[node] == preferred_zone)  # stable: the order among the others stays
    return [preferred, *ranked[: replication_factor - 1]]


def without_replica(configuration: Configuration, replica: int) -> Configuration:
    """The configuration without one replica."""
    return Configuration(
        tuple(voter for voter in configuration.voters if voter != replica),
        tuple(learner for learner in configuration.learners if learner != replica),
        tuple(location for location in configuration.locations if location[0] != replica),
    )


def with_learner(configuration: Configuration, replica: int, node: str) -> Configuration:
    """The configuration with one more learner."""
    return Configuration(
        configuration.voters,
        (*configuration.learners, replica),
        (*configuration.locations, (replica, node)),
    )


def with_promoted_learner(configuration: Configuration, replica: int) -> Configuration:
    """The configuration with a learner as a voter."""
    return Configuration(
        (*configuration.voters, replica),
        tuple(learner for learner in configuration.learners if learner != replica),
        configuration.locations,
    )


@dataclass(frozen=True, slots=True)
class GroupView:
    """What a group's leader knows when it chooses the next step."""

    leader: int  # the replica that leads
    nodes: list[str]  # that should hold the group (`desired_nodes`)
    missing: Collection[int]  # replicas that were reported as not found
    present: Collection[str]  # nodes that can be asked
    replication_factor: int
    may_add: bool = True  # False while other groups are being filled from here
    preferred_leader: str | None = None  # node


def next_step(configuration: Configuration, view: GroupView) -> Step | None:
    """What a group's leader should do next; None where all is as it should be, or must wait.

    Of as many replicas as there should be, none is removed before another votes in its stead, so that the quorum stays
    what it was.
    """
    sound = _sound_voters(configuration, view)
    unwanted = _unwanted_learner(configuration, view, sound)
    if unwanted is not None:
        return ChangeConfiguration(without_replica(configuration, unwanted), "a learner that is not wanted any more")
    if len(configuration.voters) > view.replication_factor:
        return _remove_voter(configuration, view, sound)
    if configuration.learners:
        promoted = with_promoted_learner(configuration, configuration.learners[0])
        return ChangeConfiguration(promoted, "a learner that has caught up")
    return _add_replica(view, sound) or _transfer_to_preferred(view, sound)


def _sound_voters(configuration: Configuration, view: GroupView) -> dict[str, int]:
    """One voter for each desired node that holds one, the leader before others."""
    node_by_replica = dict(configuration.locations)
    sound: dict[str, int] = {}
    for replica in configuration.voters:
        node = node_by_replica.get(replica, "")
        if replica in view.missing or node not in view.nodes:
            continue
        if node not in sound or replica == view.leader:
            sound[node] = replica
    return sound


def _unwanted_learner(configuration: Configuration, view: GroupView, sound: Mapping[str, int]) -> int | None:
    """A learner that is lost, on a node that should not hold the group, or on one that has a voter."""
    node_by_replica = dict(configuration.locations)
    for replica in configuration.learners:
        node = node_by_replica.get(replica)
        if replica in view.missing or node not in view.nodes or node in sound:
            return replica
    return None


def _remove_voter(configuration: Configuration, view: GroupView, sound: Mapping[str, int]) -> Step | None:
    """Remove one of the voters that are too many: lost ones first, the leader last.

    The leader hands over before: one that leads its own removal costs an election.
    """
    node_by_replica = dict(configuration.locations)

    def removal_order(replica: int) -> tuple[bool, bool]:
        reachable = replica not in view.missing and node_by_replica.get(replica) in view.present
        return replica == view.leader, reachable

    spare = [replica for replica in configuration.voters if replica not in sound.values()]
    removed = min(spare, key=removal_order)  # there is one, as the desired nodes are no more than the factor
    if removed != view.leader:
        return ChangeConfiguration(
            without_replica(configuration, removed), "a replica that is lost, or not wanted on its node"
        )
    successors = [replica for node, replica in sound.items() if node in view.present]
    return TransferLeadership(successors[0]) if successors else None


def _add_replica(view: GroupView, sound: Mapping[str, int]) -> AddReplica | None:
    """Have the first desired node without a replica create one."""
    if not view.may_add:
        return None
    lacking = (node for node in view.nodes if node not in sound and node in view.present)
    node = next(lacking, None)
    return AddReplica(node) if node is not None else None


def _transfer_to_preferred(view: GroupView, sound: Mapping[str, int]) -> TransferLeadership | None:
    """Let the replica on the preferred node lead."""
    preferred = view.preferred_leader
    if preferred is None or preferred not in sound or preferred not in view.present:
        return None
    successor = sound[preferred]
    return TransferLeadership(successor) if successor != view.leader else None
