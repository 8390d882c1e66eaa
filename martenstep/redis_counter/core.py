"""What the calls to the store do: no I/O, no clock.  Times are milliseconds of any one clock.

Each name has a register: the sum of what this door's life ever added to it, under a version that only grows.  A call
states the sum (`script.py`), so it may be sent again after a lost answer, and whatever was left uncertain is settled by
any later statement of the same name.  What the module is told follows from that:

| what happened | verdict | was it added |
| --- | --- | --- |
| the total came back | OK | yes, once |
| no place in the queue, or its time ended before it was written, or the store turned it down | FULL | no |
| no way to the store, or its breaker is open | CONNECT_FAILED | no |
| written, and no answer in its time | TIMEOUT | once, by now or by a later statement |

Without scripts it falls back to plain adds, which are never sent twice: a TIMEOUT may then have been added or not, and
contents that were lost are not noticed.

A statement tells what the register held before.  Less than the door knows to have been there proves that the store
lost contents or went back to older ones: each name of that node is then stated once more, and what the others had used
is taken to be no less than was last told, until their own statements have come.

A total that bounds a ceiling comes with a proof: for how long the node is known to have lost nothing.  The proof is a
register of this door's own, the witness: it is stated in front of a name that is asked for the first time, and found
as it was left.  What it cannot show, that a replica took over which had it and not the newest of the others, goes with
a broken connection: with each that is opened the proof begins anew.  Names that are stated again need no witness, since
their own register is one.  A store that evicts names keeps no proof: it is to run with `noeviction`.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from martenstep.backoff import Backoff
from martenstep.policy.messages import CallResult
from martenstep.redis_counter.slots import SLOTS, slot_of

MAX_BATCH = 64  # statements in one write at most: more would make the last wait for the first
MAX_RESTATED = 32  # of those, statements made anew after a loss: calls keep their place
MAX_ATTEMPTS = 5  # a call is redirected or asked to come again so often at most
FAILURES_TO_OPEN_CIRCUIT = 4  # failures in a row after which a node is left alone
MIN_RETRY_MS, MAX_RETRY_MS = 20.0, 400.0  # between attempts on a node that fails
HEALTH_CHECK_INTERVAL_MS = 250.0  # a node that was told nothing for so long is asked whether it still has what it had
TOPOLOGY_QUERY_INTERVAL_MS = 50.0  # the topology is asked for no more often
MOVING_SLOT_RETRY_MS = 5.0  # a slot that is under way
RESTATE_PAUSE_MS = 100.0  # a store that turns down what is stated anew is left alone with that for so long
WITNESS_TTL_MS = 3_600_000.0  # of a witness; past half of it there is a new one, and the proof begins anew
MAX_WITNESS_DRAWS = 20_000  # names drawn until one stands at the node that it is to prove
MAX_REGISTERS = 200_000  # registers at once: past that a new name is turned away, since none may be forgotten
SWEEP_INTERVAL_MS = 1000.0
NODE_ERRORS = ("LOADING", "BUSY", "MASTERDOWN", "CLUSTERDOWN", "READONLY", "NOAUTH")  # the node fails, not the call
NO_SCRIPT_ERRORS = ("NOPERM", "unknown command")


class ConnectionId(NamedTuple):
    """One connection to one node."""

    node: str
    number: int


METRIC_NAMES = {result: result.name for result in CallResult} | {  # names that operators' dashboards know
    CallResult.OVERLOADED: "FULL",
    CallResult.NOT_SENT: "MOOT",
}


@dataclass(slots=True, eq=False)
class Operation:
    """One statement, or one plain add, on its way."""

    key: int
    units: float
    call: int | None
    deadline_ms: float
    version: int = 0  # 0: not stated yet
    total: float = 0.0
    known_version: int = 0  # the version that the store was known to hold when this was written
    ttl_ms: int = 0
    indeterminate: bool = False  # it was written once, and no answer came
    asking: bool = False
    attempts: int = 0
    needs_proof: bool = False  # its total is to come with a proof


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Connect."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Drop the connection; what it may still say is nobody's."""

    connection: ConnectionId


