"""Every order of events in a small world of copies: the core that runs on sockets, with nothing drawn.

A state is all that the copies hold in memory and on disk, what is on its way between each pair (in order, as on a
stream), and what may still happen: so many time-outs, beats, commands, crashes and cuts.  From each state every event
that can happen next is tried, and each state is visited once, however it was reached.

Time is not counted here.  A time-out may come at any moment that nothing forbids, and a copy that is asked for its vote
may have heard its leader lately or long ago.  So leases, which rest on clocks, are not explored; the plays in virtual
time hold them (`lab.fleet.groups`).

Reductions, all of which leave every outcome: writes are durable at once but where a crash comes in the middle (what
answers a write leaves after it in any case, and the message's own delay stands for the write's); copies that differ in
nothing but their names are exchanged, so that of states that are the same but for names one is visited; a message that
can change nothing any more, as its term is over, is gone; and who would stand does so without the trial vote, which
only ever keeps a copy from standing.

What must hold in every state: one leader a term; the same entry at the same place wherever it stands; whoever leads a
term holds all that any client was told in an earlier one.
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

NOW = 1e9  # on every clock, always
LONG_AGO = -1e9
Make = Callable[..., RaftNode]
Pair = tuple[int, int]


class BreachError(Exception):
    """A rule does not hold: which, and the events that led there."""


@dataclass(frozen=True, slots=True)
class Budget:
    """What may still happen."""

    timeouts: int = 2
    beats: int = 1
    commands: int = 2
    crashes: int = 1  # of a process, between two events or in the middle of one
    lost: int = 0  # of a machine with its disk, for good
    old: int = 0  # a disk that is put back as it was at the begin: it cannot be proven
    cuts: int = 1  # of one copy from the others, in one direction or both, until healed


@dataclass(slots=True)
class Node:
    """One machine."""

    copy: RaftNode
    kept: PersistentState


@dataclass(slots=True)
class World:
    """One state."""

    nodes: dict[int, Node]
    queues: dict[Pair, tuple[RaftMessage, ...]]
    budget: Budget
    cut: frozenset[Pair]
    leaders: dict[int, int]
    stands: dict[int, LogEntry]
    told: tuple[LogEntry, ...]
    proposed: frozenset[tuple[int, int, int]]  # copy, index, term of what clients wait for

    def clone(self) -> World:
        """Another one, the same."""
        return World(
            {
                number: Node(_clone(node.copy), replace(node.kept, entries=list(node.kept.entries)))
                for number, node in self.nodes.items()
            },
            dict(self.queues),
            self.budget,
            self.cut,
            dict(self.leaders),
            dict(self.stands),
            self.told,
            self.proposed,
        )

    def key(self, names: list[dict[int, int]]) -> int:
        """The same for states from which the same can follow, whatever the copies are called."""
        return min(self._key(name) for name in names)

    def _key(self, name: dict[int, int]) -> int:
        nodes = []
        for number, node in self.nodes.items():
            copy = node.copy
            nodes.append(
                (
                    name[number],
                    copy.term,
                    copy.voted_for and name[copy.voted_for],
                    copy.log.entries,
                    copy.commit_index,
                    copy.role.value,
                    copy.leader and name[copy.leader],
                    copy.disk_verified,
                    copy._log_floor,
                    sorted([name[one] for one in copy._votes]),
                    sorted([name[one] for one in copy._recovery_responses]),
                    sorted([(name[to], peer.next_index, peer.match_index) for to, peer in copy._progress.items()]),
                    copy.leader_contact_at > LONG_AGO,
                )
            )
        nodes.sort(key=_first)
        queues = sorted(
            [(name[source], name[to], queue) for (source, to), queue in self.queues.items() if queue], key=_two
        )
        told = (
            nodes,
            queues,
            self.budget,
            sorted([(name[source], name[to]) for source, to in self.cut]),
            sorted([(term, name[number]) for term, number in self.leaders.items()]),
            sorted(self.stands.items()),
            self.told,
            sorted([(name[number], index, term) for number, index, term in self.proposed]),
        )
        return xxhash.xxh3_128_intdigest(msgspec.msgpack.encode(told))


def _clone(copy: RaftNode) -> RaftNode:
    made: RaftNode = object.__new__(type(copy))
    made.__dict__.update(copy.__dict__)
    made.log = RaftLog(copy.log.entries, copy.log.snapshot)
    made.actions, made._timers = [], TimerQueue()
    made._durability = DurabilityTracker(copy.last_index)
    made._round_sent_at, made._snapshot_chunks = {}, {}
    made._progress = {to: replace(peer) for to, peer in copy._progress.items()}
    made._votes, made._recovery_responses = set(copy._votes), dict(copy._recovery_responses)
    return made


def _first(told: tuple[Any, ...]) -> Any:
    return told[0]


def _two(told: tuple[Any, ...]) -> Any:
    return told[:2]


def _over(message: RaftMessage, copy: RaftNode) -> bool:
    """It can change nothing at this copy, now or later."""
    if isinstance(message, VoteResponse):
        return message.term < copy.term or (
            message.term == copy.term and (not message.granted or copy.role is not Role.CANDIDATE)
        )
    if isinstance(message, AppendEntriesResponse):
        return message.term < copy.term or (message.term == copy.term and copy.role is not Role.LEADER)
    return False


class Explorer:
    """Of one small world."""

    def __init__(self, budget: Budget, copies: int = 3, make: Make = RaftNode) -> None:
        self._make = make
        self._first = Configuration(tuple(range(1, copies + 1)))
        self._budget = budget
        voters = self._first.voters
        self._names = [dict(zip(voters, names, strict=True)) for names in itertools.permutations(voters)]
        self.states = self.events = 0
        self.deepest = 0
        self.leaders = self.told = 0

    def begin(self) -> World:
        """All copies with empty disks, which they know for theirs; none has heard of a leader."""
        nodes = {
            number: Node(self._copy(number, PersistentState()), PersistentState()) for number in self._first.voters
        }
        world = World(nodes, {}, self._budget, frozenset(), {}, {}, (), frozenset())
        for node in nodes.values():
            node.copy.leader_contact_at = LONG_AGO
        return world

    def _copy(self, number: int, kept: PersistentState, proven: bool = True) -> RaftNode:
        made = self._make(
            number,
            replace(kept, entries=list(kept.entries)),
            self._first,
            RaftSettings(),
            random.Random(1),
            NOW,
            proven,
        )
        made._timers = TimerQueue()
        return made

    # What can happen.

    def next(self, world: World) -> Iterator[tuple[str, World]]:
        """Every event, with the state after it."""
        budget = world.budget
        first = not world.leaders and budget.timeouts == self._budget.timeouts
        for pair, queue in sorted(world.queues.items()):
            if queue:
                yield from self._delivered(world, pair, queue)
        for number, node in sorted(world.nodes.items()):
            copy = node.copy
            if budget.timeouts and copy.role is not Role.LEADER and copy.can_campaign and (not first or number == 1):
                yield from self._event(world, number, f"{number} hears no leader", _stands, timeouts=1)
            if copy.role is Role.LEADER:
                if budget.commands:
                    yield from self._event(world, number, f"{number} is asked", _asked, commands=1)
                if budget.beats:
                    yield from self._event(world, number, f"{number} beats", _beats, beats=1)
            if budget.crashes and not first:
                after = world.clone()
                after.budget = replace(budget, crashes=budget.crashes - 1)
                self._again(after, number, True)
                yield f"{number} ends and starts again", after
            if budget.lost and not first:
                after = world.clone()
                after.budget = replace(budget, lost=budget.lost - 1)
                self._down(after, number)
                del after.nodes[number]
                yield f"{number} is lost with its disk", after
            if budget.old and not first:
                after = world.clone()
                after.budget = replace(budget, old=budget.old - 1)
                after.nodes[number].kept = PersistentState()
                self._again(after, number, False)
                yield f"{number} comes back with the disk of the begin", after
            if budget.cuts and not world.cut and not first:
                others = [other for other in world.nodes if other != number]
                out, back = {(number, other) for other in others}, {(other, number) for other in others}
                for name, pairs in (("unheard", out), ("deaf", back), ("cut off", out | back)):
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

    def _delivered(self, world: World, pair: Pair, queue: tuple[RaftMessage, ...]) -> Iterator[tuple[str, World]]:
        source, to = pair
        message = queue[0]
        if to not in world.nodes:
            return
        lately = [True]
        if isinstance(message, RequestVote) and world.nodes[to].copy.leader_contact_at > LONG_AGO:
            lately = [True, False]
        for heard in lately:

            def event(copy: RaftNode, heard: bool = heard) -> None:
                if not heard:
                    copy.leader_contact_at = LONG_AGO
                copy.receive(NOW, source, message)

            name = f"{to} gets {type(message).__name__} of {source}" + ("" if heard else ", long after its leader")
            yield from self._event(world, to, name, event, popped=pair)

    def _event(
        self,
        world: World,
        number: int,
        name: str,
        event: Callable[[RaftNode], None],
        popped: Pair | None = None,
        **spent: int,
    ) -> Iterator[tuple[str, World]]:
        """One event at one copy, and the same with a crash in the middle of it."""
        after = world.clone()
        after.budget = replace(
            world.budget, **{what: getattr(world.budget, what) - count for what, count in spent.items()}
        )
        if popped is not None:
            after.queues[popped] = after.queues[popped][1:]
        broken = after.clone() if after.budget.crashes else None
        node = after.nodes[number]
        event(node.copy)
        if "commands" in spent:
            after.proposed |= {(number, node.copy.last_index, node.copy.term)}
        writes = sum(isinstance(action, DurableWrite) for action in node.copy.actions)
        self._after(after, number)
        yield name, after
        for kept in range(writes if broken is not None else 0):
            assert broken is not None
            crashed = broken.clone()
            crashed.budget = replace(crashed.budget, crashes=crashed.budget.crashes - 1)
            node = crashed.nodes[number]
            event(node.copy)
            for action in node.copy.actions:
                if isinstance(action, Send):  # what waits for no write may have left
                    self._send(crashed, number, action.to, action.message)
            for write in [action for action in node.copy.actions if isinstance(action, DurableWrite)][:kept]:
                apply_write(node.kept, write)
            self._again(crashed, number, True)
            yield f"{name}, and ends with {kept} of {writes} writes", crashed

    def _again(self, world: World, number: int, proven: bool) -> None:
        """A process begins anew from its disk; what was on its way to the old one is gone."""
        self._down(world, number)
        kept = world.nodes[number].kept
        world.nodes[number].copy = self._copy(number, kept, proven)
        if not proven:
            world.nodes[number].copy._query_recovery(NOW)
        self._after(world, number)

    @staticmethod
    def _down(world: World, number: int) -> None:
        for pair in [pair for pair in world.queues if pair[1] == number]:
            del world.queues[pair]
        world.proposed = frozenset(one for one in world.proposed if one[0] != number)

    @staticmethod
    def _send(world: World, source: int, to: int, message: RaftMessage) -> None:
        pair = source, to
        if pair in world.cut or to not in world.nodes:
            return
        if getattr(message, "round", 0):
            message = msgspec.structs.replace(message, round=1)  # rounds only matter to leases
        queue = world.queues.get(pair, ())
        if queue or not _over(message, world.nodes[to].copy):
            world.queues[pair] = (*queue, message)

    def _after(self, world: World, number: int) -> None:
        """Carry out what a copy wants; its writes become durable."""
        node = world.nodes[number]
        copy = node.copy
        while copy.actions:
            actions, copy.actions = copy.actions, []
            ticket = None
            for action in actions:
                if isinstance(action, Send):
                    self._send(world, number, action.to, action.message)
                elif isinstance(action, DurableWrite):
                    apply_write(node.kept, action)
                    ticket = action.sequence
                elif isinstance(action, EntryCommitted):
                    self._committed(world, number, action.entry)
                elif isinstance(action, RoleChanged):
                    self._became(world, number, action)
                else:
                    assert isinstance(action, SnapshotInstalled)
            if ticket is not None:
                copy.write_completed(NOW, ticket)
        for (source, to), queue in list(world.queues.items()):
            while to == number and queue and _over(queue[0], copy):
                queue = world.queues[source, to] = queue[1:]
        # What only counts tickets, rounds and times.
        copy._timers = TimerQueue()
        copy._durability = DurabilityTracker(copy.last_index)
        copy._round_sent_at.clear()
        copy._round, copy._quorum_contact_at, copy.lease_expires_at, copy._recovery_nonce = 1, NOW, 0.0, 1
        for peer in copy._progress.values():
            peer.acked_round = 0

    # What must hold.

    def _became(self, world: World, number: int, became: RoleChanged) -> None:
        if became.role is not Role.LEADER:
            return
        if world.leaders.setdefault(became.term, number) != number:
            raise BreachError(f"{world.leaders[became.term]} and {number} both lead term {became.term}")
        copy = world.nodes[number].copy
        for entry in world.told:
            if entry.term < became.term and copy.log.entry(entry.index) != entry:
                raise BreachError(f"{number} leads term {became.term} without entry {entry.index}, which was told")

    @staticmethod
    def _committed(world: World, number: int, entry: LogEntry) -> None:
        if world.stands.setdefault(entry.index, entry) != entry:
            raise BreachError(
                f"entry {entry.index} stands as of term {world.stands[entry.index].term}, at {number} as "
                f"of term {entry.term}"
            )
        asked = number, entry.index, entry.term
        if entry.kind is EntryKind.COMMAND and asked in world.proposed:
            world.proposed -= {asked}
            world.told = (*world.told, entry)

    # The search.

    def run(self, most: int = 1 << 62, depth: int = 1 << 30) -> bool:
        """Visit every state; False where `most` of them were not enough.  Raises BreachError with the story."""
        begin = self.begin()
        seen = {begin.key(self._names)}
        stack: list[tuple[Iterator[tuple[str, World]], str]] = [(self.next(begin), "")]
        while stack:
            try:
                step = next(stack[-1][0], None)
            except (BreachError, AssertionError) as error:  # the core holds some of this itself
                told = [name for _, name in stack if name]
                raise BreachError(f"{error}, after: " + "; ".join(told)) from None
            if step is None:
                stack.pop()
                continue
            self.events += 1
            name, world = step
            key = world.key(self._names)
            if key in seen:
                continue
            if len(seen) >= most:
                return False
            seen.add(key)
            self.states = len(seen)
            self.deepest = max(self.deepest, len(stack))
            self.leaders = max(self.leaders, len(world.leaders))
            self.told = max(self.told, len(world.told))
            if len(stack) < depth:
                stack.append((self.next(world), name))
        return True


def _stands(copy: RaftNode) -> None:
    copy.leader_contact_at = LONG_AGO
    copy._start_election(NOW)


def _asked(copy: RaftNode) -> None:
    copy.propose(b"%d.%d" % (copy.replica_id, copy.term))


def _beats(copy: RaftNode) -> None:
    copy._heartbeat(NOW, copy.term)
