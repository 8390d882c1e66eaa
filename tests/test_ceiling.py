"""The ceiling's limiter, step by step: it never admits more than the truth would, whatever was not read."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from martenstep.policy import messages as api
from martenstep.policy.ceiling import MAX_CLOCK_SKEW_MS, CeilingLimiter
from martenstep.policy.counter_period import InstanceContext
from martenstep.policy.customer_state import CustomerState
from tests.policy_events import (
    CAPPED,
    SETTINGS,
    START,
    actions_of,
    admit_with_counter,
    gateway,
    reply_to_calls,
    request,
)

ONE_UNIT = replace(SETTINGS, max_units=1.0)
NEVER = -math.inf  # when the counter's contents were last indeterminate


def customer(now: float = START) -> tuple[CustomerState, CeilingLimiter]:
    """A customer's state in its first period, and its ceiling."""
    state = CustomerState(CAPPED, request("r", plan="capped"), InstanceContext(ONE_UNIT, now - 1e6), now)
    state.begin_period(state.period.number_at(now))
    assert state.ceiling is not None
    return state, state.ceiling


def test_headroom_and_confirmed_limiter_together_are_the_ceiling_and_its_slack() -> None:
    event = api.Request("r", "read", "capped", 7, 4000.0, 1.0, 2, 0)
    ceilings = [
        CustomerState(CAPPED, event, InstanceContext(replace(ONE_UNIT, instance=instance), 0.0), START).ceiling
        for instance in (0, 1)
    ]
    heads = [ceiling.headroom for ceiling in ceilings if ceiling]
    assert ceilings[0] is not None
    cap = ceilings[0].confirmed
    at_once = sum(head.tolerance_ms / head.emission_interval_ms for head in heads)
    at_once += cap.tolerance_ms / cap.emission_interval_ms
    a_second = sum(1000 / head.emission_interval_ms for head in heads) + 1000 / cap.emission_interval_ms
    late = 1000 / cap.emission_interval_ms * ONE_UNIT.counter_timeout_ms / 1000
    assert at_once + late == pytest.approx(CAPPED.ceiling_burst + CAPPED.ceiling_slack)
    assert a_second == pytest.approx(CAPPED.ceiling_rate)


def test_both_periods_count_as_used_up_until_they_are_read() -> None:
    state, ceiling = customer()
    cap = ceiling.confirmed
    now = state.period.start() + 10.0
    ceiling.read_current(now, 0.0, 0.0, state.period_total, NEVER)
    assert cap.available_units(now) == pytest.approx(10.0 / cap.emission_interval_ms)
    ceiling.read_previous(0.0, state.previous_period_total, NEVER)
    burst = cap.tolerance_ms / cap.emission_interval_ms
    assert cap.available_units(now) == pytest.approx(burst, rel=0.15)  # a period has refilled it


def test_units_of_others_count_as_sent_now() -> None:
    state, ceiling = customer()
    cap = ceiling.confirmed
    ceiling.read_previous(0.0, state.previous_period_total, NEVER)
    now = state.period.start() + 900.0
    ceiling.read_current(now, 5.0, 0.0, state.period_total, NEVER)
    assert cap.available_units(now) == pytest.approx(cap.tolerance_ms / cap.emission_interval_ms - 5.0)


def test_what_others_sent_at_the_end_of_an_old_period_is_counted() -> None:
    state, ceiling = customer()
    cap = ceiling.confirmed
    ceiling.read_previous(0.0, state.previous_period_total, NEVER)
    state.period_total = 1.0
    turn = state.period.end()
    state.begin_period(state.period.number + 1)
    ceiling.read_previous(5.0, state.previous_period_total, NEVER)  # 4 since the last reading there
    assert cap.available_units(turn) == pytest.approx(cap.tolerance_ms / cap.emission_interval_ms - 4.0)


def test_after_a_skipped_period_nothing_is_known() -> None:
    state, ceiling = customer()
    cap = ceiling.confirmed
    ceiling.read_previous(0.0, state.previous_period_total, NEVER)
    state.begin_period(state.period.number + 2)
    assert cap.available_units(state.period.start()) == pytest.approx(0.0)


def test_after_an_indeterminate_time_all_that_the_counter_holds_may_be_new() -> None:
    state, ceiling = customer()
    cap = ceiling.confirmed
    ceiling.read_previous(0.0, state.previous_period_total, NEVER)
    at = state.period.start() + 100.0
    ceiling.read_current(at, 1.0, 0.0, state.period_total, NEVER)
    state.period_total = 1.0
    ceiling.read_current(at + 300.0, 2.0, 0.0, state.period_total, at + 200.0)
    assert cap.available_units(at + 300.0) == pytest.approx(max(100.0 / cap.emission_interval_ms - 2.0, 0.0))
    room = cap.available_units(at + 500.0)
    ceiling.read_previous(0.0, state.previous_period_total, at + 200.0)  # an old total says nothing any more
    assert cap.available_units(at + 500.0) == room


def test_nothing_is_counted_on_so_near_to_the_end_of_a_period() -> None:
    state, ceiling = customer()
    cap = ceiling.confirmed
    ceiling.read_previous(0.0, state.previous_period_total, NEVER)
    assert ceiling.limiter_for(state.period.end() - MAX_CLOCK_SKEW_MS - 1.0, 1.0) is cap
    assert ceiling.limiter_for(state.period.end() - MAX_CLOCK_SKEW_MS, 1.0) is ceiling.headroom
    ceiling.headroom.tat = state.period.end() + ceiling.headroom.tolerance_ms
    assert ceiling.limiter_for(state.period.end() - MAX_CLOCK_SKEW_MS, 1.0) is None


def test_the_state_is_kept_until_its_headroom_has_refilled() -> None:
    plan = replace(CAPPED, ceiling_rate=5.01, ceiling_burst=12.0)  # 8 units of headroom, one in 100 s
    state = CustomerState(plan, request("r", plan="capped"), InstanceContext(ONE_UNIT, 0.0), START)
    assert state.ceiling is not None
    state.ceiling.headroom.consume(3.0, START)
    later = START + 60_000.0
    assert state.is_in_use(later) and not state.is_in_use(state.ceiling.headroom.tat + 1.0)


def test_a_reading_after_a_silence_as_long_as_the_period_begins_anew() -> None:
    """The state had counted as confirmed through failing calls, and the others' use was refilled at once."""
    made = gateway(max_units=1.0)
    totals: dict[int, float] = {}
    assert actions_of(admit_with_counter(made, START, request("a", plan="capped"), totals), api.StartAttempt)
    for number in range(40):  # 4 s of a store that is away
        now = START + 100.0 * (number + 1)
        for count in actions_of(made.handle(now, request(f"b{number}", plan="capped")), api.IncrementCounter):
            made.handle(now, api.CounterReply(count.key, api.CallResult.CONNECT_FAILED, 0.0))
    now = START + 4200.0
    counts: list[api.IncrementCounter] = []
    for number in range(200):
        counts = actions_of(made.handle(now + number, request(f"c{number}", plan="capped")), api.IncrementCounter)
        if counts:
            break
    assert counts and counts[0].bounds_ceiling
    totals[counts[0].key] = 30.0  # of others, a moment ago
    assert not actions_of(reply_to_calls(made, now + 200.0, counts, totals), api.StartAttempt)
