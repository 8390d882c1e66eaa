"""An attempt without a response proves nothing about its endpoint if a later attempt there got one in the meantime.

The failure was seen on real sockets: single connections became silent while their endpoints responded at once on all
others.  Each attempt lost that way was counted as a queue as long as its wait; soon every endpoint counted as
overloaded, and 92% of the requests were rejected.
"""

from __future__ import annotations

from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from tests.policy_events import START, actions_of, attempt_ended, endpoint, gateway, request

FREE = api.Plan("free")


BEGIN = START + 1000.0  # after the attempts of `gateway_with_measured_endpoint`


def gateway_with_measured_endpoint() -> Gateway:
    """Return a gateway with one endpoint, whose latency it has measured, and a plan without a quota."""
    instance = gateway([endpoint(1)], plans=(FREE,), instances=1)
    for number in range(40):  # enough attempts that the choice relies on the measurements
        at = START + number * 20.0
        attempt = start_attempt(instance, at, f"w{number}")
        instance.handle(at + 10.0, attempt_ended(attempt, api.CallResult.OK, rtt=10.0))
    return instance


def start_attempt(instance: Gateway, at: float, request_id: str) -> api.StartAttempt:
    """Pass a request to the gateway, which must forward it."""
    [attempt] = actions_of(instance.handle(at, request(request_id, plan="free")), api.StartAttempt)
    return attempt


def gateway_with_overtaken_attempt() -> tuple[Gateway, api.StartAttempt]:
    """Return such a gateway with an attempt, started at BEGIN, that a later one overtook."""
    instance = gateway_with_measured_endpoint()
    lost = start_attempt(instance, BEGIN, "lost")
    later = start_attempt(instance, BEGIN + 5.0, "later")
    instance.handle(BEGIN + 15.0, attempt_ended(later, api.CallResult.OK, rtt=10.0))
    return instance, lost


def test_an_overtaken_attempt_that_times_out_does_not_count_as_a_queue() -> None:
    instance, lost = gateway_with_overtaken_attempt()
    instance.handle(BEGIN + 4000.0, attempt_ended(lost, api.CallResult.TIMEOUT, rtt=4000.0, ended=True))
    assert start_attempt(instance, BEGIN + 4001.0, "next")


def test_an_overtaken_attempt_in_flight_does_not_count_as_a_queue() -> None:
    instance, _ = gateway_with_overtaken_attempt()
    assert start_attempt(instance, BEGIN + 2000.0, "next")


def test_a_timed_out_attempt_that_was_not_overtaken_counts_as_a_queue() -> None:
    instance = gateway_with_measured_endpoint()
    earlier = start_attempt(instance, BEGIN, "earlier")
    lost = start_attempt(instance, BEGIN + 5.0, "lost")
    instance.handle(BEGIN + 10.0, attempt_ended(earlier, api.CallResult.OK, rtt=10.0))
    instance.handle(BEGIN + 4000.0, attempt_ended(lost, api.CallResult.TIMEOUT, rtt=4000.0, ended=True))
    [rejection] = actions_of(instance.handle(BEGIN + 4001.0, request("next", plan="free")), api.Reject)
    assert rejection.reason is api.RejectionReason.OVERLOAD


def test_one_response_to_a_later_attempt_replaces_the_latency_bound_of_a_timeout() -> None:
    instance = gateway_with_measured_endpoint()
    lost = start_attempt(instance, BEGIN, "lost")
    instance.handle(BEGIN + 600.0, attempt_ended(lost, api.CallResult.TIMEOUT, rtt=600.0, ended=True))
    later = start_attempt(instance, BEGIN + 601.0, "later")
    assert instance._cluster.endpoints.by_id[1].latency_ms == 600.0
    instance.handle(BEGIN + 611.0, attempt_ended(later, api.CallResult.OK, rtt=10.0))
    assert instance._cluster.endpoints.by_id[1].latency_ms == 10.0


def test_a_response_to_an_earlier_attempt_does_not_replace_the_latency_bound_of_an_overload() -> None:
    """An overloaded endpoint still responds to the requests in its queue."""
    instance = gateway_with_measured_endpoint()
    earlier, rejected = start_attempt(instance, BEGIN, "earlier"), start_attempt(instance, BEGIN + 1.0, "refused")
    instance.handle(BEGIN + 2.0, attempt_ended(rejected, api.CallResult.OVERLOADED, rtt=1.0))
    instance.handle(BEGIN + 10.0, attempt_ended(earlier, api.CallResult.OK, rtt=10.0))
    assert instance._cluster.endpoints.by_id[1].latency_ms > 500.0
