"""The choice of an endpoint: the least expected delay among the few that this instance keeps to."""

from __future__ import annotations

import math
import random

from martenstep.policy.endpoint_set import EndpointSet
from martenstep.policy.endpoint_stats import FAILURE_COST_FACTOR, EndpointStats
from martenstep.policy.messages import Endpoint, EndpointFilter, Settings
from martenstep.policy.send_rate import SendRate
from martenstep.policy.slow_start import SlowStart

APERTURE_MS = 1500.0  # an instance keeps to as many endpoints as it sends to in this time: so often it hears of each
MIN_APERTURE = 3.0  # with two, one that is overloaded leaves no choice
INFORMATIVE_MS = 1000.0  # own attempts at an endpoint in this time tell of its queue, ...
INFORMATIVE_ATTEMPTS = 1.0  # ... if there are so many; with fewer, chance decides
MIN_RANDOMNESS = 0.05  # of the choice, so that instances do not move in step
OTHER_ZONE_COST_FACTOR = 1.06  # an endpoint elsewhere must be this much quicker to be worth the crossing
CONNECTION_IDLE_MS = 10_000.0  # an endpoint that responded within this is taken to hold a connection still
CONNECT_FAILURE_EWMA_WEIGHT = 0.2
ROTATION_PROBABILITY = 0.05  # of a choice, that the most expensive endpoint gives way to one not used lately
MAX_COST_RATIO = 1e6  # to the least latency: a cost above it proves nothing about the others
DRAW_MARGIN = 1e-9  # a draw so near to the proof is evaluated in full


class LoadBalancer:
    """Picks endpoints within an aperture.

    If each of hundreds of instances used all endpoints, none would measure any of them well, and all would go on
    sending to those that are slow, overloaded or lost.  So each keeps to few, in an order of its own, and moves one
    that fails to the back.  The cost: many instances may find the same few endpoints healthy, which chance and rotation
    even out.  An instance that sends much uses all endpoints.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: EndpointSet,
        send_rate: SendRate,
        slow_start: SlowStart,
    ) -> None:
        """Choose among the endpoints that are up; `rng` is the one source of chance of the instance."""
        self._zone = settings.zone
        self._rng = rng
        self._endpoints = endpoints
        self._send_rate = send_rate
        self._slow_start = slow_start
        self._connect_failure_share = 0.0  # EWMA

    def aperture_size(self, now: float) -> float:
        """How many endpoints this instance keeps to at its present rate."""
        return max(self._send_rate.unbiased_per_ms(now) * APERTURE_MS, MIN_APERTURE)

    def randomness(self, now: float) -> float:
        """How far the choice is by chance: 1 where nothing is known of the endpoints' queues."""
        rate = self._send_rate.unbiased_per_ms(now)
        size = max(rate * APERTURE_MS, MIN_APERTURE)
        attempts = rate * INFORMATIVE_MS / max(1, min(size, len(self._endpoints.up)))
        return max(1 - attempts / INFORMATIVE_ATTEMPTS, MIN_RANDOMNESS)

    def pick(self, now: float, eligible: EndpointFilter, attempted: list[int]) -> tuple[Endpoint, float] | None:
        """The endpoint with the least expected delay, and the latency expected there; None where none may be used.

        `attempted` holds the ids of endpoints that this request was sent to before.
        """
        size = self.aperture_size(now)
        candidates, draws = self._candidates(now, size, eligible)
        best = self._cheapest(now, candidates, draws, attempted)
        default_ms = self._endpoints.default_latency_ms
        if candidates and size <= len(candidates) and self._rng.random() < ROTATION_PROBABILITY:
            self.demote(now, max(candidates, key=lambda stats: stats.attempt_cost(now, default_ms)))
        return None if best is None else (best.endpoint, sum(best.expected_latency(now, default_ms)))

    def _candidates(self, now: float, size: float, eligible: EndpointFilter) -> tuple[list[EndpointStats], list[float]]:
        """The endpoints in the aperture that may be used now, and a draw of chance for each."""
        draw = self._rng.random
        up = self._endpoints.up
        if eligible is None and now >= self._endpoints.all_warm_at:
            candidates = up[: math.ceil(size)]
            return candidates, [draw() for _ in candidates]
        candidates = []
        draws: list[float] = []
        for stats in up:
            if eligible and not eligible(stats.endpoint):
                continue
            if stats.endpoint.started_ms > 0 and not self._slow_start.admits(now, stats):
                continue
            if size <= len(candidates):
                break
            candidates.append(stats)
            draws.append(draw())
        return candidates, draws

    def _cheapest(
        self,
        now: float,
        candidates: list[EndpointStats],
        draws: list[float],
        attempted: list[int],
    ) -> EndpointStats | None:
        """The candidate of least cost, each cost varied by its draw: where nothing is known, with odds as 1/cost.

        A draw so high that not even the quickest endpoint could win with it settles a candidate at once.
        """
        best: EndpointStats | None = None
        best_cost = winning_draw = math.inf
        randomness = self.randomness(now)
        default_ms = self._endpoints.default_latency_ms
        min_latency_ms = self._endpoints.min_latency_ms()
        # Where connection tables are full, all instances keep to endpoints that they are connected to.
        connect_factor = 1 + self._connect_failure_share * len(self._endpoints.up)
        for stats, drawn in zip(candidates, draws, strict=True):
            if drawn >= winning_draw:
                continue
            cost = stats.attempt_cost(now, default_ms) * (-math.log(1 - drawn)) ** randomness
            if stats.endpoint.zone != self._zone:
                cost *= OTHER_ZONE_COST_FACTOR
            if stats.endpoint.id in attempted:
                cost *= FAILURE_COST_FACTOR
            if now - stats.last_response_at >= CONNECTION_IDLE_MS:
                cost *= connect_factor
            if best is None or cost < best_cost:
                best = stats
                best_cost = cost
                # From this draw on not even the quickest endpoint could cost less.
                is_proof = min_latency_ms > 0 and cost < min_latency_ms * MAX_COST_RATIO
                min_exponent = (cost / min_latency_ms) ** (1 / randomness) if is_proof else math.inf
                winning_draw = 1 - math.exp(-min_exponent * (1 + DRAW_MARGIN)) + DRAW_MARGIN
        return best

    def demote(self, now: float, stats: EndpointStats) -> None:
        """Move an endpoint to any place behind the aperture: memory of a bad one by what was tried since, not by time.

        Not to the end, where all instances would leave it until all others had failed them too.
        """
        up = self._endpoints.up
        if up:
            edge = up[min(int(self.aperture_size(now)), len(up) - 1)].rank
            farthest = up[-1].rank + 1 / len(up)
            self._endpoints.move(stats, edge + (farthest - edge) * self._rng.random())

    def record_connect_result(self, failed: bool) -> None:
        """Learn from one attempt whether connections can be made."""
        self._connect_failure_share += CONNECT_FAILURE_EWMA_WEIGHT * (failed - self._connect_failure_share)
