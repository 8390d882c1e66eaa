"""The load balancer skips endpoints that cannot win, and must pick as if it evaluated every endpoint.

Both balancers get the same events and must decide the same, down to the state of the random number generator.
"""

from __future__ import annotations

import heapq
import math
import random

import pytest

from martenstep.config.policy_settings import build_policy_settings
from martenstep.policy import messages as api
from martenstep.policy.endpoint_stats import FAILURE_COST_FACTOR, EndpointStats
from martenstep.policy.gateway import Gateway
from martenstep.policy.load_balancing import (
    CONNECTION_IDLE_MS,
    OTHER_ZONE_COST_FACTOR,
    ROTATION_PROBABILITY,
    LoadBalancer,
)
from tests.engine_rig import gateway_settings

FAILURES = (
    api.CallResult.ERROR,
    api.CallResult.OVERLOADED,
    api.CallResult.CONNECT_FAILED,
    api.CallResult.RESET,
    api.CallResult.TIMEOUT,
)


class ExhaustiveBalancer(LoadBalancer):
    """Evaluates every endpoint in the aperture in full."""

    def pick(self, now: float, eligible: api.EndpointFilter, attempted: list[int]) -> tuple[api.Endpoint, float] | None:
        """Compute the cost of one endpoint after the other."""
        best: tuple[float, EndpointStats] | None = None
        worst: tuple[float, EndpointStats] | None = None
        size, randomness, draw = self.aperture_size(now), self.randomness(now), self._rng.random
        default_ms = self._endpoints.default_latency_ms
        for stats in self._endpoints.up:
            if eligible and not eligible(stats.endpoint):
                continue
            if stats.endpoint.started_ms > 0 and not self._slow_start.admits(now, stats):
                continue
            if size <= 0:
                break
            size -= 1
            base, queue = stats.expected_latency(now, default_ms)
            cost = base * (1 + len(stats.in_flight)) + queue
            if stats.failure_share:
                cost *= 1 + FAILURE_COST_FACTOR * stats.current_failure_share(now)
            if worst is None or cost > worst[0]:
                worst = cost, stats
            cost *= (-math.log(1 - draw())) ** randomness
            if stats.endpoint.zone != self._zone:
                cost *= OTHER_ZONE_COST_FACTOR
            if stats.endpoint.id in attempted:
                cost *= FAILURE_COST_FACTOR
            if now - stats.last_response_at >= CONNECTION_IDLE_MS:
                cost *= 1 + self._connect_failure_share * len(self._endpoints.up)
            if best is None or cost < best[0]:
                best = cost, stats
        if worst and size <= 0 and draw() < ROTATION_PROBABILITY:
            self.demote(now, worst[1])
        return None if best is None else (best[1].endpoint, sum(best[1].expected_latency(now, default_ms)))


def count_equal_attempts(seed: int, endpoints: int, gateways: int, rate: float, warm_ms: float) -> int:
    """Pass a stream of events to both balancers, compare their actions, and return the number of attempts started."""
    rng = random.Random(seed)
    door = gateway_settings("store { timeout_ms: 50 }")
    door.instances = gateways
    rules = door.rules
    rules.warm_within_ms, rules.cold_from, rules.fall_multiple, rules.fall_window_ms = warm_ms, 0.25, 4, 1000
    policy_settings = build_policy_settings(door)
    gateway, exhaustive = Gateway(policy_settings, seed), Gateway(policy_settings, seed)
    exhaustive._cluster._balancer.__class__ = ExhaustiveBalancer
    now, order, started_attempts = 1e5, 0, 0
    queue: list[tuple[float, int, api.Event]] = []
    attempts: dict[str, int] = {}
    slow, failing = ({number for number in range(1, endpoints + 1) if rng.random() < share} for share in (0.15, 0.1))

    def endpoint(number: int, state: api.EndpointState = api.EndpointState.UP, started: float = 0.0) -> api.Endpoint:
        return api.Endpoint(
            number, "ab"[number % 2], "std", number % 3, state, rng.choice((1.0, 1.0, 0.6, 2.0)), started
        )

    def handle(event: api.Event) -> None:
        nonlocal order, started_attempts
        actions = gateway.handle(now, event)
        assert actions == exhaustive.handle(now, event), (seed, event)
        for action in actions:
            order += 1
            if isinstance(action, api.StartAttempt):
                started_attempts += 1
                number = attempts[action.id] = attempts.get(action.id, -1) + 1
                fails = action.endpoint in failing and rng.random() < 0.6
                result = rng.choice(FAILURES) if fails else api.CallResult.OK
                rtt = rng.expovariate(1 / 30) * (8 if action.endpoint in slow else 1) + rng.choice((0.0, 1.0, 20.0))
                ended = result is api.CallResult.OK
                heapq.heappush(
                    queue, (now + rtt, order, api.AttemptEnded(action.id, number, action.endpoint, result, rtt, ended))
                )
            elif isinstance(action, api.SetTimer):
                heapq.heappush(queue, (max(action.at_ms, now), order, api.TimerFired(action.token)))
            elif isinstance(action, api.IncrementCounter):
                result = rng.choice((api.CallResult.OK, api.CallResult.OK, api.CallResult.TIMEOUT))
                heapq.heappush(
                    queue,
                    (now + rng.choice((1, 5, 60)), order, api.CounterReply(action.key, result, 3.0, action.units)),
                )

    handle(
        api.EndpointListUpdate(
            api.EndpointListScope.FULL, tuple(endpoint(number) for number in range(1, endpoints + 1))
        )
    )
    for number in range(250):
        until = now + rng.expovariate(rate)
        while queue and queue[0][0] <= until:
            at, _, event = heapq.heappop(queue)
            now = max(now, at)
            handle(event)
        now = until
        if rng.random() < 0.02:
            state = rng.choice((api.EndpointState.UP, api.EndpointState.UP, api.EndpointState.DRAINING))
            changed = endpoint(rng.randrange(1, endpoints + 3), state, rng.choice((0.0, now - rng.random() * 3000)))
            handle(api.EndpointListUpdate(api.EndpointListScope.DELTA, (changed,)))
        handle(
            api.Request(
                f"r{number}",
                rng.choice(("read", "read", "write", "pay")),
                rng.choice(("open", "plain")),
                rng.randrange(20),
                rng.choice((4000.0, 300.0, 50.0)),
                rng.choice((1.0, 2.0)),
                gateways,
                0,
            )
        )
    assert gateway._cluster._balancer._rng.getstate() == exhaustive._cluster._balancer._rng.getstate()
    return started_attempts


@pytest.mark.parametrize("endpoints", [1, 5, 14, 140, 400])
@pytest.mark.parametrize(("gateways", "rate"), [(1, 1.0), (2, 0.05), (30, 3.0), (380, 0.2)])
@pytest.mark.parametrize("warm_ms", [0.0, 3000.0])
def test_the_pick_equals_that_of_evaluating_every_endpoint(
    endpoints: int, gateways: int, rate: float, warm_ms: float
) -> None:
    assert count_equal_attempts(endpoints * 1000 + gateways, endpoints, gateways, rate, warm_ms) > 0
