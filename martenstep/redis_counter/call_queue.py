"""The operations that wait for a connection: their routing, their order and their expiry."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import deque

from martenstep.policy.messages import CallResult
from martenstep.redis_counter.messages import CloseConnection, CoreOptions, Operation
from martenstep.redis_counter.node_failures import NodeFailures
from martenstep.redis_counter.node_state import ConnectionState
from martenstep.redis_counter.outbox import Outbox
from martenstep.redis_counter.recovery import Recovery
from martenstep.redis_counter.routing import Routing


class CallQueue:
    """Queues operations, and ends those that are not answered in time."""

    def __init__(
        self, options: CoreOptions, routing: Routing, recovery: Recovery, failures: NodeFailures, outbox: Outbox
    ) -> None:
        """All arguments are shared with the core's other modules."""
        self._options = options
        self._routing = routing
        self._recovery = recovery
        self._failures = failures
        self._outbox = outbox
        self.unrouted: deque[Operation] = deque()  # operations that wait until the topology is known

    # Queueing

    def put(self, now_ms: float, operation: Operation) -> None:
        """Queue an operation on its key's connection; ends it if the queue is full or the node is unavailable."""
        node = self._routing.node_for(operation.key)
        if node is None:
            self._put_unrouted(now_ms, operation)
            return
        connection = self._routing.connection_for(operation.key, node)
        if self._fails_fast(now_ms, connection, operation):
            self.drop(operation, CallResult.CONNECT_FAILED)
        elif len(connection.queue) + len(connection.in_flight) >= self._options.max_pending:
            self.drop(operation, CallResult.OVERLOADED)
        else:
            if not connection.queue:
                connection.queued_at_ms = now_ms
            self.insert(connection, operation)

    def put_again(self, now_ms: float, operation: Operation) -> None:
        """Queue an operation once more, without a check of the queue's capacity."""
        node = self._routing.node_for(operation.key)
        if node is None:
            self._put_unrouted(now_ms, operation)
            return
        connection = self._routing.connection_for(operation.key, node)
        if self._fails_fast(now_ms, connection, operation):
            self.drop(operation, CallResult.CONNECT_FAILED)
        else:
            self.insert(connection, operation)

    def _put_unrouted(self, now_ms: float, operation: Operation) -> None:
        if len(self.unrouted) >= self._options.max_pending:
            self.drop(operation, CallResult.OVERLOADED)
            return
        self.unrouted.append(operation)
        self._routing.query_topology(now_ms)

    def put_unrouted_again(self, now_ms: float) -> None:
        """Queue the operations that waited for the topology."""
        while self.unrouted:
            self.put(now_ms, self.unrouted.popleft())

    def _fails_fast(self, now_ms: float, connection: ConnectionState, operation: Operation) -> bool:
        """Whether a call fails at once because the circuit of its node is open.

        The node is probed with a statement of a key that it held, if there is one, so that no request waits for it.
        """
        node = connection.node
        if not node.circuit_open or operation.call is None:
            return False
        return node.retry_at_ms > now_ms or node.busy or bool(self._recovery.latest_key(now_ms, connection))

    @staticmethod
    def insert(connection: ConnectionState, operation: Operation) -> None:
        """Insert in the order of deadlines; of equal ones, an operation that was sent before comes first."""
        queue = connection.queue
        deadline_ms = operation.deadline_ms
        sent_before = operation.attempts + operation.indeterminate
        if (
            not queue
            or deadline_ms > queue[-1].deadline_ms
            or (deadline_ms == queue[-1].deadline_ms and not sent_before)
        ):
            queue.append(operation)
        elif deadline_ms <= queue[0].deadline_ms:
            queue.appendleft(operation)
        else:
            queue.insert(bisect_left(queue, deadline_ms, key=lambda other: other.deadline_ms), operation)

    # Expiry

    def drop(self, operation: Operation, result: CallResult) -> None:
        """End an operation without a total; an indeterminate one may have been applied, so its key is stated again."""
        self._outbox.answer(operation.call, CallResult.TIMEOUT if operation.indeterminate else result)
        operation.call = None
        if operation.indeterminate:
            self._recovery.restate(operation.key)

    def expire_unrouted(self, now_ms: float) -> None:
        """End the calls whose deadline passed while the topology was not known."""
        while self.unrouted and self.unrouted[0].deadline_ms <= now_ms:
            self.drop(self.unrouted.popleft(), CallResult.CONNECT_FAILED)

    def expire(self, now_ms: float, connection: ConnectionState) -> None:
        """End the calls whose deadline passed, and close the connection if its replies are late."""
        for operation in connection.in_flight:
            if operation.deadline_ms <= now_ms and operation.call is not None:
                self._outbox.answer(operation.call, CallResult.TIMEOUT)
                operation.call = None
        for operation in [retry for retry in connection.retries if retry.deadline_ms <= now_ms]:
            connection.retries.remove(operation)
            self.drop(operation, CallResult.OVERLOADED)
        connection.earliest_deadline_ms = min(
            (
                operation.deadline_ms
                for operation in (*connection.in_flight, *connection.retries)
                if operation.call is not None
            ),
            default=math.inf,
        )
        while connection.queue and connection.queue[0].deadline_ms <= now_ms:
            self.drop(connection.queue.popleft(), CallResult.OVERLOADED)
        if connection.in_flight and now_ms - connection.written_at_ms >= self._options.timeout_ms:
            self._outbox.put(CloseConnection(connection.id))
            self._failures.on_failure(now_ms, connection, "no reply within the timeout")
            self.disconnect(now_ms, connection)

    def disconnect(self, now_ms: float, connection: ConnectionState) -> None:
        """Mark a connection as closed: the operations in flight on it are indeterminate."""
        connection.ready = connection.opening = False
        for operation in connection.in_flight:
            operation.indeterminate = True
        unanswered = [*connection.retries, *connection.in_flight]
        connection.retries.clear()
        connection.in_flight.clear()
        for operation in reversed(unanswered):
            operation.asking = False
            if not operation.indeterminate:
                self.insert(connection, operation)
            elif connection.node.plain_adds or operation.deadline_ms <= now_ms or operation.call is None:
                self.drop(operation, CallResult.TIMEOUT)
            else:
                self._outbox.counts["sent again"] += 1
                self.insert(connection, operation)
