"""The state of each node of the store and of each connection to it."""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque

from martenstep.backoff import Backoff
from martenstep.redis_counter.messages import ConnectionId, CoreOptions, Operation

FAILURES_TO_OPEN_CIRCUIT = 4  # consecutive failures
MIN_RETRY_MS = 20.0  # backoff between attempts to reach a node that fails
MAX_RETRY_MS = 400.0
NO_KEY = -1


class ConnectionState:
    """One connection to a node, and the operations that are queued or in flight on it."""

    def __init__(self, connection_id: ConnectionId, node: NodeState) -> None:
        """Create a connection that is not open yet."""
        self.id = connection_id
        self.node = node
        self.ready = False
        self.opening = False
        self.queue: deque[Operation] = deque()  # in the order of deadlines
        self.restate: OrderedDict[int, None] = OrderedDict()  # keys to state once more
        self.in_flight: deque[Operation] = deque()
        self.retries: list[Operation] = []  # to be sent again once all others in flight are answered
        self.written_at_ms = 0.0  # time of the write that is in flight
        self.earliest_deadline_ms = math.inf  # of the calls in flight and of the retries
        self.queued_at_ms = 0.0  # of the queue's first operation, or of the last write; gathering is timed from here
        self.write_after_ms = -math.inf
        self.restate_after_ms = -math.inf
        self.last_answered_key: int | None = None
        self.needs_script = True
        self.witness_answered = False  # whether the witness of the write in flight has been answered

    @property
    def busy(self) -> bool:
        """Whether a reply or the result of connecting is pending."""
        return bool(self.in_flight) or self.opening


class NodeState:
    """One node of the store."""

    def __init__(self, name: str, options: CoreOptions, rng: random.Random) -> None:
        """Create a node whose connections are not open yet."""
        self.name = name
        self.connections = [
            ConnectionState(ConnectionId(name, number), self) for number in range(options.connections_per_node)
        ]
        self.failures = 0  # consecutive
        self.backoff = Backoff(MIN_RETRY_MS, MAX_RETRY_MS, rng)
        self.retry_at_ms = -math.inf
        self.plain_adds = not options.scripts  # whether plain adds are sent in place of statements
        self.generation = 0  # identifies the node's contents; a new one after each loss, unique among all nodes
        self.logged_generation = 0  # the last generation whose loss was logged
        self.last_activity_ms = -math.inf  # of the last reply or health check
        self.witness_key = NO_KEY  # a key of this gateway alone, whose register proves that the node lost nothing
        self.proof_chain = 1  # incremented when the proof starts over: new connection, loss, new witness, moved keys
        self.proved_chain = 0  # the chain in which the witness was last answered
        self.retained_since_ms = math.inf  # since when the node is proved to have lost nothing

    @property
    def circuit_open(self) -> bool:
        """Whether the node failed so often in a row that calls do not wait for it."""
        return self.failures >= FAILURES_TO_OPEN_CIRCUIT

    @property
    def busy(self) -> bool:
        """Whether any connection is busy."""
        return any(connection.busy for connection in self.connections)
