"""The GCRA, the counter reports and the ceiling, by the module alone."""

from __future__ import annotations

import math

import pytest

from martenstep.policy import messages as api
from martenstep.policy.counter_period import MAX_KEY, counter_key
from martenstep.policy.gateway import Gateway
from martenstep.policy.gcra import Gcra
from tests.policy_events import (
    CAPPED,
    PLAIN,
    SETTINGS,
    START,
    actions_of,
    admit_with_counter,
    attempt_ended,
    gateway,
    reply_to_calls,
    request,
)


def test_conforms_exactly_when_the_wait_is_over() -> None:
    limiter = Gcra(1.0, 4.0, 0.0)
    for _ in range(4):
        assert limiter.wait_ms(0.0, 1.0) <= 0
        limiter.consume(1.0, 0.0)
    assert limiter.wait_ms(0.0, 1.0) == pytest.approx(1000.0)
    assert limiter.wait_ms(999.0, 1.0) > 0
    assert limiter.wait_ms(1000.0, 1.0) <= 0


def test_several_units_wait_until_the_burst_holds_them() -> None:
    limiter = Gcra(2.0, 4.0, 0.0)
    limiter.consume(2.0, 0.0)
    assert limiter.wait_ms(0.0, 2.0) <= 0
    assert limiter.wait_ms(0.0, 3.0) == pytest.approx(500.0)


def test_a_request_larger_than_the_burst_goes_when_all_is_paid() -> None:
    limiter = Gcra(1.0, 2.0, 0.0)
    assert limiter.wait_ms(0.0, 5.0) <= 0
    limiter.consume(5.0, 0.0)
    assert limiter.wait_ms(0.0, 5.0) == pytest.approx(5000.0)


def test_long_idle_saves_no_more_than_the_burst() -> None:
    limiter = Gcra(1.0, 4.0, 0.0)
    assert limiter.available_units(1e9) == pytest.approx(4.0)
    limiter.consume(1.0, 1e9)
    assert limiter.tat == pytest.approx(1e9 + 1000.0)


def test_beyond_the_burst_is_rejected_at_once_with_the_wait() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    for number in range(4):
        assert actions_of(admit_with_counter(made, START, request(f"r{number}"), totals), api.StartAttempt)
    [refused] = made.handle(START, request("r4"))
    assert isinstance(refused, api.Reject)
    assert refused.retry_after_ms == pytest.approx(1000.0)


def test_units_of_other_instances_push_the_tat() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    assert actions_of(admit_with_counter(made, START, request("r0"), totals), api.StartAttempt)
    for name in totals:
        totals[name] += 10.0
    refused = admit_with_counter(made, START + 10, request("r1"), totals)
    assert actions_of(refused, api.Reject) and not actions_of(refused, api.StartAttempt)


def names(customer: int, period_ms: float = 4000.0) -> tuple[int, int]:
    """The counter names of the period at START and of the one before."""
    period = math.floor(START / period_ms + counter_key(customer, -1) / MAX_KEY)
    return counter_key(customer, period), counter_key(customer, period - 1)


def test_one_call_is_enough_while_there_is_ample_quota() -> None:
    """Two calls for each rare request are more than the counter takes from hundreds of gateways."""
    made = gateway()
    [count] = actions_of(made.handle(START, request("r0")), api.IncrementCounter)
    assert (count.key, count.units) == (names(7)[0], 1.0) and 0 <= count.key < 2**63
    actions = made.handle(START + 2, api.CounterReply(count.key, api.CallResult.OK, 2.0, 1.0))
    assert actions_of(actions, api.StartAttempt) and not actions_of(actions, api.IncrementCounter)


def test_the_old_period_is_read_where_the_customer_uses_much() -> None:
    made = gateway()
    [count] = actions_of(made.handle(START, request("r0")), api.IncrementCounter)
    [old] = made.handle(START + 2, api.CounterReply(count.key, api.CallResult.OK, 2.0, 9.0))
    assert isinstance(old, api.IncrementCounter) and (old.key, old.units) == (names(7)[1], 0.0)


