"""The choice of a server passes over what cannot win, and gives what a look at each of them would give.

The plain look is kept here; both are told the same events and must decide the same, to the last draw of chance.
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
    """Evaluates every endpoint in full."""

    def pick(self, now: float, eligible: api.EndpointFilter, tried: list[int]) -> tuple[api.Endpoint, float] | None:
        """As the module's, one endpoint after the other."""
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
            if stats.endpoint.id in tried:
                cost *= FAILURE_COST_FACTOR
            if now - stats.last_response_at >= CONNECTION_IDLE_MS:
                cost *= 1 + self._connect_failure_share * len(self._endpoints.up)
            if best is None or cost < best[0]:
                best = cost, stats
        if worst and size <= 0 and draw() < ROTATION_PROBABILITY:
            self.demote(now, worst[1])
        return None if best is None else (best[1].endpoint, sum(best[1].expected_latency(now, default_ms)))


def play(seed: int, endpoints: int, gateways: int, rate: float, warm_ms: float) -> int:
    """A stream of events for both; gives how many sends there were."""
    rng = random.Random(seed)
    door = gateway_settings("store { timeout_ms: 50 }")
    door.instances = gateways
    rules = door.rules
    rules.warm_within_ms, rules.cold_from, rules.fall_multiple, rules.fall_window_ms = warm_ms, 0.25, 4, 1000
    told = build_policy_settings(door)
    ours, plain = Gateway(told, seed), Gateway(told, seed)
    plain._cluster._balancer.__class__ = ExhaustiveBalancer
    now, order, sends = 1e5, 0, 0
    heap: list[tuple[float, int, api.Event]] = []
    attempts: dict[str, int] = {}
    slow, bad = ({number for number in range(1, endpoints + 1) if rng.random() < share} for share in (0.15, 0.1))

    def server(number: int, state: api.EndpointState = api.EndpointState.UP, started: float = 0.0) -> api.Endpoint:
        return api.Endpoint(
            number, "ab"[number % 2], "std", number % 3, state, rng.choice((1.0, 1.0, 0.6, 2.0)), started
        )

    def tell(event: api.Event) -> None:
        nonlocal order, sends
        actions = ours.handle(now, event)
        assert actions == plain.handle(now, event), (seed, event)
        for action in actions:
            order += 1
            if isinstance(action, api.StartAttempt):
                sends += 1
                number = attempts[action.id] = attempts.get(action.id, -1) + 1
                fails = action.endpoint in bad and rng.random() < 0.6
                result = rng.choice(FAILURES) if fails else api.CallResult.OK
                rtt = rng.expovariate(1 / 30) * (8 if action.endpoint in slow else 1) + rng.choice((0.0, 1.0, 20.0))
                ended = result is api.CallResult.OK
                heapq.heappush(
                    heap, (now + rtt, order, api.AttemptEnded(action.id, number, action.endpoint, result, rtt, ended))
                )
            elif isinstance(action, api.SetTimer):
                heapq.heappush(heap, (max(action.at_ms, now), order, api.TimerFired(action.token)))
            elif isinstance(action, api.IncrementCounter):
                result = rng.choice((api.CallResult.OK, api.CallResult.OK, api.CallResult.TIMEOUT))
                heapq.heappush(
                    heap,
                    (now + rng.choice((1, 5, 60)), order, api.CounterReply(action.key, result, 3.0, action.units)),
                )

    tell(
        api.EndpointListUpdate(api.EndpointListScope.FULL, tuple(server(number) for number in range(1, endpoints + 1)))
    )
    for number in range(250):
        until = now + rng.expovariate(rate)
        while heap and heap[0][0] <= until:
            at, _, event = heapq.heappop(heap)
            now = max(now, at)
            tell(event)
        now = until
        if rng.random() < 0.02:
            state = rng.choice((api.EndpointState.UP, api.EndpointState.UP, api.EndpointState.DRAINING))
            changed = server(rng.randrange(1, endpoints + 3), state, rng.choice((0.0, now - rng.random() * 3000)))
            tell(api.EndpointListUpdate(api.EndpointListScope.DELTA, (changed,)))
        tell(
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
    assert ours._cluster._balancer._rng.getstate() == plain._cluster._balancer._rng.getstate()
    return sends


@pytest.mark.parametrize("endpoints", [1, 5, 14, 140, 400])
@pytest.mark.parametrize(("gateways", "rate"), [(1, 1.0), (2, 0.05), (30, 3.0), (380, 0.2)])
@pytest.mark.parametrize("warm_ms", [0.0, 3000.0])
def test_the_choice_is_that_of_a_look_at_each_endpoint(
    endpoints: int, gateways: int, rate: float, warm_ms: float
) -> None:
    assert play(endpoints * 1000 + gateways, endpoints, gateways, rate, warm_ms) > 0
