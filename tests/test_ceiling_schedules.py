"""Any schedule of losses, delays, kills and returns: doors with their decisions and the store's core keep each ceiling
to the digit, as the sends leave the doors, with no allowance for clocks."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.policy import messages as api
from martenstep.policy.ceiling import CeilingLimiter
from martenstep.policy.gcra import Gcra
from tests.test_redis_counter_ceiling import STEP_MS, Doors, most_beyond

LATE_STEPS = 14  # of 2 ms: nearly the time-out, so that answers come late and not too late
PLANS = tuple(
    api.Plan(
        "capped",
        rate,
        burst,
        over_quota_value=over,
        over_quota_cost=0.5,
        ceiling_rate=rate * times,
        ceiling_burst=max(burst * more, burst),
        ceiling_slack=slack,
    )
    for rate, burst, times, more, slack, over in (
        (6.0, 12.0, 1.5, 1.25, 3.0, 0.0),  # of the gallery at which a ceiling broke
        (6.0, 12.0, 1.5, 1.25, 3.0, 1.0),  # and one that earns beyond its quota
        (20.0, 10.0, 1.2, 1.0, 2.0, 0.0),  # a quota that is nearly its ceiling
        (2.0, 30.0, 2.5, 1.6, 4.0, 0.0),
    )
)  # long periods
STATES = ("well", "down", "paused", "late", "lossy", "loading")
JOLTS = ("none", "emptied", "back", "cut", "restart", "restart all", "evicted", "step", "step back")
STEPS_MS = (10.0, 900.0, 7000.0, 3_600_000.0)  # of the wall clock that all doors read


@dataclass(frozen=True)
class Spell:
    """A while of one state, that begins with a jolt, and who asks in it."""

    jolt: str
    state: str
    for_ms: float
    rate: float  # of tries a second, of one customer, through all its doors
    doors: int  # so many of them get the tries


SPELLS = st.lists(
    st.builds(
        Spell,
        st.sampled_from(JOLTS),
        st.sampled_from(STATES),
        st.sampled_from((60.0, 700.0, 2500.0)),
        st.sampled_from((0.0, 8.0, 60.0, 300.0)),
        st.integers(1, 6),
    ),
    min_size=2,
    max_size=6,
)


def played(spells: list[Spell], doors: int, plan: api.Plan, seed: int, scripts: bool = True) -> Doors:
    """The spells one after the other, and a good one behind them, in which whatever was missed may be spent."""
    world, rng = Doors(seed, doors, plan, scripts), random.Random(seed)
    copy = world.copy()
    for spell in [*spells, Spell("none", "well", 1500.0, 300.0, doors)]:
        if spell.jolt == "emptied":
            world.keys.empty()
        elif spell.jolt == "evicted":
            # Of a store that is to keep names for their time: with all of them, so that the witness goes as well.
            for _, key, _, _ in list(world.keys.contents()):
                world.keys.run(world.session, world.now, [b"DEL", key])
        elif spell.jolt == "back":
            world.go_back(copy)
        if spell.jolt in ("back", "cut"):
            for wire in list(world.wires):
                world.cut(wire)
        elif spell.jolt.startswith("step"):
            world.step_clock(rng.choice(STEPS_MS) * (-1 if spell.jolt == "step back" else 1))
        elif spell.jolt.startswith("restart"):
            for door in range(doors) if spell.jolt == "restart all" else [rng.randrange(doors)]:
                world.restart(door)
        world.refuses, world.error = spell.state == "down", "LOADING" if spell.state == "loading" else ""
        if world.refuses:
            for wire in list(world.wires):
                world.cut(wire)
        among = rng.sample(range(doors), min(spell.doors, doors))
        for step in range(int(spell.for_ms / STEP_MS)):
            if step % 100 == 0:
                copy = world.copy()
            tries = spell.rate * STEP_MS / 1000
            for _ in range(math.floor(tries) + (rng.random() < tries % 1)):
                world.ask(rng.choice(among), 0)
            world.step(spell.state in ("paused", "late", "lossy"))
            if spell.state == "late":
                world.connect()
                for wire in list(world.wires):
                    while wire.there:
                        world.arrive(wire)
                    if step % LATE_STEPS == 0:
                        world.answer(wire)
            elif spell.state == "lossy":
                world.connect()
                for wire in list(world.wires):
                    while wire.there:
                        world.arrive(wire)
                    if rng.random() < 0.3:
                        world.cut(wire)
                    else:
                        world.answer(wire)
    return world


@given(SPELLS, st.integers(1, 6), st.sampled_from(PLANS), st.integers(0, 1000), st.booleans())
@hypo(max_examples=30, deadline=None, derandomize=True)
def test_no_schedule_takes_a_customer_beyond_its_ceiling(
    spells: list[Spell], doors: int, plan: api.Plan, seed: int, scripts: bool
) -> None:
    world = played(spells, doors, plan, seed, scripts)
    assert most_beyond(world.sent[0], plan) <= plan.ceiling_slack + 1e-6


OPENING = [
    Spell("none", "well", 700.0, 8.0, 4),
    Spell("none", "down", 2500.0, 8.0, 4),
    Spell("none", "down", 2500.0, 8.0, 4),
    Spell("none", "well", 700.0, 300.0, 1),
]


@pytest.mark.parametrize("seed", range(3))
def test_the_store_comes_back_as_the_gallery_opens(seed: int) -> None:
    world = played(OPENING, 4, PLANS[0], seed)
    assert most_beyond(world.sent[0], PLANS[0]) <= PLANS[0].ceiling_slack
    assert len(world.sent[0]) > 20  # it was a crowd, and it was served


def test_without_the_cap_the_schedules_find_a_breach(monkeypatch: pytest.MonkeyPatch) -> None:
    """The bound on confirmed sends is what keeps it: without it the same check fails."""

    def unbound(self: CeilingLimiter, now: float, units: float) -> Gcra | None:
        return Gcra(1.0, 1.0, now)

    emptied = [Spell("none", "well", 700.0, 60.0, 1), *[Spell("emptied", "well", 700.0, 60.0, 1)] * 2]
    assert most_beyond(played(emptied, 4, PLANS[0], 0).sent[0], PLANS[0]) <= PLANS[0].ceiling_slack
    monkeypatch.setattr(CeilingLimiter, "limiter_for", unbound)
    assert most_beyond(played(emptied, 4, PLANS[0], 0).sent[0], PLANS[0]) > PLANS[0].ceiling_slack


STEPPED = [
    Spell("none", "well", 2500.0, 100.0, 6),
    Spell("step back", "well", 60.0, 300.0, 6),
    Spell("restart", "well", 700.0, 300.0, 6),
    Spell("step", "well", 60.0, 300.0, 6),
    Spell("restart all", "well", 700.0, 300.0, 6),
]


@pytest.mark.parametrize("seed", range(6))
def test_doors_start_anew_as_the_wall_clock_is_stepped(seed: int) -> None:
    """Some number the periods as before for a moment, some never did."""
    for plan in PLANS:
        world = played(STEPPED, 6, plan, seed)
        assert most_beyond(world.sent[0], plan) <= plan.ceiling_slack + 1e-6
