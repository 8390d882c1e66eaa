"""The GCRA, the reports to the counter and the ceiling, by one gateway's decisions alone."""

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


def test_a_request_conforms_exactly_when_its_wait_is_over() -> None:
    limiter = Gcra(1.0, 4.0, 0.0)
    for _ in range(4):
        assert limiter.wait_ms(0.0, 1.0) <= 0
        limiter.consume(1.0, 0.0)
    assert limiter.wait_ms(0.0, 1.0) == pytest.approx(1000.0)
    assert limiter.wait_ms(999.0, 1.0) > 0
    assert limiter.wait_ms(1000.0, 1.0) <= 0


def test_a_request_of_several_units_waits_until_the_burst_holds_them() -> None:
    limiter = Gcra(2.0, 4.0, 0.0)
    limiter.consume(2.0, 0.0)
    assert limiter.wait_ms(0.0, 2.0) <= 0
    assert limiter.wait_ms(0.0, 3.0) == pytest.approx(500.0)


def test_a_request_larger_than_the_burst_conforms_when_the_burst_is_full() -> None:
    limiter = Gcra(1.0, 2.0, 0.0)
    assert limiter.wait_ms(0.0, 5.0) <= 0
    limiter.consume(5.0, 0.0)
    assert limiter.wait_ms(0.0, 5.0) == pytest.approx(5000.0)


def test_a_long_idle_time_saves_no_more_than_the_burst() -> None:
    limiter = Gcra(1.0, 4.0, 0.0)
    assert limiter.available_units(1e9) == pytest.approx(4.0)
    limiter.consume(1.0, 1e9)
    assert limiter.tat == pytest.approx(1e9 + 1000.0)


def test_a_request_beyond_the_burst_is_rejected_at_once_with_its_wait() -> None:
    instance = gateway()
    totals: dict[int, float] = {}
    for number in range(4):
        assert actions_of(admit_with_counter(instance, START, request(f"r{number}"), totals), api.StartAttempt)
    [rejection] = instance.handle(START, request("r4"))
    assert isinstance(rejection, api.Reject)
    assert rejection.retry_after_ms == pytest.approx(1000.0)


def test_units_of_other_instances_advance_the_tat() -> None:
    instance = gateway()
    totals: dict[int, float] = {}
    assert actions_of(admit_with_counter(instance, START, request("r0"), totals), api.StartAttempt)
    for key in totals:
        totals[key] += 10.0
    actions = admit_with_counter(instance, START + 10, request("r1"), totals)
    assert actions_of(actions, api.Reject) and not actions_of(actions, api.StartAttempt)


def period_keys(customer: int, period_ms: float = 4000.0) -> tuple[int, int]:
    """The counter keys of the period at START and of the previous one."""
    period = math.floor(START / period_ms + counter_key(customer, -1) / MAX_KEY)
    return counter_key(customer, period), counter_key(customer, period - 1)


def test_one_call_is_enough_while_there_is_ample_quota() -> None:
    """Two calls for each rare request are more than the counter can handle from hundreds of gateways."""
    instance = gateway()
    [call] = actions_of(instance.handle(START, request("r0")), api.IncrementCounter)
    assert (call.key, call.units) == (period_keys(7)[0], 1.0) and 0 <= call.key < 2**63
    actions = instance.handle(START + 2, api.CounterReply(call.key, api.CallResult.OK, 2.0, 1.0))
    assert actions_of(actions, api.StartAttempt) and not actions_of(actions, api.IncrementCounter)


def test_the_closing_read_is_made_if_the_customer_uses_much() -> None:
    instance = gateway()
    [call] = actions_of(instance.handle(START, request("r0")), api.IncrementCounter)
    [closing_read] = instance.handle(START + 2, api.CounterReply(call.key, api.CallResult.OK, 2.0, 9.0))
    assert isinstance(closing_read, api.IncrementCounter)
    assert (closing_read.key, closing_read.units) == (period_keys(7)[1], 0.0)


