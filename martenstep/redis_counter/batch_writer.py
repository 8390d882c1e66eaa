"""Chooses which operations are sent next on each connection, and when."""

from __future__ import annotations

import math

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.call_queue import CallQueue
from martenstep.redis_counter.core_parts import CoreParts
from martenstep.redis_counter.messages import OpenConnection, Operation, WriteOperations
from martenstep.redis_counter.node_state import ConnectionState
from martenstep.redis_counter.recovery import Recovery

MAX_BATCH = 64  # operations in one write: with more, the last would wait long for the first
MAX_RESTATED = 32  # keys stated once more in one write; the rest is left to calls


class BatchWriter:
    """Opens connections, and writes batches of operations."""

    def __init__(self, parts: CoreParts, recovery: Recovery, queue: CallQueue) -> None:
        """All arguments are shared with the core's other modules."""
        self._options = parts.options
        self._routing = parts.routing
        self._registers = parts.registers
        self._recovery = recovery
        self._queue = queue
        self._outbox = parts.outbox

    def advance(self, now_ms: float) -> None:
        """Open or write each connection that has something to send and may send it now."""
        for connection in self._routing.connections():
            if connection.busy or not (connection.queue or connection.restate):
                continue
            if self.next_step_ms(connection) > now_ms:
                continue
            if connection.ready:
                self._write(now_ms, connection)
            else:
                connection.opening = True
                self._outbox.put(OpenConnection(connection.id))

    def next_step_ms(self, connection: ConnectionState) -> float:
        """Return when a connection with something to send may open or write."""
        node = connection.node
        if node.circuit_open and node.busy:
            return math.inf  # the outcome of the pending operation triggers the next step
        blocked_until = node.retry_at_ms if node.circuit_open or not connection.ready else -math.inf
        if not connection.queue:
            return max(blocked_until, connection.write_after_ms, connection.restate_after_ms)
        gathered_at = connection.queued_at_ms + self._options.gather_ms if connection.ready else -math.inf
        if len(connection.queue) >= MAX_BATCH:
            gathered_at = -math.inf
        return max(blocked_until, connection.write_after_ms, gathered_at)

    def _write(self, now_ms: float, connection: ConnectionState) -> None:
        plain = connection.node.plain_adds
        batch = self._take_queued(now_ms, connection)
        connection.queued_at_ms = now_ms
        connection.witness_answered = False
        if not plain:
            self._add_witness(now_ms, connection, batch)
        self._add_restated(now_ms, connection, batch)
        if not batch:
            return
        for operation in batch:
            self._registers.prepare(now_ms, operation, plain)
        connection.in_flight.extend(batch)
        connection.written_at_ms = now_ms
        connection.earliest_deadline_ms = min(operation.deadline_ms for operation in batch)
        self._outbox.counts["writes"] += 1
        self._outbox.counts["statements"] += len(batch)
        load_script = connection.needs_script and not plain
        self._outbox.put(WriteOperations(connection.id, tuple(batch), load_script, plain))
        connection.needs_script = False

    def _take_queued(self, now_ms: float, connection: ConnectionState) -> list[Operation]:
        batch: list[Operation] = []
        while connection.queue and len(batch) < MAX_BATCH:
            operation = connection.queue.popleft()
            if operation.deadline_ms <= now_ms:
                self._queue.drop(operation, CallResult.OVERLOADED)
            else:
                batch.append(operation)
        return batch

    def _add_witness(self, now_ms: float, connection: ConnectionState, batch: list[Operation]) -> None:
        """Put the witness in front if a call needs a proof that its key's last answer does not provide."""
        node = connection.node
        if any(operation.needs_proof and self._recovery.is_unproved(node, operation.key) for operation in batch):
            witness = self._recovery.witness_operation(now_ms, node)
            if witness is not None:
                batch.insert(0, witness)

    def _add_restated(self, now_ms: float, connection: ConnectionState, batch: list[Operation]) -> None:
        if connection.restate_after_ms > now_ms:
            return
        stated = {operation.key for operation in batch}
        for _ in range(min(len(connection.restate), MAX_RESTATED)):
            key, _ = connection.restate.popitem(last=False)
            register = self._registers.get(key)
            expired = register is None or register.expires_ms <= now_ms
            if connection.node.plain_adds or expired or key in stated:
                continue
            batch.append(Operation(key, 0.0, None, math.inf))
            self._outbox.counts["stated again"] += 1
