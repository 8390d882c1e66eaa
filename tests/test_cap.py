"""The cap on confirmed sends, step by step: never looser than the truth, whatever was not read."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from martenstep.policy import messages as api
from martenstep.policy.quota import CLOCKS_MS, Ledger, Meter
from tests.helpers import CAPPED, SETTINGS, START, admit, answer, gateway, only, request

DAY = replace(SETTINGS, max_units=1.0)
KEPT = -math.inf  # when the store's contents were last in doubt


def ledger(now: float = START) -> tuple[Ledger, Meter]:
    """A customer's ledger in its first period, and its cap."""
    made = Ledger(CAPPED, request("r", plan="capped"), DAY, now, now - 1e6)
    made.turn(math.floor(now / made.period_ms + made.phase), False)
    assert made.cap is not None
    return made, made.cap


def turn_of(led: Ledger) -> float:
    return led.start() + led.period_ms


def test_headroom_and_cap_together_are_the_ceiling_and_its_slack() -> None:
    parts = [
        Ledger(CAPPED, api.Request("r", "read", "capped", 7, 4000.0, 1.0, 2, 0), replace(DAY, instance=me), START, 0.0)
        for me in (0, 1)
    ]
    heads = [led.head for led in parts if led.head]
    cap = parts[0].cap
    assert cap is not None
    at_once = sum(head.tolerance / head.per_unit for head in heads) + cap.tolerance / cap.per_unit
    a_second = sum(1000 / head.per_unit for head in heads) + 1000 / cap.per_unit
    late = 1000 / cap.per_unit * DAY.counter_timeout_ms / 1000
    assert at_once + late == pytest.approx(CAPPED.ceiling_burst + CAPPED.ceiling_slack)
    assert a_second == pytest.approx(CAPPED.ceiling_rate)


def test_a_stranger_takes_both_periods_as_used_up_until_they_are_read() -> None:
    led, cap = ledger()
    now = led.start() + 10.0
    led.read(now, cap, 0.0, 0.0, KEPT)
    assert cap.room(now) == pytest.approx(10.0 / cap.per_unit)
    led.close(cap, 0.0, KEPT)
    assert cap.room(now) == pytest.approx(cap.tolerance / cap.per_unit, rel=0.15)  # a period has refilled it


def test_units_of_others_count_as_sent_now() -> None:
    led, cap = ledger()
    led.close(cap, 0.0, KEPT)
    now = led.start() + 900.0
    led.read(now, cap, 5.0, 0.0, KEPT)
    assert cap.room(now) == pytest.approx(cap.tolerance / cap.per_unit - 5.0)


def test_what_others_sent_at_the_end_of_an_old_period_is_counted() -> None:
    led, cap = ledger()
    led.close(cap, 0.0, KEPT)
    led.base = 1.0
    led.last_base = 1.0
    turn = turn_of(led)
    led.turn(led.period + 1, True)
    led.close(cap, 5.0, KEPT)  # 4 since the last reading there
    assert cap.room(turn) == pytest.approx(cap.tolerance / cap.per_unit - 4.0)


def test_a_period_that_was_skipped_makes_a_stranger() -> None:
    led, cap = ledger()
    led.close(cap, 0.0, KEPT)
    led.turn(led.period + 2, False)
    assert cap.room(led.start()) == pytest.approx(0.0)


def test_after_a_doubt_the_bucket_was_empty_and_all_that_is_there_may_be_new() -> None:
    led, cap = ledger()
    led.close(cap, 0.0, KEPT)
    at = led.start() + 100.0
    led.read(at, cap, 1.0, 0.0, KEPT)
    led.base = 1.0
    led.read(at + 300.0, cap, 2.0, 0.0, at + 200.0)
    assert cap.room(at + 300.0) == pytest.approx(max(100.0 / cap.per_unit - 2.0, 0.0))
    room = cap.room(at + 500.0)
    led.close(cap, 0.0, at + 200.0)  # an old total says nothing any more
    assert cap.room(at + 500.0) == room


def test_nothing_is_counted_on_so_near_to_the_end_of_a_period() -> None:
    led, cap = ledger()
    led.close(cap, 0.0, KEPT)
    assert led.book(turn_of(led) - CLOCKS_MS - 1.0, 1.0) is cap
    assert led.book(turn_of(led) - CLOCKS_MS, 1.0) is led.head
    assert led.head is not None
    led.head.tat = turn_of(led) + led.head.tolerance
    assert led.book(turn_of(led) - CLOCKS_MS, 1.0) is None


def test_a_ledger_stays_until_its_headroom_has_refilled() -> None:
    plan = replace(CAPPED, ceiling_rate=5.01, ceiling_burst=12.0)  # 8 units of headroom, one in 100 s
    led = Ledger(plan, request("r", plan="capped"), DAY, START, 0.0)
    assert led.head is not None
    led.head.take(3.0, START)
    later = START + 60_000.0
    assert led.in_use(later) and not led.in_use(led.head.tat + 1.0)


def test_a_reading_after_a_silence_as_long_as_the_period_is_a_strangers() -> None:
    """The ledger had counted as told through failing calls, and the others' crowd was refilled at once."""
    made = gateway(max_units=1.0)
    totals: dict[int, float] = {}
    assert only(admit(made, START, request("a", plan="capped"), totals), api.StartAttempt)
    for number in range(40):  # 4 s of a store that is away
        now = START + 100.0 * (number + 1)
        for count in only(made.handle(now, request(f"b{number}", plan="capped")), api.IncrementCounter):
            made.handle(now, api.CounterReply(count.key, api.CallResult.CONNECT_FAILED, 0.0))
    now = START + 4200.0
    counts: list[api.IncrementCounter] = []
    for number in range(200):
        counts = only(made.handle(now + number, request(f"c{number}", plan="capped")), api.IncrementCounter)
        if counts:
            break
    assert counts and counts[0].bounds_ceiling
    totals[counts[0].key] = 30.0  # of others, a moment ago
    assert not only(answer(made, now + 200.0, counts, totals), api.StartAttempt)