def test_in_a_new_period_the_closing_read_finds_late_units() -> None:
    """Units that another gateway added near the previous period's end must not be lost."""
    instance = gateway()
    totals: dict[int, float] = {}
    admit_with_counter(instance, START, request("r0"), totals)
    totals[period_keys(7)[0]] += 30.0
    later = START + 4000.0
    sent = sum(
        bool(actions_of(admit_with_counter(instance, later + n, request(f"n{n}"), totals), api.StartAttempt))
        for n in range(9)
    )
    assert sent <= PLAIN.burst - 1  # less the own units, until the others are found under the previous key
    assert actions_of(admit_with_counter(instance, later + 9, request("r1"), totals), api.Reject)


def test_one_call_of_a_key_is_in_flight_and_later_requests_share_the_next() -> None:
    instance = gateway()
    calls = actions_of(instance.handle(START, request("r0")), api.IncrementCounter)
    assert actions_of(instance.handle(START, request("r1")), api.IncrementCounter) == []
    assert actions_of(instance.handle(START, request("r2")), api.IncrementCounter) == []
    totals: dict[int, float] = {}
    for call in calls:
        actions = instance.handle(START + 2, api.CounterReply(call.key, api.CallResult.OK, 2.0, 1.0))
    next_calls = actions_of(actions, api.IncrementCounter)
    assert [call.units for call in next_calls] == [2.0]
    assert actions_of(reply_to_calls(instance, START + 4, next_calls, totals), api.StartAttempt)


def test_while_the_counter_does_not_reply_an_instance_sends_its_share() -> None:
    """No instance may use the whole quota for long while no call is answered."""
    instance = gateway()
    sent = 0
    for step in range(200):
        now = START + step * 50.0
        actions = instance.handle(now, request(f"r{step}", units=1.0))
        for call in actions_of(actions, api.IncrementCounter):
            actions = actions + instance.handle(now + 50.0, api.CounterReply(call.key, api.CallResult.TIMEOUT, 50.0))
        for attempt in actions_of(actions, api.StartAttempt):
            sent += 1
            instance.handle(now + 50.0, attempt_ended(attempt, api.CallResult.OK))
    assert 2 <= sent <= 1 + (PLAIN.burst + PLAIN.rate * 10.0) / 2


def test_a_counter_that_lost_its_data_never_moves_the_tat_back() -> None:
    instance = gateway()
    totals: dict[int, float] = {}
    for number in range(3):
        admit_with_counter(instance, START, request(f"r{number}"), totals)
    totals.clear()
    admit_with_counter(instance, START + 1, request("r3"), totals)
    assert actions_of(admit_with_counter(instance, START + 2, request("r4"), totals), api.Reject)


def test_an_overloaded_counter_is_called_less() -> None:
    """All gateways together must stay within the counter's capacity; none may stop calling it for good."""
    instance = gateway(instances=300)
    sampled = []
    for number in range(2000):
        now = START + number * 500.0
        event = request(f"r{number}", customer=number, instances=100)
        for call in actions_of(instance.handle(now, event), api.IncrementCounter):
            sampled.append(number)
            instance.handle(now + 50, api.CounterReply(call.key, api.CallResult.TIMEOUT, 50.0))
    assert 20 < len(sampled) < 300 and sampled[-1] > 1800


def test_a_sampled_request_stands_for_the_unconfirmed_ones() -> None:
    """With only the sampled requests counted every customer seemed far below its quota, and 94% conformed."""
    instance = gateway(instances=300)
    units = []
    for number in range(400):
        now = START + number * 500.0
        event = request(f"r{number}", customer=number, instances=100)
        for call in actions_of(instance.handle(now, event), api.IncrementCounter):
            units.append(call.units)
            result = api.CallResult.TIMEOUT if number % 3 else api.CallResult.OK
            reply = api.CounterReply(call.key, result, 9.0, call.units)
            for closing_read in actions_of(instance.handle(now + 9, reply), api.IncrementCounter):
                instance.handle(now + 9, api.CounterReply(closing_read.key, api.CallResult.OK, 9.0, 0.0))
    assert units[0] == 1.0 and max(units) > 2.0


