"""Maps keys to nodes and connections, and requests queries of the topology."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from martenstep.redis_counter.messages import ConnectionId, CoreOptions, QueryTopology, StoreError
from martenstep.redis_counter.node_state import ConnectionState, NodeState
from martenstep.redis_counter.outbox import Outbox
from martenstep.redis_counter.slots import SLOTS, slot_of

TOPOLOGY_QUERY_INTERVAL_MS = 50.0
REDIRECTION_WORDS = 3  # code, slot and node


class Routing:
    """The nodes, and the map of keys to them."""

    def __init__(self, options: CoreOptions, rng: random.Random, outbox: Outbox) -> None:
        """Create a routing without nodes."""
        self._options = options
        self._rng = rng
        self._outbox = outbox
        self.nodes: dict[str, NodeState] = {}
        self._slots: list[str] = []  # node by slot; one entry if there are no slots
        self._topology_slots: list[str] = []  # as the topology query returned it, without later redirections
        self._generation = 0
        self._queried_at_ms = -math.inf

    def store_key(self, key: int) -> bytes:
        """Return the name that a key has in the store."""
        return f"{self._options.key_prefix}{key:x}".encode()

    # Nodes and connections

    def node(self, name: str) -> NodeState:
        """Return a node by its name; creates it if it is new."""
        found = self.nodes.get(name)
        if found is None:
            found = self.nodes[name] = NodeState(name, self._options, self._rng)
            self.begin_generation(found)
        return found

    def begin_generation(self, node: NodeState) -> None:
        """Record that a node's contents are not those that were observed before."""
        self._generation += 1
        node.generation = self._generation

    def connections(self) -> Iterator[ConnectionState]:
        """Iterate over the connections of all nodes."""
        return (connection for node in self.nodes.values() for connection in node.connections)

    def find_connection(self, connection_id: ConnectionId) -> ConnectionState | None:
        """Return a connection; None if its node was removed."""
        node = self.nodes.get(connection_id.node)
        return node.connections[connection_id.number] if node is not None else None

    # Keys

    def _node_name(self, slots: list[str], key: int) -> str:
        return slots[slot_of(self.store_key(key)) if len(slots) == SLOTS else 0]

    def node_for(self, key: int) -> NodeState | None:
        """Return the node that a key belongs to; None while it is not known."""
        return self.nodes.get(self._node_name(self._slots, key)) if self._slots else None

    @staticmethod
    def connection_for(key: int, node: NodeState) -> ConnectionState:
        """Return the connection of a node that a key uses."""
        return node.connections[key % len(node.connections)]

    # The topology

    def set_topology(self, slots: list[str]) -> tuple[list[str], list[NodeState]]:
        """Set the node of each slot, or one node for all keys; returns the previous slots and the removed nodes."""
        previous = self._topology_slots
        self._topology_slots = list(slots)
        self._slots = list(slots)
        for name in dict.fromkeys(slots):
            self.node(name)
        present = set(slots)
        removed = [self.nodes.pop(name) for name in list(self.nodes) if name not in present]
        return previous, removed

    def moved_to(self, previous_slots: list[str], key: int) -> NodeState | None:
        """Return a key's node if the key belonged to another node before; otherwise None."""
        node = self.node_for(key)
        if node is None or self._node_name(previous_slots, key) == node.name:
            return None
        return node

    def redirected_slot(self, error: StoreError) -> int | None:
        """Return the slot of a redirection; None if the error is not one that can be followed."""
        words = error.text.split()
        valid = len(words) == REDIRECTION_WORDS and words[1].isdigit() and int(words[1]) < len(self._slots) == SLOTS
        return int(words[1]) if valid else None

    def redirected_node(self, error: StoreError) -> NodeState:
        """Return the target of a redirection; the proof that it lost nothing starts over."""
        node = self.node(error.text.split()[2])
        node.proof_chain += 1
        return node

    def move_slot(self, slot: int, error: StoreError) -> None:
        """Route a slot to the target of a redirection until the topology is queried again."""
        self._slots[slot] = self.redirected_node(error).name

    def query_topology(self, now_ms: float) -> None:
        """Request a query of the topology, if it can change and was not queried within the interval."""
        if self._options.dynamic_topology and now_ms - self._queried_at_ms >= TOPOLOGY_QUERY_INTERVAL_MS:
            self._queried_at_ms = now_ms
            self._outbox.put(QueryTopology())

    @property
    def next_query_ms(self) -> float:
        """The time from which the topology may be queried again."""
        return self._queried_at_ms + TOPOLOGY_QUERY_INTERVAL_MS
