"""Simulates several gateways' counter cores and one Redis in virtual time.

The test decides which messages are delivered, delayed or lost.
"""

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
class SimulatedConnection:
    """One connection, with the messages in transit in each direction."""

    gateway: int
    id: ConnectionId
    to_store: deque[WriteOperations] = field(default_factory=deque)
    to_gateway: deque[StatementReply | StoreError] = field(default_factory=deque)
    open: bool = True  # as the gateway sees it; writes in transit may still reach the store after it is closed


class CounterSimulator:
    """The cores of several gateways, one store, and the connections between them."""

    def __init__(self, gateways: int, connections_per_node: int = 1, scripts: bool = True, seed: int = 1) -> None:
        self.now = 1_000_000.0
        self.keyspace = Keyspace()
        self.session = Session(0)
        self.store_error = ""  # the error reply to every operation; empty: none
        self.refuses_connections = False
        self.options = CoreOptions(timeout_ms=TIMEOUT_MS, connections_per_node=connections_per_node, scripts=scripts)
        self.cores = [Core(self.options, random.Random(seed + n)) for n in range(gateways)]
        self.epochs = [1] * gateways
        self.connections: list[SimulatedConnection] = []
        self.opening: list[tuple[int, ConnectionId]] = []
        self.answers: dict[int, tuple[CallResult, float]] = {}  # result and total, by call
        self.retained_ms: dict[int, float] = {}  # by call: for how long the store was proved to have lost nothing
        self.calls: dict[int, tuple[int, int, float, float]] = {}  # gateway, key, units, time
        self.logged_events: list[str] = []
        self.check_totals = True  # possible only while no call adds negative units
        self.highest_totals: dict[tuple[int, int], float] = {}  # by gateway and key, as answered to calls
        for number, core in enumerate(self.cores):
            core.set_topology(self.now, [NODE])
            self._perform_actions(number)

    # Actions of the test -----------------------------------------------------------------------------------

    def add(self, gateway: int, key: int, units: float, ttl_ms: float = 1e9, needs_proof: bool = False) -> int:
        """Make one call; returns its number."""
        call = len(self.calls) + 1
        self.calls[call] = gateway, key, units, self.now
        self.cores[gateway].add(self.now, AddCall(call, key, units, ttl_ms, needs_proof))
        self._perform_actions(gateway)
        return call

    def restart(self, gateway: int) -> None:
        """Kill a gateway and start its next epoch; its earlier writes may still reach the store."""
        for connection in self.connections:
            connection.open = connection.open and connection.gateway != gateway
        self.opening = [entry for entry in self.opening if entry[0] != gateway]
        self.epochs[gateway] += 1
        self.cores[gateway] = Core(self.options, random.Random(self.epochs[gateway] * 1009 + gateway))
        self.cores[gateway].set_topology(self.now, [NODE])
        self._perform_actions(gateway)

    def advance_time(self, ms: float) -> None:
        """Advance the time, and call each core's timer when it is due."""
        until, repeats = self.now + ms, 0
        while True:
            at = min(core.next_timer_ms(self.now) for core in self.cores)
            if at > until:
                break
            before = self.now
            self.now = max(at, self.now)
            for number, core in enumerate(self.cores):
                if core.next_timer_ms(self.now) <= self.now:
                    core.on_timer(self.now)
                    self._perform_actions(number)
            if self.now == before:
                repeats += 1
                assert repeats < 10, "a core requests its timer at the same time again and again"
            else:
                repeats = 0
        self.now = until
        for number, core in enumerate(self.cores):
            core.on_timer(self.now)
            self._perform_actions(number)

    def finish_connecting(self) -> None:
        """Establish or refuse every connection that is being opened."""
        opening, self.opening = self.opening, []
        for gateway, connection_id in opening:
            if self.refuses_connections:
                self.cores[gateway].on_connect_failed(self.now, connection_id, "refused")
            else:
                self.connections.append(SimulatedConnection(gateway, connection_id))
                self.cores[gateway].on_opened(self.now, connection_id)
            self._perform_actions(gateway)

    def deliver_write(self, connection: SimulatedConnection) -> None:
        """Deliver the first write in transit on a connection to the store."""
        write = connection.to_store.popleft()
        if write.load_script:
            self.keyspace.run(self.session, self.now, [b"SCRIPT", b"LOAD", script.LUA.encode()])
        for operation in write.operations:
            reply = self._run(connection.gateway, operation, write.plain)
            if connection.open:
                connection.to_gateway.append(reply)

    def deliver_replies(self, connection: SimulatedConnection, count: int = 10_000) -> None:
        """Deliver the first `count` replies in transit on a connection to its gateway."""
        while connection.to_gateway and count:
            reply = connection.to_gateway.popleft()
            count -= 1
            if connection.open:
                self.cores[connection.gateway].on_reply(self.now, connection.id, reply)
                self._perform_actions(connection.gateway)

    def break_connection(self, connection: SimulatedConnection) -> None:
        """Break a connection for its gateway; writes in transit may still reach the store."""
        if connection.open:
            connection.open = False
            self.cores[connection.gateway].on_connection_lost(self.now, connection.id, "broke")
            self._perform_actions(connection.gateway)

    def deliver_all(self) -> None:
        """Open all connections, and deliver all messages in transit, the oldest connection first."""
        self.finish_connecting()
        for connection in list(self.connections):
            while connection.to_store:
                self.deliver_write(connection)
            self.deliver_replies(connection)
        self.connections = [connection for connection in self.connections if connection.open or connection.to_store]

    def settle(self) -> None:
        """End all faults, and run until every statement is settled."""
        self.store_error, self.refuses_connections = "", False
        for _ in range(400):
            self.deliver_all()
            self.advance_time(10.0)
            if (
                all(core.settled for core in self.cores)
                and not self.opening
                and not any(connection.to_store or connection.to_gateway for connection in self.connections)
            ):
                # A health check may now detect a loss that no gateway has detected yet, which is then settled too.
                for _ in range(80):
                    self.advance_time(10.0)
                    self.deliver_all()
                if all(core.settled for core in self.cores):
                    return
        raise AssertionError("the statements were not settled")

    def copy_contents(self) -> list[tuple[int, bytes, Value, float]]:
        """Return the contents that a replica holds now."""
        return list(self.keyspace.contents())

    def restore_contents(self, contents: list[tuple[int, bytes, Value, float]]) -> None:
        """Replace the store's contents by earlier ones."""
        self.keyspace.empty()
        for entry in contents:
            self.keyspace.apply_change(*entry)

    # Figures for checks --------------------------------------------------------------------------------------

    def stored_total(self, key: int) -> float:
        """Return the total that the store holds for a key."""
        value = self.keyspace.run(self.session, self.now, [b"HGET", self.cores[0].store_key(key), b"t"])
        assert value is None or isinstance(value, bytes)
        return float(value or 0)

    def units_answered(self, key: int, *results: CallResult) -> float:
        """Return the units of the calls for a key that were answered with one of the results."""
        return sum(
            units
            for call, (_, called_key, units, _) in self.calls.items()
            if called_key == key and self.answers[call][0] in results
        )

    # Actions of the gateways -----------------------------------------------------------------------------------

    def _run(self, gateway: int, operation: Operation, plain: bool) -> StatementReply | StoreError:
        if self.store_error:
            return StoreError(self.store_error)
        key = self.cores[0].store_key(operation.key)
        if plain:
            total = self.keyspace.run(self.session, self.now, [b"HINCRBYFLOAT", key, b"t", b"%.17g" % operation.units])
            self.keyspace.run(self.session, self.now, [b"PEXPIRE", key, b"%d" % operation.ttl_ms, b"NX"])
            return StoreError(str(total)) if isinstance(total, ErrorReply) else StatementReply(float(total), -1)  # type: ignore[arg-type]
        reply = self.keyspace.run(
            self.session,
            self.now,
            [
                b"EVALSHA",
                script.DIGEST.encode(),
                b"1",
                key,
                b"door-%d:%d" % (gateway, self.epochs[gateway]),
                b"%d" % operation.version,
                b"%.17g" % operation.total,
                b"%d" % operation.ttl_ms,
            ],
        )
        if isinstance(reply, ErrorReply):
            return StoreError(str(reply))
        assert isinstance(reply, list) and isinstance(reply[0], bytes) and isinstance(reply[1], bytes)
        return StatementReply(float(reply[0]), int(reply[1]))

    def _perform_actions(self, gateway: int) -> None:
        for action in self.cores[gateway].take_actions():
            self._perform(gateway, action)

    def _perform(self, gateway: int, action: Action) -> None:
        match action:
            case AnswerCall():
                assert action.call not in self.answers, "the call was answered twice"
                caller, key, _, called_at = self.calls[action.call]
                assert caller == gateway, "a core answered a call of another gateway"
                assert self.now <= called_at + TIMEOUT_MS + 0.5, "the call was answered after its timeout"
                self.answers[action.call] = action.result, action.total
                self.retained_ms[action.call] = action.retained_ms
                if action.result is CallResult.OK and self.check_totals:
                    requested = sum(units for _, called_key, units, _ in self.calls.values() if called_key == key)
                    assert action.total <= requested + 1e-6, "the total exceeds all units that calls requested"
                    highest = self.highest_totals.get((gateway, key), 0.0)
                    assert action.total >= highest - 1e-6, "the total is below an earlier one"
                    self.highest_totals[gateway, key] = action.total
            case WriteOperations():
                [connection] = [
                    connection
                    for connection in self.connections
                    if connection.open and (connection.gateway, connection.id) == (gateway, action.connection)
                ]
                in_transit = connection.to_store or connection.to_gateway
                assert not in_transit, "a second write on a connection before the first was answered"
                connection.to_store.append(action)
            case OpenConnection():
                assert (gateway, action.connection) not in self.opening, "the connection is being opened already"
                self.opening.append((gateway, action.connection))
            case CloseConnection():
                for connection in self.connections:
                    if (connection.gateway, connection.id) == (gateway, action.connection):
                        connection.open = False
                if (gateway, action.connection) in self.opening:
                    self.opening.remove((gateway, action.connection))
            case LogEvent():
                self.logged_events.append(action.event)
            case QueryTopology():
                pass
