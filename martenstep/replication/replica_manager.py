"""All replicas of one node: holding them, handling messages of other nodes, and repairing the groups that it leads.

Groups are bootstrapped once, on the bootstrap members that the settings name by their disks.  A disk that was emptied
no longer belongs to a bootstrap member, and its replicas are never recreated under their old identities.  After the
bootstrap each group's leader moves replicas to the desired nodes (`repair`): it asks a node to create a replica, adds
that as a learner, promotes it once it has caught up, and then removes a lost one.

Messages between nodes (`node_messages`) only save time, with one exception: a replica that was removed from its group
is deleted with its disk.  Such a message carries the index of a committed configuration without the replica.  A removed
replica is never added again (its node creates another one), and a replica votes only once it holds the entry that added
it.  Therefore an old message, however long it was buffered, cannot delete a replica that votes.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from martenstep.event_log import EventLog
from martenstep.replication.leader_requests import LeaderHandler, LeaderRequests
from martenstep.replication.local_replicas import LocalReplicas
from martenstep.replication.node_disk import NodeDisk
from martenstep.replication.node_messages import (
    CreateReplica,
    LeaderRequest,
    LeaderResponse,
    MembershipQuery,
    NodeMessage,
    RemovedFromGroup,
    ReplicaCreated,
    ReplicaNotFound,
)
from martenstep.replication.raft import RaftSettings, Role
from martenstep.replication.repair import GroupRepair
from martenstep.replication.replica import Replica, StateMachine, now_ms
from martenstep.replication.replica_views import LedGroup, build_gauges, build_page, list_led_groups
from martenstep.replication.settings import ClusterNode, ReplicationSettings
from martenstep.replication.transport import Transport
from martenstep.tasks import BackgroundTasks

REPAIR_INTERVAL_S = 0.25
NOT_FOUND_INTERVAL_MS = 1000.0  # between two ReplicaNotFound messages about one replica
MAX_NOT_FOUND_TIMES = 1000  # sending times that are kept
LONG_AGO_MS = -1e9
MAX_INDEX = 1 << 62  # greater than any index of a log


class ReplicaManager:
    """One node's replicas.

    `make_state_machine` creates a group's state machine from its name; `cluster_nodes` returns the nodes of the
    membership.  `is_own_group` selects groups that may be held in addition to those of the settings, each created by
    one node as its sole member; `preferred_node` returns the node that should always hold and lead a group.
    """

    def __init__(  # noqa: PLR0913 (combines all parts)
        self,
        node: str,
        folder: Path,
        witness_folder: Path,
        replication: ReplicationSettings,
        make_state_machine: Callable[[str], StateMachine],
        cluster_nodes: Callable[[], Iterable[ClusterNode]],
        log_event: EventLog,
        settings: RaftSettings | None = None,
        is_own_group: Callable[[str], bool] = lambda group: False,
        preferred_node: Callable[[str], str | None] = lambda group: None,
    ) -> None:
        """Create the parts; nothing is read before `start`."""
        self.node = node
        self.replication = replication
        self._is_own_group = is_own_group
        self._log_event = log_event
        self._transport: Transport | None = None
        self._tasks = BackgroundTasks("copies", log_event)
        raft_settings = settings or RaftSettings()
        self.local = LocalReplicas(
            node,
            NodeDisk(folder, witness_folder),
            replication,
            make_state_machine,
            log_event,
            raft_settings,
            self._tasks,
        )
        self.repair = GroupRepair(
            node, replication, self.local, cluster_nodes, preferred_node, self._running_transport, log_event
        )
        self._requests = LeaderRequests(node, self.local, self.repair, self._running_transport, self._tasks)
        self._repairing: asyncio.Task[None] | None = None
        self._not_found_sent_at: dict[tuple[str, int], float] = {}  # by group and replica

    # Start and stop.

    async def start(self, transport: Transport) -> None:
        """Open the stored replicas and bootstrap groups.  Raises ReplicaManagerError, LockedError, OSError."""
        self._transport = transport
        await self.local.start(transport)
        self._repairing = asyncio.get_running_loop().create_task(self._repair_forever())

    async def stop(self) -> None:
        """Transfer leadership to other nodes, then stop all replicas."""
        if self._repairing is not None:
            self._repairing.cancel()
        await self.local.stop()

    def _running_transport(self) -> Transport:
        assert self._transport is not None
        return self._transport

    async def _repair_forever(self) -> None:
        while True:
            await asyncio.sleep(REPAIR_INTERVAL_S)
            try:
                self.repair.run(now_ms())
            except Exception as error:  # an error in one group must not stop the repair of all others
                self._log_event("fault", {"where": "copies", "error": repr(error)})

    # The replicas.

    def groups(self) -> list[str]:
        """Return the groups that have a replica on this node."""
        return self.local.groups()

    def replica(self, group: str) -> Replica | None:
        """Return this node's replica of a group; None if there is none."""
        return self.local.replica(group)

    def latest_own_group(self) -> str:
        """Return the latest group that this node created as its sole member; empty if there is none."""
        return self.local.disk.latest_own_group

    async def create_own_group(self, group: str) -> Replica | None:
        """Create a group under a new name; other replicas are added as in any group."""
        return await self.local.create_own_group(group)

    def dissolve_group(self, group: str) -> None:
        """Remove the replicas of a group that is led here one by one, this node's replica last."""
        self.repair.dissolve_group(group)

    def abandon_group(self, group: str) -> None:
        """Remove this node's replica, and answer membership queries of others that they were removed.

        Entries that only this replica holds are lost.
        """
        self.repair.abandon_group(group)

    def transfer_leadership(self, group: str, to: str) -> bool:
        """Start handing leadership of a group that is led here to a voter on another node; False if there is none."""
        replica = self.replica(group)
        if replica is None or replica.raft.role is not Role.LEADER:
            return False
        configuration = replica.raft.configuration
        successors = (
            member for member, node in configuration.locations if node == to and member in configuration.voters
        )
        successor = next(successors, None)
        return successor is not None and replica.transfer_leadership(successor)

    # Views of nodes and groups.

    def lost_nodes(self) -> set[str]:
        """Return the nodes that have been absent for so long that they count as lost."""
        return self.repair.lost_nodes()

    def desired_nodes(self, group: str) -> list[str]:
        """Return the nodes that should hold a group according to this node's view."""
        return self.repair.desired_nodes(group)

    def led_groups(self) -> list[LedGroup]:
        """Return the groups that are led here."""
        return list_led_groups(self.local, self.repair, self.replication.replication_factor)

    @property
    def counts(self) -> Counter[str]:
        """Counts for metrics, by name."""
        return self.local.counts

    def gauges(self) -> dict[str, float]:
        """Return gauges for metrics, by name."""
        return build_gauges(self.local, self.repair, self.replication.replication_factor)

    def view(self) -> dict[str, Any]:
        """Return the admin page's view of this node's replicas."""
        return build_page(self.node, self.local, self.repair, self.replication.replication_factor)

    # Requests to leaders.

    @property
    def leader_handlers(self) -> dict[str, LeaderHandler]:
        """Handlers, by group, of requests to the leader when the leader is on this node."""
        return self._requests.handlers

    async def request_leader(self, group: str, data: bytes, timeout_s: float) -> bytes:
        """Return the answer of a group's leader, on whichever node it is.

        Raises LeaderUnreachableError if none arrived in time; the request may or may not have been executed.
        """
        return await self._requests.request(group, data, timeout_s)

    # Messages of other nodes.

    def receive(self, node: str, group: str, replica: int, message: NodeMessage) -> None:
        """Handle a message from another node about a group."""
        if isinstance(message, LeaderRequest):
            self._requests.handle_request(node, group, message)
        elif isinstance(message, LeaderResponse):
            self._requests.handle_response(message)
        elif isinstance(message, CreateReplica):
            self._handle_create(node, group, message)
        elif isinstance(message, RemovedFromGroup):
            self._handle_removed(node, group, message)
        elif isinstance(message, MembershipQuery):
            self._handle_membership_query(node, group, message)
        elif isinstance(message, ReplicaNotFound):
            self.repair.replica_not_found(node, group, message.replica)
        else:
            self.repair.replica_created(node, group, message.replica)

    def _handle_create(self, node: str, group: str, message: CreateReplica) -> None:
        """Report which replica this node holds, or create one."""
        replica = self.replica(group)
        if replica is None:
            if self.local.is_open and self._may_hold(group) and not self.local.is_busy(group):
                self.local.create(group, lambda created: self._send_created(node, created))
            return
        raft = replica.raft
        if raft.replica_id in message.members or not raft.last_index:
            self._send_created(node, replica)
        elif raft.configuration_index < message.configuration_index:
            self.local.remove(group, f"node {node} reports a later configuration without it and requests another")

    def _may_hold(self, group: str) -> bool:
        return group in self.replication.groups or self._is_own_group(group)

    def _send_created(self, node: str, replica: Replica) -> None:
        message = ReplicaCreated(replica.raft.replica_id)
        self._running_transport().send_to_node(node, replica.group, message)

    def _handle_removed(self, node: str, group: str, message: RemovedFromGroup) -> None:
        """Delete a replica that a later configuration does not contain."""
        replica = self.replica(group)
        if replica is None or replica.raft.replica_id != message.replica:
            return
        if replica.raft.configuration_index < message.configuration_index:
            self.local.remove(group, f"node {node} reports a later configuration without it")

    def _handle_membership_query(self, node: str, group: str, message: MembershipQuery) -> None:
        """Tell a replica that it was removed, if this node can be certain of that."""
        replica = self.replica(group)
        if replica is None:
            if group in self.local.disk.dissolved_groups:
                self._send_removed(node, group, RemovedFromGroup(message.replica, MAX_INDEX))
            return
        raft = replica.raft
        is_authority = raft.can_serve_read(now_ms()) and raft.configuration_committed
        if is_authority and message.replica not in raft.configuration.members:
            self._send_removed(node, group, RemovedFromGroup(message.replica, raft.configuration_index))

    def _send_removed(self, node: str, group: str, message: RemovedFromGroup) -> None:
        self._running_transport().send_to_node(node, group, message)

    def report_unknown_replica(self, node: str, group: str, source: int, target: int) -> None:
        """Answer a message for a replica that is not on this node, at most once per interval."""
        now = now_ms()
        sent_at = self._not_found_sent_at.get((group, target), LONG_AGO_MS)
        if not self.local.is_open or self.local.is_busy(group) or sent_at > now - NOT_FOUND_INTERVAL_MS:
            return
        if len(self._not_found_sent_at) > MAX_NOT_FOUND_TIMES:
            self._not_found_sent_at.clear()
        self._not_found_sent_at[group, target] = now
        self._running_transport().send_to_node(node, group, ReplicaNotFound(target))
