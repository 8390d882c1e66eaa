"""Slow start: an endpoint that started a moment ago gets attempts at a limited, growing rate."""

from __future__ import annotations

import random

from martenstep.policy.endpoint_set import EndpointSet
from martenstep.policy.endpoint_stats import EndpointStats
from martenstep.policy.gcra import MS_PER_S
from martenstep.policy.messages import Settings
from martenstep.policy.send_rate import SendRate

BUDGET_SHARE = 0.5  # of the stated budget that is used: its size and the other instances' use are guesses
MIN_SENDS_PER_WINDOW = 1.0  # of all instances, per overload window, while no usual load is known


class SlowStart:
    """Spaces the attempts of this instance at endpoints that are warming up."""

    def __init__(self, settings: Settings, rng: random.Random, endpoints: EndpointSet, send_rate: SendRate) -> None:
        """The usual load of an endpoint is read from `send_rate` and the number of endpoints that are up."""
        self._settings = settings
        self._rng = rng
        self._endpoints = endpoints
        self._send_rate = send_rate

    def interval_ms(self, now: float, stats: EndpointStats) -> float:
        """The least time between attempts at an endpoint that is warming up; 0 for a warm one."""
        settings = self._settings
        age_ms = now - stats.endpoint.started_ms
        if stats.endpoint.started_ms <= 0 or age_ms >= settings.slow_start_window_ms:
            return 0.0
        initial = settings.slow_start_initial_share
        share = initial + (1 - initial) * max(age_ms, 0.0) / settings.slow_start_window_ms
        usual_rate = self._send_rate.per_ms(now) / max(1, len(self._endpoints.up))
        min_rate = MIN_SENDS_PER_WINDOW / max(settings.overload_window_ms, MS_PER_S) / settings.instances
        return 1 / max(BUDGET_SHARE * settings.overload_multiple * share * usual_rate, min_rate)

    def admits(self, now: float, stats: EndpointStats) -> bool:
        """Whether an endpoint may get an attempt now.

        The first one is spread over the interval by chance: every instance hears of a new endpoint at about the same
        moment, and each would send its first at once.
        """
        interval_ms = self.interval_ms(now, stats)
        if interval_ms and stats.slow_start_next_at is None:
            stats.slow_start_next_at = now + interval_ms * self._rng.random()
        return not interval_ms or stats.slow_start_next_at is None or now >= stats.slow_start_next_at

    def record_start(self, now: float, stats: EndpointStats) -> None:
        """Take in that an attempt was started."""
        stats.slow_start_next_at = now + self.interval_ms(now, stats)
