"""The decisions about calls to the store, without I/O and without a clock: times are milliseconds of any one clock.

Each key has a register: the sum of all units that this gateway's epoch has added to it, under a version that only
grows.  A call states the sum (`script.py`), so that it may be sent again after a lost reply; an indeterminate statement
is settled by any later statement of the same key.  The result that the caller receives follows from that:

| what happened | result | were the units added |
| --- | --- | --- |
| the total came back | OK | yes, once |
| the queue was full, the deadline passed before the call was written, or the store rejected it | OVERLOADED | no |
| no connection could be established, or the node's circuit breaker is open | CONNECT_FAILED | no |
| the call was written, and no reply came within the timeout | TIMEOUT | once, by now or by a later statement |

Without scripts the core falls back to plain adds, which are never sent twice: after a TIMEOUT the units may or may not
have been added, and a loss of contents is not detected.

The reply to a statement contains the version that the register held before.  A version older than one that the gateway
knows the store to have held proves that the store lost contents or went back to older ones.  Each key of that node is
then stated once more.  Until the statements of the other gateways have arrived, their part of a key's total is assumed
to be no less than in the last total that this gateway received.

A total that bounds a ceiling comes with a proof: for how long the node is known to have lost nothing.  The proof rests
on a register of this gateway's own, the witness, which is stated in front of the first call for a key and must be found
unchanged.  A witness does not rule out that a replica took over which held the witness but not the newest registers of
other gateways.  Such a takeover breaks the connections, so the proof starts over with each connection that is opened.
Once a key was answered behind the witness, later statements of it need none, since its own register serves as one.  A
store that evicts keys breaks the proof: Redis has to run with `noeviction`.
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

HEALTH_CHECK_INTERVAL_MS = 250.0  # after this time without a reply, a node is checked for lost contents


class Core:
    """The calls of one gateway's epoch to the store: receives events and produces actions."""

    def __init__(self, options: CoreOptions, rng: random.Random) -> None:
        """Create a core without nodes."""
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
        """The number of occurrences of each event, by the names of the metrics."""
        return self._outbox.counts

    def store_key(self, key: int) -> bytes:
        """Return the name that a key has in the store."""
        return self._routing.store_key(key)

    # Events

    def set_topology(self, now_ms: float, slots: list[str]) -> None:
        """Set the node of each slot, or one node for all keys; operations that waited for removed nodes are moved."""
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
        """Queue one call, which is answered once, within the timeout."""
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
        """Handle a connection that was established."""
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
        """Handle a connection that could not be established."""
        connection = self._routing.find_connection(connection_id)
        if connection is None or not connection.opening:
            return
        connection.opening = False
        self._failures.on_failure(now_ms, connection, error)
        waiting = list(connection.queue)
        connection.queue.clear()
        for operation in waiting:  # all of them needed this connection
            self._queue.drop(operation, CallResult.CONNECT_FAILED)
        self._writer.advance(now_ms)

    def on_connection_lost(self, now_ms: float, connection_id: ConnectionId, error: str) -> None:
        """Handle a connection that broke."""
        connection = self._routing.find_connection(connection_id)
        if connection is None or not connection.ready:
            return
        if connection.in_flight:
            self._failures.on_failure(now_ms, connection, error)
        else:  # idle connections break for all gateways at once: a random delay spreads their checks for losses
            connection.restate_after_ms = now_ms + HEALTH_CHECK_INTERVAL_MS * self._rng.random()
        self._queue.disconnect(now_ms, connection)
        self._recovery.check_latest(now_ms, connection)
        self._writer.advance(now_ms)

    def on_reply(self, now_ms: float, connection_id: ConnectionId, reply: StatementReply | StoreError) -> None:
        """Handle the reply to the first operation in flight."""
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
        """Expire operations and registers, check silent nodes, and write what is due."""
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
        node.last_activity_ms = now_ms

    def _keys_in_use(self) -> set[int]:
        return {
            operation.key
            for connection in self._routing.connections()
            for operation in (*connection.queue, *connection.in_flight, *connection.retries)
        }

    # Actions and timers

    def take_actions(self) -> Iterator[Action]:
        """Yield the pending actions in order."""
        return self._outbox.take()

    def next_timer_ms(self, now_ms: float) -> float:
        """Return when `on_timer` must be called next; infinity if there is nothing to wait for."""
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
        """Return when a node is checked for lost contents; with an open circuit, as soon as it may be tried again."""
        has_answered = any(
            connection.last_answered_key is not None and (connection.ready or node.circuit_open)
            for connection in node.connections
        )
        if node.busy or not has_answered:
            return math.inf
        if any(connection.restate for connection in node.connections):
            return math.inf  # a key that is to be stated once more already serves as a check
        return node.retry_at_ms if node.circuit_open else node.last_activity_ms + HEALTH_CHECK_INTERVAL_MS

    @property
    def settled(self) -> bool:
        """Whether the store has received all that was added, as far as this gateway knows."""
        return not any(
            connection.queue or connection.in_flight or connection.restate for connection in self._routing.connections()
        )
