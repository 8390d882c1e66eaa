"""The endpoints that discovery has listed, and the order in which this instance uses them."""

from __future__ import annotations

import math
import random
from bisect import bisect_left, insort
from dataclasses import replace

from martenstep.policy.endpoint_stats import (
    BASE_LATENCY_WEIGHT_DOWN,
    BASE_LATENCY_WEIGHT_UP,
    MIN_CAPACITY,
    EndpointStats,
)
from martenstep.policy.gcra import MS_PER_S
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointListUpdate, EndpointState, Settings

# Before any response, an attempt is expected to take this fraction of the shortest latency objective.
INITIAL_LATENCY_SHARE = 0.12
# The bounds are recomputed after this many responses, because the least latency may have risen.
BOUNDS_REFRESH_RESPONSES = 500


def by_rank(stats: EndpointStats) -> float:
    """Return the sort key of the order in which this instance uses endpoints."""
    return stats.rank


class EndpointSet:
    """The endpoints by id, and those that are up by rank, with bounds on their latency and warm-up."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Begin empty; `rng` draws the rank of each new endpoint."""
        self._rng = rng
        self._slow_start_window_ms = settings.slow_start_window_ms
        self.min_objective_ms = min((cls.latency_objective_ms for cls in settings.classes), default=MS_PER_S)
        self.default_latency_ms = INITIAL_LATENCY_SHARE * self.min_objective_ms  # expected before a first response
        self.by_id: dict[int, EndpointStats] = {}
        self.up: list[EndpointStats] = []  # sorted by rank
        self.all_warm_at = -math.inf  # no endpoint is warming up at or after this time
        self._min_base_latency_ms = math.inf  # lower bound on the known base latencies
        self._max_capacity = 1.0
        self._responses_since_refresh = 0

    def update(self, event: EndpointListUpdate) -> None:
        """Apply an endpoint list: a full list replaces the endpoints held, a delta changes them."""
        if event.scope is EndpointListScope.DELTA:
            for endpoint in event.endpoints:
                self._apply_change(endpoint)
            return
        endpoints_by_id = {endpoint.id: endpoint for endpoint in event.endpoints}
        if event.scope in (EndpointListScope.FULL, EndpointListScope.CACHED):
            for endpoint_id, stats in self.by_id.items():
                if endpoint_id not in endpoints_by_id:
                    stats.endpoint = replace(stats.endpoint, state=EndpointState.REMOVED)
        for endpoint_id, endpoint in endpoints_by_id.items():
            self._add_or_update(endpoint_id, endpoint)
        self.by_id = {
            endpoint_id: stats
            for endpoint_id, stats in self.by_id.items()
            if stats.endpoint.state is not EndpointState.REMOVED or stats.in_flight
        }
        self.up = [stats for stats in self.by_id.values() if stats.endpoint.state is EndpointState.UP]
        self.up.sort(key=by_rank)
        self._refresh_bounds()

    def _add_or_update(self, endpoint_id: int, endpoint: Endpoint) -> None:
        stats = self.by_id.get(endpoint_id)
        if stats is None:
            self.by_id[endpoint_id] = EndpointStats(endpoint, self._rng.random())
        elif endpoint.started_ms > stats.endpoint.started_ms:
            self.by_id[endpoint_id] = stats.after_restart(endpoint)
        else:
            stats.endpoint = endpoint

    def _apply_change(self, endpoint: Endpoint) -> None:
        """Apply one entry of a delta without a pass over all endpoints."""
        old = self.by_id.get(endpoint.id)
        if old is not None:
            self._remove_from_order(old)
        self._add_or_update(endpoint.id, endpoint)
        stats = self.by_id[endpoint.id]
        if endpoint.state is EndpointState.REMOVED and not stats.in_flight:
            del self.by_id[endpoint.id]
        elif endpoint.state is EndpointState.UP:
            insort(self.up, stats, key=by_rank)
            self._widen_bounds(stats)

    def _remove_from_order(self, stats: EndpointStats) -> None:
        """Remove an endpoint from the order, if the order contains it."""
        index = bisect_left(self.up, stats.rank, key=by_rank)
        while index < len(self.up) and self.up[index].rank == stats.rank:
            if self.up[index] is stats:
                del self.up[index]
                return
            index += 1

    def set_rank(self, stats: EndpointStats, rank: float) -> None:
        """Move an endpoint to another place in the order."""
        self._remove_from_order(stats)
        stats.rank = rank
        if stats.endpoint.state is EndpointState.UP:
            insort(self.up, stats, key=by_rank)

    def min_latency_ms(self) -> float:
        """Return a lower bound on the expected time of an attempt at any endpoint."""
        return min(self._min_base_latency_ms, self.default_latency_ms / max(self._max_capacity, MIN_CAPACITY))

    def record_latency(self, base_latency_ms: float, rtt_ms: float) -> None:
        """Update the bounds, and the latency expected of endpoints without a response, with one response."""
        self._min_base_latency_ms = min(self._min_base_latency_ms, base_latency_ms)
        self._responses_since_refresh += 1
        if self._responses_since_refresh >= BOUNDS_REFRESH_RESPONSES:
            self._refresh_bounds()
        weight = BASE_LATENCY_WEIGHT_DOWN if rtt_ms < self.default_latency_ms else BASE_LATENCY_WEIGHT_UP
        self.default_latency_ms += weight / 2 * (rtt_ms - self.default_latency_ms)

    def _widen_bounds(self, stats: EndpointStats) -> None:
        """Widen the bounds so that they hold for one more endpoint.

        Bounds that are too wide only make the load balancer evaluate more endpoints than needed; a refresh narrows them
        again.
        """
        self._min_base_latency_ms = min(self._min_base_latency_ms, stats.base_latency_ms or math.inf)
        self._max_capacity = max(self._max_capacity, stats.endpoint.capacity)
        if stats.endpoint.started_ms > 0:
            self.all_warm_at = max(self.all_warm_at, stats.endpoint.started_ms + self._slow_start_window_ms)

    def _refresh_bounds(self) -> None:
        self._min_base_latency_ms = min(
            (stats.base_latency_ms for stats in self.up if stats.base_latency_ms), default=math.inf
        )
        self._max_capacity = max((stats.endpoint.capacity for stats in self.up), default=1.0)
        last_start = max((stats.endpoint.started_ms for stats in self.up), default=0.0)
        self.all_warm_at = last_start + self._slow_start_window_ms if last_start > 0 else -math.inf
        self._responses_since_refresh = 0
