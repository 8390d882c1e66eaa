"""Doors with their decisions over one store in virtual time: no customer beyond its ceiling and slack, whatever happens
to the store; and what the store holds is what the doors were told that they added."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from dataclasses import dataclass, replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.policy import messages as api
from martenstep.policy.counter_period import KEY_LIFETIME_PERIODS
from martenstep.policy.gateway import Gateway
from martenstep.redis_counter import messages
from martenstep.redis_counter.messages import Action, AnswerCall
from martenstep.redis_counter.replies import ReplyHandler
from tests.policy_events import CAPPED, SETTINGS, endpoint
from tests.redis_counter_world import World

DOORS, CUSTOMERS, STEP_MS = 3, 2, 2.0
FAULTS = ("paused", "emptied", "back", "cut", "loading", "refused", "evicted", "none")
HELD_UP_MS = 150.0  # a door may notice a step of the clock so late


class Doors(World):
    """The store's world with a gateway behind each door; every message takes one step, unless the store is paused."""

    def __init__(self, seed: int, doors: int = DOORS, plan: api.Plan = CAPPED, scripts: bool = True) -> None:
        super().__init__(doors, scripts=scripts, seed=seed)
        self.totals = False
        self.plan = plan
        self._notices = random.Random(seed)
        self.shift_ms = 0.0  # of the wall clock against that of the world
        self.gates = [self._gate(number, seed + number) for number in range(doors)]
        self.names: dict[int, float] = {}
        self.turn = itertools.count()
        self.later: list[tuple[float, int, int, Any]] = []
        self.sent: dict[int, list[float]] = {customer: [] for customer in range(CUSTOMERS)}
        self.asked: dict[str, int] = {}
        self.ended: set[str] = set()
        self.gone: set[int] = set()  # calls of lives that are over

    def _gate(self, number: int, seed: int) -> Gateway:
        """A gateway that knows its servers, and asks for nothing yet."""
        made = Gateway(
            replace(SETTINGS, instance=number, instances=len(self.cores), max_units=1.0, plans=(self.plan,)), seed
        )
        made.handle(
            self.now, api.EndpointListUpdate(api.EndpointListScope.CACHED, tuple(endpoint(n) for n in range(1, 13)))
        )
        made.handle(self.now, api.ClockStepped(self.shift_ms))
        return made

    def step_clock(self, by_ms: float) -> None:
        """The wall clock is stepped: each door notices within the time that one may be held up for."""
        self.shift_ms += by_ms
        for door in range(len(self.gates)):
            self._at(self.now + self._notices.uniform(0.0, HELD_UP_MS), door, api.ClockStepped(self.shift_ms))

    def restart(self, door: int) -> None:
        """The decisions begin anew as well."""
        self.gates[door] = self._gate(door, self.lives[door] * 7919 + door)
        self.later = [one for one in self.later if one[2] != door]
        heapq.heapify(self.later)
        self.gone |= {call for call, (number, *_) in self.calls.items() if number == door and call not in self.told}
        super().restart(door)

    def ask(self, door: int, customer: int) -> None:
        """One try at a door."""
        rid = f"r{len(self.asked)}"
        self.asked[rid] = customer
        self.decided(
            door,
            self.gates[door].handle(
                self.now, api.Request(rid, "read", self.plan.name, customer, 4000.0, 1.0, len(self.cores))
            ),
        )

    def decided(self, door: int, actions: list[api.Action]) -> None:
        """Carry out what a gateway decided."""
        for action in actions:
            match action:
                case api.IncrementCounter():
                    self.add(door, action.key, action.units, action.expire_ms, action.bounds_ceiling)
                case api.StartAttempt():
                    if action.id not in self.ended:
                        self.ended.add(action.id)
                        self.sent[self.asked[action.id]].append(self.now)
                    self._at(
                        self.now + 20.0,
                        door,
                        api.AttemptEnded(action.id, 0, action.endpoint, api.CallResult.OK, 20.0, True),
                    )
                case api.Reject():
                    self.ended.add(action.id)
                case api.SetTimer():
                    self._at(action.at_ms, door, api.TimerFired(action.token))

    def step(self, paused: bool) -> None:
        """A little time, and what is on its way arrives."""
        self.pass_time(STEP_MS)
        while self.later and self.later[0][0] <= self.now:
            _, _, door, event = heapq.heappop(self.later)
            if isinstance(event, api.ClockStepped):  # the clock as it is read now: it may have been stepped again
                event = api.ClockStepped(self.shift_ms)
            self.decided(door, self.gates[door].handle(self.now, event))
        if not paused:
            self.deliver()

    def _at(self, at: float, door: int, event: Any) -> None:
        heapq.heappush(self.later, (at, next(self.turn), door, event))

    def _do(self, door: int, action: Action) -> None:
        super()._do(door, action)
        if isinstance(action, AnswerCall):
            _, name, _, at = self.calls[action.call]
            self.decided(
                door,
                self.gates[door].handle(
                    self.now, api.CounterReply(name, action.result, self.now - at, action.total, action.retained_ms)
                ),
            )