def test_a_new_period_reads_the_old_key_once_more() -> None:
    """Units that another gateway added near the old period's end must not be lost."""
    made = gateway()
    totals: dict[int, float] = {}
    admit_with_counter(made, START, request("r0"), totals)
    totals[names(7)[0]] += 30.0
    later = START + 4000.0
    sent = sum(
        bool(actions_of(admit_with_counter(made, later + n, request(f"n{n}"), totals), api.StartAttempt))
        for n in range(9)
    )
    assert sent <= PLAIN.burst - 1  # less what was used itself, until the rest is found in the old name
    assert actions_of(admit_with_counter(made, later + 9, request("r1"), totals), api.Reject)


def test_one_call_out_a_name_and_later_requests_share_the_next() -> None:
    made = gateway()
    counts = actions_of(made.handle(START, request("r0")), api.IncrementCounter)
    assert actions_of(made.handle(START, request("r1")), api.IncrementCounter) == []
    assert actions_of(made.handle(START, request("r2")), api.IncrementCounter) == []
    totals: dict[int, float] = {}
    for count in counts:
        follow = made.handle(START + 2, api.CounterReply(count.key, api.CallResult.OK, 2.0, 1.0))
    assert [c.units for c in actions_of(follow, api.IncrementCounter)] == [2.0]
    assert actions_of(
        reply_to_calls(made, START + 4, actions_of(follow, api.IncrementCounter), totals), api.StartAttempt
    )


def test_a_silent_counter_leaves_the_own_share() -> None:
    """Nobody may pass the whole quota for long while the counter says nothing."""
    made = gateway()
    sent = 0
    for step in range(200):
        now = START + step * 50.0
        actions = made.handle(now, request(f"r{step}", units=1.0))
        for count in actions_of(actions, api.IncrementCounter):
            actions = actions + made.handle(now + 50.0, api.CounterReply(count.key, api.CallResult.TIMEOUT, 50.0))
        for send in actions_of(actions, api.StartAttempt):
            sent += 1
            made.handle(now + 50.0, attempt_ended(send, api.CallResult.OK))
    assert 2 <= sent <= 1 + (PLAIN.burst + PLAIN.rate * 10.0) / 2


def test_a_counter_that_forgot_never_pulls_the_tat_back() -> None:
    made = gateway()
    totals: dict[int, float] = {}
    for number in range(3):
        admit_with_counter(made, START, request(f"r{number}"), totals)
    totals.clear()
    admit_with_counter(made, START + 1, request("r3"), totals)
    assert actions_of(admit_with_counter(made, START + 2, request("r4"), totals), api.Reject)


def test_an_overloaded_counter_is_called_less() -> None:
    """All gateways together must stay below what the counter takes; none may stay away for good."""
    made = gateway(instances=300)
    calls = []
    for number in range(2000):
        now = START + number * 500.0
        for count in actions_of(
            made.handle(now, request(f"r{number}", customer=number, spread=100)), api.IncrementCounter
        ):
            calls.append(number)
            made.handle(now + 50, api.CounterReply(count.key, api.CallResult.TIMEOUT, 50.0))
    assert 20 < len(calls) < 300 and calls[-1] > 1800


def test_an_asked_request_stands_for_the_unconfirmed_ones() -> None:
    """With only a part of the tries counted every customer looked far below its quota, and 94% conformed."""
    made = gateway(instances=300)
    units = []
    for number in range(400):
        now = START + number * 500.0
        for count in actions_of(
            made.handle(now, request(f"r{number}", customer=number, spread=100)), api.IncrementCounter
        ):
            units.append(count.units)
            result = api.CallResult.TIMEOUT if number % 3 else api.CallResult.OK
            told = api.CounterReply(count.key, result, 9.0, count.units)
            for more in actions_of(made.handle(now + 9, told), api.IncrementCounter):
                made.handle(now + 9, api.CounterReply(more.key, api.CallResult.OK, 9.0, 0.0))
    assert units[0] == 1.0 and max(units) > 2.0


