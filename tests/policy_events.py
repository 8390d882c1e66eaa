"""Settings and events for the tests of the decisions, and helpers that handle a gateway's actions."""

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
START = 50_000.0  # ms
A = TypeVar("A", bound=api.Action)


def endpoint(
    number: int, zone: str = "a", state: api.EndpointState = api.EndpointState.UP, started: float = 0.0
) -> api.Endpoint:
    """An entry of an endpoint list; by default it started long ago."""
    return api.Endpoint(number, zone, "std", 0, state, 1.0, started)


def gateway(endpoints: Iterable[api.Endpoint] | None = None, seed: int = 1, **changes: Any) -> Gateway:
    """A gateway with an endpoint list, by default of four warm endpoints in two zones."""
    instance = Gateway(replace(SETTINGS, **changes), seed)
    if endpoints is None:
        endpoints = [endpoint(1), endpoint(2), endpoint(3, "b"), endpoint(4, "b")]
    instance.handle(START, api.EndpointListUpdate(api.EndpointListScope.CACHED, tuple(endpoints)))
    return instance


def request(
    request_id: str,
    request_class: str = "read",
    plan: str = "plain",
    customer: int = 7,
    units: float = 1.0,
    instances: int = 2,
    remaining_ms: float = 4000.0,
) -> api.Request:
    """The arrival of a client's request."""
    return api.Request(request_id, request_class, plan, customer, remaining_ms, units, instances)


def attempt_ended(
    attempt: api.StartAttempt, result: api.CallResult, number: int = 0, rtt: float = 50.0, ended: bool | None = None
) -> api.AttemptEnded:
    """The end of an attempt; `ended` says whether the request is complete, by default if the result is OK."""
    request_complete = result is api.CallResult.OK if ended is None else ended
    return api.AttemptEnded(attempt.id, number, attempt.endpoint, result, rtt, request_complete)


def actions_of(actions: Iterable[api.Action], kind: type[A]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def reply_to_calls(
    instance: Gateway, now: float, calls: Iterable[api.IncrementCounter], totals: dict[int, float]
) -> list[api.Action]:
    """Act as the counter: add to the totals and reply to each call, and to the calls that follow from a reply.

    Returns the other actions that follow from the replies.
    """
    others: list[api.Action] = []
    unanswered = list(calls)
    while unanswered:
        call = unanswered.pop(0)
        totals[call.key] = totals.get(call.key, 0.0) + call.units
        actions = instance.handle(now, api.CounterReply(call.key, api.CallResult.OK, 2.0, totals[call.key]))
        others += [action for action in actions if not isinstance(action, api.IncrementCounter)]
        unanswered += actions_of(actions, api.IncrementCounter)
    return others


def admit_with_counter(instance: Gateway, now: float, event: api.Request, totals: dict[int, float]) -> list[api.Action]:
    """Handle a request and reply to the counter calls that it causes; returns the other actions."""
    actions = instance.handle(now, event)
    return [a for a in actions if not isinstance(a, api.IncrementCounter)] + reply_to_calls(
        instance, now, actions_of(actions, api.IncrementCounter), totals
    )
