"""What one instance knows of one endpoint: its latency, its queue, its failures and the attempts in flight there.

All times are milliseconds.
"""

from __future__ import annotations

import math

from martenstep.policy.messages import AttemptId, Endpoint

LATENCY_EWMA_WEIGHT = 0.15  # about the last six responses count
BASE_LATENCY_WEIGHT_DOWN = 0.1  # a response below the base latency pulls it down by this, ...
BASE_LATENCY_WEIGHT_UP = 0.02  # ... one above it lifts it by this: it settles where few responses come sooner
BASE_LATENCY_PRIOR_RESPONSES = 3.0  # that the first guess of a base latency weighs as much as
MIN_QUEUE_DECAY_MS = 1000.0  # how fast a measured queue fades, and ...
QUEUE_DECAY_DELAYS = 1.5  # ... in this many times its delay: a long one is drained while others still add to it
FAILURE_EWMA_WEIGHT = 0.4  # two failures in a row tell
FAILURE_DECAY_MS = 5000.0  # how fast failures are forgotten, so that an endpoint is tried again
FAILURE_COST_FACTOR = 6.0  # an endpoint that always fails costs so many times more than a healthy one
MIN_CAPACITY = 0.1


class EndpointStats:
    """The measurements of one endpoint."""

    __slots__ = (
        "base_latency_ms",
        "endpoint",
        "failure_share",
        "failure_updated_at",
        "in_flight",
        "last_response_at",
        "latency_is_lower_bound",
        "latency_ms",
        "latency_updated_at",
        "latest_answered_start",
        "rank",
        "responses",
        "slow_start_next_at",
    )

    def __init__(self, endpoint: Endpoint, rank: float) -> None:
        """Begin without measurements; `rank` is the place in the instance's order of endpoints."""
        self.endpoint = endpoint
        self.rank = rank
        self.in_flight: dict[AttemptId, float] = {}  # attempts, and when they were started
        self.base_latency_ms = 0.0  # without a queue: follows low latencies fast and high ones slowly; 0: unknown
        self.latency_ms = 0.0  # EWMA
        self.latency_updated_at = -math.inf
        self.latency_is_lower_bound = False  # it is a wait without a response, not the time of one
        self.latest_answered_start = -math.inf  # the start of the latest started attempt that was answered
        self.failure_share = 0.0  # EWMA as of `failure_updated_at`
        self.failure_updated_at = -math.inf
        self.last_response_at = -math.inf
        self.responses = 0  # successful ones
        self.slow_start_next_at: float | None = None  # no attempt before it while warming up; None: not planned yet

    def restarted(self, endpoint: Endpoint) -> EndpointStats:
        """The measurements after the endpoint's restart: nothing is known but the latency without a queue."""
        fresh = EndpointStats(endpoint, self.rank)
        fresh.in_flight = self.in_flight
        fresh.base_latency_ms = self.base_latency_ms
        return fresh

    def current_failure_share(self, now: float) -> float:
        """Share of attempts that fail, as far as it is not forgotten."""
        return self.failure_share * math.exp((self.failure_updated_at - now) / FAILURE_DECAY_MS)

    def record_result(self, now: float, failed: bool) -> None:
        """Learn from one result, or from the lack of one, whether attempts fail."""
        old_share = self.current_failure_share(now)
        self.failure_share = (1 - FAILURE_EWMA_WEIGHT) * old_share + FAILURE_EWMA_WEIGHT * failed
        self.failure_updated_at = now

    def record_response(self, now: float, rtt_ms: float, started_at: float, default_latency_ms: float) -> None:
        """Learn from the time of a successful response; `default_latency_ms` holds where none came before."""
        if not self.base_latency_ms:
            self.base_latency_ms = self.latency_ms = default_latency_ms / max(self.endpoint.capacity, MIN_CAPACITY)
        weight = BASE_LATENCY_WEIGHT_DOWN if rtt_ms < self.base_latency_ms else BASE_LATENCY_WEIGHT_UP
        weight = max(weight, 1 / (self.responses + BASE_LATENCY_PRIOR_RESPONSES))
        self.base_latency_ms += weight * (rtt_ms - self.base_latency_ms)
        self.responses += 1
        # A response to what was started after a lower bound measures what was guessed: one refutes a wait in vain.
        refutes_bound = self.latency_is_lower_bound and started_at >= self.latency_updated_at
        self.latency_ms += (1.0 if refutes_bound else LATENCY_EWMA_WEIGHT) * (rtt_ms - self.latency_ms)
        self.latency_updated_at = now
        self.latest_answered_start = max(self.latest_answered_start, started_at)
        self.latency_is_lower_bound = self.latency_is_lower_bound and not refutes_bound

    def record_latency_bound(self, now: float, waited_ms: float) -> None:
        """Learn from a wait without a response: the queue is this long at least, and abandoned work may be in it."""
        if waited_ms > self.latency_ms:
            self.latency_ms = waited_ms
            self.latency_is_lower_bound = True
        self.latency_updated_at = now

    def expected_latency(self, now: float, default_latency_ms: float) -> tuple[float, float]:
        """Latency without a queue, and the queueing delay.

        A measured queue fades, so that an endpoint is not avoided for a queue that is long gone.
        """
        base_ms = self.base_latency_ms
        if not base_ms:
            return default_latency_ms / max(self.endpoint.capacity, MIN_CAPACITY), 0.0
        queue_ms = max(self.latency_ms - base_ms, 0.0)
        if queue_ms:
            decay_ms = max(MIN_QUEUE_DECAY_MS, QUEUE_DECAY_DELAYS * queue_ms)
            queue_ms *= math.exp((self.latency_updated_at - now) / decay_ms)
        # Attempts in flight show a queue before they are answered, the oldest best; not those that later ones overtook.
        for started_at in self.in_flight.values():
            if started_at >= self.latest_answered_start:
                return base_ms, max(queue_ms, now - started_at - base_ms)
        return base_ms, queue_ms

    def attempt_cost(self, now: float, default_latency_ms: float) -> float:
        """What one more attempt would take, more where attempts fail; never below the latency without a queue."""
        base_ms, queue_ms = self.expected_latency(now, default_latency_ms)
        cost = base_ms * (1 + len(self.in_flight)) + queue_ms
        if self.failure_share:
            cost *= 1 + FAILURE_COST_FACTOR * self.current_failure_share(now)
        return cost
