"""Gateways with their decisions and the core of the Redis counter keep each ceiling in any schedule of faults.

The schedules have losses, delays, restarts and recoveries.  The ceiling is held exactly, at the times at which the
gateways start their attempts, with no tolerance for clocks.
"""

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
from tests.test_redis_counter_ceiling import STEP_MS, CeilingSimulator, max_excess

SLOW_REPLY_STEPS = 14  # of 2 ms: nearly the timeout, so that replies come late but not too late
PLANS = tuple(
    api.Plan(
        "capped",
        rate,
        burst,
        over_quota_value=over_quota_value,
        over_quota_cost=0.5,
        ceiling_rate=rate * rate_ratio,
        ceiling_burst=max(burst * burst_ratio, burst),
        ceiling_slack=slack,
    )
    for rate, burst, rate_ratio, burst_ratio, slack, over_quota_value in (
        (6.0, 12.0, 1.5, 1.25, 3.0, 0.0),  # the plan of the gallery, with which a ceiling was exceeded
        (6.0, 12.0, 1.5, 1.25, 3.0, 1.0),  # and one whose sends over quota earn more than they cost
        (20.0, 10.0, 1.2, 1.0, 2.0, 0.0),  # a quota that is nearly its ceiling
        (2.0, 30.0, 2.5, 1.6, 4.0, 0.0),  # long periods
    )
)
STORE_STATES = ("available", "down", "paused", "slow", "lossy", "loading")
FAULTS = (
    "none",
    "data lost",
    "older copy restored",
    "connections cut",
    "restart",
    "restart all",
    "keys evicted",
    "clock step",
    "clock step back",
)
CLOCK_STEPS_MS = (10.0, 900.0, 7000.0, 3_600_000.0)  # of the wall clock that all gateways read


@dataclass(frozen=True)
class Phase:
    """A part of a schedule: a fault at its start, then one state of the store, and requests of one customer."""

    fault: str
    store_state: str
    duration_ms: float
    requests_per_s: float  # through all gateways together
    gateways: int  # that get the requests


SCHEDULES = st.lists(
    st.builds(
        Phase,
        st.sampled_from(FAULTS),
        st.sampled_from(STORE_STATES),
        st.sampled_from((60.0, 700.0, 2500.0)),
        st.sampled_from((0.0, 8.0, 60.0, 300.0)),
        st.integers(1, 6),
    ),
    min_size=2,
    max_size=6,
)


def run_schedule(
    schedule: list[Phase], gateways: int, plan: api.Plan, seed: int, scripts: bool = True
) -> CeilingSimulator:
    """Run the phases in order, then one without a fault, in which units that were not counted may be used again."""
    world, rng = CeilingSimulator(seed, gateways, plan, scripts), random.Random(seed)
    copy = world.copy_contents()
    for phase in [*schedule, Phase("none", "available", 1500.0, 300.0, gateways)]:
        if phase.fault == "data lost":
            world.keyspace.empty()
        elif phase.fault == "keys evicted":
            # By a store that is to keep keys for their lifetime: all keys, so that the witness is evicted as well.
            for _, key, _, _ in list(world.keyspace.contents()):
                world.keyspace.run(world.session, world.now, [b"DEL", key])
        elif phase.fault == "older copy restored":
            world.restore_contents(copy)
        if phase.fault in ("older copy restored", "connections cut"):
            for wire in list(world.connections):
                world.break_connection(wire)
        elif phase.fault.startswith("clock step"):
            world.step_clock(rng.choice(CLOCK_STEPS_MS) * (-1 if phase.fault == "clock step back" else 1))
        elif phase.fault.startswith("restart"):
            for gateway in range(gateways) if phase.fault == "restart all" else [rng.randrange(gateways)]:
                world.restart(gateway)
        world.refuses_connections, world.store_error = (
            phase.store_state == "down",
            "LOADING" if phase.store_state == "loading" else "",
        )
        if world.refuses_connections:
            for wire in list(world.connections):
                world.break_connection(wire)
        receivers = rng.sample(range(gateways), min(phase.gateways, gateways))
        for step in range(int(phase.duration_ms / STEP_MS)):
            if step % 100 == 0:
                copy = world.copy_contents()
            requests = phase.requests_per_s * STEP_MS / 1000
            for _ in range(math.floor(requests) + (rng.random() < requests % 1)):
                world.request(rng.choice(receivers), 0)
            world.step(phase.store_state in ("paused", "slow", "lossy"))
            if phase.store_state == "slow":
                world.finish_connecting()
                for wire in list(world.connections):
                    while wire.to_store:
                        world.deliver_write(wire)
                    if step % SLOW_REPLY_STEPS == 0:
                        world.deliver_replies(wire)
            elif phase.store_state == "lossy":
                world.finish_connecting()
                for wire in list(world.connections):
                    while wire.to_store:
                        world.deliver_write(wire)
                    if rng.random() < 0.3:
                        world.break_connection(wire)
                    else:
                        world.deliver_replies(wire)
    return world


