"""The rules and the failures found, one small case each."""

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

FREE = api.Plan("plain")  # a plan without a quota, for tests that are not about quotas


def free(**changes: Any) -> Gateway:
    return gateway(plans=(FREE,), **changes)


def sends(made: Gateway, now: float, event: api.Event) -> list[api.StartAttempt]:
    return actions_of(made.handle(now, event), api.StartAttempt)


def test_a_good_answer_ends_a_request_and_nothing_follows() -> None:
    made = free()
    [send] = sends(made, START, request("r0"))
    assert made.handle(START + 50, attempt_ended(send, api.CallResult.OK)) == []
    assert made.handle(START + 60, api.ClientDisconnected("r0")) == []
    assert made.handle(START + 60, attempt_ended(send, api.CallResult.TIMEOUT, ended=True)) == []


def test_no_send_may_outlast_the_client() -> None:
    [send] = sends(free(), START, request("r0", remaining=700.0))
    assert send.timeout_ms <= 700.0


def test_the_time_out_at_the_deadline_gets_its_final_answer() -> None:
    made = free()
    [send] = sends(made, START, request("r0", cls="pay", remaining=700.0))
    last = made.handle(START + 700, attempt_ended(send, api.CallResult.TIMEOUT, rtt=700.0))
    assert last == [api.Fail("r0")]


def test_a_client_that_left_while_held_for_the_counter_is_not_sent() -> None:
    made = gateway()
    counts = actions_of(made.handle(START, request("r0")), api.IncrementCounter)
    made.handle(START + 1, api.ClientDisconnected("r0"))
    for count in counts:
        assert (
            actions_of(
                made.handle(START + 2, api.CounterReply(count.key, api.CallResult.OK, 2.0, 1.0)), api.StartAttempt
            )
            == []
        )


def test_at_most_once_goes_again_only_when_it_was_never_executed() -> None:
    made = free()
    [send] = sends(made, START, request("r0", cls="pay"))
    [again] = sends(made, START + 5, attempt_ended(send, api.CallResult.OVERLOADED))
    assert again.endpoint != send.endpoint
    assert made.handle(START + 9, attempt_ended(again, api.CallResult.RESET, 1)) == [api.Fail("r0")]


def test_keyed_stays_in_its_deduplication_scope_and_is_never_rejected_once_it_may_have_been_executed() -> None:
    made = free()
    zone = {1: "a", 2: "a", 3: "b", 4: "b"}
    [send] = sends(made, START, request("r0", cls="write"))
    [again] = sends(made, START + 5, attempt_ended(send, api.CallResult.ERROR, rtt=5.0))
    assert zone[again.endpoint] == zone[send.endpoint]
    [third] = sends(made, START + 10, attempt_ended(again, api.CallResult.CONNECT_FAILED, 1, rtt=5.0))
    assert zone[third.endpoint] == zone[send.endpoint]
    assert made.handle(START + 15, attempt_ended(third, api.CallResult.ERROR, 2, rtt=5.0)) == [api.Fail("r0")]


def test_keyed_is_not_sent_again_after_its_window() -> None:
    made = free(classes=(replace(SETTINGS.classes[1], latency_objective_ms=9000.0, deadline_ms=9000.0),))
    [send] = sends(made, START, request("r0", cls="write", remaining=9000.0))
    late = made.handle(START + 3001, attempt_ended(send, api.CallResult.RESET, rtt=3001.0))
    assert late == [api.Fail("r0")]


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.REMOVED])
def test_no_send_after_a_drain_was_listed(state: api.EndpointState) -> None:
    made = free(endpoints=[endpoint(1), endpoint(2)])
    made.handle(START, api.EndpointListUpdate(api.EndpointListScope.DELTA, (endpoint(1, state=state),)))
    for number in range(20):
        assert all(s.endpoint == 2 for s in sends(made, START + 1, request(f"r{number}")))


def test_an_endpoint_missing_from_a_full_list_has_gone() -> None:
    made = free(endpoints=[endpoint(1), endpoint(2)])
    made.handle(START, api.EndpointListUpdate(api.EndpointListScope.FULL, (endpoint(2),)))
    assert [s.endpoint for s in sends(made, START, request("r0"))] == [2]


