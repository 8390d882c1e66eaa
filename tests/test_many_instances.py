"""What one gateway of hundreds must do: it sees little of each server and of each customer."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from tests.policy_events import START, actions_of, attempt_ended, endpoint, gateway, reply_to_calls, request

FREE = api.Plan("plain")
FLEET = 40


def one_of_many(**changes: Any) -> Gateway:
    """One of 200 gateways before forty endpoints, on a plan without quotas."""
    settings: dict[str, Any] = {"plans": (FREE,), "instances": 200, "has_counter": False, **changes}
    return gateway([endpoint(n) for n in range(FLEET)], **settings)


def play(made: Gateway, bad: frozenset[int], tries: int, gap: float = 500.0) -> list[int]:
    """One request each gap; bad endpoints answer with an error.  Gives the endpoints of the attempts."""
    seen: list[int] = []
    for n in range(tries):
        now = START + n * gap
        todo = actions_of(made.handle(now, request(f"r{n}")), api.StartAttempt)
        hop = 0
        while todo:
            send = todo.pop()
            seen.append(send.endpoint)
            result = api.CallResult.OVERLOADED if send.endpoint in bad else api.CallResult.OK
            todo = actions_of(made.handle(now + 50, attempt_ended(send, result, hop)), api.StartAttempt)
            hop += 1
    return seen


def test_an_instance_that_sends_little_keeps_to_few_endpoints() -> None:
    """L725790: each of 249 gateways met each of 48 endpoints once in 20 s and knew none of them."""
    seen = play(one_of_many(), frozenset(), 40)
    assert len(set(seen)) <= 10


def test_instances_keep_to_different_endpoints() -> None:
    firsts = {tuple(sorted(set(play(one_of_many(seed=n), frozenset(), 3)))) for n in range(20)}
    assert len(set(sum(firsts, ()))) > FLEET / 3


def test_an_endpoint_that_fails_is_not_met_again_at_once() -> None:
    """L725790: half of the endpoints, jammed, were sent two thirds of what the sound ones got for 25 s."""
    bad = frozenset(range(0, FLEET, 2))
    seen = play(one_of_many(), bad, 60)
    wrong = [s for s in seen if s in bad]
    assert wrong and all(a != b for a, b in pairwise(wrong))
    assert len(wrong) < len(seen) / 2


def test_an_instance_that_sends_much_meets_all_endpoints() -> None:
    assert len(set(play(one_of_many(instances=3), frozenset(), 400, 10.0))) == FLEET


@pytest.mark.parametrize("result", [v for v in api.CallResult if v is not api.CallResult.OK])
def test_what_is_given_up_gets_its_answer_at_once(result: api.CallResult) -> None:
    """Every end of an attempt is followed in the same call by a further attempt or the final answer."""
    made, hop, now = one_of_many(), 0, START
    todo = actions_of(made.handle(now, request("r0")), api.StartAttempt)
    while todo:
        now += 20
        actions = made.handle(now, attempt_ended(todo.pop(), result, hop))
        hop += 1
        todo = actions_of(actions, api.StartAttempt)
        assert any(isinstance(a, api.StartAttempt | api.Reject | api.Fail) for a in actions)
    assert made.handle(now + 9000, api.ClientDisconnected("r0")) == []


def test_a_rejection_is_given_in_the_call_that_decides_it() -> None:
    """The quota's, the open cap's, the brake's, that of no server, and that after the counter's answer."""
    by_quota = gateway(has_counter=False)
    kinds = [type(by_quota.handle(START, request(f"q{n}"))[0]) for n in range(9)]
    assert api.Reject in kinds and len(kinds) == 9
    open_cap = gateway(plans=(api.Plan("plain", rate=50.0, burst=50.0, concurrency_limit=1),), has_counter=False)
    assert actions_of(open_cap.handle(START, request("o0")), api.StartAttempt)
    assert actions_of(open_cap.handle(START, request("o1")), api.Reject)
    braked = one_of_many()
    endings = [braked.handle(START, request(f"b{n}")) for n in range(60)]
    assert all(any(isinstance(a, api.StartAttempt | api.Reject) for a in e) for e in endings)
    assert actions_of(endings[-1], api.Reject)
    assert actions_of(gateway([], plans=(FREE,)).handle(START, request("n0")), api.Reject)
    asked = gateway()
    [count] = actions_of(asked.handle(START, request("c0")), api.IncrementCounter)
    assert actions_of(reply_to_calls(asked, START + 3, [count], {count.key: 99.0}), api.Reject)


def test_a_rejection_says_when_to_come_back() -> None:
    for plans in ((FREE,), (api.Plan("plain", rate=1.0, burst=1.0),)):
        made = gateway([endpoint(1)], plans=plans, has_counter=False, instances=200)
        answers = [a for n in range(30) for a in made.handle(START, request(f"r{n}"))]
        refused = actions_of(answers, api.Reject)
        assert refused and all(r.retry_after_ms > 0 for r in refused)


def slowed(made: Gateway, rtt: float, answers: int = 20) -> Gateway:
    """The gateway after so many answers that took this long; its own sends have ended."""
    for n in range(answers):
        for send in actions_of(made.handle(START + n * 400, request(f"s{n}", customer=1000 + n)), api.StartAttempt):
            made.handle(START + n * 400 + rtt, attempt_ended(send, api.CallResult.OK, rtt=rtt))
    return made


def test_what_nobody_confirmed_gives_way_first_when_capacity_gets_short() -> None:
    """L725790: a quarter of what was sent unheard lay beyond quotas, and filled the slower half."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    later, tries = START + 20 * 400, 12
    for rtt, least, most in ((100.0, tries, tries), (500.0, 1, 3)):  # of 12 that may be out a quarter
        for seed in range(8):
            made = slowed(gateway(seed=seed, plans=plans, has_counter=False), rtt)
            told = [made.handle(later, request(f"n{n}", customer=9 + n)) for n in range(tries)]
            assert least <= sum(bool(actions_of(actions, api.StartAttempt)) for actions in told) <= most
            refused = [refusal.reason for actions in told for refusal in actions_of(actions, api.Reject)]
            assert set(refused) <= {api.RejectionReason.OVERLOAD} and len(refused) >= tries - most


