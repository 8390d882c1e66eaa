"""The concurrency limit on requests that the counter did not confirm, in virtual time: it must recover.

The failure was seen at one of our own sites, whose requests take a quarter of their latency objective.  After some slow
responses each instance sent one request in 2 s and rejected the rest permanently, although every attempt succeeded and
the endpoints' utilisation was 3 to 15%.
"""

from __future__ import annotations

import heapq
import random

import pytest

from martenstep.policy import messages as api
from tests.policy_events import START, actions_of, attempt_ended, endpoint, gateway, request

PLAN = api.Plan("ample", rate=1000.0, burst=1000.0)
OBJECTIVE_MS = 1000.0  # latency objective of the only class
SLOW_UNTIL_S, END_S = 3.0, 23.0
MEASURED_S = 10.0  # the requests of the last seconds are measured


def forwarded_share(seed: int, slow_ms: float, usual_ms: float, requests_per_s: float = 20.0) -> float:
    """Return the share of the requests of the last 10 s that are forwarded; endpoints are slow until SLOW_UNTIL_S.

    Each response's time is drawn at random, and no request is confirmed by the counter.
    """
    request_class = api.RequestClass(
        "read", latency_objective_ms=OBJECTIVE_MS, deadline_ms=3000.0, idempotency=api.Idempotency.IDEMPOTENT
    )
    instance = gateway(
        [endpoint(n) for n in range(1, 13)],
        seed=seed,
        classes=(request_class,),
        plans=(PLAN,),
        instances=6,
        counter_timeout_ms=1000.0,
        can_cancel=False,
    )
    rng = random.Random(seed)
    responses: list[tuple[float, int, api.StartAttempt, float]] = []
    requests = forwarded = 0
    for number in range(int(END_S * requests_per_s)):
        now = START + number * 1000.0 / requests_per_s
        while responses and responses[0][0] <= now:
            at, _, attempt, rtt_ms = heapq.heappop(responses)
            instance.handle(at, attempt_ended(attempt, api.CallResult.OK, rtt=rtt_ms, ended=True))
        attempts = actions_of(instance.handle(now, request(f"r{number}", plan="ample")), api.StartAttempt)
        is_measured = now - START > (END_S - MEASURED_S) * 1000.0
        requests, forwarded = requests + is_measured, forwarded + (is_measured and bool(attempts))
        for attempt in attempts:
            rtt_ms = rng.expovariate(1 / (slow_ms if now - START < SLOW_UNTIL_S * 1000.0 else usual_ms))
            heapq.heappush(responses, (now + rtt_ms, number, attempt, rtt_ms))
    return forwarded / requests


@pytest.mark.parametrize("seed", range(4))
def test_the_concurrency_limit_recovers_when_responses_take_the_usual_time_again(seed: int) -> None:
    assert forwarded_share(seed, slow_ms=900.0, usual_ms=250.0) > 0.5


@pytest.mark.parametrize("seed", range(4))
def test_the_concurrency_limit_holds_while_endpoints_are_slow(seed: int) -> None:
    """A quarter of the limit stays open to unconfirmed requests: the limit is 12 here, and half that while slow."""
    assert forwarded_share(seed, slow_ms=2000.0, usual_ms=2000.0) < 0.15
