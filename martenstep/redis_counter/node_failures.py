"""Retry times of nodes that fail, and the circuit breaker that ends the waiting of calls for them."""

from __future__ import annotations

import random

from martenstep.redis_counter.node_state import MIN_RETRY_MS, ConnectionState
from martenstep.redis_counter.outbox import Outbox
from martenstep.redis_counter.routing import Routing


class NodeFailures:
    """Records the failures of nodes."""

    def __init__(self, routing: Routing, outbox: Outbox, rng: random.Random) -> None:
        """All arguments are shared with the core's other modules."""
        self._routing = routing
        self._outbox = outbox
        self._rng = rng

    def on_failure(self, now_ms: float, connection: ConnectionState, error: str) -> None:
        """Record a failure: opens the circuit after several in a row, and sets when the node is tried again."""
        node = connection.node
        was_open = node.circuit_open
        node.failures += 1
        if node.circuit_open:
            node.retry_at_ms = now_ms + node.backoff.failed()
            if not was_open:
                self._outbox.counts["breaks"] += 1
                self._outbox.log("store node circuit opened", {"node": node.name, "error": error})
        else:
            node.retry_at_ms = now_ms + MIN_RETRY_MS * self._rng.uniform(0.0, 1.0)
        self._routing.query_topology(now_ms)