def test_the_concurrency_limit_acts_sooner_where_endpoints_are_chosen_by_chance() -> None:
    """L725790: a mean latency that a fleet with known queues bears hides jammed ones where none is known."""
    refused = {}
    for gateways in (3, 200):
        made = slowed(one_of_many(instances=gateways), 350.0, 60 if gateways == 200 else 20)
        burst = [made.handle(START + 60 * 400, request(f"b{n}")) for n in range(6)]
        refused[gateways] = sum(1 for actions in burst if actions_of(actions, api.Reject))
    assert refused[200] >= 5 and refused[3] == 0


def test_an_instance_shut_by_slow_answers_tries_again() -> None:
    """ied37d6: nothing confirmed, so nothing sent, so nothing learnt: 91% refused before idle endpoints."""
    plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=0.5),)
    made = slowed(gateway(plans=plans, has_counter=False), 500.0)
    last = START + 20 * 400
    for n in range(6):  # what it may have out of them
        made.handle(last, request(f"out{n}", customer=20 + n))
    assert actions_of(made.handle(last + 1000, request("soon", customer=8)), api.Reject)
    assert actions_of(made.handle(last + 6000, request("later", customer=9)), api.StartAttempt)


def test_a_failing_endpoint_comes_back_before_all_others_have_failed() -> None:
    """L725790: all gateways left the slow half at once, and the sound half jammed in its turn."""
    seen = [
        play(one_of_many(seed=n), frozenset({play(one_of_many(seed=n), frozenset(), 1)[0]}), 120, 800.0)
        for n in range(12)
    ]
    assert any(tries.count(tries[0]) > 1 for tries in seen)


def test_a_restarted_instance_of_few_meets_all_its_endpoints_at_once() -> None:
    """Its rate of sends was read too low for seconds, and it acted as one of hundreds."""
    seen = play(one_of_many(instances=3), frozenset(), 40, 10.0)
    assert len(set(seen)) > FLEET / 2


def test_a_share_read_from_few_shuts_nobody_out_that_loses_little() -> None:
    for cost, sent in ((1.2, True), (1.6, False)):
        plans = (api.Plan("plain", rate=5.0, burst=20.0, over_quota_cost=cost),)
        made = gateway(plans=plans, has_counter=False)
        assert bool(actions_of(made.handle(START, request("r0")), api.StartAttempt)) is sent
