"""A replica group in virtual time with faults of messages, clocks, processes and disks, and an invariant checker.

A disk separates what was synced from what was only written: a crash keeps a randomly chosen prefix of the writes that
were not synced.  A restart is of the process (its disk is proven), of the machine (not proven), from an old copy of the
disk (not proven), or with an empty disk (a new identity, which has to be added to the group).  Clocks drift apart by up
to the stated bound.

The checker verifies: a term has at most one leader; every replica commits the same entry at an index; each acknowledged
command is in every later state; a read at a leader with a lease misses nothing that was acknowledged before it; and
once faults end, a new entry is committed.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from martenstep.lab.emulate.core import Sim, Timer
from martenstep.replication.messages import Configuration, EntryKind, LogEntry, RaftMessage
from martenstep.replication.placement import (
    AddReplica,
    ChangeConfiguration,
    GroupView,
    TransferLeadership,
    next_step,
    with_learner,
)
from martenstep.replication.raft import (
    DurableWrite,
    EntryCommitted,
    PersistentState,
    RaftNode,
    RaftSettings,
    Role,
    RoleChanged,
    Send,
    SnapshotInstalled,
)
from martenstep.replication.replica_storage import apply_write

HEAL_TIMEOUT_MS = 12_000.0  # without faults, within which the group must commit again
# The seed chooses one; rare proposals let a stale leader last.
PROPOSAL_INTERVALS_MS = (15.0, 60.0, 250.0)
READ_INTERVAL_MS = 10.0
COMPACTION_INTERVAL_MS = 700.0
STAFF_REACTION_MS = 3000.0  # until staff attend to a replica whose disk stays unproven
RETAINED_ENTRIES = 20  # committed entries that stay in the log when it is compacted


class InvariantError(Exception):
    """An invariant is violated."""


@dataclass(slots=True)
class Disk:
    """The durable state, and the ordered writes that are not synced yet."""

    durable_state: PersistentState = field(default_factory=PersistentState)
    pending: list[DurableWrite] = field(default_factory=list)

    def apply(self, write: DurableWrite) -> None:
        """Make a write durable."""
        apply_write(self.durable_state, write)

    def copy_durable_state(self) -> PersistentState:
        """Return a copy of the durable state."""
        return replace(self.durable_state, entries=list(self.durable_state.entries))


@dataclass(slots=True)
class Node:
    """One machine of the group, and the replica that runs on it."""

    name: str
    id: int
    disk: Disk = field(default_factory=Disk)
    replica: RaftNode | None = None
    timer: Timer | None = None
    paused: bool = False
    clock_rate: float = 1.0  # relative to true time
    clock_offset_ms: float = 0.0
    state: list[bytes] = field(default_factory=list)  # all committed commands, from the first index
    disk_backup: PersistentState | None = None
    sync_ms: float = 4.0
    restored_from_backup: bool = False  # its disk is an old copy, and the replica is not proven since then
    ever_restored: bool = False
    disk_unproven: bool = False  # not proven when the process ended, so the next start cannot prove the disk either
    unproven_since: float | None = None
    inbox: list[tuple[int, RaftMessage]] = field(default_factory=list)
    proposed: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # by index: term and command

    def clock(self, now: float) -> float:
        """Return the machine's own monotonic time."""
        return self.clock_offset_ms + now * self.clock_rate


ReplicaFactory = Callable[..., RaftNode]


@dataclass(frozen=True, slots=True)
class FaultPlan:
    """The number and the kind of faults of one run."""

    replicas: int = 3
    length_ms: float = 12_000.0
    faults: int = 14  # at random moments of the run
    loss: float = 0.03
    lost_disks: int = 1  # disks that are lost or replaced by an old copy during the run
    settings: RaftSettings = field(default_factory=RaftSettings)


