"""States keys once more after lost replies, lost contents and broken connections, and proves that a node lost nothing.

The reply to a statement contains the version that the register held before.  A version older than one that the gateway
knows the store to have held proves that the store lost contents or went back to older ones: each key of that node is
then stated once more.

The proof that nothing was lost rests on a register of this gateway's own, the witness: it is stated in front of
the first call for a key, and must be found unchanged.
"""

from __future__ import annotations

import math
import random

from martenstep.redis_counter.messages import Operation
from martenstep.redis_counter.node_state import ConnectionState, NodeState
from martenstep.redis_counter.outbox import Outbox
from martenstep.redis_counter.registers import RegisterTable
from martenstep.redis_counter.routing import Routing

WITNESS_TTL_MS = 3_600_000.0  # after half of this time a new witness is drawn, and the proof starts over
MAX_WITNESS_DRAWS = 20_000  # random keys tried until one belongs to the node that is to be proved
WITNESS_KEY_BITS = 62


class Recovery:
    """Chooses which keys are stated once more, and the witness of each node."""

    def __init__(self, routing: Routing, registers: RegisterTable, outbox: Outbox, rng: random.Random) -> None:
        """All arguments are shared with the core's other modules."""
        self._routing = routing
        self._registers = registers
        self._outbox = outbox
        self._rng = rng

    def restate(self, key: int) -> None:
        """State a key's sum once more, if it was stated before."""
        node = self._routing.node_for(key)
        if node is not None and self._registers.was_stated(key):
            self._routing.connection_for(key, node).restate[key] = None

    def check_latest(self, now_ms: float, connection: ConnectionState) -> None:
        """Put the key that was answered last in front of all that is stated once more, to detect a loss of contents."""
        key = self.latest_key(now_ms, connection)
        if key is not None:
            connection.restate[key] = None
            connection.restate.move_to_end(key, last=False)

    def latest_key(self, now_ms: float, connection: ConnectionState) -> int | None:
        """Return the key that was answered last on a connection: a store that holds it also holds all earlier ones."""
        key = connection.last_answered_key
        register = self._registers.get(key) if key is not None else None
        expired = register is None or register.expires_ms <= now_ms
        if key is None or expired or self._routing.node_for(key) is not connection.node:
            connection.last_answered_key = None
            return next(iter(connection.restate), None)
        return key

    @staticmethod
    def is_pending(connection: ConnectionState, key: int) -> bool:
        """Whether a prepared statement of a key is queued, in flight or to be retried on a connection."""
        operations = (*connection.in_flight, *connection.retries, *connection.queue)
        return any(operation.key == key and operation.version for operation in operations)

    def reassign_keys(self, previous_slots: list[str]) -> None:
        """State the keys that moved to other nodes: what the new nodes hold for them is not known yet."""
        for key, register in self._registers.items():
            if not register.version:
                continue
            node = self._routing.moved_to(previous_slots, key)
            if node is not None:
                register.generation = 0
                node.proof_chain += 1
                self._routing.connection_for(key, node).restate[key] = None

    # Lost contents

    def on_lost_contents(self, node: NodeState, operation: Operation, newly_lost: bool) -> None:
        """State all keys of a node that lost contents, once for each loss."""
        if newly_lost:
            self._routing.begin_generation(node)
            node.proof_chain += 1
            for key, register in self._registers.newest_first():  # the newest keys matter most
                if key != operation.key and register.version and self._routing.node_for(key) is node:
                    self._routing.connection_for(key, node).restate[key] = None
        if node.logged_generation != node.generation:
            node.logged_generation = node.generation
            self._outbox.counts["losses"] += 1
            names = sum(len(connection.restate) for connection in node.connections) + 1
            self._outbox.log("store lost contents", {"node": node.name, "names": names})

    # The proof of what is retained

    def is_unproved(self, node: NodeState, key: int) -> bool:
        """Whether a key's last answer was not part of the node's current chain of proofs."""
        register = self._registers.get(key)
        return register is None or register.proved_chain != node.proof_chain

    def witness_operation(self, now_ms: float, node: NodeState) -> Operation | None:
        """Build a statement of the node's witness; None if no key for one belongs there."""
        register = self._registers.get(node.witness_key)
        expires_soon = register is None or register.expires_ms - now_ms < WITNESS_TTL_MS / 2
        if expires_soon or self._routing.node_for(node.witness_key) is not node:
            key = self._draw_witness_key(node)
            if key is None:
                return None
            self._registers.create(key, now_ms + WITNESS_TTL_MS)
            node.witness_key = key
            node.proof_chain += 1
        self._outbox.counts["witnesses"] += 1
        return Operation(node.witness_key, 0.0, None, math.inf)

    def _draw_witness_key(self, node: NodeState) -> int | None:
        drawn = (self._rng.getrandbits(WITNESS_KEY_BITS) for _ in range(MAX_WITNESS_DRAWS))
        return next((key for key in drawn if self._routing.node_for(key) is node), None)
