"""Cold endpoints under the sum of what all gateways send: a zone comes back cold, gateways start anew with it, and some
of them carry several times what others do.

Beyond a cold server's budget of N calls in a fall window no more than twice the root of N, and two, is chance.
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
LOST_MS, BACK_MS, WARM_MS, WINDOW_MS, MULTIPLE = 8000.0, 12_000.0, 8000.0, 1000.0, 2.0
SHARES = (1, 1, 1, 2, 3, 6)  # of the traffic, drawn for each gateway
RESTARTED = 0.4  # of the gateways go with the zone and come back with it


class World:
    """All gateways and endpoints in virtual time; every attempt is answered well."""

    def __init__(self, seed: int, cold_from: float, warm_rate: float, use: float) -> None:
        """`warm_rate`: calls a second that a warm server bears; `use`: the part of it that is asked for."""
        self.rng = random.Random(seed)
        self.cold_from, self.warm_rate, self.per_ms = cold_from, warm_rate, use * ENDPOINTS * warm_rate / 1000.0
        self.now = 0.0
        self.members = {
            n: api.Endpoint(n, ZONES[n % len(ZONES)], "std", 0, api.EndpointState.UP) for n in range(ENDPOINTS)
        }
        self.gateways: list[Gateway | None] = [self.fresh(number, seed) for number in range(INSTANCES)]
        self.shares = [self.rng.choice(SHARES) for _ in range(INSTANCES)]
        self.cold: dict[int, list[float]] = {}  # sends to each server that came back
        self.heap: list[tuple[float, int, int, Gateway, api.Event]] = []
        self.serial = 0

    def fresh(self, number: int, seed: int) -> Gateway:
        """A gateway that has just started."""
        made = Gateway(
            replace(
                SETTINGS,
                instance=number,
                instances=INSTANCES,
                zone=ZONES[number % len(ZONES)],
                slow_start_initial_share=self.cold_from,
                slow_start_window_ms=WARM_MS,
                overload_multiple=MULTIPLE,
                overload_window_ms=WINDOW_MS,
                has_counter=False,
                plans=(api.Plan("free"),),
            ),
            seed * INSTANCES + number,
        )
        made.handle(self.now, api.EndpointListUpdate(api.EndpointListScope.CACHED, tuple(self.members.values())))
        return made

    def take(self, number: int, made: Gateway, actions: Iterable[api.Action]) -> None:
        """What a gateway decides."""
        for action in actions:
            self.serial += 1
            if isinstance(action, api.StartAttempt):
                if action.endpoint in self.cold:
                    self.cold[action.endpoint].append(self.now)
                rtt = self.rng.uniform(20.0, 120.0)
                done = api.AttemptEnded(action.id, 0, action.endpoint, api.CallResult.OK, rtt, True)
                heapq.heappush(self.heap, (self.now + rtt, self.serial, number, made, done))
            elif isinstance(action, api.SetTimer):
                heapq.heappush(self.heap, (action.at_ms, self.serial, number, made, api.TimerFired(action.token)))

    def lose(self) -> None:
        """A zone goes, and gateways with it."""
        gone = [replace(one, state=api.EndpointState.REMOVED) for one in self.members.values() if one.zone == ZONES[0]]
        self.members = {n: one for n, one in self.members.items() if one.zone != ZONES[0]}
        for number, made in enumerate(self.gateways):
            if made is not None:
                made.handle(self.now, api.EndpointListUpdate(api.EndpointListScope.DELTA, tuple(gone)))
            if self.rng.random() < RESTARTED:
                self.gateways[number] = None

    def give_back(self, seed: int) -> None:
        """It comes back, all of it cold and at one moment; whoever went starts from nothing."""
        for number in range(ENDPOINTS // len(ZONES)):
            key = ENDPOINTS + number
            self.members[key] = api.Endpoint(key, ZONES[0], "std", 0, api.EndpointState.UP, 1.0, self.now)
            self.cold[key] = []
        for number, made in enumerate(self.gateways):
            if made is None:
                self.gateways[number] = self.fresh(number, seed + 1)
            else:
                made.handle(self.now, api.EndpointListUpdate(api.EndpointListScope.FULL, tuple(self.members.values())))

    def run(self, seed: int) -> None:
        """From the first call until the zone is warm."""
        marks: list[tuple[float, Any]] = [
            (LOST_MS, self.lose),
            (BACK_MS, lambda: self.give_back(seed)),
            (BACK_MS + WARM_MS, None),
        ]
        asked = self.rng.expovariate(self.per_ms)
        while True:
            due = min(asked, marks[0][0], self.heap[0][0] if self.heap else math.inf)
            self.now = due
            if due == marks[0][0]:
                mark = marks.pop(0)[1]
                if mark is None:
                    return
                mark()
            elif due == asked:
                asked += self.rng.expovariate(self.per_ms)
                [number] = self.rng.choices(range(INSTANCES), self.shares)
                made = self.gateways[number]
                self.serial += 1
                if made is not None:
                    request = api.Request(f"r{self.serial}", "read", "free", self.serial, 4000.0, 1.0, 1)
                    self.take(number, made, made.handle(due, request))
            else:
                _, _, number, made, event = heapq.heappop(self.heap)
                if self.gateways[number] is made:
                    self.take(number, made, made.handle(due, event))


@pytest.mark.parametrize(
    ("cold_from", "warm_rate", "use", "warms"),
    [
        (0.3, 20.0, 0.65, True),
        (0.16, 20.0, 0.9, True),
        (0.3, 20.0, 0.65, False),
        (0.16, 5.0, 0.9, True),
        (0.16, 2.0, 0.65, False),
    ],
)
def test_a_zone_that_comes_back_cold_is_not_pushed_over(
    cold_from: float, warm_rate: float, use: float, warms: bool
) -> None:
    """`warms`: its capacity grows with its age, as it must by the end; else it stays where it began until then."""
    seed = 7
    world = World(seed, cold_from, warm_rate, use)
    world.run(seed)
    assert sum(len(sends) for sends in world.cold.values()) > 0, "and it is used"
    for sends in world.cold.values():
        for place, at in enumerate(sends):
            age = max(at - WINDOW_MS - BACK_MS, 0.0)
            part = cold_from + (1 - cold_from) * age / WARM_MS if warms else cold_from
            budget = MULTIPLE * part * warm_rate * WINDOW_MS / 1000.0
            within = sum(at - WINDOW_MS < other for other in sends[: place + 1])
            assert within <= budget + 2 * math.sqrt(budget) + 2
