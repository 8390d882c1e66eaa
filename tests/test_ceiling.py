"""The limiter of the ceiling, step by step: it never admits more than the true use allows, whatever was not read."""

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
ALWAYS = -math.inf  # as `retained_since`: the counter has never lost data


def customer_with_ceiling(now: float = START) -> tuple[CustomerState, CeilingLimiter]:
    """A customer's state in its first period, and its ceiling."""
    state = CustomerState(CAPPED, request("r", plan="capped"), InstanceContext(ONE_UNIT, now - 1e6), now)
    state.begin_period(state.period.number_at(now))
    assert state.ceiling is not None
    return state, state.ceiling


def test_headrooms_and_confirmed_limiter_add_up_to_the_ceiling_and_its_slack() -> None:
    event = api.Request("r", "read", "capped", 7, 4000.0, 1.0, 2, 0)
    ceilings = [
        CustomerState(CAPPED, event, InstanceContext(replace(ONE_UNIT, instance=instance), 0.0), START).ceiling
        for instance in (0, 1)
    ]
    headrooms = [ceiling.headroom for ceiling in ceilings if ceiling]
    assert ceilings[0] is not None
    confirmed = ceilings[0].confirmed
    burst = sum(headroom.tolerance_ms / headroom.emission_interval_ms for headroom in headrooms)
    burst += confirmed.tolerance_ms / confirmed.emission_interval_ms
    rate = sum(1000 / headroom.emission_interval_ms for headroom in headrooms) + 1000 / confirmed.emission_interval_ms
    late_units = 1000 / confirmed.emission_interval_ms * ONE_UNIT.counter_timeout_ms / 1000
    assert burst + late_units == pytest.approx(CAPPED.ceiling_burst + CAPPED.ceiling_slack)
    assert rate == pytest.approx(CAPPED.ceiling_rate)


def test_both_periods_count_as_exhausted_until_their_totals_are_read() -> None:
    state, ceiling = customer_with_ceiling()
    confirmed = ceiling.confirmed
    now = state.period.start() + 10.0
    ceiling.record_current_total(now, 0.0, 0.0, state.period_total, ALWAYS)
    assert confirmed.available_units(now) == pytest.approx(10.0 / confirmed.emission_interval_ms)
    ceiling.record_previous_total(0.0, state.previous_period_total, ALWAYS)
    burst = confirmed.tolerance_ms / confirmed.emission_interval_ms
    assert confirmed.available_units(now) == pytest.approx(burst, rel=0.15)  # the previous period has refilled it


def test_units_of_other_instances_count_as_sent_now() -> None:
    state, ceiling = customer_with_ceiling()
    confirmed = ceiling.confirmed
    ceiling.record_previous_total(0.0, state.previous_period_total, ALWAYS)
    now = state.period.start() + 900.0
    ceiling.record_current_total(now, 5.0, 0.0, state.period_total, ALWAYS)
    burst = confirmed.tolerance_ms / confirmed.emission_interval_ms
    assert confirmed.available_units(now) == pytest.approx(burst - 5.0)


def test_units_of_other_instances_at_the_end_of_the_previous_period_count() -> None:
    state, ceiling = customer_with_ceiling()
    confirmed = ceiling.confirmed
    ceiling.record_previous_total(0.0, state.previous_period_total, ALWAYS)
    state.period_total = 1.0
    end = state.period.end()
    state.begin_period(state.period.number + 1)
    ceiling.record_previous_total(5.0, state.previous_period_total, ALWAYS)  # 4 units since the last total read there
    burst = confirmed.tolerance_ms / confirmed.emission_interval_ms
    assert confirmed.available_units(end) == pytest.approx(burst - 4.0)


def test_after_a_skipped_period_the_ceiling_counts_as_exhausted() -> None:
    state, ceiling = customer_with_ceiling()
    confirmed = ceiling.confirmed
    ceiling.record_previous_total(0.0, state.previous_period_total, ALWAYS)
    state.begin_period(state.period.number + 2)
    assert confirmed.available_units(state.period.start()) == pytest.approx(0.0)


def test_after_a_possible_loss_of_data_the_whole_total_may_be_new() -> None:
    state, ceiling = customer_with_ceiling()
    confirmed = ceiling.confirmed
    ceiling.record_previous_total(0.0, state.previous_period_total, ALWAYS)
    now = state.period.start() + 100.0
    ceiling.record_current_total(now, 1.0, 0.0, state.period_total, ALWAYS)
    state.period_total = 1.0
    ceiling.record_current_total(now + 300.0, 2.0, 0.0, state.period_total, now + 200.0)
    expected = max(100.0 / confirmed.emission_interval_ms - 2.0, 0.0)
    assert confirmed.available_units(now + 300.0) == pytest.approx(expected)
    available = confirmed.available_units(now + 500.0)
    ceiling.record_previous_total(0.0, state.previous_period_total, now + 200.0)  # this total is not relied on any more
    assert confirmed.available_units(now + 500.0) == available


def test_close_to_the_end_of_a_period_its_total_is_not_relied_on() -> None:
    state, ceiling = customer_with_ceiling()
    confirmed = ceiling.confirmed
    ceiling.record_previous_total(0.0, state.previous_period_total, ALWAYS)
    assert ceiling.limiter_for(state.period.end() - MAX_CLOCK_SKEW_MS - 1.0, 1.0) is confirmed
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


def test_the_quota_is_unconfirmed_after_a_period_without_a_total() -> None:
    """While all calls of a period failed the quota counted as confirmed, and other instances' use refilled at once."""
    instance = gateway(max_units=1.0)
    totals: dict[int, float] = {}
    assert actions_of(admit_with_counter(instance, START, request("a", plan="capped"), totals), api.StartAttempt)
    for number in range(40):  # the counter is not reachable for 4 s
        now = START + 100.0 * (number + 1)
        for call in actions_of(instance.handle(now, request(f"b{number}", plan="capped")), api.IncrementCounter):
            instance.handle(now, api.CounterReply(call.key, api.CallResult.CONNECT_FAILED, 0.0))
    now = START + 4200.0
    calls: list[api.IncrementCounter] = []
    for number in range(200):
        actions = instance.handle(now + number, request(f"c{number}", plan="capped"))
        calls = actions_of(actions, api.IncrementCounter)
        if calls:
            break
    assert calls and calls[0].bounds_ceiling
    totals[calls[0].key] = 30.0  # of other instances, a moment ago
    assert not actions_of(reply_to_calls(instance, now + 200.0, calls, totals), api.StartAttempt)