def test_a_rejected_request_is_taken_off_the_counter() -> None:
    """A gateway that will not meet the customer again must not leave units there that nobody sent."""
    made = gateway(instances=300)
    totals = {names(7)[0]: 20.0}
    for number in range(40):  # answers without a line: the counter has room
        admit_with_counter(made, START, request(f"q{number}", customer=100 + number), totals)
    actions = admit_with_counter(made, START, request("r0", spread=100), totals)
    assert actions_of(actions, api.Reject) and totals[names(7)[0]] == pytest.approx(20.0)


def test_beside_a_queue_at_the_counter_what_was_not_sent_waits_for_the_next_call() -> None:
    """On a day of 100 gateways beside a full counter a fifth of all calls only took units back."""
    tried = alone = 0
    for seed in range(100):
        made = gateway(instances=300, seed=seed)
        for number in range(20):
            late = 0.5 * SETTINGS.counter_timeout_ms if number else 2.0
            for count in actions_of(
                made.handle(START, request(f"q{number}", customer=100 + number)), api.IncrementCounter
            ):
                made.handle(START, api.CounterReply(count.key, api.CallResult.OK, late, 1.0))
        calls = actions_of(made.handle(START, request("r0", spread=100)), api.IncrementCounter)
        tried += bool(calls)
        while calls:
            count = calls.pop()
            alone += count.units < 0
            calls += actions_of(
                made.handle(START + 2, api.CounterReply(count.key, api.CallResult.OK, 25.0, 21.0)),
                api.IncrementCounter,
            )
    assert tried >= 20 and alone <= tried / 3


def test_an_unconfirmed_customer_gets_its_first_call() -> None:
    """With a part of 1/g of the burst, under one request, nobody would pass anywhere."""
    made = gateway(instances=300)
    totals: dict[int, float] = {}
    assert actions_of(admit_with_counter(made, START, request("r0", spread=200), totals), api.StartAttempt)


def test_a_headroom_below_one_request_each_goes_undivided_to_some() -> None:
    """Together the gateways of a set stay under the ceiling with no word from the counter."""
    sent = 0
    for me in range(20):
        made = gateway(instances=20, has_counter=False, instance=me)
        for number in range(30):
            now, rid = START + number * 200.0, f"r{number}"
            actions = made.handle(now, request(rid, plan="capped", customer=9, spread=20))
            sent += len(actions_of(actions, api.StartAttempt))
    headroom = CAPPED.ceiling_burst + CAPPED.ceiling_slack - CAPPED.burst
    assert 4 <= sent <= headroom + (CAPPED.ceiling_rate - CAPPED.rate) * 6.0


def test_after_any_ending_the_counts_are_as_before() -> None:
    """The place under the open cap is given back exactly once, however a request ends."""
    plan = api.Plan("plain", rate=100.0, burst=100.0, concurrency_limit=2)
    for ending in ("ok", "left", "fail", "held"):
        made = gateway(plans=(plan,), max_attempts=1)
        totals: dict[int, float] = {}
        for number in range(12):
            now = START + number * 100.0
            if ending == "held":
                counts = actions_of(made.handle(now, request(f"h{number}", spread=1)), api.IncrementCounter)
                made.handle(now + 1, api.ClientDisconnected(f"h{number}"))
                assert not actions_of(reply_to_calls(made, now + 2, counts, totals), api.StartAttempt)
                continue
            [send] = actions_of(
                admit_with_counter(made, now, request(f"r{number}", spread=1), totals), api.StartAttempt
            )
            if ending == "left":
                made.handle(now + 5, api.ClientDisconnected(send.id))
                made.handle(now + 9, attempt_ended(send, api.CallResult.TIMEOUT, ended=True))
            else:
                made.handle(now + 5, attempt_ended(send, api.CallResult.OK if ending == "ok" else api.CallResult.ERROR))
        assert actions_of(admit_with_counter(made, START + 5000, request("last", spread=1), totals), api.StartAttempt)