@pytest.mark.parametrize("gateways", [2, 60])
def test_a_cold_endpoint_gets_its_part_of_the_budget_only(gateways: int) -> None:
    """Many gateways hear of a new server at one moment: all their first sends must not come at once."""
    endpoints = [endpoint(n) for n in range(1, 5)]
    fleet = [free(endpoints=endpoints, instances=gateways, seed=n) for n in range(gateways)]
    got: list[float] = []
    born = START + 5000.0
    for number in range(1500):
        now = START + number * 10.0
        if now == born:
            for made in fleet:
                made.handle(now, api.EndpointListUpdate(api.EndpointListScope.DELTA, (endpoint(4, started=now),)))
        made = fleet[number % gateways]
        for send in sends(made, now, request(f"r{number}")):
            got += [now] if send.endpoint == 4 and now >= born else []
            made.handle(now, attempt_ended(send, api.CallResult.OK, rtt=40.0))
    budget = (
        SETTINGS.slow_start_initial_share * SETTINGS.overload_multiple * 100 / 4
    )  # at what a warm server gets in a second
    early = [at for at in got if at < born + 3000]
    assert got and all(sum(at <= other < at + 1000 for other in early) <= budget for at in early)


def test_cold_endpoints_get_no_burst_at_the_instances_own_start() -> None:
    got = 0
    for seed in range(200):
        made = free(endpoints=[endpoint(1, started=START - 100)], instances=200, seed=seed)
        got += len(sends(made, START + 1, request("r0")))
    assert got <= 2


def test_the_choice_is_spread_where_little_is_known() -> None:
    """Hundreds of gateways that each know a little must not all choose the server that looks best."""
    counts = {number: 0 for number in range(1, 5)}
    for seed in range(400):
        made = free(instances=300, seed=seed)
        for number in range(2):
            now = START + number * 900.0
            for send in sends(made, now, request(f"r{number}")):
                counts[send.endpoint] += number
                made.handle(now, attempt_ended(send, api.CallResult.OK, rtt=30.0 if send.endpoint == 1 else 60.0))
    assert max(counts.values()) <= 2 * 400 / 4


def test_the_concurrency_limit_holds_over_all_endpoints() -> None:
    """A limit for each server comes to hundreds over all gateways: slow answers close the gateway's own."""
    made = free(endpoints=[endpoint(n) for n in range(1, 41)], instances=300)
    now, got = START, 0
    for number in range(200):
        now += 100.0
        out = [s for n in range(10) for s in sends(made, now, request(f"r{number}-{n}"))]
        got = len(out)
        for send in out:
            made.handle(now + 90, attempt_ended(send, api.CallResult.OK, rtt=900.0))
    assert got <= 2


def test_a_silent_endpoint_is_avoided_and_tried_again_with_one_request() -> None:
    made = free(endpoints=[endpoint(1), endpoint(2)])
    now, lost = START, {1: 0, 2: 0}
    for number in range(400):
        now += 25.0
        actions = made.handle(now, request(f"r{number}"))
        wakes = actions_of(actions, api.SetTimer)
        for send in actions_of(actions, api.StartAttempt):
            lost[send.endpoint] += 1
            if send.endpoint == 2:
                made.handle(now, attempt_ended(send, api.CallResult.OK, rtt=40.0))
            elif wakes:
                for action in made.handle(now + 1000, api.TimerFired(wakes[0].token)):
                    assert isinstance(action, api.CancelAttempt)
                    for more in actions_of(
                        made.handle(now + 1000, attempt_ended(send, api.CallResult.CANCELLED, rtt=1000.0)),
                        api.StartAttempt,
                    ):
                        made.handle(now + 1000, attempt_ended(more, api.CallResult.OK, 1, rtt=40.0))
    assert lost[1] <= 12 and lost[2] >= 380


def test_a_slow_endpoint_that_answers_is_not_taken_for_silent() -> None:
    made = free(endpoints=[endpoint(1)])
    actions = made.handle(START, request("r0"))
    [wake] = actions_of(actions, api.SetTimer)
    [other] = sends(made, START + 100, request("r1"))
    made.handle(wake.at_ms - 10, attempt_ended(other, api.CallResult.OK, rtt=300.0))
    assert made.handle(wake.at_ms, api.TimerFired(wake.token)) == []


def test_a_full_endpoint_is_no_magnet() -> None:
    """A full queue answers at once; it must not look like the quickest server there is."""
    made = free(endpoints=[endpoint(1), endpoint(2)])
    now, tried = START, 0
    for number in range(200):
        now += 10.0
        for send in sends(made, now, request(f"r{number}")):
            if send.endpoint == 1:
                tried += 1
                for more in sends(made, now, attempt_ended(send, api.CallResult.OVERLOADED, rtt=1.0)):
                    made.handle(now, attempt_ended(more, api.CallResult.OK, 1, rtt=100.0))
            else:
                made.handle(now, attempt_ended(send, api.CallResult.OK, rtt=100.0))
    assert tried <= 20


def test_all_endpoints_failing_are_not_all_left() -> None:
    made = free(max_attempts=1)
    now = START
    for number in range(60):
        now += 20.0
        for send in sends(made, now, request(f"r{number}")):
            made.handle(now, attempt_ended(send, api.CallResult.RESET, rtt=5.0))
    assert any(sends(made, now + step, request(f"x{step}")) for step in range(10))