@dataclass(frozen=True, slots=True)
class WriteOperations:
    """Send these in one write; each is answered in turn."""

    connection: ConnectionId
    operations: tuple[Operation, ...]
    load_script: bool  # the script first
    plain: bool


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """The answer to a call."""

    call: int
    result: CallResult
    total: float
    retained_ms: float = 0.0  # for so long the node has lost nothing, as far as is proved


@dataclass(frozen=True, slots=True)
class QueryTopology:
    """Ask for the topology."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """A line for the log."""

    event: str
    fields: dict[str, object]


Action = OpenConnection | CloseConnection | WriteOperations | AnswerCall | QueryTopology | LogEvent


@dataclass(frozen=True, slots=True)
class StatementReply:
    """A statement's answer: the name's total, and the version that the register held before; -1 after a plain add."""

    total: float
    previous_version: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """An error that the store answered with."""

    text: str

    @property
    def code(self) -> str:
        """Its first word."""
        return self.text.split(" ", 1)[0]


@dataclass(slots=True)
class Register:
    """What this door's life added to one name."""

    expires_ms: float  # the name is forgotten then
    sum: float = 0.0
    version: int = 0
    acknowledged_version: int = 0  # the newest version that the store told of
    others_total: float = 0.0  # of the last total, what is not this door's
    others_floor: float = 0.0  # the others had used no less, whatever a store that lost contents says
    generation: int = 0  # of the node's contents, when it last answered for this name
    proved_chain: int = 0  # the chain of proofs that its last answer was part of


class _Lane:
    def __init__(self, lane: ConnectionId, node: _Node) -> None:
        self.lane, self.node = lane, node
        self.ready = self.opening = False
        self.queue: deque[Operation] = deque()
        self.restore: OrderedDict[int, None] = OrderedDict()
        self.out: deque[Operation] = deque()
        self.again: list[Operation] = []  # answered with a reason to send them again, once the rest is answered
        self.since = 0.0  # the write that is out
        self.first_end = math.inf  # of the calls in it: when the first one's time ends
        self.first = 0.0  # the queue's first came
        self.not_before = -math.inf  # nothing is written
        self.rest_until = -math.inf  # nothing is stated anew
        self.newest: int | None = None  # the name that was answered last
        self.load = True
        self.witnessed = False  # the witness of the write that is out was found as it was left

    @property
    def busy(self) -> bool:
        return bool(self.out) or self.opening


class _Node:
    def __init__(self, name: str, options: CoreOptions, rng: random.Random) -> None:
        self.name = name
        self.lanes = [_Lane(ConnectionId(name, index), self) for index in range(options.connections_per_node)]
        self.failures = 0
        self.backoff = Backoff(MIN_RETRY_MS, MAX_RETRY_MS, rng)
        self.closed_until = -math.inf
        self.plain = not options.scripts  # adds, not statements
        self.generation = 0  # of its contents, no other node's
        self.noted = 0  # the generation whose loss was told of
        self.heard = -math.inf
        self.witness = -1  # the name of this door's own that proves what is kept
        self.chain = 1  # of proofs: another with each connection that is opened, and with each loss
        self.proved = 0  # the chain that the witness was last found in
        self.kept_since = math.inf

    @property
    def broken(self) -> bool:
        return self.failures >= FAILURES_TO_OPEN_CIRCUIT

    @property
    def busy(self) -> bool:
        return any(lane.busy for lane in self.lanes)


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """Figures of the settings."""

    timeout_ms: float = 50.0
    connections_per_node: int = 4  # connections to each node
    max_pending: int = 1000  # calls that one lane holds
    gather_ms: float = 0.0  # a call waits so long for others to share its write
    key_prefix: str = "mstep:"
    scripts: bool = True
    dynamic_topology: bool = False  # whether the nodes can change, and are to be asked for


