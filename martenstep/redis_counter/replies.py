"""Handles the store's replies: totals and what they prove, and errors and how they are recovered from."""

from __future__ import annotations

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.call_queue import CallQueue
from martenstep.redis_counter.core_parts import CoreParts
from martenstep.redis_counter.messages import Operation, StatementReply, StoreError
from martenstep.redis_counter.node_failures import NodeFailures
from martenstep.redis_counter.node_state import ConnectionState, NodeState
from martenstep.redis_counter.recovery import Recovery
from martenstep.redis_counter.registers import Register

MAX_ATTEMPTS = 5  # after this number of redirections and retries, a further error ends the operation
MOVING_SLOT_RETRY_MS = 5.0
RESTATE_PAUSE_MS = 100.0  # before keys are stated again, after the store rejected a statement
# Failures of the node, not of the call.
NODE_ERRORS = ("LOADING", "BUSY", "MASTERDOWN", "CLUSTERDOWN", "READONLY", "NOAUTH")
NO_SCRIPT_ERRORS = ("NOPERM", "unknown command")
TOPOLOGY_ERRORS = ("READONLY", "CLUSTERDOWN")


class ReplyHandler:
    """Handles the replies to operations."""

    def __init__(self, parts: CoreParts, recovery: Recovery, failures: NodeFailures, queue: CallQueue) -> None:
        """All arguments are shared with the core's other modules."""
        self._options = parts.options
        self._routing = parts.routing
        self._registers = parts.registers
        self._recovery = recovery
        self._failures = failures
        self._queue = queue
        self._outbox = parts.outbox

    # Totals

    def on_reply(self, now_ms: float, connection: ConnectionState, operation: Operation, reply: StatementReply) -> None:
        """Handle the reply to a statement or a plain add."""
        node = connection.node
        node.last_activity_ms = now_ms
        if node.failures:
            node.failures = 0
            node.retry_at_ms = float("-inf")
            node.backoff.succeeded()
        register = self._registers.get(operation.key)
        if reply.previous_version < 0 or register is None:
            self._outbox.answer(operation.call, CallResult.OK, reply.total)
            return
        if reply.previous_version < operation.known_version:
            self._recovery.on_lost_contents(node, operation, register.generation == node.generation)
        self._update_proof(now_ms, connection, operation, register)
        total = self._corrected_total(node, register, operation, reply)
        register.acknowledged_version = max(register.acknowledged_version, operation.version, reply.previous_version)
        connection.last_answered_key = operation.key
        missing = register.version > register.acknowledged_version
        if missing and not self._recovery.is_pending(connection, operation.key):
            connection.restate[operation.key] = None  # the newest statement of this key was lost
        proved = register.proved_chain == node.proof_chain == node.proved_chain
        retained_ms = now_ms - node.retained_since_ms if proved else 0.0
        self._outbox.answer(operation.call, CallResult.OK, total, max(retained_ms, 0.0))

    @staticmethod
    def _update_proof(now_ms: float, connection: ConnectionState, operation: Operation, register: Register) -> None:
        node = connection.node
        if operation.key == node.witness_key:
            connection.witness_answered = True
            if node.proved_chain != node.proof_chain:
                node.proved_chain = node.proof_chain
                node.retained_since_ms = now_ms
        if connection.witness_answered and node.proved_chain == node.proof_chain:
            register.proved_chain = node.proof_chain

    @staticmethod
    def _corrected_total(node: NodeState, register: Register, operation: Operation, reply: StatementReply) -> float:
        """Return the total, in which the others' part is no less than before the store lost contents."""
        if register.generation != node.generation:
            register.others_floor = max(register.others_floor, register.others_total)
            register.generation = node.generation
        if reply.previous_version > operation.version:
            return reply.total
        others_total = reply.total - operation.total
        total = operation.total + max(others_total, register.others_floor)
        if others_total >= register.others_floor:
            register.others_floor = 0.0
            register.others_total = others_total
        return total

    # Errors

    def on_error(self, now_ms: float, connection: ConnectionState, operation: Operation, error: StoreError) -> None:
        """Handle an error: this attempt was not applied; `indeterminate` tells whether an earlier one may have been."""
        node = connection.node
        self._outbox.counts[f"fault {error.code}"] += 1
        operation.attempts += 1
        if error.code in NODE_ERRORS:
            self._failures.on_failure(now_ms, connection, error.code)
        else:
            node.last_activity_ms = now_ms
        if operation.call is not None and operation.version and operation.units and not operation.indeterminate:
            self._subtract_rejected(connection, operation)
        may_retry = operation.attempts <= MAX_ATTEMPTS and operation.deadline_ms > now_ms
        if self._is_ask_redirection(error) and may_retry:
            self._follow_ask_redirection(now_ms, operation, error)
            return
        retry = self._prepare_retry(now_ms, connection, error) and may_retry
        if retry and (operation.call is not None or operation.version):
            connection.retries.append(operation)
        elif operation.call is not None:
            self._queue.drop(operation, CallResult.OVERLOADED)
        register = self._registers.get(operation.key)
        if not retry and register is not None and register.version > register.acknowledged_version:
            connection.restate_after_ms = max(connection.restate_after_ms, now_ms + RESTATE_PAUSE_MS)
            self._recovery.restate(operation.key)

    def _is_ask_redirection(self, error: StoreError) -> bool:
        if error.code != "ASK" or self._is_script_error(error):
            return False
        return self._routing.redirected_slot(error) is not None

    def _is_script_error(self, error: StoreError) -> bool:
        return self._options.scripts and any(word in error.text for word in NO_SCRIPT_ERRORS)

    def _prepare_retry(self, now_ms: float, connection: ConnectionState, error: StoreError) -> bool:
        """Do what an error calls for before a retry; returns whether the operation is to be retried."""
        if error.code == "NOSCRIPT":
            connection.needs_script = True
        elif self._is_script_error(error):
            self._fall_back_to_plain_adds(connection.node, error)
        elif error.code == "MOVED" and (slot := self._routing.redirected_slot(error)) is not None:
            self._routing.move_slot(slot, error)
            self._routing.query_topology(now_ms)
        elif error.code == "TRYAGAIN":
            connection.write_after_ms = now_ms + MOVING_SLOT_RETRY_MS
        elif error.code in TOPOLOGY_ERRORS and self._options.dynamic_topology:
            self._routing.query_topology(now_ms)
            connection.write_after_ms = now_ms + MOVING_SLOT_RETRY_MS
        else:
            return False
        return True

    def _fall_back_to_plain_adds(self, node: NodeState, error: StoreError) -> None:
        if not node.plain_adds:
            node.plain_adds = True
            self._outbox.log("store without scripts", {"node": node.name, "error": error.text})

    def _subtract_rejected(self, connection: ConnectionState, operation: Operation) -> None:
        """Subtract the units of a rejected statement from the sum, and correct a pending statement that has them."""
        self._registers.subtract_rejected(operation)
        if self._recovery.is_pending(connection, operation.key):
            self._recovery.restate(operation.key)  # the pending statement of this key includes these units

    def _follow_ask_redirection(self, now_ms: float, operation: Operation, error: StoreError) -> None:
        """Send this operation, once, to the node that its slot is moving to."""
        operation.asking = True
        if operation.call is None:
            operation.deadline_ms = now_ms + self._options.timeout_ms
        self._outbox.counts["asked elsewhere"] += 1
        node = self._routing.redirected_node(error)
        self._queue.insert(self._routing.connection_for(operation.key, node), operation)