def test_the_ceiling_is_kept_without_the_counter() -> None:
    """A restart refills nothing: unconfirmed sends fill from the instance's own start."""
    made = gateway(has_counter=False)
    sent, seconds = 0, 10
    for step in range(seconds * 100):
        now = START + step * 10.0
        for send in actions_of(made.handle(now, request(f"r{step}", plan="capped", customer=9)), api.StartAttempt):
            sent += 1
            made.handle(now, attempt_ended(send, api.CallResult.OK, rtt=5.0))
    part = (CAPPED.ceiling_rate - CAPPED.rate) / 2
    assert 0 < sent <= part * seconds + 1


def test_an_unknown_plan_is_named() -> None:
    with pytest.raises(ValueError, match="gold"):
        gateway().handle(START, request("r0", plan="gold"))


def test_a_report_to_come_keeps_its_entry() -> None:
    """A dropped entry's late report took the new entry's answer; who waited was lost."""
    made = gateway()
    wakes: list[api.SetTimer] = []
    for count in actions_of(made.handle(START, request("r0")), api.IncrementCounter):
        for action in made.handle(START + 1, api.CounterReply(count.key, api.CallResult.OVERLOADED, 1.0)):
            if isinstance(action, api.StartAttempt):
                made.handle(START + 50, attempt_ended(action, api.CallResult.OK))
            elif isinstance(action, api.SetTimer):
                wakes.append(action)
    now = START + 60_000.0  # idle for long: the sweep runs with the next request
    actions = made.handle(now, request("late"))
    for wake in wakes:
        actions = actions + made.handle(now, api.TimerFired(wake.token))
    done: list[str] = []
    for count in actions_of(actions, api.IncrementCounter):
        answers = made.handle(now + 2, api.CounterReply(count.key, api.CallResult.OK, 2.0, count.units))
        done += [a.id for a in answers if isinstance(a, api.StartAttempt | api.Reject)]
    assert done == ["late"]


def test_a_client_with_little_time_is_not_held() -> None:
    made = gateway()
    actions = made.handle(START, request("r0", remaining=190.0))
    assert actions_of(actions, api.StartAttempt) and not actions_of(actions, api.IncrementCounter)


def asked_of(made: Gateway, rtt: float, times: int = 400) -> int:
    """How many of so many strangers' tries are asked for, each call answered after this time."""
    asked = 0
    for number in range(times):
        at = START + number * 10.0
        for count in actions_of(made.handle(at, request(f"t{number}", customer=1000 + number)), api.IncrementCounter):
            asked += 1
            made.handle(at + rtt, api.CounterReply(count.key, api.CallResult.OK, rtt, count.units))
    return asked


def test_a_long_way_to_the_counter_is_no_queue_at_it() -> None:
    """Answers a fifth of the time-out away, all alike, kept the chance of a call down as a crowd would."""
    timeout = SETTINGS.counter_timeout_ms
    assert asked_of(gateway(), timeout * 0.04) > 390
    assert asked_of(gateway(), timeout * 0.45) > 390


def test_a_queue_at_the_counter_is_one() -> None:
    made = gateway()
    timeout = SETTINGS.counter_timeout_ms
    assert asked_of(made, timeout * 0.1, 100) > 90
    crowded = 0
    for number in range(400):
        at = START + 5000.0 + number * 10.0
        for count in actions_of(made.handle(at, request(f"c{number}", customer=5000 + number)), api.IncrementCounter):
            crowded += 1
            made.handle(at + 40.0, api.CounterReply(count.key, api.CallResult.OK, timeout * 0.8, count.units))
    assert crowded < 200
