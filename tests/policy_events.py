"""Hand-made settings and events for the tests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway

IDEMPOTENT = api.RequestClass("read", 1000.0, 4000.0, api.Idempotency.IDEMPOTENT)
KEYED = api.RequestClass("write", 1000.0, 4000.0, api.Idempotency.KEYED, api.DeduplicationScope.ZONE, 3000.0)
AT_MOST_ONCE = api.RequestClass("pay", 1000.0, 4000.0, api.Idempotency.AT_MOST_ONCE)
PLAIN = api.Plan("plain", rate=1.0, burst=4.0)
CAPPED = api.Plan("capped", rate=5.0, burst=5.0, ceiling_rate=11.0, ceiling_burst=11.0, ceiling_slack=2.0)
SETTINGS = api.Settings(
    instance=0,
    instances=2,
    zone="a",
    tick_ms=2.0,
    classes=(IDEMPOTENT, KEYED, AT_MOST_ONCE),
    plans=(PLAIN, CAPPED),
    has_counter=True,
    counter_timeout_ms=50.0,
    max_attempts=3,
    can_cancel=True,
    sends_retry_after=True,
    slow_start_initial_share=0.25,
    slow_start_window_ms=10_000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    answer_slack_ms=8.0,
)
START = 50_000.0
A = TypeVar("A", bound=api.Action)


def endpoint(
    number: int, zone: str = "a", state: api.EndpointState = api.EndpointState.UP, started: float = 0.0
) -> api.Endpoint:
    """One member."""
    return api.Endpoint(number, zone, "std", 0, state, 1.0, started)


def gateway(endpoints: Iterable[api.Endpoint] | None = None, seed: int = 1, **changes: Any) -> Gateway:
    """A gateway that knows its endpoints; four warm ones in two zones unless told otherwise."""
    made = Gateway(replace(SETTINGS, **changes), seed)
    if endpoints is None:
        endpoints = [endpoint(1), endpoint(2), endpoint(3, "b"), endpoint(4, "b")]
    made.handle(START, api.EndpointListUpdate(api.EndpointListScope.CACHED, tuple(endpoints)))
    return made


def request(
    rid: str,
    cls: str = "read",
    plan: str = "plain",
    customer: int = 7,
    units: float = 1.0,
    spread: int = 2,
    remaining: float = 4000.0,
) -> api.Request:
    """One client try."""
    return api.Request(rid, cls, plan, customer, remaining, units, spread)


def attempt_ended(
    send: api.StartAttempt, result: api.CallResult, attempt: int = 0, rtt: float = 50.0, ended: bool | None = None
) -> api.AttemptEnded:
    """The end of an attempt; a good one ends the request."""
    done = result is api.CallResult.OK if ended is None else ended
    return api.AttemptEnded(send.id, attempt, send.endpoint, result, rtt, done)


def actions_of(actions: Iterable[api.Action], kind: type[A]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def reply_to_calls(
    made: Gateway, now: float, counts: Iterable[api.IncrementCounter], totals: dict[int, float]
) -> list[api.Action]:
    """Play the counter: add to the totals and give each answer back, to the calls that follow as well."""
    out: list[api.Action] = []
    todo = list(counts)
    while todo:
        count = todo.pop(0)
        totals[count.key] = totals.get(count.key, 0.0) + count.units
        actions = made.handle(now, api.CounterReply(count.key, api.CallResult.OK, 2.0, totals[count.key]))
        out += [action for action in actions if not isinstance(action, api.IncrementCounter)]
        todo += actions_of(actions, api.IncrementCounter)
    return out


def admit_with_counter(made: Gateway, now: float, event: api.Request, totals: dict[int, float]) -> list[api.Action]:
    """Bring a request and answer the calls it causes."""
    actions = made.handle(now, event)
    return [a for a in actions if not isinstance(a, api.IncrementCounter)] + reply_to_calls(
        made, now, actions_of(actions, api.IncrementCounter), totals
    )
