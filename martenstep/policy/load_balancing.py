"""Load balancing: picks the endpoint with the least expected delay within this instance's aperture.

The aperture is the set of endpoints, first in this instance's own order, that the instance sends attempts to.  The cost
of each endpoint in it is its expected delay, multiplied by a random factor that is the stronger the less current the
instance's measurements are.
"""

from __future__ import annotations

import math
import random

from martenstep.policy.endpoint_set import EndpointSet
from martenstep.policy.endpoint_stats import FAILURE_COST_FACTOR, EndpointStats
from martenstep.policy.messages import Endpoint, EndpointFilter, Settings
from martenstep.policy.send_rate import SendRate
from martenstep.policy.slow_start import SlowStart

# The aperture holds one endpoint for each attempt that the instance starts in this many milliseconds, so that each
# endpoint in it is measured about this often.
APERTURE_WINDOW_MS = 1500.0
# The aperture holds at least this many endpoints: with two, one overloaded endpoint would leave no choice.
MIN_APERTURE_ENDPOINTS = 3.0
# An instance's own attempts at an endpoint within this many milliseconds show the endpoint's queue.
INFORMATIVE_WINDOW_MS = 1000.0
# The choice relies on the measured queues if there are this many attempts per endpoint and informative window; with
# fewer attempts the choice is more random.
INFORMATIVE_ATTEMPTS = 1.0
# The choice keeps at least this randomness, so that instances do not all move to the same endpoint at once.
MIN_RANDOMNESS = 0.05
# The cost of an endpoint in another zone is multiplied by this: it must be faster by this factor to be worth leaving
# the zone.
OTHER_ZONE_COST_FACTOR = 1.06
# An endpoint that responded within this many milliseconds is assumed to have an open connection still.
CONNECTION_IDLE_MS = 10_000.0
# An attempt moves the EWMA of connections that could not be made by this fraction of the difference.
CONNECT_FAILURE_EWMA_WEIGHT = 0.2
# With this probability a choice replaces the most expensive endpoint of a full aperture by one not used lately.
ROTATION_PROBABILITY = 0.05
# Above this ratio of the best cost to the least latency no draw excludes a candidate, and all are evaluated in full.
MAX_COST_RATIO = 1e6
# A draw within this margin of the lowest losing draw is still evaluated in full, so that rounding excludes no winner.
DRAW_MARGIN = 1e-9


class LoadBalancer:
    """Picks endpoints within an aperture.

    If each of hundreds of instances used all endpoints, each would measure every endpoint too rarely, and all would
    continue to send to endpoints that are slow, overloaded or lost.  So each instance uses only a few endpoints, in an
    order of its own, and moves an endpoint that fails behind its aperture.  The cost: many instances may find the same
    few endpoints healthy; randomness and rotation even that out.  An instance with a high send rate uses all endpoints.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: EndpointSet,
        send_rate: SendRate,
        slow_start: SlowStart,
    ) -> None:
        """Choose among the endpoints that are up; `rng` is the instance's only source of randomness."""
        self._zone = settings.zone
        self._rng = rng
        self._endpoints = endpoints
        self._send_rate = send_rate
        self._slow_start = slow_start
        self._connect_failure_share = 0.0  # EWMA

    def aperture_size(self, now: float) -> float:
        """Return how many endpoints this instance uses at its present send rate."""
        return max(self._send_rate.unbiased_per_ms(now) * APERTURE_WINDOW_MS, MIN_APERTURE_ENDPOINTS)

    def randomness(self, now: float) -> float:
        """Return how random the choice is, up to 1 where this instance has no current measurement of the queues."""
        rate = self._send_rate.unbiased_per_ms(now)
        size = max(rate * APERTURE_WINDOW_MS, MIN_APERTURE_ENDPOINTS)
        attempts = rate * INFORMATIVE_WINDOW_MS / max(1, min(size, len(self._endpoints.up)))
        return max(1 - attempts / INFORMATIVE_ATTEMPTS, MIN_RANDOMNESS)

    def pick(self, now: float, eligible: EndpointFilter, attempted: list[int]) -> tuple[Endpoint, float] | None:
        """Return the endpoint with the least cost and the latency expected there; None where none may be used.

        `attempted` holds the ids of the endpoints of this request's earlier attempts.
        """
        size = self.aperture_size(now)
        candidates, draws = self._candidates(now, size, eligible)
        best = self._cheapest(now, candidates, draws, attempted)
        default_ms = self._endpoints.default_latency_ms
        if candidates and size <= len(candidates) and self._rng.random() < ROTATION_PROBABILITY:
            self.demote(now, max(candidates, key=lambda stats: stats.attempt_cost(now, default_ms)))
        return None if best is None else (best.endpoint, sum(best.expected_latency(now, default_ms)))

    def _candidates(self, now: float, size: float, eligible: EndpointFilter) -> tuple[list[EndpointStats], list[float]]:
        """Return the endpoints in the aperture that may be used now, and one random draw for each."""
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
        """Return the candidate with the least cost after each cost is multiplied by a random factor from its draw.

        With a randomness of 1 a candidate's odds are proportional to 1/cost.  A candidate whose draw is so high that
        not even an endpoint with the least latency could win with it is skipped without computing its cost.
        """
        best: EndpointStats | None = None
        best_cost = lowest_losing_draw = math.inf
        randomness = self.randomness(now)
        default_ms = self._endpoints.default_latency_ms
        min_latency_ms = self._endpoints.min_latency_ms()
        # Where connections fail, as with full connection tables, instances prefer endpoints that they are connected to.
        connect_factor = 1 + self._connect_failure_share * len(self._endpoints.up)
        for stats, drawn in zip(candidates, draws, strict=True):
            if drawn >= lowest_losing_draw:
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
                # The random factor of the least latency reaches this cost where -log(1 - draw) reaches the exponent.
                can_exclude = min_latency_ms > 0 and cost < min_latency_ms * MAX_COST_RATIO
                exponent = (cost / min_latency_ms) ** (1 / randomness) if can_exclude else math.inf
                lowest_losing_draw = 1 - math.exp(-exponent * (1 + DRAW_MARGIN)) + DRAW_MARGIN
        return best

    def demote(self, now: float, stats: EndpointStats) -> None:
        """Move an endpoint to a random place behind the aperture.

        The endpoint returns as the endpoints before it are demoted, not after a time.  It is not moved to the end:
        there all instances would leave it unused until all other endpoints had failed for them too.
        """
        up = self._endpoints.up
        if up:
            edge = up[min(int(self.aperture_size(now)), len(up) - 1)].rank
            farthest = up[-1].rank + 1 / len(up)
            self._endpoints.set_rank(stats, edge + (farthest - edge) * self._rng.random())

    def record_connect_result(self, failed: bool) -> None:
        """Update the share of failed connections with one attempt."""
        self._connect_failure_share += CONNECT_FAILURE_EWMA_WEIGHT * (failed - self._connect_failure_share)
