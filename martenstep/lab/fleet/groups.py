"""A group of copies in virtual time: what can happen to messages, clocks, processes and disks, and a checker.

Disks hold what was written and synced apart: a crash keeps a drawn part of what was not synced, in order.  A restart is
of the process (its disk is proven), of the machine (not proven), from an old copy of the disk (not proven), or with an
empty one (another identity, which has to be taken into the group).  Clocks run apart by the stated drift.

The checker holds, in plain words: no two leaders of one term; the same entry at the same place wherever it is
delivered; what was told committed is in every later state; a read at a leader with a lease misses nothing that was told
committed before it was asked; once faults end, a new entry is committed.
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

HEAL_MS = 12_000.0  # without faults, for the group to commit again
PROPOSE_MS = (15.0, 60.0, 250.0)  # between two of the clients' proposals, by the seed: rare ones leave stale leaders be
READ_MS = 10.0
COMPACT_MS = 700.0
STAFF_MS = 3000.0  # until staff look at a copy that cannot prove itself
KEEP = 20  # entries kept behind the newest when the log is compacted


class BrokenError(Exception):
    """A rule of the checker is broken."""


@dataclass(slots=True)
class Disk:
    """Durable state, and writes that are not durable yet, in order."""

    kept: PersistentState = field(default_factory=PersistentState)
    pending: list[DurableWrite] = field(default_factory=list)

    def apply(self, write: DurableWrite) -> None:
        """One write becomes durable."""
        apply_write(self.kept, write)

    def copied(self) -> PersistentState:
        """What a copy of it would hold."""
        return replace(self.kept, entries=list(self.kept.entries))


@dataclass(slots=True)
class Node:
    """One machine."""

    name: str
    id: int
    disk: Disk = field(default_factory=Disk)
    copy: RaftNode | None = None
    timer: Timer | None = None
    paused: bool = False
    rate: float = 1.0  # of its clock
    offset: float = 0.0
    state: list[bytes] = field(default_factory=list)  # commands delivered since the log's begin
    old: PersistentState | None = None
    sync_ms: float = 4.0
    restored: bool = False  # its disk is an old copy
    was_restored: bool = False
    doubted: bool = False  # it could not prove its disk when it ended: kept, so that it cannot at the next start either
    unproven_since: float | None = None
    inbox: list[tuple[int, RaftMessage]] = field(default_factory=list)
    proposed: dict[int, tuple[int, bytes]] = field(default_factory=dict)  # index to term and command

    def clock(self, now: float) -> float:
        """Its own."""
        return self.offset + now * self.rate


Make = Callable[..., RaftNode]


@dataclass(frozen=True, slots=True)
class Plan:
    """How much goes wrong."""

    copies: int = 3
    length_ms: float = 12_000.0
    faults: int = 14  # drawn over the length
    loss: float = 0.03
    lost_disks: int = 1  # machines whose disk is lost or put back old, over the whole run
    settings: RaftSettings = field(default_factory=RaftSettings)


class Group:
    """A play with one seed."""

    def __init__(self, plan: Plan, seed: int, make: Make = RaftNode) -> None:
        self.plan, self.seed, self._make = plan, seed, make
        self.sim, self.rng = Sim(), random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.nodes: dict[int, Node] = {}
        self._leaders: dict[int, int] = {}
        self._stands: dict[int, LogEntry] = {}  # by index: what was delivered there first
        self._told: list[tuple[int, bytes]] = []  # index and command that a client was told of, in order
        self._cuts: set[tuple[int, int]] = set()
        self._loss = plan.loss
        self._propose_ms = self.rng.choice(PROPOSE_MS)
        self._number, self._last_id = 0, plan.copies
        self._spare = plan.lost_disks
        self._over = self._healed = False
        self._gone: set[int] = set()  # identities whose disk is lost
        for number in range(1, plan.copies + 1):
            drift = plan.settings.max_clock_drift
            node = Node(
                f"m{number}", number, rate=1 + self.rng.uniform(-drift, drift) / 2, offset=self.rng.uniform(0, 1e6)
            )
            self.nodes[number] = node
        self._names = {node.name for node in self.nodes.values()}
        self.first = Configuration(tuple(self.nodes), (), tuple((node.id, node.name) for node in self.nodes.values()))

    # Machines.

    def start(self, node: Node, proven: bool = True) -> None:
        """Its process begins from its disk."""
        first = self.first if node.id in self.first.voters else Configuration((0,))
        node.state, node.proposed, node.paused = [], {}, False
        node.inbox.clear()
        kept = node.disk.copied()
        if kept.snapshot is not None:
            node.state = _commands(kept.snapshot.body)
        node.copy = self._make(
            node.id,
            kept,
            first,
            self.plan.settings,
            random.Random(self.rng.getrandbits(60)),
            node.clock(self.sim.now),
            proven,
        )
        node.unproven_since = None if proven else self.sim.now
        self._after(node)

    def crash(self, node: Node) -> None:
        """It ends; of what was not synced a drawn part is there, in order."""
        if node.copy is None:
            return
        node.doubted = node.doubted or not node.copy.disk_verified
        node.copy = None
        if node.timer is not None:
            node.timer.cancel()
        kept = self.rng.randrange(len(node.disk.pending) + 1)
        for write in node.disk.pending[:kept]:
            node.disk.apply(write)
        node.disk.pending.clear()

    def _after(self, node: Node) -> None:
        copy = node.copy
        if copy is None:
            return
        actions, copy.actions = copy.actions, []
        for action in actions:
            if isinstance(action, Send):
                self._send(node, action.to, action.message)
            elif isinstance(action, DurableWrite):
                node.disk.pending.append(action)
                self.sim.after(node.sync_ms * self.rng.uniform(0.5, 2), self._synced, node, copy, action)
            elif isinstance(action, EntryCommitted):
                self._committed(node, copy, action.entry)
            elif isinstance(action, SnapshotInstalled):
                node.state = _commands(action.snapshot.body)
            else:
                self._became(node, action)
        if node.timer is not None:
            node.timer.cancel()
        if copy.next_timer_at < float("inf"):
            self._arm(node, copy)

    def _arm(self, node: Node, copy: RaftNode) -> None:
        due = (copy.next_timer_at - node.offset) / node.rate + 1e-6
        node.timer = self.sim.at(due, self._wake, node, copy)

    def _wake(self, node: Node, copy: RaftNode) -> None:
        if node.copy is copy and not node.paused:
            copy.run_due_timers(node.clock(self.sim.now))
            self._after(node)

    def _synced(self, node: Node, copy: RaftNode, write: DurableWrite) -> None:
        if node.copy is not copy:
            return
        if node.paused:
            self.sim.after(20.0, self._synced, node, copy, write)
            return
        last = None
        while node.disk.pending and node.disk.pending[0].sequence <= write.sequence:
            last = node.disk.pending.pop(0)
            node.disk.apply(last)
        if last is not None:
            copy.write_completed(node.clock(self.sim.now), last.sequence)
            self._after(node)

    def _send(self, node: Node, to: int, message: RaftMessage) -> None:
        if (node.id, to) in self._cuts or self.rng.random() < self._loss:
            return
        times = 2 if self.rng.random() < 0.02 else 1
        for _ in range(times):
            late = self.rng.uniform(100, 900) if self.rng.random() < 0.02 else 0.0
            self.sim.after(self.rng.uniform(0.3, 3.0) + late, self._arrive, node.id, to, message)

    def _arrive(self, source: int, to: int, message: RaftMessage) -> None:
        node = self.nodes.get(to)  # by identity: a machine with another disk is another copy
        if node is None or node.copy is None or node.id != to:
            return
        if node.paused:
            if len(node.inbox) < 200:
                node.inbox.append((source, message))
            return
        node.copy.receive(node.clock(self.sim.now), source, message)
        self._after(node)

    # The checker.

    def _became(self, node: Node, became: RoleChanged) -> None:
        if became.role is Role.LEADER:
            self.counts["leaders"] += 1
            if self._leaders.setdefault(became.term, node.id) != node.id:
                raise BrokenError(f"two leaders of term {became.term}: {self._leaders[became.term]} and {node.id}")

    def _committed(self, node: Node, copy: RaftNode, entry: LogEntry) -> None:
        stands = self._stands.setdefault(entry.index, entry)
        if stands != entry:
            raise BrokenError(f"entry {entry.index} is {stands} at one and {entry} at {node.id}")
        if entry.kind is EntryKind.COMMAND:
            node.state.append(entry.data)
        term, command = node.proposed.pop(entry.index, (0, b""))
        if entry.kind is EntryKind.COMMAND and (term, command) == (entry.term, entry.data) and not node.paused:
            self._told.append((entry.index, command))
            self.counts["told"] += 1

    def _read(self) -> None:
        """Clients read wherever a copy says that it may."""
        if self._over:
            return
        self.sim.after(READ_MS, self._read)
        for node in list(self.nodes.values()):
            if not node.paused:
                self._read_at(node)

    def _read_at(self, node: Node) -> None:
        copy = node.copy
        if copy is not None and copy.can_serve_read(node.clock(self.sim.now)):
            self.counts["reads"] += 1
            if self._told and copy.commit_index < max(index for index, _ in self._told[-8:]):
                raise BrokenError(f"a read at {node.id} misses what was committed before it was asked")

    def _propose(self) -> None:
        if self._over:
            return
        self.sim.after(self._propose_ms, self._propose)
        for node in list(self.nodes.values()):
            self._one(node)

    def _one(self, node: Node) -> int | None:
        copy = node.copy
        if copy is None or node.paused or copy.role is not Role.LEADER:
            return None
        self._number += 1
        command = b"%d" % self._number
        index = copy.propose(command)
        if index is not None:
            node.proposed[index] = copy.term, command
        self._after(node)
        return index

    def _compact(self) -> None:
        if self._over:
            return
        self.sim.after(COMPACT_MS, self._compact)
        for node in list(self.nodes.values()):
            copy = node.copy
            if copy is not None and not node.paused and copy.commit_index - copy.snapshot_index > 2 * KEEP:
                index = copy.commit_index - KEEP
                body = [
                    entry.data
                    for number in range(1, index + 1)
                    if (entry := self._stands[number]).kind is EntryKind.COMMAND
                ]
                copy.compact(index, b"\n".join(body))
                self._after(node)

    # The group's changes.

    def _keep_whole(self) -> None:
        """Whoever leads takes the next step to a whole group, as a machine that holds copies does (`placing`): every
        machine is wanted, and one whose disk is lost says that it does not hold the old copy."""
        self.sim.after(150.0, self._keep_whole)
        here = {node.name: node for node in self.nodes.values()}
        for node in list(self.nodes.values()):
            copy = node.copy
            if copy is None or node.paused or copy.role is not Role.LEADER:
                continue
            view = GroupView(copy.replica_id, sorted(self._names), self._gone, here, self.plan.copies)
            step = next_step(copy.configuration, view)
            if isinstance(step, AddReplica):
                self.counts["invited"] += 1
                copy.change_configuration(with_learner(copy.configuration, here[step.node].id, step.node))
            elif isinstance(step, ChangeConfiguration):
                self.counts["changes"] += copy.change_configuration(step.configuration)
            elif isinstance(step, TransferLeadership):
                copy.transfer_leadership(node.clock(self.sim.now), step.to)
            self._after(node)

    # SettingsError.

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
        if self._spare > 0:
            kinds += [self._old_disk, self._lost_disk, self._lost_disk]
        kind = rng.choice(kinds)
        self.counts[kind.__name__] += 1
        kind(node)

    def _process_again(self, node: Node) -> None:
        self.crash(node)
        self.sim.after(self.rng.choice((20.0, 1500.0)) * self.rng.random(), self._up, node)

    def _machine_again(self, node: Node) -> None:
        self.crash(node)
        node.doubted = True
        self.sim.after(self.rng.uniform(200, 2500), self._up, node)

    def _up(self, node: Node) -> None:
        if node.copy is None and self.nodes.get(node.id) is node:
            self.start(node, not node.doubted)

    def _all_again(self, _: Node) -> None:
        for node in list(self.nodes.values()):
            self._process_again(node)

    def _pause(self, node: Node) -> None:
        if node.copy is not None and not node.paused:
            node.paused = True
            self.sim.after(self.rng.uniform(100, 3000), self._resume, node, node.copy)

    def _resume(self, node: Node, copy: RaftNode) -> None:
        if node.copy is not copy or not node.paused:
            return
        node.paused = False
        now = node.clock(self.sim.now)
        waiting, node.inbox = node.inbox, []
        if self.rng.random() < 0.5:
            copy.run_due_timers(now)
        for source, message in waiting:
            copy.receive(now, source, message)
            self._read_at(node)  # between two messages of its buffer
        self._after(node)

    def _cut(self, pairs: set[tuple[int, int]]) -> None:
        if self._healed:
            return
        self._cuts |= pairs
        self.sim.after(self.rng.uniform(200, 3000), self._mend, pairs)

    def _mend(self, pairs: set[tuple[int, int]]) -> None:
        self._cuts -= pairs

    def _cut_one_way(self, node: Node) -> None:
        others = [one for one in self.nodes if one != node.id]
        to = self.rng.sample(others, self.rng.randrange(1, len(others) + 1))
        out = self.rng.random() < 0.5
        self._cut({(node.id, one) if out else (one, node.id) for one in to})

    def _cut_off(self, node: Node) -> None:
        others = [one for one in self.nodes if one != node.id]
        self._cut({(node.id, one) for one in others} | {(one, node.id) for one in others})

    def _leader(self) -> Node | None:
        return next(
            (
                node
                for node in self.nodes.values()
                if node.copy is not None and not node.paused and node.copy.role is Role.LEADER
            ),
            None,
        )

    def _leader_alone(self, _: Node) -> None:
        """Cut off, and read from as long as it believes its lease."""
        leader = self._leader()
        if leader is not None:
            self._cut_off(leader)

    def _leader_unheard(self, _: Node) -> None:
        """One of the others does not hear it and would lead; another is started anew at that moment."""
        leader = self._leader()
        others = [node for node in self.nodes.values() if node is not leader and node.copy is not None]
        if leader is None or len(others) < 2:
            return
        deaf, again = self.rng.sample(others, 2)
        self._cut({(leader.id, deaf.id)})
        self.sim.after(self.rng.uniform(300, 900), self._quick_again, again)

    def _quick_again(self, node: Node) -> None:
        if self.nodes.get(node.id) is node and node.copy is not None and not self._healed:
            self.crash(node)
            self.sim.after(2.0, self._up, node)

    def _leader_stands(self, _: Node) -> None:
        """With answers in its buffer, while the others go on without it; what they say of that does not reach it."""
        leader = self._leader()
        if leader is None:
            return
        pairs = {(other, leader.id) for other in self.nodes if other != leader.id}
        self._pause(leader)
        self.sim.after(self.rng.uniform(5, 60), self._cut, pairs)

    def _slow_disk(self, node: Node) -> None:
        node.sync_ms = self.rng.choice((60.0, 500.0))
        self.sim.after(self.rng.uniform(500, 2000), self._quick_disk, node)

    @staticmethod
    def _quick_disk(node: Node) -> None:
        node.sync_ms = 4.0

    def _hand_over(self, _: Node) -> None:
        for node in self.nodes.values():
            if node.copy is not None and not node.paused and node.copy.role is Role.LEADER:
                node.copy.transfer_leadership(node.clock(self.sim.now))
                self._after(node)

    def _lossy(self, _: Node) -> None:
        self._loss = 0.25
        self.sim.after(1500.0, self._less_lossy)

    def _less_lossy(self) -> None:
        self._loss = self.plan.loss

    def _old_disk(self, node: Node) -> None:
        """Its disk is put back as it was a while ago."""
        if node.old is None:
            return
        self._spare -= 1
        self.crash(node)
        node.disk = Disk(replace(node.old, entries=list(node.old.entries)))
        node.restored = node.doubted = node.was_restored = True
        self.sim.after(self.rng.uniform(5, 1500), self._up, node)

    def _copy_disks(self) -> None:
        self.sim.after(900.0, self._copy_disks)
        for node in self.nodes.values():
            node.old = node.disk.copied()

    def _lost_disk(self, node: Node) -> None:
        """The machine comes back with an empty disk: another identity, to be taken in."""
        self._spare -= 1
        self.crash(node)
        del self.nodes[node.id]
        self._gone.add(node.id)
        self._last_id += 1
        fresh = Node(node.name, self._last_id, rate=node.rate, offset=node.offset)
        self.sim.after(self.rng.uniform(50, 2000), self._join, fresh)

    def _people(self) -> None:
        """What staff do about a copy that cannot prove itself for long, since one that would have to tell is lost: they
        vouch for a disk that was not touched, and empty one that was put back."""
        self.sim.after(500.0, self._people)
        for node in list(self.nodes.values()):
            copy = node.copy
            if (
                copy is not None
                and copy.disk_verified
                and copy.is_below_log_floor
                and not node.was_restored
                and self._gone
            ):
                self._vouch(node, copy)  # it waits for what a machine had that is lost
            if copy is None or copy.disk_verified:
                if copy is not None and not node.disk.pending:  # what it was told is durable
                    node.unproven_since, node.doubted, node.restored = None, False, False
            elif node.unproven_since is not None and self.sim.now - node.unproven_since > STAFF_MS and not node.paused:
                if node.restored:
                    self._spare += 1
                    self._lost_disk(node)
                else:
                    self._vouch(node, copy)

    def _vouch(self, node: Node, copy: RaftNode) -> None:
        self.counts["vouched"] += 1
        copy.confirm_disk(node.clock(self.sim.now))
        self._after(node)

    def _join(self, node: Node) -> None:
        self.nodes[node.id] = node
        self.start(node)

    # The play.

    def play(self) -> Counter[str]:
        """All of it; raises BrokenError where a rule is broken."""
        sim, plan = self.sim, self.plan
        for node in self.nodes.values():
            self.start(node)
        for call in (self._propose, self._read, self._compact, self._keep_whole, self._copy_disks, self._people):
            sim.after(1000.0, call)
        for _ in range(plan.faults):
            sim.after(self.rng.uniform(1500, plan.length_ms), self._fault)
        sim.run(sim.now + plan.length_ms)
        self._heal()
        sim.run(sim.now + HEAL_MS)
        self._last()
        return self.counts

    def _heal(self) -> None:
        self._healed = True
        self._cuts.clear()
        self._loss = 0.0
        for node in list(self.nodes.values()):
            node.sync_ms = 4.0
            if node.paused and node.copy is not None:
                self._resume(node, node.copy)
        self._healed_at = len(self._told)

    def _last(self) -> None:
        self._over = True
        if len(self._told) == self._healed_at:
            raise BrokenError(f"nothing was committed in {HEAL_MS:.0f} ms without faults: {self._states()}")
        self.sim.run(self.sim.now + 1500.0)
        leaders = [
            node
            for node in self.nodes.values()
            if node.copy is not None
            and node.copy.role is Role.LEADER
            and node.copy.commit_index
            == max(other.copy.commit_index for other in self.nodes.values() if other.copy is not None)
        ]
        if not leaders:
            raise BrokenError(f"nobody leads at the end: {self._states()}")
        held = set(leaders[0].state)
        missing = [command for _, command in self._told if command not in held]
        if missing:
            raise BrokenError(f"{len(missing)} commands that were told committed are gone, the first {missing[0]!r}")
        if len(held) != len(leaders[0].state):
            raise BrokenError("a command stands twice")

    def _states(self) -> list[Any]:
        return [
            (
                node.id,
                node.copy
                and (
                    node.copy.role.value,
                    node.copy.term,
                    node.copy.last_index,
                    node.copy.commit_index,
                    node.copy.disk_verified,
                    node.copy.configuration,
                ),
            )
            for node in self.nodes.values()
        ]


def _commands(body: bytes) -> list[bytes]:
    return body.split(b"\n") if body else []
