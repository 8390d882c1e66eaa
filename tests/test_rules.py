"""Rules of the decisions and failures that were found, one small case each."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from tests.policy_events import (
    SETTINGS,
    START,
    actions_of,
    admit_with_counter,
    attempt_ended,
    endpoint,
    gateway,
    request,
)

NO_QUOTA = api.Plan("plain")  # a plan without a quota, for tests that are not about quotas


def gateway_without_quota(**changes: Any) -> Gateway:
    return gateway(plans=(NO_QUOTA,), **changes)


def attempts_of(instance: Gateway, now: float, event: api.Event) -> list[api.StartAttempt]:
    return actions_of(instance.handle(now, event), api.StartAttempt)


def test_nothing_follows_a_successful_response() -> None:
    instance = gateway_without_quota()
    [attempt] = attempts_of(instance, START, request("r0"))
    assert instance.handle(START + 50, attempt_ended(attempt, api.CallResult.OK)) == []
    assert instance.handle(START + 60, api.ClientDisconnected("r0")) == []
    assert instance.handle(START + 60, attempt_ended(attempt, api.CallResult.TIMEOUT, ended=True)) == []


def test_an_attempt_times_out_by_the_deadline_of_its_client() -> None:
    [attempt] = attempts_of(gateway_without_quota(), START, request("r0", remaining_ms=700.0))
    assert attempt.timeout_ms <= 700.0


def test_an_attempt_that_times_out_at_the_deadline_gives_the_final_answer() -> None:
    instance = gateway_without_quota()
    [attempt] = attempts_of(instance, START, request("r0", request_class="pay", remaining_ms=700.0))
    actions = instance.handle(START + 700, attempt_ended(attempt, api.CallResult.TIMEOUT, rtt=700.0))
    assert actions == [api.Fail("r0")]


def test_no_attempt_is_started_if_the_client_disconnected_during_the_counter_call() -> None:
    instance = gateway()
    calls = actions_of(instance.handle(START, request("r0")), api.IncrementCounter)
    instance.handle(START + 1, api.ClientDisconnected("r0"))
    for call in calls:
        reply = api.CounterReply(call.key, api.CallResult.OK, 2.0, 1.0)
        assert attempts_of(instance, START + 2, reply) == []


def test_an_at_most_once_request_is_retried_only_if_it_was_never_executed() -> None:
    instance = gateway_without_quota()
    [attempt] = attempts_of(instance, START, request("r0", request_class="pay"))
    [second] = attempts_of(instance, START + 5, attempt_ended(attempt, api.CallResult.OVERLOADED))
    assert second.endpoint != attempt.endpoint
    assert instance.handle(START + 9, attempt_ended(second, api.CallResult.RESET, 1)) == [api.Fail("r0")]


def test_a_keyed_request_that_may_have_been_executed_stays_in_its_scope_and_is_not_rejected() -> None:
    instance = gateway_without_quota()
    zones = {1: "a", 2: "a", 3: "b", 4: "b"}
    [attempt] = attempts_of(instance, START, request("r0", request_class="write"))
    [second] = attempts_of(instance, START + 5, attempt_ended(attempt, api.CallResult.ERROR, rtt=5.0))
    assert zones[second.endpoint] == zones[attempt.endpoint]
    [third] = attempts_of(instance, START + 10, attempt_ended(second, api.CallResult.CONNECT_FAILED, 1, rtt=5.0))
    assert zones[third.endpoint] == zones[attempt.endpoint]
    assert instance.handle(START + 15, attempt_ended(third, api.CallResult.ERROR, 2, rtt=5.0)) == [api.Fail("r0")]


def test_a_keyed_request_is_not_retried_after_its_deduplication_window() -> None:
    instance = gateway_without_quota(
        classes=(replace(SETTINGS.classes[1], latency_objective_ms=9000.0, deadline_ms=9000.0),)
    )
    [attempt] = attempts_of(instance, START, request("r0", request_class="write", remaining_ms=9000.0))
    actions = instance.handle(START + 3001, attempt_ended(attempt, api.CallResult.RESET, rtt=3001.0))
    assert actions == [api.Fail("r0")]


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_no_attempt_is_started_at_an_endpoint_listed_as_draining_or_removed(state: api.EndpointState) -> None:
    instance = gateway_without_quota(endpoints=[endpoint(1), endpoint(2)])
    instance.handle(START, api.EndpointListUpdate(api.EndpointListScope.DELTA, (endpoint(1, state=state),)))
    for number in range(20):
        assert all(attempt.endpoint == 2 for attempt in attempts_of(instance, START + 1, request(f"r{number}")))


def test_an_endpoint_missing_from_a_full_list_is_not_used() -> None:
    instance = gateway_without_quota(endpoints=[endpoint(1), endpoint(2)])
    instance.handle(START, api.EndpointListUpdate(api.EndpointListScope.FULL, (endpoint(2),)))
    assert [attempt.endpoint for attempt in attempts_of(instance, START, request("r0"))] == [2]


@pytest.mark.parametrize("gateways", [2, 60])
def test_a_cold_endpoint_gets_no_more_than_its_slow_start_budget(gateways: int) -> None:
    """Many gateways learn of a new endpoint at the same time: their first attempts must not come all at once."""
    endpoints = [endpoint(n) for n in range(1, 5)]
    fleet = [gateway_without_quota(endpoints=endpoints, instances=gateways, seed=n) for n in range(gateways)]
    started_at: list[float] = []
    endpoint_start = START + 5000.0
    for number in range(1500):
        now = START + number * 10.0
        if now == endpoint_start:
            for instance in fleet:
                instance.handle(now, api.EndpointListUpdate(api.EndpointListScope.DELTA, (endpoint(4, started=now),)))
        instance = fleet[number % gateways]
        for attempt in attempts_of(instance, now, request(f"r{number}")):
            started_at += [now] if attempt.endpoint == 4 and now >= endpoint_start else []
            instance.handle(now, attempt_ended(attempt, api.CallResult.OK, rtt=40.0))
    warm_attempts_per_s = 100 / 4
    budget = SETTINGS.slow_start_initial_share * SETTINGS.overload_multiple * warm_attempts_per_s
    early = [at for at in started_at if at < endpoint_start + 3000]
    assert started_at and all(sum(at <= other < at + 1000 for other in early) <= budget for at in early)


def test_a_cold_endpoint_gets_no_burst_from_instances_that_start() -> None:
    attempts = 0
    for seed in range(200):
        instance = gateway_without_quota(endpoints=[endpoint(1, started=START - 100)], instances=200, seed=seed)
        attempts += len(attempts_of(instance, START + 1, request("r0")))
    assert attempts <= 2


def test_endpoints_are_chosen_by_chance_while_few_responses_were_observed() -> None:
    """Hundreds of gateways with few observations each must not all choose the endpoint that looks best."""
    counts = {number: 0 for number in range(1, 5)}
    for seed in range(400):
        instance = gateway_without_quota(instances=300, seed=seed)
        for number in range(2):
            now = START + number * 900.0
            for attempt in attempts_of(instance, now, request(f"r{number}")):
                counts[attempt.endpoint] += number
                instance.handle(
                    now, attempt_ended(attempt, api.CallResult.OK, rtt=30.0 if attempt.endpoint == 1 else 60.0)
                )
    assert max(counts.values()) <= 2 * 400 / 4


def test_the_concurrency_limit_holds_over_all_endpoints() -> None:
    """Limits for each endpoint add up to hundreds over all gateways: so slow responses lower one limit for all."""
    instance = gateway_without_quota(endpoints=[endpoint(n) for n in range(1, 41)], instances=300)
    now, admitted = START, 0
    for number in range(200):
        now += 100.0
        attempts = [attempt for n in range(10) for attempt in attempts_of(instance, now, request(f"r{number}-{n}"))]
        admitted = len(attempts)
        for attempt in attempts:
            instance.handle(now + 90, attempt_ended(attempt, api.CallResult.OK, rtt=900.0))
    assert admitted <= 2


def test_a_silent_endpoint_is_avoided_and_retried_with_few_attempts() -> None:
    instance = gateway_without_quota(endpoints=[endpoint(1), endpoint(2)])
    now, started = START, {1: 0, 2: 0}
    for number in range(400):
        now += 25.0
        actions = instance.handle(now, request(f"r{number}"))
        timers = actions_of(actions, api.SetTimer)
        for attempt in actions_of(actions, api.StartAttempt):
            started[attempt.endpoint] += 1
            if attempt.endpoint == 2:
                instance.handle(now, attempt_ended(attempt, api.CallResult.OK, rtt=40.0))
            elif timers:
                for action in instance.handle(now + 1000, api.TimerFired(timers[0].token)):
                    assert isinstance(action, api.CancelAttempt)
                    cancelled = attempt_ended(attempt, api.CallResult.CANCELLED, rtt=1000.0)
                    for retry in attempts_of(instance, now + 1000, cancelled):
                        instance.handle(now + 1000, attempt_ended(retry, api.CallResult.OK, 1, rtt=40.0))
    assert started[1] <= 12 and started[2] >= 380


def test_a_slow_endpoint_that_responds_is_not_taken_for_silent() -> None:
    instance = gateway_without_quota(endpoints=[endpoint(1)])
    actions = instance.handle(START, request("r0"))
    [timer] = actions_of(actions, api.SetTimer)
    [other] = attempts_of(instance, START + 100, request("r1"))
    instance.handle(timer.at_ms - 10, attempt_ended(other, api.CallResult.OK, rtt=300.0))
    assert instance.handle(timer.at_ms, api.TimerFired(timer.token)) == []


def test_an_overloaded_endpoint_does_not_draw_all_requests() -> None:
    """An endpoint with a full queue responds at once; it must not look like the fastest one."""
    instance = gateway_without_quota(endpoints=[endpoint(1), endpoint(2)])
    now, rejected = START, 0
    for number in range(200):
        now += 10.0
        for attempt in attempts_of(instance, now, request(f"r{number}")):
            if attempt.endpoint == 1:
                rejected += 1
                for retry in attempts_of(instance, now, attempt_ended(attempt, api.CallResult.OVERLOADED, rtt=1.0)):
                    instance.handle(now, attempt_ended(retry, api.CallResult.OK, 1, rtt=100.0))
            else:
                instance.handle(now, attempt_ended(attempt, api.CallResult.OK, rtt=100.0))
    assert rejected <= 20


def test_if_all_endpoints_fail_attempts_go_on() -> None:
    instance = gateway_without_quota(max_attempts=1)
    now = START
    for number in range(60):
        now += 20.0
        for attempt in attempts_of(instance, now, request(f"r{number}")):
            instance.handle(now, attempt_ended(attempt, api.CallResult.RESET, rtt=5.0))
    assert any(attempts_of(instance, now + step, request(f"x{step}")) for step in range(10))


def test_retries_are_bounded_by_the_retry_budget() -> None:
    instance = gateway_without_quota()
    attempts = requests = 0
    now = START
    for number in range(400):
        now += 20.0
        requests += 1
        in_flight = [(attempt, 0) for attempt in attempts_of(instance, now, request(f"r{number}"))]
        while in_flight:
            attempt, attempt_number = in_flight.pop()
            attempts += 1
            ended = attempt_ended(attempt, api.CallResult.ERROR, attempt_number, rtt=5.0)
            in_flight += [(retry, attempt_number + 1) for retry in attempts_of(instance, now, ended)]
    assert requests * 1.1 < attempts <= requests * 1.4 + 21


def test_attempts_in_flight_are_bounded_before_the_first_response() -> None:
    """A surge must not overload the endpoints before their first responses show their capacity."""
    instance = gateway_without_quota()
    attempts = [attempt for n in range(500) for attempt in attempts_of(instance, START, request(f"r{n}"))]
    assert len(attempts) <= 4 * 6


def test_a_request_without_a_listed_endpoint_is_rejected() -> None:
    instance = gateway_without_quota(endpoints=[])
    assert actions_of(instance.handle(START, request("r0")), api.Reject)


def test_unknown_timers_and_ids_are_ignored() -> None:
    instance = gateway_without_quota()
    assert instance.handle(START, api.TimerFired(99)) == []
    assert instance.handle(START, api.ClientDisconnected("zz")) == []
    assert instance.handle(START, api.CounterReply(5, api.CallResult.OK, 1.0, 3.0)) == []
    assert instance.handle(START, api.AttemptEnded("zz", 0, 77, api.CallResult.OK, 1.0, True)) == []


def test_the_error_for_an_unknown_request_class_names_it() -> None:
    with pytest.raises(ValueError, match="video"):
        gateway_without_quota().handle(START, request("r0", request_class="video"))


@pytest.mark.parametrize(("key", "value"), [("instances", 0), ("max_attempts", 0), ("slow_start_initial_share", -1.0)])
def test_the_error_for_a_setting_out_of_range_names_it(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        replace(SETTINGS, **{key: value})  # type: ignore[arg-type]


def test_the_error_for_a_negative_rate_names_it() -> None:
    with pytest.raises(ValueError, match="rate"):
        api.Plan("plain", rate=-1.0, burst=1.0)


def test_equal_seeds_and_events_give_equal_actions() -> None:
    def run() -> list[api.Action]:
        instance = gateway(seed=9)
        totals: dict[int, float] = {}
        returned: list[api.Action] = []
        for number in range(300):
            now = START + number * 37.0
            actions = admit_with_counter(instance, now, request(f"r{number}", customer=number % 11), totals)
            returned += actions
            for attempt in actions_of(actions, api.StartAttempt):
                returned += instance.handle(now + 20, attempt_ended(attempt, api.CallResult.OK, rtt=20.0))
        return returned

    first = run()
    assert len(actions_of(first, api.StartAttempt)) > 50
    assert first == run()


def test_the_concurrency_limit_stays_low_through_a_long_overload() -> None:
    """Slow responses for a long time must not raise the latency that counts as slow: it does not follow them."""
    instance = gateway_without_quota(endpoints=[endpoint(1)])
    now = START
    for number in range(600):
        now += 50.0
        for attempt in attempts_of(instance, now, request(f"r{number}")):
            instance.handle(now + 40, attempt_ended(attempt, api.CallResult.OK, rtt=600.0))
    attempts = [attempt for n in range(20) for attempt in attempts_of(instance, now + n, request(f"x{n}"))]
    assert 1 <= len(attempts) <= 2


def test_a_request_is_sent_over_quota_only_if_it_earns_more_than_it_costs() -> None:
    def sent(over_quota_value: float, over_quota_cost: float) -> int:
        plan = api.Plan(
            "plain", rate=1.0, burst=2.0, over_quota_value=over_quota_value, over_quota_cost=over_quota_cost
        )
        instance = gateway(plans=(plan,), has_counter=False)
        count = 0
        for number in range(50):
            now = START + number * 20.0
            for attempt in attempts_of(instance, now, request(f"r{number}")):
                count += 1
                instance.handle(now, attempt_ended(attempt, api.CallResult.OK, rtt=10.0))
        return count

    assert sent(0.0, 0.5) <= 3
    assert sent(0.2, 0.0) == 50


def test_instances_keep_to_endpoints_that_accept_their_connections() -> None:
    """With hundreds of gateways every endpoint's connection table is full: trying all in turn gets no connection."""
    instance = gateway_without_quota(endpoints=[endpoint(n) for n in range(1, 101)], instances=600, max_attempts=1)
    succeeded, now = 0, START
    for number in range(300):
        now += 200.0
        for attempt in attempts_of(instance, now, request(f"r{number}")):
            if attempt.endpoint <= 5:
                succeeded += number >= 200
                instance.handle(now + 60, attempt_ended(attempt, api.CallResult.OK))
            else:
                instance.handle(now + 3, attempt_ended(attempt, api.CallResult.CONNECT_FAILED, rtt=3.0))
    assert succeeded >= 50