def test_units_of_a_rejected_request_are_subtracted_from_the_counter() -> None:
    """A gateway that gets no further request of the customer must not leave units there that were not sent."""
    instance = gateway(instances=300)
    totals = {period_keys(7)[0]: 20.0}
    for number in range(40):  # replies without a queue: the counter has spare capacity
        admit_with_counter(instance, START, request(f"q{number}", customer=100 + number), totals)
    actions = admit_with_counter(instance, START, request("r0", instances=100), totals)
    assert actions_of(actions, api.Reject) and totals[period_keys(7)[0]] == pytest.approx(20.0)


def test_with_a_queue_at_the_counter_units_not_sent_are_subtracted_by_the_next_call() -> None:
    """With 100 gateways and an overloaded counter a fifth of all calls only subtracted units."""
    runs_with_call = only_subtracting = 0
    for seed in range(100):
        instance = gateway(instances=300, seed=seed)
        for number in range(20):
            rtt_ms = 0.5 * SETTINGS.counter_timeout_ms if number else 2.0
            actions = instance.handle(START, request(f"q{number}", customer=100 + number))
            for call in actions_of(actions, api.IncrementCounter):
                instance.handle(START, api.CounterReply(call.key, api.CallResult.OK, rtt_ms, 1.0))
        calls = actions_of(instance.handle(START, request("r0", instances=100)), api.IncrementCounter)
        runs_with_call += bool(calls)
        while calls:
            call = calls.pop()
            only_subtracting += call.units < 0
            reply = api.CounterReply(call.key, api.CallResult.OK, 25.0, 21.0)
            calls += actions_of(instance.handle(START + 2, reply), api.IncrementCounter)
    assert runs_with_call >= 20 and only_subtracting <= runs_with_call / 3


def test_an_unconfirmed_customer_gets_its_first_call() -> None:
    """With 1/g of the burst for each of g gateways, which is less than one request, none would be sent anywhere."""
    instance = gateway(instances=300)
    totals: dict[int, float] = {}
    actions = admit_with_counter(instance, START, request("r0", instances=200), totals)
    assert actions_of(actions, api.StartAttempt)


def test_a_headroom_of_less_than_one_request_each_is_held_by_some_instances() -> None:
    """The instances that a customer's requests are spread over stay under its ceiling without a counter."""
    sent = 0
    for number_of_instance in range(20):
        instance = gateway(instances=20, has_counter=False, instance=number_of_instance)
        for number in range(30):
            now = START + number * 200.0
            actions = instance.handle(now, request(f"r{number}", plan="capped", customer=9, instances=20))
            sent += len(actions_of(actions, api.StartAttempt))
    headroom = CAPPED.ceiling_burst + CAPPED.ceiling_slack - CAPPED.burst
    assert 4 <= sent <= headroom + (CAPPED.ceiling_rate - CAPPED.rate) * 6.0


def test_however_a_request_ends_its_place_under_the_concurrency_limit_is_released() -> None:
    """Each is released exactly once."""
    plan = api.Plan("plain", rate=100.0, burst=100.0, concurrency_limit=2)
    for ending in ("ok", "client disconnects", "error", "client disconnects during the counter call"):
        instance = gateway(plans=(plan,), max_attempts=1)
        totals: dict[int, float] = {}
        for number in range(12):
            now = START + number * 100.0
            if ending == "client disconnects during the counter call":
                event = request(f"h{number}", instances=1)
                calls = actions_of(instance.handle(now, event), api.IncrementCounter)
                instance.handle(now + 1, api.ClientDisconnected(f"h{number}"))
                assert not actions_of(reply_to_calls(instance, now + 2, calls, totals), api.StartAttempt)
                continue
            actions = admit_with_counter(instance, now, request(f"r{number}", instances=1), totals)
            [attempt] = actions_of(actions, api.StartAttempt)
            if ending == "client disconnects":
                instance.handle(now + 5, api.ClientDisconnected(attempt.id))
                instance.handle(now + 9, attempt_ended(attempt, api.CallResult.TIMEOUT, ended=True))
            else:
                result = api.CallResult.OK if ending == "ok" else api.CallResult.ERROR
                instance.handle(now + 5, attempt_ended(attempt, result))
        actions = admit_with_counter(instance, START + 5000, request("last", instances=1), totals)
        assert actions_of(actions, api.StartAttempt)


