"""Model checker of the Raft core: runs the production core through every order of events in a small replica group.

A state is all that the replicas hold in memory and on disk, the messages in transit between each pair (in order, as on
a stream), and the budget of what may still happen: timeouts, heartbeats, commands, crashes and network cuts.  From each
state every event that can happen next is tried, and each state is visited once, however it was reached.

Time is not modelled.  A timeout may occur whenever nothing forbids it, and a replica that receives a vote request may
have had contact with its leader recently or long ago.  Leases depend on clocks and so are not explored here; the
simulations in virtual time check them (`lab.fleet.groups`).

Reductions, none of which removes an outcome:
- Writes are durable at once unless a crash occurs between them.  A reply to a write is sent after the write in any
  case, and the delay of the message covers the delay of the write.
- Of states that differ only in the names of the replicas, one is visited.
- A message that can no longer change anything, because its term is over, is dropped.
- A candidate starts its election without the pre-vote, which can only prevent an election.

Invariants in every state: there is one leader a term; committed entries at the same index are equal at all replicas;
the leader of a term holds every entry that was acknowledged to a client in an earlier term.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import xxhash

from martenstep.replication.messages import (
    AppendEntriesResponse,
    Configuration,
    EntryKind,
    LogEntry,
    RaftMessage,
    RequestVote,
    VoteResponse,
)
from martenstep.replication.raft import (
    DurableWrite,
    EntryCommitted,
    PersistentState,
    RaftLog,
    RaftNode,
    RaftSettings,
    Role,
    RoleChanged,
    Send,
    SnapshotInstalled,
)
from martenstep.replication.raft.durability import DurabilityTracker
from martenstep.replication.raft.timers import TimerQueue
from martenstep.replication.replica_storage import apply_write

NOW = 1e9  # the constant time of every clock
LONG_AGO = -1e9
NodeFactory = Callable[..., RaftNode]
Pair = tuple[int, int]


class InvariantError(Exception):
    """An invariant is violated; the message names it and the events that led there."""


@dataclass(frozen=True, slots=True)
class Budget:
    """How many events of each kind may still happen."""

    timeouts: int = 2
    heartbeats: int = 1
    commands: int = 2
    crashes: int = 1  # of a process, between two events or in the middle of one
    lost: int = 0  # machines lost with their disks, permanently
    reverted: int = 0  # disks replaced by their initial state, whose content cannot be verified
    cuts: int = 1  # of one replica from the others, in one direction or both, until healed


@dataclass(slots=True)
class Node:
    """One machine: the replica in memory, and what its disk holds."""

    replica: RaftNode
    disk: PersistentState


@dataclass(slots=True)
class World:
    """One state of the replica group."""

    nodes: dict[int, Node]
    queues: dict[Pair, tuple[RaftMessage, ...]]
    budget: Budget
    cut: frozenset[Pair]
    leaders: dict[int, int]
    committed: dict[int, LogEntry]
    acknowledged: tuple[LogEntry, ...]
    proposed: frozenset[tuple[int, int, int]]  # replica, index and term of the commands that clients wait for

    def clone(self) -> World:
        """A duplicate that can be changed independently."""
        return World(
            {
                number: Node(_clone(node.replica), replace(node.disk, entries=list(node.disk.entries)))
                for number, node in self.nodes.items()
            },
            dict(self.queues),
            self.budget,
            self.cut,
            dict(self.leaders),
            dict(self.committed),
            self.acknowledged,
            self.proposed,
        )

    def key(self, names: list[dict[int, int]]) -> int:
        """A hash that is equal for states that differ only in the names of the replicas."""
        return min(self._key(name) for name in names)

    def _key(self, name: dict[int, int]) -> int:
        nodes = []
        for number, node in self.nodes.items():
            replica = node.replica
            nodes.append(
                (
                    name[number],
                    replica.term,
                    replica.voted_for and name[replica.voted_for],
                    replica.log.entries,
                    replica.commit_index,
                    replica.role.value,
                    replica.leader and name[replica.leader],
                    replica.disk_verified,
                    replica._log_floor,
                    sorted([name[one] for one in replica._votes]),
                    sorted([name[one] for one in replica._recovery_responses]),
                    sorted([(name[to], peer.next_index, peer.match_index) for to, peer in replica._progress.items()]),
                    replica.leader_contact_at > LONG_AGO,
                )
            )
        nodes.sort(key=_first_field)
        queues = sorted(
            [(name[source], name[to], queue) for (source, to), queue in self.queues.items() if queue],
            key=_first_two_fields,
        )
        fields = (
            nodes,
            queues,
            self.budget,
            sorted([(name[source], name[to]) for source, to in self.cut]),
            sorted([(term, name[number]) for term, number in self.leaders.items()]),
            sorted(self.committed.items()),
            self.acknowledged,
            sorted([(name[number], index, term) for number, index, term in self.proposed]),
        )
        return xxhash.xxh3_128_intdigest(msgspec.msgpack.encode(fields))


def _clone(replica: RaftNode) -> RaftNode:
    clone: RaftNode = object.__new__(type(replica))
    clone.__dict__.update(replica.__dict__)
    clone.log = RaftLog(replica.log.entries, replica.log.snapshot)
    clone.actions, clone._timers = [], TimerQueue()
    clone._durability = DurabilityTracker(replica.last_index)
    clone._round_sent_at, clone._snapshot_chunks = {}, {}
    clone._progress = {to: replace(peer) for to, peer in replica._progress.items()}
    clone._votes, clone._recovery_responses = set(replica._votes), dict(replica._recovery_responses)
    return clone


def _first_field(fields: tuple[Any, ...]) -> Any:
    return fields[0]


def _first_two_fields(fields: tuple[Any, ...]) -> Any:
    return fields[:2]


def _is_obsolete(message: RaftMessage, replica: RaftNode) -> bool:
    """Whether a message can no longer change anything at this replica: the term of the message is over, or the replica
    has left the role that the response is for."""
    if isinstance(message, VoteResponse):
        return message.term < replica.term or (
            message.term == replica.term and (not message.granted or replica.role is not Role.CANDIDATE)
        )
    if isinstance(message, AppendEntriesResponse):
        return message.term < replica.term or (message.term == replica.term and replica.role is not Role.LEADER)
    return False


class Explorer:
    """Visits the states of one replica group."""

    def __init__(self, budget: Budget, replicas: int = 3, node_factory: NodeFactory = RaftNode) -> None:
        self._node_factory = node_factory
        self._bootstrap = Configuration(tuple(range(1, replicas + 1)))
        self._budget = budget
        voters = self._bootstrap.voters
        self._names = [dict(zip(voters, names, strict=True)) for names in itertools.permutations(voters)]
        self.states = self.events = 0
        self.max_depth = 0
        self.leaders = self.acknowledged = 0

    def initial(self) -> World:
        """The initial state: all replicas have empty, verified disks, and none has had contact with a leader."""
        nodes = {
            number: Node(self._new_replica(number, PersistentState()), PersistentState())
            for number in self._bootstrap.voters
        }
        world = World(nodes, {}, self._budget, frozenset(), {}, {}, (), frozenset())
        for node in nodes.values():
            node.replica.leader_contact_at = LONG_AGO
        return world

    def _new_replica(self, number: int, disk: PersistentState, verified: bool = True) -> RaftNode:
        replica = self._node_factory(
            number,
            replace(disk, entries=list(disk.entries)),
            self._bootstrap,
            RaftSettings(),
            random.Random(1),
            NOW,
            verified,
        )
        replica._timers = TimerQueue()
        return replica

    # Events.

    def next(self, world: World) -> Iterator[tuple[str, World]]:
        """Every event that can happen next, with the state after it."""
        budget = world.budget
        first = not world.leaders and budget.timeouts == self._budget.timeouts
        for pair, queue in sorted(world.queues.items()):
            if queue:
                yield from self._deliver(world, pair, queue)
        for number, node in sorted(world.nodes.items()):
            replica = node.replica
            if (
                budget.timeouts
                and replica.role is not Role.LEADER
                and replica.can_campaign
                and (not first or number == 1)
            ):
                yield from self._event(world, number, f"{number} times out", _start_election, timeouts=1)
            if replica.role is Role.LEADER:
                if budget.commands:
                    yield from self._event(world, number, f"{number} gets a command", _propose, commands=1)
                if budget.heartbeats:
                    yield from self._event(world, number, f"{number} sends heartbeats", _send_heartbeats, heartbeats=1)
            if budget.crashes and not first:
                after = world.clone()
                after.budget = replace(budget, crashes=budget.crashes - 1)
                self._restart(after, number, True)
                yield f"{number} crashes and restarts", after
            if budget.lost and not first:
                after = world.clone()
                after.budget = replace(budget, lost=budget.lost - 1)
                self._lose_messages(after, number)
                del after.nodes[number]
                yield f"{number} is lost with its disk", after
            if budget.reverted and not first:
                after = world.clone()
                after.budget = replace(budget, reverted=budget.reverted - 1)
                after.nodes[number].disk = PersistentState()
                self._restart(after, number, False)
                yield f"{number} restarts with its initial disk", after
            if budget.cuts and not world.cut and not first:
                others = [other for other in world.nodes if other != number]
                out, back = {(number, other) for other in others}, {(other, number) for other in others}
                for name, pairs in (("send-partitioned", out), ("receive-partitioned", back), ("cut off", out | back)):
                    after = world.clone()
                    after.budget = replace(budget, cuts=budget.cuts - 1)
                    after.cut = frozenset(pairs)
                    for pair in pairs:
                        after.queues.pop(pair, None)
                    yield f"{number} is {name}", after
        if world.cut:
            after = world.clone()
            after.cut = frozenset()
            yield "the cut is healed", after

    def _deliver(self, world: World, pair: Pair, queue: tuple[RaftMessage, ...]) -> Iterator[tuple[str, World]]:
        source, to = pair
        message = queue[0]
        if to not in world.nodes:
            return
        contacts = [True]
        if isinstance(message, RequestVote) and world.nodes[to].replica.leader_contact_at > LONG_AGO:
            contacts = [True, False]
        for recent_contact in contacts:

            def event(replica: RaftNode, recent_contact: bool = recent_contact) -> None:
                if not recent_contact:
                    replica.leader_contact_at = LONG_AGO
                replica.receive(NOW, source, message)

            name = f"{to} gets {type(message).__name__} from {source}"
            if not recent_contact:
                name += ", long after contact with its leader"
            yield from self._event(world, to, name, event, delivered=pair)

    def _event(
        self,
        world: World,
        number: int,
        name: str,
        event: Callable[[RaftNode], None],
        delivered: Pair | None = None,
        **costs: int,
    ) -> Iterator[tuple[str, World]]:
        """One event at one replica, and the same event with a crash before its writes are complete."""
        after = world.clone()
        after.budget = replace(
            world.budget, **{what: getattr(world.budget, what) - count for what, count in costs.items()}
        )
        if delivered is not None:
            after.queues[delivered] = after.queues[delivered][1:]
        before_event = after.clone() if after.budget.crashes else None
        node = after.nodes[number]
        event(node.replica)
        if "commands" in costs:
            after.proposed |= {(number, node.replica.last_index, node.replica.term)}
        writes = sum(isinstance(action, DurableWrite) for action in node.replica.actions)
        self._execute_actions(after, number)
        yield name, after
        for completed in range(writes if before_event is not None else 0):
            assert before_event is not None
            crashed = before_event.clone()
            crashed.budget = replace(crashed.budget, crashes=crashed.budget.crashes - 1)
            node = crashed.nodes[number]
            event(node.replica)
            for action in node.replica.actions:
                if isinstance(action, Send):  # a message that does not wait for a write may have been sent
                    self._send(crashed, number, action.to, action.message)
            for write in [action for action in node.replica.actions if isinstance(action, DurableWrite)][:completed]:
                apply_write(node.disk, write)
            self._restart(crashed, number, True)
            yield f"{name}, and crashes after {completed} of {writes} writes", crashed

    def _restart(self, world: World, number: int, verified: bool) -> None:
        """Start a process from its disk; messages in transit to the previous process are lost."""
        self._lose_messages(world, number)
        disk = world.nodes[number].disk
        world.nodes[number].replica = self._new_replica(number, disk, verified)
        if not verified:
            world.nodes[number].replica._query_recovery(NOW)
        self._execute_actions(world, number)

    @staticmethod
    def _lose_messages(world: World, number: int) -> None:
        for pair in [pair for pair in world.queues if pair[1] == number]:
            del world.queues[pair]
        world.proposed = frozenset(one for one in world.proposed if one[0] != number)

    @staticmethod
    def _send(world: World, source: int, to: int, message: RaftMessage) -> None:
        pair = source, to
        if pair in world.cut or to not in world.nodes:
            return
        if getattr(message, "round", 0):
            message = msgspec.structs.replace(message, round=1)  # rounds only affect leases
        queue = world.queues.get(pair, ())
        if queue or not _is_obsolete(message, world.nodes[to].replica):
            world.queues[pair] = (*queue, message)

    def _execute_actions(self, world: World, number: int) -> None:
        """Execute the actions of a replica; its writes become durable."""
        node = world.nodes[number]
        replica = node.replica
        while replica.actions:
            actions, replica.actions = replica.actions, []
            write_number = None
            for action in actions:
                if isinstance(action, Send):
                    self._send(world, number, action.to, action.message)
                elif isinstance(action, DurableWrite):
                    apply_write(node.disk, action)
                    write_number = action.sequence
                elif isinstance(action, EntryCommitted):
                    self._check_commit(world, number, action.entry)
                elif isinstance(action, RoleChanged):
                    self._check_leader(world, number, action)
                else:
                    assert isinstance(action, SnapshotInstalled)
            if write_number is not None:
                replica.write_completed(NOW, write_number)
        for (source, to), queue in list(world.queues.items()):
            while to == number and queue and _is_obsolete(queue[0], replica):
                queue = world.queues[source, to] = queue[1:]
        # Reset what only counts writes, rounds and times, so that equal states have equal keys.
        replica._timers = TimerQueue()
        replica._durability = DurabilityTracker(replica.last_index)
        replica._round_sent_at.clear()
        replica._round, replica._quorum_contact_at, replica.lease_expires_at, replica._recovery_nonce = 1, NOW, 0.0, 1
        for peer in replica._progress.values():
            peer.acked_round = 0

    # Invariants.

    def _check_leader(self, world: World, number: int, became: RoleChanged) -> None:
        if became.role is not Role.LEADER:
            return
        if world.leaders.setdefault(became.term, number) != number:
            raise InvariantError(f"{world.leaders[became.term]} and {number} both lead term {became.term}")
        replica = world.nodes[number].replica
        for entry in world.acknowledged:
            if entry.term < became.term and replica.log.entry(entry.index) != entry:
                raise InvariantError(
                    f"{number} leads term {became.term} without entry {entry.index}, which was acknowledged to a client"
                )

    @staticmethod
    def _check_commit(world: World, number: int, entry: LogEntry) -> None:
        if world.committed.setdefault(entry.index, entry) != entry:
            raise InvariantError(
                f"entry {entry.index} is committed with term {world.committed[entry.index].term}, and at {number} "
                f"with term {entry.term}"
            )
        command = number, entry.index, entry.term
        if entry.kind is EntryKind.COMMAND and command in world.proposed:
            world.proposed -= {command}
            world.acknowledged = (*world.acknowledged, entry)

    # The search.

    def run(self, max_states: int = 1 << 62, depth: int = 1 << 30) -> bool:
        """Visit every state; False if there are more than `max_states`.  Raises InvariantError with the sequence of
        events that led to the violation."""
        initial = self.initial()
        seen = {initial.key(self._names)}
        stack: list[tuple[Iterator[tuple[str, World]], str]] = [(self.next(initial), "")]
        while stack:
            try:
                step = next(stack[-1][0], None)
            except (InvariantError, AssertionError) as error:  # the core asserts some invariants itself
                names = [name for _, name in stack if name]
                raise InvariantError(f"{error}, after: " + "; ".join(names)) from None
            if step is None:
                stack.pop()
                continue
            self.events += 1
            name, world = step
            key = world.key(self._names)
            if key in seen:
                continue
            if len(seen) >= max_states:
                return False
            seen.add(key)
            self.states = len(seen)
            self.max_depth = max(self.max_depth, len(stack))
            self.leaders = max(self.leaders, len(world.leaders))
            self.acknowledged = max(self.acknowledged, len(world.acknowledged))
            if len(stack) < depth:
                stack.append((self.next(world), name))
        return True


def _start_election(replica: RaftNode) -> None:
    replica.leader_contact_at = LONG_AGO
    replica._start_election(NOW)


def _propose(replica: RaftNode) -> None:
    replica.propose(b"%d.%d" % (replica.replica_id, replica.term))


def _send_heartbeats(replica: RaftNode) -> None:
    replica._heartbeat(NOW, replica.term)