def test_retries_are_bounded_by_the_retry_budget() -> None:
    made = free()
    attempts = requests = 0
    now = START
    for number in range(400):
        now += 20.0
        requests += 1
        waiting = [(s, 0) for s in sends(made, now, request(f"r{number}"))]
        while waiting:
            send, attempt = waiting.pop()
            attempts += 1
            more = sends(made, now, attempt_ended(send, api.CallResult.ERROR, attempt, rtt=5.0))
            waiting += [(s, attempt + 1) for s in more]
    assert requests * 1.1 < attempts <= requests * 1.4 + 21


def test_what_is_out_at_a_silent_cluster_is_bounded() -> None:
    """A surge must not overdrive endpoints before their first answers tell what they bear."""
    made = free()
    got = [s for n in range(500) for s in sends(made, START, request(f"r{n}"))]
    assert len(got) <= 4 * 6


def test_no_known_endpoint_means_a_rejection() -> None:
    made = free(endpoints=[])
    assert actions_of(made.handle(START, request("r0")), api.Reject)


def test_stale_timers_and_unknown_ids_do_nothing() -> None:
    made = free()
    assert made.handle(START, api.TimerFired(99)) == []
    assert made.handle(START, api.ClientDisconnected("zz")) == []
    assert made.handle(START, api.CounterReply(5, api.CallResult.OK, 1.0, 3.0)) == []
    assert made.handle(START, api.AttemptEnded("zz", 0, 77, api.CallResult.OK, 1.0, True)) == []


def test_an_unknown_class_is_named() -> None:
    with pytest.raises(ValueError, match="video"):
        free().handle(START, request("r0", cls="video"))


@pytest.mark.parametrize(("key", "value"), [("instances", 0), ("max_attempts", 0), ("slow_start_initial_share", -1.0)])
def test_impossible_settings_are_named(key: str, value: float) -> None:
    with pytest.raises(ValueError, match=key):
        replace(SETTINGS, **{key: value})  # type: ignore[arg-type]


def test_a_negative_rate_is_named() -> None:
    with pytest.raises(ValueError, match="rate"):
        api.Plan("plain", rate=-1.0, burst=1.0)


def test_same_events_same_actions() -> None:
    def run() -> list[api.Action]:
        made = gateway(seed=9)
        totals: dict[int, float] = {}
        out: list[api.Action] = []
        for number in range(300):
            now = START + number * 37.0
            actions = admit_with_counter(made, now, request(f"r{number}", customer=number % 11), totals)
            out += actions
            for send in actions_of(actions, api.StartAttempt):
                out += made.handle(now + 20, attempt_ended(send, api.CallResult.OK, rtt=20.0))
        return out

    first = run()
    assert len(actions_of(first, api.StartAttempt)) > 50
    assert first == run()


def test_a_long_overload_keeps_the_concurrency_limit_on() -> None:
    """Slow answers for long must not raise what counts as slow: the target does not follow the latencies."""
    made = free(endpoints=[endpoint(1)])
    now = START
    for number in range(600):
        now += 50.0
        for send in sends(made, now, request(f"r{number}")):
            made.handle(now + 40, attempt_ended(send, api.CallResult.OK, rtt=600.0))
    got = [s for n in range(20) for s in sends(made, now + n, request(f"x{n}"))]
    assert 1 <= len(got) <= 2


def test_sends_over_quota_only_where_they_pay() -> None:
    def sent(over_worth: float, over_cost: float) -> int:
        plan = api.Plan("plain", rate=1.0, burst=2.0, over_quota_value=over_worth, over_quota_cost=over_cost)
        made = gateway(plans=(plan,), has_counter=False)
        count = 0
        for number in range(50):
            now = START + number * 20.0
            for send in sends(made, now, request(f"r{number}")):
                count += 1
                made.handle(now, attempt_ended(send, api.CallResult.OK, rtt=10.0))
        return count

    assert sent(0.0, 0.5) <= 3
    assert sent(0.2, 0.0) == 50


def test_full_connection_tables_keep_instances_to_their_endpoints() -> None:
    """With hundreds of gateways every server's table fills: going round all endpoints gets no connection."""
    made = free(endpoints=[endpoint(n) for n in range(1, 101)], instances=600, max_attempts=1)
    good, now = 0, START
    for number in range(300):
        now += 200.0
        for send in sends(made, now, request(f"r{number}")):
            if send.endpoint <= 5:
                good += number >= 200
                made.handle(now + 60, attempt_ended(send, api.CallResult.OK))
            else:
                made.handle(now + 3, attempt_ended(send, api.CallResult.CONNECT_FAILED, rtt=3.0))
    assert good >= 50
