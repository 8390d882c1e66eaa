"""What the calls to the store do: no I/O, no clock.  Times are milliseconds of any one clock.

Each key has a register: the sum of what this gateway's epoch ever added to it, under a version that only grows.  A call
states the sum (`script.py`), so it may be sent again after a lost answer, and whatever was left indeterminate is
settled by any later statement of the same key.  What the caller is told follows from that:

| what happened | result | was it added |
| --- | --- | --- |
| the total came back | OK | yes, once |
| no capacity in the queue, or its time ended before it was written, or the store rejected it | OVERLOADED | no |
| no way to the store, or its circuit breaker is open | CONNECT_FAILED | no |
| written, and no answer in its time | TIMEOUT | once, by now or by a later statement |

Without scripts it falls back to plain adds, which are never sent twice: a TIMEOUT may then have been added or not, and
contents that were lost are not noticed.

A statement's reply tells what the register held before.  Less than the gateway knows to have been there proves that the
store lost contents or went back to older ones: each key of that node is then stated once more, and what the others had
used is taken to be no less than was last told, until their own statements have come.

A total that bounds a ceiling comes with a proof: for how long the node is known to have lost nothing.  The proof is a
register of this gateway's own, the witness: it is stated in front of a key that is asked for the first time, and found
as it was left.  What it cannot show, that a replica took over which had it and not the newest of the others, goes with
a broken connection: with each that is opened the proof begins anew.  Keys that are stated again need no witness, since
their own register is one.  A store that evicts keys keeps no proof: it is to run with `noeviction`.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterator

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.batch_writer import BatchWriter
from martenstep.redis_counter.call_queue import CallQueue
from martenstep.redis_counter.core_parts import CoreParts
from martenstep.redis_counter.messages import (
    Action,
    AddCall,
    CloseConnection,
    ConnectionId,
    CoreOptions,
    Operation,
    StatementReply,
    StoreError,
)
from martenstep.redis_counter.node_failures import NodeFailures
from martenstep.redis_counter.node_state import NodeState
from martenstep.redis_counter.outbox import Outbox
from martenstep.redis_counter.recovery import Recovery
from martenstep.redis_counter.registers import SWEEP_INTERVAL_MS, RegisterTable
from martenstep.redis_counter.replies import ReplyHandler
from martenstep.redis_counter.routing import Routing

HEALTH_CHECK_INTERVAL_MS = 250.0  # a node that was silent for so long is asked whether it has what it had


class Core:
    """The calls of one gateway's epoch to the store: events in, actions out."""

    def __init__(self, options: CoreOptions, rng: random.Random) -> None:
        """Begin without nodes."""
        self._options = options
        self._rng = rng
        self._outbox = outbox = Outbox()
        self._registers = registers = RegisterTable()
        self._routing = routing = Routing(options, rng, outbox)
        parts = CoreParts(options, routing, registers, outbox)
        self._recovery = recovery = Recovery(routing, registers, outbox, rng)
        self._failures = failures = NodeFailures(routing, outbox, rng)
        self._queue = queue = CallQueue(options, routing, recovery, failures, outbox)
        self._writer = BatchWriter(parts, recovery, queue)
        self._replies = ReplyHandler(parts, recovery, failures, queue)
        self._swept_at_ms = -math.inf

    @property
    def counts(self) -> Counter[str]:
        """What happened how often, by the names of the metrics."""
        return self._outbox.counts

    def store_key(self, key: int) -> bytes:
        """Return the store's name of a key."""
        return self._routing.store_key(key)

    # Events

    def set_topology(self, now_ms: float, slots: list[str]) -> None:
        """Take node by slot, or one node for all; what waited at nodes that are gone is sent to the new ones."""
        previous, removed = self._routing.set_topology(slots)
        if previous and previous != slots:
            self._recovery.reassign_keys(previous)
        for node in removed:
            self._move_operations(now_ms, node)
        self._queue.put_unrouted_again(now_ms)
        self._writer.advance(now_ms)

    def _move_operations(self, now_ms: float, node: NodeState) -> None:
        for connection in node.connections:
            self._outbox.put(CloseConnection(connection.id))
            self._queue.disconnect(now_ms, connection)
            for operation in connection.queue:
                self._queue.put(now_ms, operation)
            for key in connection.restate:
                self._recovery.restate(key)

    def add(self, now_ms: float, call: AddCall) -> None:
        """Take one call: it is answered once, within the time-out."""
        if call.key not in self._registers:
            if self._registers.full:
                self._outbox.answer(call.call, CallResult.OVERLOADED)
                return
            self._registers.create(call.key, now_ms + call.ttl_ms)
        deadline_ms = now_ms + self._options.timeout_ms
        operation = Operation(call.key, call.units, call.call, deadline_ms, needs_proof=call.needs_proof)
        self._queue.put(now_ms, operation)
        self._writer.advance(now_ms)

    def on_opened(self, now_ms: float, connection_id: ConnectionId) -> None:
        """Note that a connection was established."""
        connection = self._routing.find_connection(connection_id)
        if connection is None or not connection.opening:
            self._outbox.put(CloseConnection(connection_id))
            return
        connection.opening = False
        connection.ready = True
        connection.needs_script = True
        connection.restate_after_ms = -math.inf
        connection.node.proof_chain += 1
        self._recovery.check_latest(now_ms, connection)
        self._writer.advance(now_ms)

    def on_connect_failed(self, now_ms: float, connection_id: ConnectionId, error: str) -> None:
        """Note that a connection could not be established."""
        connection = self._routing.find_connection(connection_id)
        if connection is None or not connection.opening:
            return
        connection.opening = False
        self._failures.on_failure(now_ms, connection, error)
        waiting = list(connection.queue)
        connection.queue.clear()
        for operation in waiting:  # none of them has a way out
            self._queue.drop(operation, CallResult.CONNECT_FAILED)
        self._writer.advance(now_ms)

    def on_connection_lost(self, now_ms: float, connection_id: ConnectionId, error: str) -> None:
        """Note that a connection broke."""
        connection = self._routing.find_connection(connection_id)
        if connection is None or not connection.ready:
            return
        if connection.in_flight:
            self._failures.on_failure(now_ms, connection, error)
        else:  # by itself: every gateway's at once, so that each checks what it had at a time of its own
            connection.restate_after_ms = now_ms + HEALTH_CHECK_INTERVAL_MS * self._rng.random()
        self._queue.disconnect(now_ms, connection)
        self._recovery.check_latest(now_ms, connection)
        self._writer.advance(now_ms)

    def on_reply(self, now_ms: float, connection_id: ConnectionId, reply: StatementReply | StoreError) -> None:
        """Handle the answer to the first operation in flight."""
        connection = self._routing.find_connection(connection_id)
        if connection is None or not connection.in_flight:
            return
        operation = connection.in_flight.popleft()
        if isinstance(reply, StatementReply):
            self._replies.on_reply(now_ms, connection, operation, reply)
        else:
            self._replies.on_error(now_ms, connection, operation, reply)
        if not connection.in_flight and connection.retries:
            retries, connection.retries = connection.retries, []
            for retry in reversed(retries):
                self._queue.put_again(now_ms, retry)
        self._writer.advance(now_ms)

    def on_timer(self, now_ms: float) -> None:
        """Do what is due."""
        for node in list(self._routing.nodes.values()):
            for connection in node.connections:
                self._queue.expire(now_ms, connection)
            if self._health_check_ms(node) <= now_ms:
                self._check_health(now_ms, node)
        self._queue.expire_unrouted(now_ms)
        if now_ms - self._swept_at_ms >= SWEEP_INTERVAL_MS:
            self._swept_at_ms = now_ms
            self._registers.remove_expired(now_ms, self._keys_in_use())
        self._writer.advance(now_ms)

    def _check_health(self, now_ms: float, node: NodeState) -> None:
        for connection in node.connections:
            if connection.ready or node.circuit_open:
                self._recovery.check_latest(now_ms, connection)
        node.last_heard_ms = now_ms

    def _keys_in_use(self) -> set[int]:
        return {
            operation.key
            for connection in self._routing.connections()
            for operation in (*connection.queue, *connection.in_flight, *connection.retries)
        }

    # What is to be done, and when

    def take_actions(self) -> Iterator[Action]:
        """Yield what is to be done, in order."""
        return self._outbox.take()

    def next_timer_ms(self, now_ms: float) -> float:
        """Return when `on_timer` is needed next; infinity for never."""
        due_ms = math.inf
        for connection in self._routing.connections():
            if connection.in_flight:
                late_ms = connection.written_at_ms + self._options.timeout_ms
                due_ms = min(due_ms, late_ms, connection.earliest_deadline_ms)
            if connection.queue:
                due_ms = min(due_ms, connection.queue[0].deadline_ms)
            if not connection.busy and (connection.queue or connection.restate):
                due_ms = min(due_ms, self._writer.next_step_ms(connection))
        for node in self._routing.nodes.values():
            due_ms = min(due_ms, self._health_check_ms(node))
        unrouted = self._queue.unrouted
        if unrouted:
            due_ms = min(due_ms, unrouted[0].deadline_ms, self._routing.next_query_ms)
        return max(due_ms, now_ms) if due_ms < math.inf else due_ms

    def _health_check_ms(self, node: NodeState) -> float:
        """Return when a node is asked whether it has what it had: one whose circuit is open as soon as it may be."""
        has_answered = any(
            connection.last_answered_key is not None and (connection.ready or node.circuit_open)
            for connection in node.connections
        )
        if node.busy or not has_answered:
            return math.inf
        if any(connection.restate for connection in node.connections):
            return math.inf  # it is being asked
        return node.retry_at_ms if node.circuit_open else node.last_heard_ms + HEALTH_CHECK_INTERVAL_MS

    @property
    def settled(self) -> bool:
        """Whether the store has all that was added, as far as this gateway knows."""
        return not any(
            connection.queue or connection.in_flight or connection.restate for connection in self._routing.connections()
        )
