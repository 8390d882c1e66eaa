"""The behaviour of one gateway of hundreds, which sees little of each endpoint and of each customer."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from tests.policy_events import START, actions_of, attempt_ended, endpoint, gateway, reply_to_calls, request

NO_QUOTA = api.Plan("plain")
ENDPOINTS = 40


def one_of_many(**changes: Any) -> Gateway:
    """One of 200 gateways with forty endpoints, on a plan without quotas."""
    settings: dict[str, Any] = {"plans": (NO_QUOTA,), "instances": 200, "has_counter": False, **changes}
    return gateway([endpoint(n) for n in range(ENDPOINTS)], **settings)


def attempted_endpoints(
    instance: Gateway, overloaded: frozenset[int], requests: int, interval_ms: float = 500.0
) -> list[int]:
    """The endpoints of all attempts of requests at this interval; overloaded endpoints reject their attempts."""
    attempted: list[int] = []
    for n in range(requests):
        now = START + n * interval_ms
        attempts = actions_of(instance.handle(now, request(f"r{n}")), api.StartAttempt)
        number = 0
        while attempts:
            attempt = attempts.pop()
            attempted.append(attempt.endpoint)
            result = api.CallResult.OVERLOADED if attempt.endpoint in overloaded else api.CallResult.OK
            attempts = actions_of(instance.handle(now + 50, attempt_ended(attempt, result, number)), api.StartAttempt)
            number += 1
    return attempted


def test_an_instance_that_sends_little_uses_few_endpoints() -> None:
    """L725790: each of 249 gateways used each of 48 endpoints once in 20 s and had no latency data of any of them."""
    attempted = attempted_endpoints(one_of_many(), frozenset(), 40)
    assert len(set(attempted)) <= 10


def test_instances_use_different_endpoints() -> None:
    subsets = {tuple(sorted(set(attempted_endpoints(one_of_many(seed=n), frozenset(), 3)))) for n in range(20)}
    assert len(set(sum(subsets, ()))) > ENDPOINTS / 3


def test_an_endpoint_that_fails_is_not_used_for_the_next_attempt() -> None:
    """L725790: the overloaded half of the endpoints was sent two thirds as much as the other half for 25 s."""
    overloaded = frozenset(range(0, ENDPOINTS, 2))
    attempted = attempted_endpoints(one_of_many(), overloaded, 60)
    failed = [endpoint_id for endpoint_id in attempted if endpoint_id in overloaded]
    assert failed and all(a != b for a, b in pairwise(failed))
    assert len(failed) < len(attempted) / 2


def test_an_instance_that_sends_much_uses_all_endpoints() -> None:
    assert len(set(attempted_endpoints(one_of_many(instances=3), frozenset(), 400, 10.0))) == ENDPOINTS


@pytest.mark.parametrize("result", [v for v in api.CallResult if v is not api.CallResult.OK])
def test_a_failed_attempt_is_retried_or_the_request_answered_at_once(result: api.CallResult) -> None:
    """The end of each attempt returns a further attempt or the final answer."""
    instance, number, now = one_of_many(), 0, START
    attempts = actions_of(instance.handle(now, request("r0")), api.StartAttempt)
    while attempts:
        now += 20
        actions = instance.handle(now, attempt_ended(attempts.pop(), result, number))
        number += 1
        attempts = actions_of(actions, api.StartAttempt)
        assert any(isinstance(a, api.StartAttempt | api.Reject | api.Fail) for a in actions)
    assert instance.handle(now + 9000, api.ClientDisconnected("r0")) == []


def test_a_rejection_is_returned_for_the_event_that_decides_it() -> None:
    """By the quota, both limits of concurrency, the lack of an endpoint, and the quota after the counter's reply."""
    by_quota = gateway(has_counter=False)
    kinds = [type(by_quota.handle(START, request(f"q{n}"))[0]) for n in range(9)]
    assert api.Reject in kinds and len(kinds) == 9
    plan = api.Plan("plain", rate=50.0, burst=50.0, concurrency_limit=1)
    by_plan_concurrency = gateway(plans=(plan,), has_counter=False)
    assert actions_of(by_plan_concurrency.handle(START, request("o0")), api.StartAttempt)
    assert actions_of(by_plan_concurrency.handle(START, request("o1")), api.Reject)
    by_endpoint_concurrency = one_of_many()
    decisions = [by_endpoint_concurrency.handle(START, request(f"b{n}")) for n in range(60)]
    assert all(any(isinstance(a, api.StartAttempt | api.Reject) for a in actions) for actions in decisions)
    assert actions_of(decisions[-1], api.Reject)
    assert actions_of(gateway([], plans=(NO_QUOTA,)).handle(START, request("n0")), api.Reject)
    by_counter = gateway()
    [call] = actions_of(by_counter.handle(START, request("c0")), api.IncrementCounter)
    assert actions_of(reply_to_calls(by_counter, START + 3, [call], {call.key: 99.0}), api.Reject)


