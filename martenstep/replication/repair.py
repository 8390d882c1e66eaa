"""Repair of groups: a leader moves its group's replicas to the desired nodes, one step at a time (`placement`)."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from martenstep.event_log import EventLog
from martenstep.replication.local_replicas import LocalReplica, LocalReplicas
from martenstep.replication.messages import Configuration
from martenstep.replication.node_messages import CreateReplica, MembershipQuery
from martenstep.replication.placement import (
    AbsenceTracker,
    AddReplica,
    ChangeConfiguration,
    GroupView,
    Step,
    TransferLeadership,
    desired_nodes,
    next_step,
    with_learner,
    without_replica,
)
from martenstep.replication.raft import Role
from martenstep.replication.replica import Replica, now_ms
from martenstep.replication.settings import ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport

MAX_LEARNING_GROUPS = 2  # groups led here that have a learner at the same time; limits the load of copying
CREATE_TIMEOUT_MS = 3000.0  # for a node to create a replica on request
UNRESPONSIVE_NODE_PAUSE_MS = 60_000.0  # before a request to a node that did not respond is repeated
NO_LEADER_MS = 3000.0  # a replica without a leader for this long asks whether it was removed
UNUSED_REPLICA_MS = 60_000.0  # a replica that was created and never added to its group is removed after this
TRANSFER_INTERVAL_MS = 30_000.0  # between two leadership transfers of a group to its preferred node
LONG_AGO_MS = -1e12


@dataclass(frozen=True, slots=True)
class ClusterView:
    """The nodes in the current view of the membership."""

    zones: dict[str, str]  # of all known nodes
    present: set[str]


@dataclass(frozen=True, slots=True)
class _PendingCreation:
    """A node that was asked to create a replica."""

    node: str
    since: float


class GroupRepair:
    """Moves the replicas of the groups that one node leads to the desired nodes."""

    def __init__(  # noqa: PLR0913 (combines all parts)
        self,
        node: str,
        settings: ReplicationSettings,
        local: LocalReplicas,
        cluster_nodes: Callable[[], Iterable[ClusterNode]],
        preferred_node: Callable[[str], str | None],
        transport: Callable[[], Transport],
        log_event: EventLog,
    ) -> None:
        """`preferred_node` returns the node, if any, that should always hold and lead a group."""
        self._node = node
        self._settings = settings
        self._local = local
        self._cluster_nodes = cluster_nodes
        self._preferred_node = preferred_node
        self._transport = transport
        self._log_event = log_event
        self._absence = AbsenceTracker(settings.node_lost_after_ms)
        self._missing: dict[str, set[int]] = {}  # replicas that were reported as not found, by group
        self._pending_creations: dict[str, _PendingCreation] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._transferred_at: dict[str, float] = {}
        self._dissolving: set[str] = set()

    # Views.

    def observe(self) -> ClusterView:
        """Return the current nodes; this one always counts as present."""
        nodes = list(self._cluster_nodes())
        zones = {node.name: node.zone for node in nodes}
        return ClusterView(zones, {node.name for node in nodes if node.present} | {self._node})

    def lost_nodes(self) -> set[str]:
        """Return the nodes that have been absent for so long that they count as lost."""
        return self._absence.lost(now_ms())

    def missing_replicas(self, group: str) -> set[int]:
        """Return the replicas of a group that were reported as not found."""
        return self._missing.get(group, set())

    def desired_nodes(self, group: str) -> list[str]:
        """Return the nodes that should hold a group according to this node's view."""
        replica = self._local.replica(group)
        configuration = replica.raft.configuration if replica is not None else Configuration(())
        cluster = self.observe()
        return self._desired_nodes(group, configuration, cluster.zones, cluster.present)

    def _desired_nodes(
        self,
        group: str,
        configuration: Configuration,
        zones: dict[str, str],
        candidates: set[str],
        now: float | None = None,
    ) -> list[str]:
        return desired_nodes(
            group,
            configuration,
            zones,
            candidates,
            self._absence.lost(now_ms() if now is None else now),
            self._settings.replication_factor,
            self._preferred_node(group),
        )

    # Steps.

    def run(self, now: float) -> None:
        """Take the next step for each group that is led here, and query the membership of replicas without a leader."""
        cluster = self.observe()
        self._absence.observe(now, cluster.present, self._owners())
        self._unresponsive_until = {node: until for node, until in self._unresponsive_until.items() if until > now}
        responsive = cluster.present - self._unresponsive_until.keys()
        leading = [local.replica for local in self._local if local.replica.raft.role is Role.LEADER]
        learning_groups = sum(bool(replica.raft.configuration.learners) for replica in leading)
        for replica in leading:
            group = replica.group
            if group in self._missing:
                self._missing[group] &= set(replica.raft.configuration.members)
            if group in self._dissolving:
                self._shrink_dissolving(replica, cluster)
                continue
            nodes = self._desired_nodes(group, replica.raft.configuration, cluster.zones, responsive, now)
            may_add = learning_groups < MAX_LEARNING_GROUPS
            step = next_step(replica.raft.configuration, self._view(now, replica, nodes, responsive, may_add))
            learning_groups += isinstance(step, AddReplica)
            self._take_step(now, replica, step)
        for local in self._local:
            self._query_membership(now, local)

    def _owners(self) -> set[str]:
        """Return the nodes that hold replicas of this node's groups, and their preferred nodes."""
        owners = {node for local in self._local for _, node in local.replica.raft.configuration.locations}
        preferred = {self._preferred_node(group) for group in self._local.groups()}
        return owners | {node for node in preferred if node is not None}

    def _view(self, now: float, replica: Replica, nodes: list[str], responsive: set[str], may_add: bool) -> GroupView:
        group = replica.group
        may_transfer = now - self._transferred_at.get(group, LONG_AGO_MS) > TRANSFER_INTERVAL_MS
        return GroupView(
            leader=replica.raft.replica_id,
            nodes=nodes,
            missing=self.missing_replicas(group),
            present=responsive,
            replication_factor=self._settings.replication_factor,
            may_add=may_add,
            preferred_leader=self._preferred_node(group) if may_transfer else None,
        )

    def _take_step(self, now: float, replica: Replica, step: Step | None) -> None:
        if isinstance(step, AddReplica):
            self._request_creation(now, replica, step.node)
        elif isinstance(step, TransferLeadership):
            self._transferred_at[replica.group] = now
            replica.transfer_leadership(step.to)
        elif isinstance(step, ChangeConfiguration):
            self._change_configuration(replica, step)

    def _change_configuration(self, replica: Replica, step: ChangeConfiguration) -> None:
        if not replica.change_configuration(step.configuration):
            return
        self._local.counts["changes"] += 1
        fields = {
            "group": replica.group,
            "why": step.reason,
            "voters": step.configuration.voters,
            "learners": step.configuration.learners,
        }
        self._log_event("group configuration changed", fields)

    def _request_creation(self, now: float, replica: Replica, node: str) -> None:
        """Ask a node to create a replica; each call repeats the request until the node responds or times out."""
        group, raft = replica.group, replica.raft
        if not raft.configuration_committed:
            return
        pending = self._pending_creations.get(group)
        if pending is None or pending.node != node:
            self._pending_creations[group] = _PendingCreation(node, now)
        elif now - pending.since > CREATE_TIMEOUT_MS:
            self._unresponsive_until[node] = now + UNRESPONSIVE_NODE_PAUSE_MS
            del self._pending_creations[group]
            self._log_event("node creates no replica", {"group": group, "place": node})
            return
        message = CreateReplica(raft.configuration_index, raft.configuration.members)
        self._transport().send_to_node(node, group, message)

    def _query_membership(self, now: float, local: LocalReplica) -> None:
        """Ask for a replica without a leader whether it was removed: it may not have received that configuration."""
        replica = local.replica
        raft = replica.raft
        # `raft.leader` cannot be used here: a removed learner never campaigns, so it keeps its last leader forever.
        if raft.halted or raft.role is Role.LEADER or now - raft.leader_contact_at < NO_LEADER_MS:
            local.without_leader_since = None
            return
        if local.without_leader_since is None:
            local.without_leader_since = now
        unused = not raft.last_index and raft.replica_id not in raft.configuration.voters
        if unused and now - local.without_leader_since > UNUSED_REPLICA_MS:
            self._local.remove(replica.group, "it was never added to its group")
            return
        nodes = {node for _, node in raft.configuration.locations} | replica.sender_nodes
        for node in nodes - {self._node}:
            self._transport().send_to_node(node, replica.group, MembershipQuery(raft.replica_id))

    # Responses of other nodes.

    def replica_created(self, node: str, group: str, created: int) -> None:
        """Handle the report that a node holds a requested replica: add the replica as a learner."""
        replica, pending = self._local.replica(group), self._pending_creations.get(group)
        if replica is None or pending is None or pending.node != node:
            return
        del self._pending_creations[group]
        configuration = replica.raft.configuration
        if created not in configuration.members and not configuration.learners:
            self.missing_replicas(group).discard(created)
            replica.change_configuration(with_learner(configuration, created, node))

    def replica_not_found(self, node: str, group: str, missing: int) -> None:
        """Record the report that a node does not hold a replica that the configuration locates there."""
        replica = self._local.replica(group)
        if replica is not None and (missing, node) in replica.raft.configuration.locations:
            self._missing.setdefault(group, set()).add(missing)

    # Groups that are no longer needed.

    def dissolve_group(self, group: str) -> None:
        """Remove the replicas of a group that is led here one by one, this node's replica last."""
        self._dissolving.add(group)

    def _shrink_dissolving(self, replica: Replica, cluster: ClusterView) -> None:
        raft = replica.raft
        # Replicas on absent nodes are removed first: with one present and one absent voter left, the group has no
        # quorum.
        others = sorted(
            (member for member in raft.configuration.members if member != raft.replica_id),
            key=lambda member: replica.find_node(member) in cluster.present,
        )
        if not others:
            self._dissolving.discard(replica.group)
            self.abandon_group(replica.group)
        elif raft.configuration_committed:
            replica.change_configuration(without_replica(raft.configuration, others[0]))

    def abandon_group(self, group: str) -> None:
        """Remove this node's replica, and answer membership queries of others that they were removed.

        Entries that only this replica holds are lost, so this is only for groups whose data is no longer needed.
        """
        self._local.disk.add_dissolved(group)
        self._local.remove(group, "its group was dissolved")