@dataclass(frozen=True)
class Trouble:
    """What happens to the store, for how long, and how long all is well behind it."""

    what: str
    for_ms: float
    calm_ms: float


TROUBLES = st.lists(
    st.builds(
        Trouble, st.sampled_from(FAULTS), st.sampled_from((40.0, 300.0, 2000.0)), st.sampled_from((600.0, 1500.0))
    ),
    min_size=1,
    max_size=4,
)


def day(troubles: list[Trouble], seed: int) -> Doors:
    """Tries far beyond the ceilings through all doors, and the troubles one after the other."""
    world, rng = Doors(seed), random.Random(seed)
    copy = world.copy()

    def run(ms: float, paused: bool) -> None:
        for _ in range(int(ms / STEP_MS)):
            for customer in range(CUSTOMERS):
                if rng.random() < 0.06:  # 30 a second each, of 5 in the plan and 11 in the ceiling
                    world.ask(rng.randrange(DOORS), customer)
            world.step(paused)

    run(1200.0, False)
    for trouble in troubles:
        match trouble.what:
            case "emptied":
                world.keys.empty()
            case "back":
                world.go_back(copy)
            case "evicted":
                for _, key, _, _ in list(world.keys.contents())[:2]:
                    world.keys.run(world.session, world.now, [b"DEL", key])
            case "cut":
                for wire in list(world.wires):
                    world.cut(wire)
            case "loading":
                world.error = "LOADING Redis is loading"
            case "refused":
                world.refuses = True
                for wire in list(world.wires):
                    world.cut(wire)
        run(trouble.for_ms, trouble.what == "paused")
        world.error, world.refuses = "", False
        copy = world.copy()
        run(trouble.calm_ms, False)
    return world


def most_beyond(times: list[float], plan: api.Plan = CAPPED) -> float:
    """How far one customer's ceiling went below nothing, in units."""
    held, last, worst = plan.ceiling_burst, -math.inf, 0.0
    for at in times:
        held = min(held + (at - last) * plan.ceiling_rate / 1000, plan.ceiling_burst) - 1.0
        last, worst = at, max(worst, -held)
    return worst


@given(TROUBLES, st.integers(0, 1000))
@hypo(max_examples=25, deadline=None, derandomize=True)
def test_no_customer_beyond_its_ceiling_and_each_add_counted_once(troubles: list[Trouble], seed: int) -> None:
    world = day(troubles, seed)
    for times in world.sent.values():
        assert most_beyond(times) <= CAPPED.ceiling_slack
    assert len(world.sent[0]) > 5  # the day was one
    world.quiet()
    assert world.told.keys() == world.calls.keys()
    begun: dict[int, float] = {}
    for _, name, _, at in world.calls.values():
        begun.setdefault(name, at)
    judged = [name for name, at in begun.items() if at + KEY_LIFETIME_PERIODS * 1000.0 > world.now + 100.0]
    for name in judged:  # others have expired, or were begun anew by a late statement that nobody reads
        wanted = world.counted(name, api.CallResult.OK, api.CallResult.TIMEOUT)
        assert world.total(name) == pytest.approx(wanted, abs=1e-6)
    assert judged


def test_the_check_on_ceilings_can_fail() -> None:
    """Doors that are told of no one else's use go beyond it."""
    assert most_beyond([0.0] * 11) == 0 and most_beyond([0.0] * 14) == 3
    with pytest.MonkeyPatch.context() as patch:
        on_reply = ReplyHandler.on_reply

        def alone(
            self: ReplyHandler,
            now_ms: float,
            connection: Any,
            operation: messages.Operation,
            reply: messages.StatementReply,
        ) -> None:
            own = messages.StatementReply(operation.total, reply.previous_version)
            on_reply(self, now_ms, connection, operation, own)

        patch.setattr(ReplyHandler, "on_reply", alone)
        world = day([Trouble("none", 2000.0, 600.0)], 1)
    assert max(most_beyond(times) for times in world.sent.values()) > CAPPED.ceiling_slack
