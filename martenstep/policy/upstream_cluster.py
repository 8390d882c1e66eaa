"""All endpoints as one instance has observed them: which are listed, how loaded and healthy they are, which to use."""

from __future__ import annotations

import random

from martenstep.policy.concurrency_limit import ConcurrencyLimit
from martenstep.policy.endpoint_set import EndpointSet
from martenstep.policy.endpoint_stats import EndpointStats
from martenstep.policy.load_balancing import LoadBalancer
from martenstep.policy.messages import (
    AttemptEnded,
    AttemptId,
    CallResult,
    Endpoint,
    EndpointFilter,
    EndpointListUpdate,
    Settings,
)
from martenstep.policy.send_rate import SendRate
from martenstep.policy.slow_start import SlowStart

# An endpoint without a response for this many times its expected latency counts as silent.
SILENCE_LATENCY_MULTIPLE = 4.0
# The silence time-out assumes an expected latency of at least this fraction of the mean latency of all endpoints,
# because few responses measure a single endpoint.
MIN_SILENCE_LATENCY_SHARE = 0.75
# The silence time-out is at least this fraction of the latency objective, so that one long request does not count as
# silence.
MIN_SILENCE_OBJECTIVE_SHARE = 0.35


class UpstreamCluster:
    """Records the attempts at all endpoints and their results, and picks an endpoint for each attempt."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Begin without endpoints; `rng` is the instance's only source of randomness."""
        self.endpoints = EndpointSet(settings, rng)
        self.limit = ConcurrencyLimit(settings.instances, rng)
        self._send_rate = SendRate()
        self._slow_start = SlowStart(settings, rng, self.endpoints, self._send_rate)
        self._balancer = LoadBalancer(settings, rng, self.endpoints, self._send_rate, self._slow_start)

    def update_endpoints(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list."""
        self.endpoints.update(event)

    def responds_quickly(self, now: float) -> bool:
        """Return whether the responses that arrive are quick."""
        return self.limit.responds_quickly(self._balancer.randomness(now))

    def is_half_open(self, now: float) -> bool:
        """Return whether an unconfirmed request is admitted though responses are slow."""
        return self.limit.is_half_open(len(self.endpoints.up), now - self._send_rate.last_attempt_at)

    def is_at_limit(self) -> bool:
        """Return whether the concurrency limit is reached."""
        return self.limit.is_reached(len(self.endpoints.up))

    def pick(self, now: float, eligible: EndpointFilter, attempted: list[int]) -> tuple[Endpoint, float] | None:
        """See `LoadBalancer.pick`."""
        return self._balancer.pick(now, eligible, attempted)

    def silence_timeout_ms(self, now: float, endpoint_id: int, objective_ms: float) -> float:
        """Return the time without a response after which an endpoint counts as silent."""
        stats = self.endpoints.by_id[endpoint_id]
        expected_ms = sum(stats.expected_latency(now, self.endpoints.default_latency_ms))
        usual_ms = max(expected_ms, MIN_SILENCE_LATENCY_SHARE * self.limit.latency_share * objective_ms)
        return max(SILENCE_LATENCY_MULTIPLE * usual_ms, MIN_SILENCE_OBJECTIVE_SHARE * objective_ms)

    def attempt_started(self, now: float, endpoint_id: int, attempt: AttemptId) -> None:
        """Record that an attempt was started."""
        stats = self.endpoints.by_id[endpoint_id]
        stats.in_flight[attempt] = now
        self.limit.in_flight += 1
        self._send_rate.record(now)
        self._slow_start.record_start(now, stats)

    def attempt_ended(self, now: float, event: AttemptEnded, objective_ms: float) -> None:
        """Record how an attempt ended; `objective_ms` is infinite if the request is no longer in flight."""
        self.limit.in_flight -= 1
        stats = self.endpoints.by_id.get(event.endpoint)
        if stats is None:
            return
        started_at = stats.in_flight.pop((event.id, event.attempt), now)
        result = event.result
        self._balancer.record_connect_result(result is CallResult.CONNECT_FAILED)
        if result in (CallResult.OK, CallResult.ERROR, CallResult.OVERLOADED):
            stats.last_response_at = now
        if result is CallResult.OK:
            self._record_response(now, stats, event.rtt_ms, started_at, objective_ms)
        elif result is CallResult.OVERLOADED:
            # An overloaded endpoint responds at once: without this bound it would look idle and attract all traffic.
            stats.record_latency_bound(now, self.endpoints.min_objective_ms)
        elif result is CallResult.TIMEOUT and started_at >= stats.latest_answered_start:
            # A time-out that a later attempt overtook is a fault of its connection and shows no load of the endpoint.
            randomness = self._balancer.randomness(now)
            self.limit.record_timeout(len(self.endpoints.up), event.rtt_ms, objective_ms, randomness)
            stats.record_latency_bound(now, event.rtt_ms)
        if result not in (CallResult.NOT_SENT, CallResult.CANCELLED):
            failed = result is not CallResult.OK
            stats.record_result(now, failed)
            if failed:
                self._balancer.demote(now, stats)

    def _record_response(
        self, now: float, stats: EndpointStats, rtt_ms: float, started_at: float, objective_ms: float
    ) -> None:
        stats.record_response(now, rtt_ms, started_at, self.endpoints.default_latency_ms)
        self.endpoints.record_latency(stats.base_latency_ms, rtt_ms)
        randomness = self._balancer.randomness(now)
        self.limit.record_response(len(self.endpoints.up), rtt_ms, objective_ms, randomness)

    def abandon_if_silent(self, now: float, endpoint_id: int, attempt: AttemptId, silence_timeout_ms: float) -> bool:
        """Record a failure if the endpoint of an attempt is silent; return whether the attempt is to be abandoned.

        The attempt is not abandoned while the responses that arrive are slow.
        """
        stats = self.endpoints.by_id.get(endpoint_id)
        if stats is None or attempt not in stats.in_flight or now - stats.last_response_at < silence_timeout_ms:
            return False
        # Without this bound only quick responses would enter the measured latency.
        stats.record_latency_bound(now, now - stats.in_flight[attempt])
        stats.record_result(now, True)
        self._balancer.demote(now, stats)
        return self.responds_quickly(now)
