"""Slow start: an endpoint that has just started gets attempts at a limited, growing rate.

The capacity of a cold endpoint grows from an initial share to that of a warm one during the slow start window.  A load
above a stated multiple of that capacity within an overload window overloads the endpoint.  The usual load of a warm
endpoint stands for its capacity.
"""

from __future__ import annotations

import random

from martenstep.policy.endpoint_set import EndpointSet
from martenstep.policy.endpoint_stats import EndpointStats
from martenstep.policy.gcra import MS_PER_S
from martenstep.policy.messages import Settings
from martenstep.policy.send_rate import SendRate

# This fraction of an endpoint's overload budget is used, because its size and the other instances' use of it are
# estimates.
BUDGET_SHARE = 0.5
# All instances together may start this many attempts at an endpoint per overload window while the usual load is not
# known.
MIN_ATTEMPTS_PER_WINDOW = 1.0


class SlowStart:
    """Spaces the attempts of this instance at endpoints that are warming up."""

    def __init__(self, settings: Settings, rng: random.Random, endpoints: EndpointSet, send_rate: SendRate) -> None:
        """The usual load of an endpoint is `send_rate` divided by the number of endpoints that are up."""
        self._settings = settings
        self._rng = rng
        self._endpoints = endpoints
        self._send_rate = send_rate

    def interval_ms(self, now: float, stats: EndpointStats) -> float:
        """Return the least time between attempts at an endpoint that is warming up; 0 for a warm endpoint."""
        settings = self._settings
        age_ms = now - stats.endpoint.started_ms
        if stats.endpoint.started_ms <= 0 or age_ms >= settings.slow_start_window_ms:
            return 0.0
        initial = settings.slow_start_initial_share
        share = initial + (1 - initial) * max(age_ms, 0.0) / settings.slow_start_window_ms
        usual_rate = self._send_rate.per_ms(now) / max(1, len(self._endpoints.up))
        min_rate = MIN_ATTEMPTS_PER_WINDOW / max(settings.overload_window_ms, MS_PER_S) / settings.instances
        return 1 / max(BUDGET_SHARE * settings.overload_multiple * share * usual_rate, min_rate)

    def admits(self, now: float, stats: EndpointStats) -> bool:
        """Return whether an endpoint may get an attempt now.

        The first attempt is delayed by a random part of the interval: every instance is notified of a new endpoint at
        about the same time, and without the delay all would send their first attempt at once.
        """
        interval_ms = self.interval_ms(now, stats)
        if interval_ms and stats.slow_start_next_at is None:
            stats.slow_start_next_at = now + interval_ms * self._rng.random()
        return not interval_ms or stats.slow_start_next_at is None or now >= stats.slow_start_next_at

    def record_start(self, now: float, stats: EndpointStats) -> None:
        """Schedule the earliest next attempt after one that was started."""
        stats.slow_start_next_at = now + self.interval_ms(now, stats)
