"""The measurements that one instance keeps of one endpoint: latency, queueing delay, failures and attempts in flight.

The base latency is the latency without a queue; latency beyond it counts as queueing delay.  All times are
milliseconds.
"""

from __future__ import annotations

import math

from martenstep.policy.messages import AttemptId, Endpoint

# A response moves the EWMA of the latency by this fraction of the difference: about the last six responses count.
LATENCY_EWMA_WEIGHT = 0.15
# A response that is faster than the base latency moves it by this fraction of the difference.
BASE_LATENCY_WEIGHT_DOWN = 0.1
# A response that is slower than the base latency moves it by this fraction of the difference.  The fraction is smaller
# than for a faster response, so that the base latency settles at a level that few responses fall below.
BASE_LATENCY_WEIGHT_UP = 0.02
# After n responses the next one moves the base latency by at least 1 / (n + this) of the difference, so that the
# initial guess counts as much as a few responses.
BASE_LATENCY_PRIOR_RESPONSES = 3.0
# A measured queueing delay decays with a time constant of at least this many milliseconds, because its queue drains.
MIN_QUEUE_DECAY_MS = 1000.0
# A measured queueing delay decays with a time constant of at least this many times itself, because other instances
# still add to a long queue while it drains.
QUEUE_DECAY_DELAYS = 1.5
# A result moves the failure share by this fraction of the difference: two failures in a row are a clear sign and raise
# the share from 0 to 0.64.
FAILURE_EWMA_WEIGHT = 0.4
# The failure share decays with this time constant in milliseconds, so that an endpoint that failed is tried again.
FAILURE_DECAY_MS = 5000.0
# An endpoint whose attempts all fail costs 1 + this times as much as a healthy one.
FAILURE_COST_FACTOR = 6.0
# The expected latency is divided by a relative capacity of at least this, so that it stays bounded.
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
        """Begin without measurements; `rank` is the endpoint's place in this instance's order of endpoints."""
        self.endpoint = endpoint
        self.rank = rank
        self.in_flight: dict[AttemptId, float] = {}  # start time of each attempt in flight, in order of start
        self.base_latency_ms = 0.0  # falls fast with fast responses and rises slowly with slow ones; 0 if unknown
        self.latency_ms = 0.0  # EWMA over responses, or a lower bound
        self.latency_updated_at = -math.inf
        self.latency_is_lower_bound = False  # `latency_ms` was not measured by a response; the latency is at least that
        self.latest_answered_start = -math.inf  # the latest start among the attempts with a successful response
        self.failure_share = 0.0  # EWMA as of `failure_updated_at`
        self.failure_updated_at = -math.inf
        self.last_response_at = -math.inf
        self.responses = 0  # number of successful responses
        self.slow_start_next_at: float | None = None  # earliest next attempt in slow start; None if not yet scheduled

    def after_restart(self, endpoint: Endpoint) -> EndpointStats:
        """Return the measurements after the endpoint's restart, which leaves only the base latency valid."""
        fresh = EndpointStats(endpoint, self.rank)
        fresh.in_flight = self.in_flight
        fresh.base_latency_ms = self.base_latency_ms
        return fresh

    def current_failure_share(self, now: float) -> float:
        """Return the share of attempts that fail, decayed since its last update."""
        return self.failure_share * math.exp((self.failure_updated_at - now) / FAILURE_DECAY_MS)

    def record_result(self, now: float, failed: bool) -> None:
        """Update the failure share with one result; an attempt abandoned without a response counts as failed."""
        old_share = self.current_failure_share(now)
        self.failure_share = (1 - FAILURE_EWMA_WEIGHT) * old_share + FAILURE_EWMA_WEIGHT * failed
        self.failure_updated_at = now

    def record_response(self, now: float, rtt_ms: float, started_at: float, default_latency_ms: float) -> None:
        """Update the latencies with a successful response; the first starts from `default_latency_ms`."""
        if not self.base_latency_ms:
            self.base_latency_ms = self.latency_ms = default_latency_ms / max(self.endpoint.capacity, MIN_CAPACITY)
        weight = BASE_LATENCY_WEIGHT_DOWN if rtt_ms < self.base_latency_ms else BASE_LATENCY_WEIGHT_UP
        weight = max(weight, 1 / (self.responses + BASE_LATENCY_PRIOR_RESPONSES))
        self.base_latency_ms += weight * (rtt_ms - self.base_latency_ms)
        self.responses += 1
        # An attempt that started after the bound was recorded measures the latency that the bound only estimated, so
        # one response to such an attempt replaces the bound.
        refutes_bound = self.latency_is_lower_bound and started_at >= self.latency_updated_at
        self.latency_ms += (1.0 if refutes_bound else LATENCY_EWMA_WEIGHT) * (rtt_ms - self.latency_ms)
        self.latency_updated_at = now
        self.latest_answered_start = max(self.latest_answered_start, started_at)
        self.latency_is_lower_bound = self.latency_is_lower_bound and not refutes_bound

    def record_latency_bound(self, now: float, bound_ms: float) -> None:
        """Record that the latency is at least this, though no response measured it.

        An attempt that was given up without a response shows a queue of at least its wait, and the endpoint may still
        be executing the abandoned work.
        """
        if bound_ms > self.latency_ms:
            self.latency_ms = bound_ms
            self.latency_is_lower_bound = True
        self.latency_updated_at = now

    def expected_latency(self, now: float, default_latency_ms: float) -> tuple[float, float]:
        """Return the base latency and the expected queueing delay.

        A measured queueing delay decays, so that an endpoint is not avoided for a queue that has drained long ago.
        """
        base_ms = self.base_latency_ms
        if not base_ms:
            return default_latency_ms / max(self.endpoint.capacity, MIN_CAPACITY), 0.0
        queue_ms = max(self.latency_ms - base_ms, 0.0)
        if queue_ms:
            decay_ms = max(MIN_QUEUE_DECAY_MS, QUEUE_DECAY_DELAYS * queue_ms)
            queue_ms *= math.exp((self.latency_updated_at - now) / decay_ms)
        # An attempt in flight for longer than the base latency shows a queue before its response does, and the oldest
        # attempt shows most of it.  An attempt that a later one overtook shows no queue.
        for started_at in self.in_flight.values():
            if started_at >= self.latest_answered_start:
                return base_ms, max(queue_ms, now - started_at - base_ms)
        return base_ms, queue_ms

    def attempt_cost(self, now: float, default_latency_ms: float) -> float:
        """Return the expected time of one more attempt, raised where attempts fail; never below the base latency."""
        base_ms, queue_ms = self.expected_latency(now, default_latency_ms)
        cost = base_ms * (1 + len(self.in_flight)) + queue_ms
        if self.failure_share:
            cost *= 1 + FAILURE_COST_FACTOR * self.current_failure_share(now)
        return cost