class GroupSimulation:
    """One run with one seed."""

    def __init__(self, plan: FaultPlan, seed: int, make_replica: ReplicaFactory = RaftNode) -> None:
        self.plan, self.seed, self._make_replica = plan, seed, make_replica
        self.sim, self.rng = Sim(), random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.nodes: dict[int, Node] = {}
        self._leaders: dict[int, int] = {}
        self._committed_entries: dict[int, LogEntry] = {}  # by index: the entry that a replica first committed there
        # Index and command, in the order of the acknowledgements to clients.
        self._acknowledged: list[tuple[int, bytes]] = []
        self._cuts: set[tuple[int, int]] = set()
        self._loss_share = plan.loss
        self._propose_ms = self.rng.choice(PROPOSAL_INTERVALS_MS)
        self._last_command, self._last_id = 0, plan.replicas
        self._disk_losses_left = plan.lost_disks
        self._finished = self._healed = False
        self._lost_identities: set[int] = set()  # of replicas whose disk is lost
        for number in range(1, plan.replicas + 1):
            drift = plan.settings.max_clock_drift
            node = Node(
                f"m{number}",
                number,
                clock_rate=1 + self.rng.uniform(-drift, drift) / 2,
                clock_offset_ms=self.rng.uniform(0, 1e6),
            )
            self.nodes[number] = node
        self._names = {node.name for node in self.nodes.values()}
        self.initial_configuration = Configuration(
            tuple(self.nodes), (), tuple((node.id, node.name) for node in self.nodes.values())
        )

    # Machines.

    def start(self, node: Node, proven: bool = True) -> None:
        """Start the process of a machine from its disk."""
        initial_configuration = (
            self.initial_configuration if node.id in self.initial_configuration.voters else Configuration((0,))
        )
        node.state, node.proposed, node.paused = [], {}, False
        node.inbox.clear()
        durable_state = node.disk.copy_durable_state()
        if durable_state.snapshot is not None:
            node.state = _commands(durable_state.snapshot.body)
        node.replica = self._make_replica(
            node.id,
            durable_state,
            initial_configuration,
            self.plan.settings,
            random.Random(self.rng.getrandbits(60)),
            node.clock(self.sim.now),
            proven,
        )
        node.unproven_since = None if proven else self.sim.now
        self._execute_actions(node)

    def crash(self, node: Node) -> None:
        """End the process; a randomly chosen prefix of the writes that were not synced becomes durable."""
        if node.replica is None:
            return
        node.disk_unproven = node.disk_unproven or not node.replica.disk_verified
        node.replica = None
        if node.timer is not None:
            node.timer.cancel()
        synced_count = self.rng.randrange(len(node.disk.pending) + 1)
        for write in node.disk.pending[:synced_count]:
            node.disk.apply(write)
        node.disk.pending.clear()

    def _execute_actions(self, node: Node) -> None:
        replica = node.replica
        if replica is None:
            return
        actions, replica.actions = replica.actions, []
        for action in actions:
            if isinstance(action, Send):
                self._send(node, action.to, action.message)
            elif isinstance(action, DurableWrite):
                node.disk.pending.append(action)
                self.sim.after(node.sync_ms * self.rng.uniform(0.5, 2), self._synced, node, replica, action)
            elif isinstance(action, EntryCommitted):
                self._committed(node, replica, action.entry)
            elif isinstance(action, SnapshotInstalled):
                node.state = _commands(action.snapshot.body)
            else:
                self._check_role_change(node, action)
        if node.timer is not None:
            node.timer.cancel()
        if replica.next_timer_at < float("inf"):
            self._arm(node, replica)

    def _arm(self, node: Node, replica: RaftNode) -> None:
        due = (replica.next_timer_at - node.clock_offset_ms) / node.clock_rate + 1e-6
        node.timer = self.sim.at(due, self._wake, node, replica)

    def _wake(self, node: Node, replica: RaftNode) -> None:
        if node.replica is replica and not node.paused:
            replica.run_due_timers(node.clock(self.sim.now))
            self._execute_actions(node)

    def _synced(self, node: Node, replica: RaftNode, write: DurableWrite) -> None:
        if node.replica is not replica:
            return
        if node.paused:
            self.sim.after(20.0, self._synced, node, replica, write)
            return
        last = None
        while node.disk.pending and node.disk.pending[0].sequence <= write.sequence:
            last = node.disk.pending.pop(0)
            node.disk.apply(last)
        if last is not None:
            replica.write_completed(node.clock(self.sim.now), last.sequence)
            self._execute_actions(node)

    def _send(self, node: Node, to: int, message: RaftMessage) -> None:
        if (node.id, to) in self._cuts or self.rng.random() < self._loss_share:
            return
        deliveries = 2 if self.rng.random() < 0.02 else 1
        for _ in range(deliveries):
            delay_ms = self.rng.uniform(100, 900) if self.rng.random() < 0.02 else 0.0
            self.sim.after(self.rng.uniform(0.3, 3.0) + delay_ms, self._arrive, node.id, to, message)

    def _arrive(self, source: int, to: int, message: RaftMessage) -> None:
        node = self.nodes.get(to)  # by identity: a machine with another disk is another replica
        if node is None or node.replica is None or node.id != to:
            return
        if node.paused:
            if len(node.inbox) < 200:
                node.inbox.append((source, message))
            return
        node.replica.receive(node.clock(self.sim.now), source, message)
        self._execute_actions(node)

    # The checker.

    def _check_role_change(self, node: Node, change: RoleChanged) -> None:
        if change.role is Role.LEADER:
            self.counts["leaders"] += 1
            if self._leaders.setdefault(change.term, node.id) != node.id:
                raise InvariantError(f"term {change.term} has two leaders: {self._leaders[change.term]} and {node.id}")

    def _committed(self, node: Node, replica: RaftNode, entry: LogEntry) -> None:
        committed = self._committed_entries.setdefault(entry.index, entry)
        if committed != entry:
            raise InvariantError(f"entry {entry.index} was committed as {committed}, and is {entry} at {node.id}")
        if entry.kind is EntryKind.COMMAND:
            node.state.append(entry.data)
        term, command = node.proposed.pop(entry.index, (0, b""))
        if entry.kind is EntryKind.COMMAND and (term, command) == (entry.term, entry.data) and not node.paused:
            self._acknowledged.append((entry.index, command))
            self.counts["told"] += 1

    def _read(self) -> None:
        """Read at every replica that may serve a read."""
        if self._finished:
            return
        self.sim.after(READ_INTERVAL_MS, self._read)
        for node in list(self.nodes.values()):
            if not node.paused:
                self._read_at(node)

    def _read_at(self, node: Node) -> None:
        replica = node.replica
        if replica is not None and replica.can_serve_read(node.clock(self.sim.now)):
            self.counts["reads"] += 1
            if self._acknowledged and replica.commit_index < max(index for index, _ in self._acknowledged[-8:]):
                raise InvariantError(f"a read at {node.id} misses a command that was acknowledged before the read")

    def _propose(self) -> None:
        if self._finished:
            return
        self.sim.after(self._propose_ms, self._propose)
        for node in list(self.nodes.values()):
            self._propose_at(node)

    def _propose_at(self, node: Node) -> int | None:
        replica = node.replica
        if replica is None or node.paused or replica.role is not Role.LEADER:
            return None
        self._last_command += 1
        command = b"%d" % self._last_command
        index = replica.propose(command)
        if index is not None:
            node.proposed[index] = replica.term, command
        self._execute_actions(node)
        return index

    def _compact(self) -> None:
        if self._finished:
            return
        self.sim.after(COMPACTION_INTERVAL_MS, self._compact)
        for node in list(self.nodes.values()):
            replica = node.replica
            if (
                replica is not None
                and not node.paused
                and replica.commit_index - replica.snapshot_index > 2 * RETAINED_ENTRIES
            ):
                index = replica.commit_index - RETAINED_ENTRIES
                body = [
                    entry.data
                    for number in range(1, index + 1)
                    if (entry := self._committed_entries[number]).kind is EntryKind.COMMAND
                ]
                replica.compact(index, b"\n".join(body))
                self._execute_actions(node)

    # Changes of the group's configuration.

    def _repair_group(self) -> None:
        """Let each leader take the next step towards a full group, with the rules of `replication.placement`.

        Every machine is a wanted member, and a machine whose disk was lost reports that the old replica is gone.
        """
        self.sim.after(150.0, self._repair_group)
        nodes_by_name = {node.name: node for node in self.nodes.values()}
        for node in list(self.nodes.values()):
            replica = node.replica
            if replica is None or node.paused or replica.role is not Role.LEADER:
                continue
            view = GroupView(
                replica.replica_id, sorted(self._names), self._lost_identities, nodes_by_name, self.plan.replicas
            )
            step = next_step(replica.configuration, view)
            if isinstance(step, AddReplica):
                self.counts["invited"] += 1
                replica.change_configuration(
                    with_learner(replica.configuration, nodes_by_name[step.node].id, step.node)
                )
            elif isinstance(step, ChangeConfiguration):
                self.counts["changes"] += replica.change_configuration(step.configuration)
            elif isinstance(step, TransferLeadership):
                replica.transfer_leadership(node.clock(self.sim.now), step.to)
            self._execute_actions(node)

    # Faults.  `counts` has the names of these methods as keys.

    def _fault(self) -> None:
        rng = self.rng
        node = rng.choice(list(self.nodes.values()))
        kinds: list[Callable[[Node], None]] = [
            self._process_again,
            self._process_again,
            self._machine_again,
            self._pause,
            self._pause,
            self._cut_one_way,
            self._cut_one_way,
            self._cut_off,
            self._slow_disk,
            self._hand_over,
            self._lossy,
            self._all_again,
            self._leader_alone,
            self._leader_unheard,
            self._leader_stands,
        ]
        if self._disk_losses_left > 0:
            kinds += [self._old_disk, self._lost_disk, self._lost_disk]
        kind = rng.choice(kinds)
        self.counts[kind.__name__] += 1
        kind(node)

    def _process_again(self, node: Node) -> None:
        self.crash(node)
        self.sim.after(self.rng.choice((20.0, 1500.0)) * self.rng.random(), self._start_again, node)

    def _machine_again(self, node: Node) -> None:
        self.crash(node)
        node.disk_unproven = True
        self.sim.after(self.rng.uniform(200, 2500), self._start_again, node)

    def _start_again(self, node: Node) -> None:
        if node.replica is None and self.nodes.get(node.id) is node:
            self.start(node, not node.disk_unproven)

    def _all_again(self, _: Node) -> None:
        for node in list(self.nodes.values()):
            self._process_again(node)

    def _pause(self, node: Node) -> None:
        if node.replica is not None and not node.paused:
            node.paused = True
            self.sim.after(self.rng.uniform(100, 3000), self._resume, node, node.replica)

    def _resume(self, node: Node, replica: RaftNode) -> None:
        if node.replica is not replica or not node.paused:
            return
        node.paused = False
        now = node.clock(self.sim.now)
        waiting, node.inbox = node.inbox, []
        if self.rng.random() < 0.5:
            replica.run_due_timers(now)
        for source, message in waiting:
            replica.receive(now, source, message)
            self._read_at(node)  # reads can also come between two buffered messages
        self._execute_actions(node)

    def _cut_links(self, pairs: set[tuple[int, int]]) -> None:
        if self._healed:
            return
        self._cuts |= pairs
        self.sim.after(self.rng.uniform(200, 3000), self._heal_links, pairs)

    def _heal_links(self, pairs: set[tuple[int, int]]) -> None:
        self._cuts -= pairs

    def _cut_one_way(self, node: Node) -> None:
        others = [one for one in self.nodes if one != node.id]
        to = self.rng.sample(others, self.rng.randrange(1, len(others) + 1))
        out = self.rng.random() < 0.5
        self._cut_links({(node.id, one) if out else (one, node.id) for one in to})

    def _cut_off(self, node: Node) -> None:
        others = [one for one in self.nodes if one != node.id]
        self._cut_links({(node.id, one) for one in others} | {(one, node.id) for one in others})

    def _leader(self) -> Node | None:
        return next(
            (
                node
                for node in self.nodes.values()
                if node.replica is not None and not node.paused and node.replica.role is Role.LEADER
            ),
            None,
        )

    def _leader_alone(self, _: Node) -> None:
        """Cut the leader off; reads go on at it until its lease expires."""
        leader = self._leader()
        if leader is not None:
            self._cut_off(leader)

    def _leader_unheard(self, _: Node) -> None:
        """Cut the leader's messages to one follower, which then starts an election while another one is restarted."""
        leader = self._leader()
        others = [node for node in self.nodes.values() if node is not leader and node.replica is not None]
        if leader is None or len(others) < 2:
            return
        unreached, restarted = self.rng.sample(others, 2)
        self._cut_links({(leader.id, unreached.id)})
        self.sim.after(self.rng.uniform(300, 900), self._restart_at_once, restarted)

    def _restart_at_once(self, node: Node) -> None:
        if self.nodes.get(node.id) is node and node.replica is not None and not self._healed:
            self.crash(node)
            self.sim.after(2.0, self._start_again, node)

    def _leader_stands(self, _: Node) -> None:
        """Pause the leader with responses in its buffer, and cut the messages of the others, which go on without it."""
        leader = self._leader()
        if leader is None:
            return
        pairs = {(other, leader.id) for other in self.nodes if other != leader.id}
        self._pause(leader)
        self.sim.after(self.rng.uniform(5, 60), self._cut_links, pairs)

    def _slow_disk(self, node: Node) -> None:
        node.sync_ms = self.rng.choice((60.0, 500.0))
        self.sim.after(self.rng.uniform(500, 2000), self._restore_disk_speed, node)

    @staticmethod
    def _restore_disk_speed(node: Node) -> None:
        node.sync_ms = 4.0

    def _hand_over(self, _: Node) -> None:
        for node in self.nodes.values():
            if node.replica is not None and not node.paused and node.replica.role is Role.LEADER:
                node.replica.transfer_leadership(node.clock(self.sim.now))
                self._execute_actions(node)

    def _lossy(self, _: Node) -> None:
        self._loss_share = 0.25
        self.sim.after(1500.0, self._restore_loss)

    def _restore_loss(self) -> None:
        self._loss_share = self.plan.loss

    def _old_disk(self, node: Node) -> None:
        """Replace the disk by an older copy of it."""
        if node.disk_backup is None:
            return
        self._disk_losses_left -= 1
        self.crash(node)
        node.disk = Disk(replace(node.disk_backup, entries=list(node.disk_backup.entries)))
        node.restored_from_backup = node.disk_unproven = node.ever_restored = True
        self.sim.after(self.rng.uniform(5, 1500), self._start_again, node)

    def _back_up_disks(self) -> None:
        self.sim.after(900.0, self._back_up_disks)
        for node in self.nodes.values():
            node.disk_backup = node.disk.copy_durable_state()

    def _lost_disk(self, node: Node) -> None:
        """Restart the machine with an empty disk: a new identity, which has to be added to the group."""
        self._disk_losses_left -= 1
        self.crash(node)
        del self.nodes[node.id]
        self._lost_identities.add(node.id)
        self._last_id += 1
        fresh = Node(node.name, self._last_id, clock_rate=node.clock_rate, clock_offset_ms=node.clock_offset_ms)
        self.sim.after(self.rng.uniform(50, 2000), self._join, fresh)

    def _act_as_staff(self) -> None:
        """Do what staff do about a replica that stays unproven because a member that would have to answer is lost.

        They confirm a disk that was not replaced, and empty one that was replaced by an old copy.
        """
        self.sim.after(500.0, self._act_as_staff)
        for node in list(self.nodes.values()):
            replica = node.replica
            if (
                replica is not None
                and replica.disk_verified
                and replica.is_below_log_floor
                and not node.ever_restored
                and self._lost_identities
            ):
                self._confirm_disk(node, replica)  # it waits for entries that only a lost machine had
            if replica is None or replica.disk_verified:
                if replica is not None and not node.disk.pending:  # everything that it received is durable
                    node.unproven_since, node.disk_unproven, node.restored_from_backup = None, False, False
            elif (
                node.unproven_since is not None
                and self.sim.now - node.unproven_since > STAFF_REACTION_MS
                and not node.paused
            ):
                if node.restored_from_backup:
                    self._disk_losses_left += 1
                    self._lost_disk(node)
                else:
                    self._confirm_disk(node, replica)

    def _confirm_disk(self, node: Node, replica: RaftNode) -> None:
        self.counts["vouched"] += 1
        replica.confirm_disk(node.clock(self.sim.now))
        self._execute_actions(node)

    def _join(self, node: Node) -> None:
        self.nodes[node.id] = node
        self.start(node)

    # The run.

    def run(self) -> Counter[str]:
        """Run the simulation; raises InvariantError where an invariant is violated."""
        sim, plan = self.sim, self.plan
        for node in self.nodes.values():
            self.start(node)
        for call in (
            self._propose,
            self._read,
            self._compact,
            self._repair_group,
            self._back_up_disks,
            self._act_as_staff,
        ):
            sim.after(1000.0, call)
        for _ in range(plan.faults):
            sim.after(self.rng.uniform(1500, plan.length_ms), self._fault)
        sim.run(sim.now + plan.length_ms)
        self._heal()
        sim.run(sim.now + HEAL_TIMEOUT_MS)
        self._check_final_state()
        return self.counts

    def _heal(self) -> None:
        self._healed = True
        self._cuts.clear()
        self._loss_share = 0.0
        for node in list(self.nodes.values()):
            node.sync_ms = 4.0
            if node.paused and node.replica is not None:
                self._resume(node, node.replica)
        self._acknowledged_before_heal = len(self._acknowledged)

    def _check_final_state(self) -> None:
        self._finished = True
        if len(self._acknowledged) == self._acknowledged_before_heal:
            raise InvariantError(f"nothing was committed in {HEAL_TIMEOUT_MS:.0f} ms without faults: {self._states()}")
        self.sim.run(self.sim.now + 1500.0)
        leaders = [
            node
            for node in self.nodes.values()
            if node.replica is not None
            and node.replica.role is Role.LEADER
            and node.replica.commit_index
            == max(other.replica.commit_index for other in self.nodes.values() if other.replica is not None)
        ]
        if not leaders:
            raise InvariantError(f"no leader has all committed entries at the end: {self._states()}")
        held = set(leaders[0].state)
        missing = [command for _, command in self._acknowledged if command not in held]
        if missing:
            raise InvariantError(f"{len(missing)} acknowledged commands are lost, the first {missing[0]!r}")
        if len(held) != len(leaders[0].state):
            raise InvariantError("the state has a command twice")

    def _states(self) -> list[Any]:
        return [
            (
                node.id,
                node.replica
                and (
                    node.replica.role.value,
                    node.replica.term,
                    node.replica.last_index,
                    node.replica.commit_index,
                    node.replica.disk_verified,
                    node.replica.configuration,
                ),
            )
            for node in self.nodes.values()
        ]


def _commands(body: bytes) -> list[bytes]:
    return body.split(b"\n") if body else []
