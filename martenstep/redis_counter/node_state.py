"""What the core knows of each node of the store and of each connection to it."""

from __future__ import annotations

import math
import random
from collections import OrderedDict, deque

from martenstep.backoff import Backoff
from martenstep.redis_counter.messages import ConnectionId, CoreOptions, Operation

FAILURES_TO_OPEN_CIRCUIT = 4  # in a row
MIN_RETRY_MS = 20.0  # between attempts on a node that fails
MAX_RETRY_MS = 400.0
NO_KEY = -1


class ConnectionState:
    """One connection to a node, and the operations that wait for it."""

    def __init__(self, connection_id: ConnectionId, node: NodeState) -> None:
        """Begin closed."""
        self.id = connection_id
        self.node = node
        self.ready = False
        self.opening = False
        self.queue: deque[Operation] = deque()  # in the order of their deadlines
        self.restate: OrderedDict[int, None] = OrderedDict()  # keys to state once more
        self.in_flight: deque[Operation] = deque()
        self.retries: list[Operation] = []  # answered with a reason to send them again, once the rest is answered
        self.written_at_ms = 0.0  # the write that is in flight
        self.earliest_deadline_ms = math.inf  # of the calls in flight
        self.queued_at_ms = 0.0  # when the queue's first came
        self.write_after_ms = -math.inf
        self.restate_after_ms = -math.inf
        self.last_answered_key: int | None = None
        self.needs_script = True
        self.witnessed = False  # the witness of the write in flight was found as it was left

    @property
    def busy(self) -> bool:
        """Whether its next step is an event."""
        return bool(self.in_flight) or self.opening


class NodeState:
    """One node."""

    def __init__(self, name: str, options: CoreOptions, rng: random.Random) -> None:
        """Begin without connections."""
        self.name = name
        self.connections = [
            ConnectionState(ConnectionId(name, number), self) for number in range(options.connections_per_node)
        ]
        self.failures = 0  # in a row
        self.backoff = Backoff(MIN_RETRY_MS, MAX_RETRY_MS, rng)
        self.retry_at_ms = -math.inf
        self.plain_adds = not options.scripts  # in place of statements
        self.generation = 0  # of its contents, no other node's
        self.logged_generation = 0  # whose loss was logged
        self.last_heard_ms = -math.inf
        self.witness_key = NO_KEY  # this gateway's own key that proves what is retained
        self.proof_chain = 1  # another with each connection that is opened, and with each loss
        self.proved_chain = 0  # the chain that the witness was last found in
        self.retained_since_ms = math.inf

    @property
    def circuit_open(self) -> bool:
        """Whether it failed so often that calls do not wait for it."""
        return self.failures >= FAILURES_TO_OPEN_CIRCUIT

    @property
    def busy(self) -> bool:
        """Whether any connection is."""
        return any(connection.busy for connection in self.connections)
