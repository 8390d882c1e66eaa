"""Slow start must not overload cold endpoints with the sum of all gateways' attempts.

A zone is lost and comes back cold, some gateways restart with it, and some gateways carry several times the traffic of
others.  In an overload window, a cold endpoint with a budget of N attempts may by chance get 2 * sqrt(N) + 2 more.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

import pytest

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from tests.policy_events import SETTINGS

INSTANCES, ENDPOINTS, ZONES = 25, 24, "abc"
ZONE_LOST_AT_MS, ZONE_BACK_AT_MS = 8000.0, 12_000.0
WARM_UP_MS, OVERLOAD_WINDOW_MS, OVERLOAD_MULTIPLE = 8000.0, 1000.0, 2.0
TRAFFIC_WEIGHTS = (1, 1, 1, 2, 3, 6)  # relative traffic of a gateway, drawn for each
RESTARTED_SHARE = 0.4  # of the gateways stop when the zone is lost and restart when it comes back


class World:
    """All gateways and endpoints in virtual time; every attempt succeeds."""

    def __init__(self, seed: int, initial_share: float, warm_rate: float, utilization: float) -> None:
        """`warm_rate` is the capacity of a warm endpoint in attempts per second, `utilization` the part requested."""
        self.rng = random.Random(seed)
        self.initial_share, self.requests_per_ms = initial_share, utilization * ENDPOINTS * warm_rate / 1000.0
        self.now = 0.0
        self.endpoints = {
            n: api.Endpoint(n, ZONES[n % len(ZONES)], "std", 0, api.EndpointState.UP) for n in range(ENDPOINTS)
        }
        self.gateways: list[Gateway | None] = [self.start_gateway(number, seed) for number in range(INSTANCES)]
        self.traffic_weights = [self.rng.choice(TRAFFIC_WEIGHTS) for _ in range(INSTANCES)]
        self.attempts_at_cold: dict[int, list[float]] = {}  # start times by cold endpoint
        self.queue: list[tuple[float, int, int, Gateway, api.Event]] = []
        self.serial = 0

    def start_gateway(self, number: int, seed: int) -> Gateway:
        """Start a gateway and give it the current endpoint list."""
        gateway = Gateway(
            replace(
                SETTINGS,
                instance=number,
                instances=INSTANCES,
                zone=ZONES[number % len(ZONES)],
                slow_start_initial_share=self.initial_share,
                slow_start_window_ms=WARM_UP_MS,
                overload_multiple=OVERLOAD_MULTIPLE,
                overload_window_ms=OVERLOAD_WINDOW_MS,
                has_counter=False,
                plans=(api.Plan("free"),),
            ),
            seed * INSTANCES + number,
        )
        gateway.handle(self.now, api.EndpointListUpdate(api.EndpointListScope.CACHED, tuple(self.endpoints.values())))
        return gateway

    def execute(self, number: int, gateway: Gateway, actions: Iterable[api.Action]) -> None:
        """Schedule the events that follow from a gateway's actions."""
        for action in actions:
            self.serial += 1
            if isinstance(action, api.StartAttempt):
                if action.endpoint in self.attempts_at_cold:
                    self.attempts_at_cold[action.endpoint].append(self.now)
                rtt = self.rng.uniform(20.0, 120.0)
                ended = api.AttemptEnded(action.id, 0, action.endpoint, api.CallResult.OK, rtt, True)
                heapq.heappush(self.queue, (self.now + rtt, self.serial, number, gateway, ended))
            elif isinstance(action, api.SetTimer):
                heapq.heappush(self.queue, (action.at_ms, self.serial, number, gateway, api.TimerFired(action.token)))

    def lose_zone(self) -> None:
        """Remove the endpoints of one zone, and stop some gateways."""
        lost = [one for one in self.endpoints.values() if one.zone == ZONES[0]]
        removed = tuple(replace(one, state=api.EndpointState.REMOVED) for one in lost)
        self.endpoints = {n: one for n, one in self.endpoints.items() if one.zone != ZONES[0]}
        for number, gateway in enumerate(self.gateways):
            if gateway is not None:
                gateway.handle(self.now, api.EndpointListUpdate(api.EndpointListScope.DELTA, removed))
            if self.rng.random() < RESTARTED_SHARE:
                self.gateways[number] = None

    def restore_zone(self, seed: int) -> None:
        """List new, cold endpoints in the lost zone, all at once, and restart the stopped gateways without state."""
        for number in range(ENDPOINTS // len(ZONES)):
            key = ENDPOINTS + number
            self.endpoints[key] = api.Endpoint(key, ZONES[0], "std", 0, api.EndpointState.UP, 1.0, self.now)
            self.attempts_at_cold[key] = []
        full_list = api.EndpointListUpdate(api.EndpointListScope.FULL, tuple(self.endpoints.values()))
        for number, gateway in enumerate(self.gateways):
            if gateway is None:
                self.gateways[number] = self.start_gateway(number, seed + 1)
            else:
                gateway.handle(self.now, full_list)

    def run(self, seed: int) -> None:
        """Run from the first request until the restored zone is warm."""
        steps: list[tuple[float, Any]] = [
            (ZONE_LOST_AT_MS, self.lose_zone),
            (ZONE_BACK_AT_MS, lambda: self.restore_zone(seed)),
            (ZONE_BACK_AT_MS + WARM_UP_MS, None),
        ]
        next_request_at = self.rng.expovariate(self.requests_per_ms)
        while True:
            due = min(next_request_at, steps[0][0], self.queue[0][0] if self.queue else math.inf)
            self.now = due
            if due == steps[0][0]:
                step = steps.pop(0)[1]
                if step is None:
                    return
                step()
            elif due == next_request_at:
                next_request_at += self.rng.expovariate(self.requests_per_ms)
                [number] = self.rng.choices(range(INSTANCES), self.traffic_weights)
                gateway = self.gateways[number]
                self.serial += 1
                if gateway is not None:
                    request = api.Request(f"r{self.serial}", "read", "free", self.serial, 4000.0, 1.0, 1)
                    self.execute(number, gateway, gateway.handle(due, request))
            else:
                _, _, number, sender, event = heapq.heappop(self.queue)
                if self.gateways[number] is sender:
                    self.execute(number, sender, sender.handle(due, event))


@pytest.mark.parametrize(
    ("initial_share", "warm_rate", "utilization", "warms_up"),
    [
        (0.3, 20.0, 0.65, True),
        (0.16, 20.0, 0.9, True),
        (0.3, 20.0, 0.65, False),
        (0.16, 5.0, 0.9, True),
        (0.16, 2.0, 0.65, False),
    ],
)
def test_slow_start_does_not_overload_the_endpoints_of_a_zone_that_comes_back_cold(
    initial_share: float, warm_rate: float, utilization: float, warms_up: bool
) -> None:
    """With `warms_up` the capacity grows with age; without, it stays at its initial share to the end of the window."""
    seed = 7
    world = World(seed, initial_share, warm_rate, utilization)
    world.run(seed)
    assert sum(len(starts) for starts in world.attempts_at_cold.values()) > 0, "the cold endpoints got no attempt"
    for starts in world.attempts_at_cold.values():
        for index, started_at in enumerate(starts):
            age_ms = max(started_at - OVERLOAD_WINDOW_MS - ZONE_BACK_AT_MS, 0.0)
            share = initial_share + (1 - initial_share) * age_ms / WARM_UP_MS if warms_up else initial_share
            budget = OVERLOAD_MULTIPLE * share * warm_rate * OVERLOAD_WINDOW_MS / 1000.0
            within = sum(started_at - OVERLOAD_WINDOW_MS < other for other in starts[: index + 1])
            assert within <= budget + 2 * math.sqrt(budget) + 2