def test_the_ceiling_is_kept_without_the_counter() -> None:
    """A restart refills nothing: the headroom for unconfirmed sends is empty at the instance's start."""
    instance = gateway(has_counter=False)
    sent, seconds = 0, 10
    for step in range(seconds * 100):
        now = START + step * 10.0
        actions = instance.handle(now, request(f"r{step}", plan="capped", customer=9))
        for attempt in actions_of(actions, api.StartAttempt):
            sent += 1
            instance.handle(now, attempt_ended(attempt, api.CallResult.OK, rtt=5.0))
    headroom_rate = (CAPPED.ceiling_rate - CAPPED.rate) / 2
    assert 0 < sent <= headroom_rate * seconds + 1


def test_the_error_for_an_unknown_plan_names_it() -> None:
    with pytest.raises(ValueError, match="gold"):
        gateway().handle(START, request("r0", plan="gold"))


def test_a_customer_state_with_a_scheduled_report_is_kept() -> None:
    """If it was dropped, its late report got the reply for a new entry's call, and the requests of that were lost."""
    instance = gateway()
    timers: list[api.SetTimer] = []
    for call in actions_of(instance.handle(START, request("r0")), api.IncrementCounter):
        for action in instance.handle(START + 1, api.CounterReply(call.key, api.CallResult.OVERLOADED, 1.0)):
            if isinstance(action, api.StartAttempt):
                instance.handle(START + 50, attempt_ended(action, api.CallResult.OK))
            elif isinstance(action, api.SetTimer):
                timers.append(action)
    now = START + 60_000.0  # idle for long: the next request drops stale entries
    actions = instance.handle(now, request("late"))
    for timer in timers:
        actions = actions + instance.handle(now, api.TimerFired(timer.token))
    decided: list[str] = []
    for call in actions_of(actions, api.IncrementCounter):
        reply = api.CounterReply(call.key, api.CallResult.OK, 2.0, call.units)
        follow_ups = instance.handle(now + 2, reply)
        decided += [action.id for action in follow_ups if isinstance(action, api.StartAttempt | api.Reject)]
    assert decided == ["late"]


def test_a_request_with_little_time_left_does_not_wait_for_the_counter() -> None:
    instance = gateway()
    actions = instance.handle(START, request("r0", remaining_ms=190.0))
    assert actions_of(actions, api.StartAttempt) and not actions_of(actions, api.IncrementCounter)


def sampled_requests(instance: Gateway, rtt_ms: float, requests: int = 400) -> int:
    """How many requests, each of a new customer, the counter is called for if each reply takes this time."""
    sampled = 0
    for number in range(requests):
        now = START + number * 10.0
        actions = instance.handle(now, request(f"t{number}", customer=1000 + number))
        for call in actions_of(actions, api.IncrementCounter):
            sampled += 1
            instance.handle(now + rtt_ms, api.CounterReply(call.key, api.CallResult.OK, rtt_ms, call.units))
    return sampled


def test_a_constant_latency_of_the_counter_is_not_taken_for_a_queue() -> None:
    """Replies that all took a fifth of the timeout kept the sampling rate as low as a queue would."""
    timeout_ms = SETTINGS.counter_timeout_ms
    assert sampled_requests(gateway(), timeout_ms * 0.04) > 390
    assert sampled_requests(gateway(), timeout_ms * 0.45) > 390


def test_a_rise_of_the_counter_latency_is_taken_for_a_queue() -> None:
    instance = gateway()
    timeout_ms = SETTINGS.counter_timeout_ms
    assert sampled_requests(instance, timeout_ms * 0.1, 100) > 90
    sampled = 0
    for number in range(400):
        now = START + 5000.0 + number * 10.0
        actions = instance.handle(now, request(f"c{number}", customer=5000 + number))
        for call in actions_of(actions, api.IncrementCounter):
            sampled += 1
            reply = api.CounterReply(call.key, api.CallResult.OK, timeout_ms * 0.8, call.units)
            instance.handle(now + 40.0, reply)
    assert sampled < 200