class Core:
    """The calls of one door's life to the store."""

    def __init__(self, options: CoreOptions, rng: random.Random) -> None:
        self._options, self._rng = options, rng
        self._nodes: dict[str, _Node] = {}
        self._slots: list[str] = []  # node by slot; one alone where there are no slots
        self._told: list[str] = []  # the same as the topology had it, without what MOVED told since
        self._generation = 0
        self._registers: dict[int, Register] = {}  # the newest name is last
        self._homeless: deque[Operation] = deque()  # until the topology is known
        self._version = 0
        self._actions: deque[Action] = deque()
        self._learned = self._swept = -math.inf
        self.counts: Counter[str] = Counter()

    # What happens ---------------------------------------------------------------------------------------

    def set_topology(self, now: float, slots: list[str]) -> None:
        """Node by slot, or one node for all; what stood at nodes that are gone is sent to the new ones."""
        before, self._told, self._slots = self._told, list(slots), list(slots)
        for node_name in dict.fromkeys(slots):
            self._node(node_name)
        gone = [self._nodes.pop(name) for name in list(self._nodes) if name not in set(slots)]
        if before and before != slots:
            for name, register in self._registers.items():
                at = self._node_of(name)
                if at is not None and register.version and self._of(before, name) != at.name:
                    register.generation = 0  # what is there now was not seen yet
                    at.chain += 1
                    self._lane_of(name, at).restore[name] = None
        for node in gone:
            for lane in node.lanes:
                self._actions.append(CloseConnection(lane.lane))
                self._cut(now, lane)
                for op in lane.queue:
                    self._queue(now, op)
                for name in lane.restore:
                    self._restate(name)
        while self._homeless:
            self._queue(now, self._homeless.popleft())
        self._turn(now)

    def add(self, now: float, call: int, name: int, units: float, expire_ms: float, proof: bool = False) -> None:
        """One call: told once, within the time-out."""
        if name not in self._registers:
            if len(self._registers) >= MAX_REGISTERS:
                self._tell(call, CallResult.OVERLOADED)
                return
            self._registers[name] = Register(now + expire_ms)
        self._queue(now, Operation(name, units, call, now + self._options.timeout_ms, needs_proof=proof))
        self._turn(now)

    def on_opened(self, now: float, at: ConnectionId) -> None:
        """A connection stands."""
        lane = self._lane(at)
        if lane is None or not lane.opening:
            self._actions.append(CloseConnection(at))
            return
        lane.opening, lane.ready, lane.load = False, True, True
        lane.rest_until = -math.inf
        lane.node.chain += 1
        self._witness(now, lane)
        self._turn(now)

    def on_connect_failed(self, now: float, at: ConnectionId, error: str) -> None:
        """A connection was not to be had."""
        lane = self._lane(at)
        if lane is not None and lane.opening:
            lane.opening = False
            self._failed(now, lane, error)
            waiting, lane.queue = lane.queue, deque()
            for op in waiting:  # none of them has a way out
                self._drop(op, CallResult.CONNECT_FAILED)
            self._turn(now)

    def on_connection_lost(self, now: float, at: ConnectionId, error: str) -> None:
        """A connection broke."""
        lane = self._lane(at)
        if lane is not None and lane.ready:
            if lane.out:
                self._failed(now, lane, error)
            else:  # by itself: every door's at once, so that each looks after what it had at a time of its own
                lane.rest_until = now + HEALTH_CHECK_INTERVAL_MS * self._rng.random()
            self._cut(now, lane)
            self._witness(now, lane)
            self._turn(now)

    def on_reply(self, now: float, at: ConnectionId, result: StatementReply | StoreError) -> None:
        """The answer to the first that is out."""
        lane = self._lane(at)
        if lane is None or not lane.out:
            return
        op = lane.out.popleft()
        if isinstance(result, StatementReply):
            self._held(now, lane, op, result)
        else:
            self._fault(now, lane, op, result)
        if not lane.out and lane.again:
            again, lane.again = lane.again, []
            for op in reversed(again):
                self._queue(now, op, first=True)
        self._turn(now)

    def on_timer(self, now: float) -> None:
        """Time has passed."""
        for node in list(self._nodes.values()):
            for lane in node.lanes:
                self._expire(now, lane)
            if self._probe_at(node) <= now:
                for lane in node.lanes:
                    if lane.ready or node.broken:
                        self._witness(now, lane)
                node.heard = now
        while self._homeless and self._homeless[0].deadline_ms <= now:
            self._drop(self._homeless.popleft(), CallResult.CONNECT_FAILED)
        if now - self._swept >= SWEEP_INTERVAL_MS:
            self._swept = now
            busy = {op.key for lane in self._lanes() for op in (*lane.queue, *lane.out, *lane.again)}
            for name in [n for n, r in self._registers.items() if r.expires_ms <= now and n not in busy]:
                del self._registers[name]
        self._turn(now)

    def take_actions(self) -> Iterator[Action]:
        """What is to be done, in order."""
        while self._actions:
            yield self._actions.popleft()

    def next_timer_ms(self, now: float) -> float:
        """When `wake` is needed next; infinity for never."""
        at = math.inf
        for lane in self._lanes():
            if lane.out:
                at = min(at, lane.since + self._options.timeout_ms, lane.first_end)
            if lane.queue:
                at = min(at, lane.queue[0].deadline_ms)
            if not lane.busy and (lane.queue or lane.restore):
                at = min(at, self._may_at(lane))
        for node in self._nodes.values():
            at = min(at, self._probe_at(node))
        if self._homeless:
            at = min(at, self._homeless[0].deadline_ms, self._learned + TOPOLOGY_QUERY_INTERVAL_MS)
        return max(at, now) if at < math.inf else at

    @property
    def settled(self) -> bool:
        """Whether the store has all that was added, as far as this door knows."""
        return not any(lane.queue or lane.out or lane.restore for lane in self._lanes())

    def _may_at(self, lane: _Lane) -> float:
        """When a lane with something to send may open or write."""
        node = lane.node
        if node.broken and node.busy:
            return math.inf  # its end is an event
        closed = node.closed_until if node.broken or not lane.ready else -math.inf
        calls = lane.first + self._options.gather_ms if lane.queue and lane.ready else -math.inf
        if len(lane.queue) >= MAX_BATCH:
            calls = -math.inf
        return max(closed, lane.not_before, calls if lane.queue else lane.rest_until)

    def _probe_at(self, node: _Node) -> float:
        """When a node is asked whether it still has what it had: one that is left alone as soon as it may be asked."""
        if node.busy or not any(lane.newest is not None and (lane.ready or node.broken) for lane in node.lanes):
            return math.inf
        if any(lane.restore for lane in node.lanes):
            return math.inf  # it is being asked
        return node.closed_until if node.broken else node.heard + HEALTH_CHECK_INTERVAL_MS

    # Where things go ------------------------------------------------------------------------------------

    def _of(self, slots: list[str], name: int) -> str:
        return slots[slot_of(self.store_key(name)) if len(slots) == SLOTS else 0]

    def store_key(self, name: int) -> bytes:
        """The store's key of a name."""
        return f"{self._options.key_prefix}{name:x}".encode()

    def _node_of(self, name: int) -> _Node | None:
        return self._nodes.get(self._of(self._slots, name)) if self._slots else None

    def _lane_of(self, name: int, node: _Node) -> _Lane:
        return node.lanes[name % len(node.lanes)]

    def _lane(self, at: ConnectionId) -> _Lane | None:
        node = self._nodes.get(at.node)
        return node.lanes[at.number] if node is not None else None

    def _node(self, name: str) -> _Node:
        found = self._nodes.get(name)
        if found is None:
            found = self._nodes[name] = _Node(name, self._options, self._rng)
            self._anew(found)
        return found

    def _anew(self, node: _Node) -> None:
        self._generation += 1
        node.generation = self._generation

    def _lanes(self) -> Iterable[_Lane]:
        return (lane for node in self._nodes.values() for lane in node.lanes)

    def _queue(self, now: float, op: Operation, first: bool = False) -> None:
        node = self._node_of(op.key)
        if node is None:
            if len(self._homeless) >= self._options.max_pending:
                self._drop(op, CallResult.OVERLOADED)
                return
            self._homeless.append(op)
            self._learn(now)
            return
        lane = self._lane_of(op.key, node)
        if node.broken and op.call is not None and (node.closed_until > now or node.busy or self._newest(now, lane)):
            # Its one trial is a statement of what it had, where there is any: no request waits for it.
            self._drop(op, CallResult.CONNECT_FAILED)
        elif first:
            self._insert(lane, op)
        elif len(lane.queue) + len(lane.out) >= self._options.max_pending:
            self._drop(op, CallResult.OVERLOADED)
        else:
            if not lane.queue:
                lane.first = now
            self._insert(lane, op)

    @staticmethod
    def _insert(lane: _Lane, op: Operation) -> None:
        """Keep the queue in the order in which the calls' times end; of equals, one that was sent before is first."""
        queue = lane.queue
        if (
            not queue
            or op.deadline_ms > queue[-1].deadline_ms
            or (op.deadline_ms == queue[-1].deadline_ms and not op.attempts + op.indeterminate)
        ):
            queue.append(op)
        elif op.deadline_ms <= queue[0].deadline_ms:
            queue.appendleft(op)
        else:
            queue.insert(bisect_left(queue, op.deadline_ms, key=lambda other: other.deadline_ms), op)

    def _newest(self, now: float, lane: _Lane) -> int | None:
        """The name of a lane that was answered last: a store that kept this one kept all that came before it."""
        name = lane.newest
        register = self._registers.get(name) if name is not None else None
        if name is None or register is None or register.expires_ms <= now or self._node_of(name) is not lane.node:
            name = lane.newest = None
        return next(iter(lane.restore), None) if name is None else name

    def _proof(self, now: float, node: _Node) -> Operation | None:
        """A statement of the node's witness; None where no name for one stands there."""
        held = self._registers.get(node.witness)
        if held is None or held.expires_ms - now < WITNESS_TTL_MS / 2 or self._node_of(node.witness) is not node:
            drawn = (self._rng.getrandbits(62) for _ in range(MAX_WITNESS_DRAWS))
            name = next((name for name in drawn if self._node_of(name) is node), None)
            if name is None:
                return None
            self._registers[name] = Register(now + WITNESS_TTL_MS)
            node.witness, node.chain = name, node.chain + 1
        self.counts["witnesses"] += 1
        return Operation(node.witness, 0.0, None, math.inf)

    def _witness(self, now: float, lane: _Lane) -> None:
        """Ask whether what was there last is there still."""
        name = self._newest(now, lane)
        if name is not None:
            lane.restore[name] = None
            lane.restore.move_to_end(name, last=False)

    # What goes out --------------------------------------------------------------------------------------

    def _turn(self, now: float) -> None:
        """Let every lane do what it can."""
        for lane in self._lanes():
            if lane.busy or not (lane.queue or lane.restore) or self._may_at(lane) > now:
                continue
            if lane.ready:
                self._write(now, lane)
            else:
                lane.opening = True
                self._actions.append(OpenConnection(lane.lane))

    def _write(self, now: float, lane: _Lane) -> None:
        plain = lane.node.plain
        batch: list[Operation] = []
        while lane.queue and len(batch) < MAX_BATCH:
            op = lane.queue.popleft()
            if op.deadline_ms <= now:
                self._drop(op, CallResult.OVERLOADED)
                continue
            batch.append(op)
        lane.first = now
        lane.witnessed = False
        if not plain and any(op.needs_proof and self._unproved(lane.node, op.key) for op in batch):
            witness = self._proof(now, lane.node)
            batch[:0] = [witness] if witness is not None else []
        stated = {op.key for op in batch}
        for _ in range(min(len(lane.restore), MAX_RESTATED) if lane.rest_until <= now else 0):
            name, _ = lane.restore.popitem(last=False)
            register = self._registers.get(name)
            if plain or register is None or register.expires_ms <= now or name in stated:
                continue
            batch.append(Operation(name, 0.0, None, math.inf))
            self.counts["stated again"] += 1
        if not batch:
            return
        for op in batch:
            register = self._registers.setdefault(op.key, Register(now + SWEEP_INTERVAL_MS))
            if not plain and not op.version:
                if op.units or not register.version:  # who has only read has a register too: it proves a loss
                    self._version += 1
                    register.sum, register.version = register.sum + op.units, self._version
                op.version, op.total = register.version, register.sum
            op.known_version, op.ttl_ms = register.acknowledged_version, max(round(register.expires_ms - now), 1)
        lane.out.extend(batch)
        lane.since = now
        lane.first_end = min(op.deadline_ms for op in batch)
        self.counts["writes"] += 1
        self.counts["statements"] += len(batch)
        self._actions.append(WriteOperations(lane.lane, tuple(batch), lane.load and not plain, plain))
        lane.load = False

    def _unproved(self, node: _Node, name: int) -> bool:
        register = self._registers.get(name)
        return register is None or register.proved_chain != node.chain

    # What comes back ------------------------------------------------------------------------------------

    def _held(self, now: float, lane: _Lane, op: Operation, held: StatementReply) -> None:
        node = lane.node
        node.heard = now
        if node.failures:
            node.failures, node.closed_until = 0, -math.inf
            node.backoff.succeeded()
        register = self._registers.get(op.key)
        if held.previous_version < 0 or register is None:
            self._tell(op.call, CallResult.OK, held.total)
            return
        if held.previous_version < op.known_version:
            self._lost_contents(node, op, register.generation == node.generation)
        if op.key == node.witness:
            lane.witnessed = True
            if node.proved != node.chain:
                node.proved, node.kept_since = node.chain, now
        if lane.witnessed and node.proved == node.chain:
            register.proved_chain = node.chain
        if register.generation != node.generation:
            register.others_floor = max(register.others_floor, register.others_total)
            register.generation = node.generation
        told = held.total
        if held.previous_version <= op.version:
            others = held.total - op.total
            told = op.total + max(others, register.others_floor)
            if others >= register.others_floor:
                register.others_floor, register.others_total = 0.0, others
        register.acknowledged_version = max(register.acknowledged_version, op.version, held.previous_version)
        lane.newest = op.key
        if register.version > register.acknowledged_version and not self._coming(lane, op.key):
            lane.restore[op.key] = None  # a statement of it went missing
        kept = now - node.kept_since if register.proved_chain == node.chain == node.proved else 0.0
        self._tell(op.call, CallResult.OK, told, max(kept, 0.0))

    @staticmethod
    def _coming(lane: _Lane, name: int) -> bool:
        return any(other.key == name and other.version for other in (*lane.out, *lane.again, *lane.queue))

    def _lost_contents(self, node: _Node, op: Operation, anew: bool) -> None:
        """The store does not hold what it held: state all that this door has there, once."""
        if anew:  # else it is the loss that is known
            self._anew(node)
            node.chain += 1
            for name in reversed(self._registers):  # the newest names matter most
                if name != op.key and self._registers[name].version and self._node_of(name) is node:
                    self._lane_of(name, node).restore[name] = None
        if node.noted != node.generation:
            node.noted = node.generation
            self.counts["losses"] += 1
            names = sum(len(lane.restore) for lane in node.lanes) + 1
            self._actions.append(LogEvent("store lost contents", {"node": node.name, "names": names}))

    def _fault(self, now: float, lane: _Lane, op: Operation, fault: StoreError) -> None:
        """The store did not do it; whether it may have done so before is known from `uncertain`."""
        node, code = lane.node, fault.code
        self.counts[f"fault {code}"] += 1
        op.attempts += 1
        if code in NODE_ERRORS:
            self._failed(now, lane, code)
        else:
            node.heard = now
        if op.call is not None and op.version and op.units and not op.indeterminate:
            self._take_back(lane, op)
        turn = op.attempts <= MAX_ATTEMPTS and op.deadline_ms > now
        if code == "NOSCRIPT":
            lane.load = True
        elif self._options.scripts and any(word in fault.text for word in NO_SCRIPT_ERRORS):
            if not node.plain:
                node.plain = True
                self._actions.append(LogEvent("store without scripts", {"node": node.name, "error": fault.text}))
        elif code == "ASK" and turn and self._slot_told(fault) is not None:
            self._elsewhere(now, op, fault)
            return
        elif code == "MOVED" and (slot := self._slot_told(fault)) is not None:
            there = self._node(fault.text.split()[2])
            self._slots[slot], there.chain = there.name, there.chain + 1
            self._learn(now)
        elif code == "TRYAGAIN":
            lane.not_before = now + MOVING_SLOT_RETRY_MS
        elif code in ("READONLY", "CLUSTERDOWN") and self._options.dynamic_topology:
            self._learn(now)
            lane.not_before = now + MOVING_SLOT_RETRY_MS
        else:
            turn = False
        if turn and (op.call is not None or op.version):
            lane.again.append(op)
        elif op.call is not None:
            self._drop(op, CallResult.OVERLOADED)
        register = self._registers.get(op.key)
        if not turn and register is not None and register.version > register.acknowledged_version:
            lane.rest_until = max(lane.rest_until, now + RESTATE_PAUSE_MS)
            self._restate(op.key)

    def _take_back(self, lane: _Lane, op: Operation) -> None:
        """A statement was turned down, so its units were not added: later ones leave them out."""
        register = self._registers[op.key]
        self._version += 1
        register.sum, register.version, op.version = register.sum - op.units, self._version, 0
        if self._coming(lane, op.key):
            self._restate(op.key)  # what is behind it was stated with these units

    def _slot_told(self, fault: StoreError) -> int | None:
        """The slot of a redirection; None where it is none that can be followed."""
        words = fault.text.split()
        good = len(words) == 3 and words[1].isdigit() and int(words[1]) < len(self._slots) == SLOTS
        return int(words[1]) if good else None

    def _elsewhere(self, now: float, op: Operation, fault: StoreError) -> None:
        """Another node has the name for this one time."""
        op.asking = True
        if op.call is None:
            op.deadline_ms = now + self._options.timeout_ms
        self.counts["asked elsewhere"] += 1
        there = self._node(fault.text.split()[2])
        there.chain += 1
        self._insert(self._lane_of(op.key, there), op)

    def _failed(self, now: float, lane: _Lane, error: str) -> None:
        node = lane.node
        was = node.broken
        node.failures += 1
        if node.broken:
            node.closed_until = now + node.backoff.failed()
            if not was:
                self.counts["breaks"] += 1
                self._actions.append(LogEvent("store node left alone", {"node": node.name, "error": error}))
        else:
            node.closed_until = now + MIN_RETRY_MS * self._rng.uniform(0.0, 1.0)
        if self._options.dynamic_topology:
            self._learn(now)

    def _cut(self, now: float, lane: _Lane) -> None:
        """A connection is gone, and what was out with it is uncertain."""
        lane.ready = lane.opening = False
        for op in lane.out:
            op.indeterminate = True
        out = [*lane.again, *lane.out]
        lane.again.clear()
        lane.out.clear()
        for op in reversed(out):
            op.asking = False
            if not op.indeterminate:
                self._insert(lane, op)
            elif lane.node.plain or op.deadline_ms <= now or op.call is None:
                self._drop(op, CallResult.TIMEOUT)
            else:
                self.counts["sent again"] += 1
                self._insert(lane, op)

    def _expire(self, now: float, lane: _Lane) -> None:
        for op in lane.out:
            if op.deadline_ms <= now and op.call is not None:
                self._tell(op.call, CallResult.TIMEOUT)
                op.call = None
        for op in [op for op in lane.again if op.deadline_ms <= now]:
            lane.again.remove(op)
            self._drop(op, CallResult.OVERLOADED)
        lane.first_end = min(
            (op.deadline_ms for op in (*lane.out, *lane.again) if op.call is not None), default=math.inf
        )
        while lane.queue and lane.queue[0].deadline_ms <= now:
            op = lane.queue.popleft()
            self._drop(op, CallResult.OVERLOADED)
        if lane.out and now - lane.since >= self._options.timeout_ms:
            self._actions.append(CloseConnection(lane.lane))
            self._failed(now, lane, "no answer in time")
            self._cut(now, lane)

    def _drop(self, op: Operation, verdict: CallResult) -> None:
        """An operation ends without an answer; one that was written once may have been done, and is stated again."""
        self._tell(op.call, CallResult.TIMEOUT if op.indeterminate else verdict)
        op.call = None
        if op.indeterminate:
            self._restate(op.key)

    def _restate(self, name: int) -> None:
        node = self._node_of(name)
        if node is not None and name in self._registers and self._registers[name].version:
            self._lane_of(name, node).restore[name] = None

    def _tell(self, call: int | None, verdict: CallResult, total: float = 0.0, kept_ms: float = 0.0) -> None:
        if call is not None:
            self.counts[METRIC_NAMES[verdict]] += 1
            self._actions.append(AnswerCall(call, verdict, total, kept_ms))

    def _learn(self, now: float) -> None:
        if self._options.dynamic_topology and now - self._learned >= TOPOLOGY_QUERY_INTERVAL_MS:
            self._learned = now
            self._actions.append(QueryTopology())