def test_a_rejection_has_a_retry_after() -> None:
    for plans in ((NO_QUOTA,), (api.Plan("plain", rate=1.0, burst=1.0),)):
        instance = gateway([endpoint(1)], plans=plans, has_counter=False, instances=200)
        actions = [a for n in range(30) for a in instance.handle(START, request(f"r{n}"))]
        rejections = actions_of(actions, api.Reject)
        assert rejections and all(rejection.retry_after_ms > 0 for rejection in rejections)


def after_responses(instance: Gateway, rtt_ms: float, responses: int = 20) -> Gateway:
    """The gateway after responses that took this long; no attempt is in flight."""
    for n in range(responses):
        now = START + n * 400
        for attempt in actions_of(instance.handle(now, request(f"s{n}", customer=1000 + n)), api.StartAttempt):
            instance.handle(now + rtt_ms, attempt_ended(attempt, api.CallResult.OK, rtt=rtt_ms))
    return instance


def test_unconfirmed_requests_are_rejected_first_when_capacity_gets_short() -> None:
    """L725790: a quarter of the unconfirmed sends were over quota, and filled the slower half of the endpoints."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    later, requests = START + 20 * 400, 12
    for rtt_ms, least, most in ((100.0, requests, requests), (500.0, 1, 3)):  # a quarter of the 12 may be in flight
        for seed in range(8):
            instance = after_responses(gateway(seed=seed, plans=plans, has_counter=False), rtt_ms)
            decisions = [instance.handle(later, request(f"n{n}", customer=9 + n)) for n in range(requests)]
            assert least <= sum(bool(actions_of(actions, api.StartAttempt)) for actions in decisions) <= most
            reasons = [rejection.reason for actions in decisions for rejection in actions_of(actions, api.Reject)]
            assert set(reasons) <= {api.RejectionReason.OVERLOAD} and len(reasons) >= requests - most


def test_the_concurrency_limit_acts_sooner_where_endpoints_are_chosen_by_chance() -> None:
    """L725790: where queues are not known, a mean latency that is fine in a small fleet hides overloaded endpoints."""
    rejected = {}
    for gateways in (3, 200):
        instance = after_responses(one_of_many(instances=gateways), 350.0, 60 if gateways == 200 else 20)
        decisions = [instance.handle(START + 60 * 400, request(f"b{n}")) for n in range(6)]
        rejected[gateways] = sum(1 for actions in decisions if actions_of(actions, api.Reject))
    assert rejected[200] >= 5 and rejected[3] == 0


def test_an_instance_that_stopped_sending_after_slow_responses_tries_again() -> None:
    """ied37d6: nothing was confirmed, so nothing was sent and no response came: 91% were rejected at idle endpoints."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    instance = after_responses(gateway(plans=plans, has_counter=False), 500.0)
    last = START + 20 * 400
    for n in range(6):  # as many as it may have in flight
        instance.handle(last, request(f"out{n}", customer=20 + n))
    assert actions_of(instance.handle(last + 1000, request("soon", customer=8)), api.Reject)
    assert actions_of(instance.handle(last + 6000, request("later", customer=9)), api.StartAttempt)


def test_a_failing_endpoint_is_used_again_before_all_others_have_failed() -> None:
    """L725790: all gateways left the slow half of the endpoints at once, and the other half was overloaded in turn."""
    runs = []
    for n in range(12):
        first = attempted_endpoints(one_of_many(seed=n), frozenset(), 1)[0]
        runs.append(attempted_endpoints(one_of_many(seed=n), frozenset({first}), 120, 800.0))
    assert any(attempted.count(attempted[0]) > 1 for attempted in runs)


def test_a_restarted_instance_of_a_small_fleet_uses_all_its_endpoints_at_once() -> None:
    """Its rate of attempts was read too low for seconds, and it behaved like one of hundreds."""
    attempted = attempted_endpoints(one_of_many(instances=3), frozenset(), 40, 10.0)
    assert len(set(attempted)) > ENDPOINTS / 2


def test_a_small_estimated_loss_does_not_exclude_a_customer() -> None:
    """The conforming fraction is estimated from few replies."""
    for cost, is_sent in ((1.2, True), (1.6, False)):
        plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=cost),)
        instance = gateway(plans=plans, has_counter=False)
        assert bool(actions_of(instance.handle(START, request("r0")), api.StartAttempt)) is is_sent
