"""Several doors' stores and one Redis in virtual time: every message is delivered, lost or late as the test says."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from martenstep.policy.messages import CallResult
from martenstep.redis_counter import script
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import (
    Action,
    AddCall,
    AnswerCall,
    CloseConnection,
    ConnectionId,
    CoreOptions,
    LogEvent,
    OpenConnection,
    Operation,
    QueryTopology,
    StatementReply,
    StoreError,
    WriteOperations,
)
from martenstep.standins.redis.keyspace import Keyspace, Session, Value
from martenstep.standins.resp import ErrorReply

NODE = "store"
TIMEOUT_MS = 50.0


@dataclass
class Wire:
    """One connection: what is on its way to the store, and back."""

    door: int
    lane: ConnectionId
    there: deque[WriteOperations] = field(default_factory=deque)
    back: deque[StatementReply | StoreError] = field(default_factory=deque)
    open: bool = True  # seen from the door; what is on its way to the store may arrive all the same


class World:
    """Doors, one store, and the connections between them."""

    def __init__(self, doors: int, lanes: int = 1, scripts: bool = True, seed: int = 1) -> None:
        self.now = 1_000_000.0
        self.keys = Keyspace()
        self.session = Session(0)
        self.error = ""
        self.refuses = False
        self.options = CoreOptions(timeout_ms=TIMEOUT_MS, connections_per_node=lanes, scripts=scripts)
        self.cores = [Core(self.options, random.Random(seed + n)) for n in range(doors)]
        self.lives = [1] * doors
        self.wires: list[Wire] = []
        self.opening: list[tuple[int, ConnectionId]] = []
        self.told: dict[int, tuple[CallResult, float]] = {}
        self.kept: dict[int, float] = {}  # for so long the store had lost nothing, as that call was told
        self.calls: dict[int, tuple[int, int, float, float]] = {}  # door, name, units, when
        self.notes: list[str] = []
        self.totals = True  # units are never below 0, so that totals can be judged
        self.seen: dict[tuple[int, int], float] = {}  # the highest total that a door was told of a name
        for number, core in enumerate(self.cores):
            core.set_topology(self.now, [NODE])
            self._act(number)

    # What the test does ------------------------------------------------------------------------------------

    def add(self, door: int, name: int, units: float, expire_ms: float = 1e9, proof: bool = False) -> int:
        """One call; gives its number."""
        call = len(self.calls) + 1
        self.calls[call] = door, name, units, self.now
        self.cores[door].add(self.now, AddCall(call, name, units, expire_ms, proof))
        self._act(door)
        return call

    def restart(self, door: int) -> None:
        """A door is killed, and its next life begins; what it wrote may still arrive."""
        for wire in self.wires:
            wire.open = wire.open and wire.door != door
        self.opening = [one for one in self.opening if one[0] != door]
        self.lives[door] += 1
        self.cores[door] = Core(self.options, random.Random(self.lives[door] * 1009 + door))
        self.cores[door].set_topology(self.now, [NODE])
        self._act(door)

    def pass_time(self, ms: float) -> None:
        """Time goes on, in the steps that the doors ask for."""
        until, spins = self.now + ms, 0
        while True:
            at = min(core.next_timer_ms(self.now) for core in self.cores)
            if at > until:
                break
            before = self.now
            self.now = max(at, self.now)
            for number, core in enumerate(self.cores):
                if core.next_timer_ms(self.now) <= self.now:
                    core.on_timer(self.now)
                    self._act(number)
            if self.now == before:
                spins += 1
                assert spins < 10, "asks to be woken at once, again and again"
            else:
                spins = 0
        self.now = until
        for number, core in enumerate(self.cores):
            core.on_timer(self.now)
            self._act(number)

    def connect(self) -> None:
        """Every connection that is being opened comes to stand, or is refused."""
        opening, self.opening = self.opening, []
        for door, lane in opening:
            if self.refuses:
                self.cores[door].on_connect_failed(self.now, lane, "refused")
            else:
                self.wires.append(Wire(door, lane))
                self.cores[door].on_opened(self.now, lane)
            self._act(door)

    def arrive(self, wire: Wire) -> None:
        """The first write of a connection reaches the store."""
        write = wire.there.popleft()
        if write.load_script:
            self.keys.run(self.session, self.now, [b"SCRIPT", b"LOAD", script.LUA.encode()])
        for op in write.operations:
            reply = self._run(wire.door, op, write.plain)
            if wire.open:
                wire.back.append(reply)

    def answer(self, wire: Wire, count: int = 10_000) -> None:
        """So many replies of a connection reach its door."""
        while wire.back and count:
            reply = wire.back.popleft()
            count -= 1
            if wire.open:
                self.cores[wire.door].on_reply(self.now, wire.lane, reply)
                self._act(wire.door)

    def cut(self, wire: Wire) -> None:
        """The door loses a connection; what it wrote may still arrive."""
        if wire.open:
            wire.open = False
            self.cores[wire.door].on_connection_lost(self.now, wire.lane, "broke")
            self._act(wire.door)

    def deliver(self) -> None:
        """Everything that is on its way arrives, oldest connection first."""
        self.connect()
        for wire in list(self.wires):
            while wire.there:
                self.arrive(wire)
            self.answer(wire)
        self.wires = [wire for wire in self.wires if wire.open or wire.there]

    def quiet(self) -> None:
        """All is well, and long enough for everything to be settled."""
        self.error, self.refuses = "", False
        for _ in range(400):
            self.deliver()
            self.pass_time(10.0)
            if (
                all(core.settled for core in self.cores)
                and not self.opening
                and not any(wire.there or wire.back for wire in self.wires)
            ):
                # Once more after a probe: a loss that nobody noticed yet is noticed by it.
                for _ in range(80):
                    self.pass_time(10.0)
                    self.deliver()
                if all(core.settled for core in self.cores):
                    return
        raise AssertionError("never quiet")

    def copy(self) -> list[tuple[int, bytes, Value, float]]:
        """What a replica holds now."""
        return list(self.keys.contents())

    def go_back(self, contents: list[tuple[int, bytes, Value, float]]) -> None:
        """The store is what it was."""
        self.keys.empty()
        for entry in contents:
            self.keys.take(*entry)

    # What holds ----------------------------------------------------------------------------------------------

    def total(self, name: int) -> float:
        """What the store holds of a name."""
        value = self.keys.run(self.session, self.now, [b"HGET", self.cores[0].store_key(name), b"t"])
        assert value is None or isinstance(value, bytes)
        return float(value or 0)

    def counted(self, name: int, *verdicts: CallResult) -> float:
        """Units of the calls for a name that were told so."""
        return sum(
            units
            for call, (_, called, units, _) in self.calls.items()
            if called == name and self.told[call][0] in verdicts
        )

    # What the doors do -----------------------------------------------------------------------------------------

    def _run(self, door: int, op: Operation, plain: bool) -> StatementReply | StoreError:
        if self.error:
            return StoreError(self.error)
        key = self.cores[0].store_key(op.key)
        if plain:
            total = self.keys.run(self.session, self.now, [b"HINCRBYFLOAT", key, b"t", b"%.17g" % op.units])
            self.keys.run(self.session, self.now, [b"PEXPIRE", key, b"%d" % op.ttl_ms, b"NX"])
            return StoreError(str(total)) if isinstance(total, ErrorReply) else StatementReply(float(total), -1)  # type: ignore[arg-type]
        reply = self.keys.run(
            self.session,
            self.now,
            [
                b"EVALSHA",
                script.DIGEST.encode(),
                b"1",
                key,
                b"door-%d:%d" % (door, self.lives[door]),
                b"%d" % op.version,
                b"%.17g" % op.total,
                b"%d" % op.ttl_ms,
            ],
        )
        if isinstance(reply, ErrorReply):
            return StoreError(str(reply))
        assert isinstance(reply, list) and isinstance(reply[0], bytes) and isinstance(reply[1], bytes)
        return StatementReply(float(reply[0]), int(reply[1]))

    def _act(self, door: int) -> None:
        for action in self.cores[door].take_actions():
            self._do(door, action)

    def _do(self, door: int, action: Action) -> None:
        match action:
            case AnswerCall():
                assert action.call not in self.told, "told twice"
                number, name, _, at = self.calls[action.call]
                assert number == door, "another door's call"
                assert self.now <= at + TIMEOUT_MS + 0.5, "told after its time"
                self.told[action.call] = action.result, action.total
                self.kept[action.call] = action.retained_ms
                if action.result is CallResult.OK and self.totals:
                    most = sum(units for _, called, units, _ in self.calls.values() if called == name)
                    assert action.total <= most + 1e-6, "a total beyond all that was ever added"
                    assert action.total >= self.seen.get((door, name), 0.0) - 1e-6, "a total that fell"
                    self.seen[door, name] = action.total
            case WriteOperations():
                [wire] = [
                    wire for wire in self.wires if wire.open and (wire.door, wire.lane) == (door, action.connection)
                ]
                assert not wire.there and not wire.back, "two writes out on one connection"
                wire.there.append(action)
            case OpenConnection():
                assert (door, action.connection) not in self.opening, "opened twice"
                self.opening.append((door, action.connection))
            case CloseConnection():
                for wire in self.wires:
                    if (wire.door, wire.lane) == (door, action.connection):
                        wire.open = False
                if (door, action.connection) in self.opening:
                    self.opening.remove((door, action.connection))
            case LogEvent():
                self.notes.append(action.event)
            case QueryTopology():
                pass