@given(SCHEDULES, st.integers(1, 6), st.sampled_from(PLANS), st.integers(0, 1000), st.booleans())
@hypo(max_examples=30, deadline=None, derandomize=True)
def test_no_schedule_takes_a_customer_beyond_its_ceiling(
    schedule: list[Phase], gateways: int, plan: api.Plan, seed: int, scripts: bool
) -> None:
    world = run_schedule(schedule, gateways, plan, seed, scripts)
    assert max_excess(world.sent[0], plan) <= plan.ceiling_slack + 1e-6


RECOVERY_IN_A_BURST = [
    Phase("none", "available", 700.0, 8.0, 4),
    Phase("none", "down", 2500.0, 8.0, 4),
    Phase("none", "down", 2500.0, 8.0, 4),
    Phase("none", "available", 700.0, 300.0, 1),
]


@pytest.mark.parametrize("seed", range(3))
def test_the_ceiling_is_kept_if_the_store_recovers_as_a_burst_of_requests_begins(seed: int) -> None:
    world = run_schedule(RECOVERY_IN_A_BURST, 4, PLANS[0], seed)
    assert max_excess(world.sent[0], PLANS[0]) <= PLANS[0].ceiling_slack
    assert len(world.sent[0]) > 20  # requests of the burst were sent


def test_without_the_bound_on_confirmed_sends_a_schedule_exceeds_the_ceiling(monkeypatch: pytest.MonkeyPatch) -> None:
    """The bound on confirmed sends is what keeps the ceiling: without it the same check fails."""

    def unbounded(self: CeilingLimiter, now: float, units: float) -> Gcra | None:
        return Gcra(1.0, 1.0, now)

    schedule = [
        Phase("none", "available", 700.0, 60.0, 1),
        *[Phase("data lost", "available", 700.0, 60.0, 1)] * 2,
    ]
    assert max_excess(run_schedule(schedule, 4, PLANS[0], 0).sent[0], PLANS[0]) <= PLANS[0].ceiling_slack
    monkeypatch.setattr(CeilingLimiter, "limiter_for", unbounded)
    assert max_excess(run_schedule(schedule, 4, PLANS[0], 0).sent[0], PLANS[0]) > PLANS[0].ceiling_slack


CLOCK_STEPS_AND_RESTARTS = [
    Phase("none", "available", 2500.0, 100.0, 6),
    Phase("clock step back", "available", 60.0, 300.0, 6),
    Phase("restart", "available", 700.0, 300.0, 6),
    Phase("clock step", "available", 60.0, 300.0, 6),
    Phase("restart all", "available", 700.0, 300.0, 6),
]


@pytest.mark.parametrize("seed", range(6))
def test_the_ceiling_is_kept_if_gateways_restart_while_the_wall_clock_is_stepped(seed: int) -> None:
    """For a moment some gateways number the periods as before the step, and those restarted never did."""
    for plan in PLANS:
        world = run_schedule(CLOCK_STEPS_AND_RESTARTS, 6, plan, seed)
        assert max_excess(world.sent[0], plan) <= plan.ceiling_slack + 1e-6
