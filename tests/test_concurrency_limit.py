"""The concurrency limit on requests that the counter did not confirm, in virtual time: it recovers where it can.

Seen on a site of our own whose requests take a quarter of their objective: after some slow responses each instance
sent one request in 2 s and rejected the rest, for good, though every attempt was answered well and the endpoints were
used by 3 to 15%.
"""

from __future__ import annotations

import heapq
import random

import pytest

from martenstep.policy import messages as api
from tests.policy_events import START, actions_of, attempt_ended, endpoint, gateway, request

PLAN = api.Plan("ample", rate=1000.0, burst=1000.0)
OBJECTIVE_MS = 1000.0  # the aim of the one class here
SLOW_S, END_S = 3.0, 23.0


def served(seed: int, slow_ms: float, usual_ms: float, requests_a_s: float = 20.0) -> float:
    """The share of the requests that are forwarded in the last 10 s, where endpoints are slow until SLOW_S.

    Each response's time is drawn, and no request is confirmed by the counter.
    """
    cls = api.RequestClass(
        "read", latency_objective_ms=OBJECTIVE_MS, deadline_ms=3000.0, idempotency=api.Idempotency.IDEMPOTENT
    )
    made = gateway(
        [endpoint(n) for n in range(1, 13)],
        seed=seed,
        classes=(cls,),
        plans=(PLAN,),
        instances=6,
        counter_timeout_ms=1000.0,
        can_cancel=False,
    )
    rng = random.Random(seed)
    due: list[tuple[float, int, api.StartAttempt, float]] = []
    tried = sent = 0
    for number in range(int(END_S * requests_a_s)):
        now = START + number * 1000.0 / requests_a_s
        while due and due[0][0] <= now:
            at, _, send, took = heapq.heappop(due)
            made.handle(at, attempt_ended(send, api.CallResult.OK, rtt=took, ended=True))
        sends = actions_of(made.handle(now, request(f"r{number}", plan="ample")), api.StartAttempt)
        counts = now - START > (END_S - 10.0) * 1000.0
        tried, sent = tried + counts, sent + (counts and bool(sends))
        for send in sends:
            took = rng.expovariate(1 / (slow_ms if now - START < SLOW_S * 1000.0 else usual_ms))
            heapq.heappush(due, (now + took, number, send, took))
    return sent / tried


@pytest.mark.parametrize("seed", range(4))
def test_the_concurrency_limit_lets_go_where_endpoints_answer_as_usual(seed: int) -> None:
    assert served(seed, slow_ms=900.0, usual_ms=250.0) > 0.5


@pytest.mark.parametrize("seed", range(4))
def test_the_concurrency_limit_holds_while_endpoints_are_slow(seed: int) -> None:
    """A quarter of the attempts that may be out, 12 here and half of that while they are slow, is what goes on."""
    assert served(seed, slow_ms=2000.0, usual_ms=2000.0) < 0.15
