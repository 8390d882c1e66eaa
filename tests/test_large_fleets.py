"""What one change of the list costs a front gateway does not grow with the number of backends.

Sixteen times as many may cost 1.4 times the processor time over a day, and 0.12 s for each thousand; a day has hundreds
of changes."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable
from unittest.mock import Mock

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.node.daemon import GatewayNode
from martenstep.node.endpoint_list import EndpointListFollower
from martenstep.policy import messages as api
from martenstep.policy.gateway import Gateway
from martenstep.policy.messages import EndpointListScope
from tests.node_rig import endpoint_entry, make_config
from tests.socket_rig import run

SMALL, LARGE = 200, 3200
CHANGES = 60
MAX_RATIO = 4.0  # of the medians; it was 15 to 30


def fleet(count: int) -> bytes:
    """A whole list."""
    targets = [endpoint_entry(f"s-{number}", 1 + number) for number in range(count)]
    return json.dumps({"rev": 1, "all": True, "targets": targets}).encode()


def change(number: int) -> bytes:
    """One backend drains."""
    entry = endpoint_entry(f"s-{number}", 1 + number, state="draining")
    return json.dumps({"rev": 2 + number, "all": False, "targets": [entry]}).encode()


def median_cost(count: int, made: Callable[[bytes], Callable[[bytes], None]]) -> float:
    """Seconds that one change takes in a fleet of so many."""
    take, costs = made(fleet(count)), []
    for number in range(CHANGES):
        body = change(number)
        began = time.perf_counter()
        take(body)
        costs.append(time.perf_counter() - began)
    return statistics.median(costs)


def of_follower(whole: bytes) -> Callable[[bytes], None]:
    """The list as discovery tells it."""
    follower = EndpointListFollower()
    follower.apply_response(whole)
    return lambda body: assert_taken(follower.apply_response(body))


def assert_taken(listed: EndpointListEvent | None) -> None:
    """A change was told."""
    assert listed is not None and listed.scope is EndpointListScope.DELTA and len(listed.endpoints) == 1


def of_module(whole: bytes) -> Callable[[bytes], None]:
    """And as the module takes it in."""
    follower, gateway = EndpointListFollower(), Gateway(make_config().settings, 1)

    def take(body: bytes) -> None:
        listed = follower.apply_response(body)
        assert listed is not None
        gateway.handle(0.0, api.EndpointListUpdate(listed.scope, listed.endpoints))

    take(whole)
    return take


def test_a_change_costs_the_same_in_a_large_fleet() -> None:
    for made in (of_follower, of_module):
        assert median_cost(LARGE, made) <= MAX_RATIO * median_cost(SMALL, made), made.__name__


def test_a_change_costs_the_same_at_a_whole_door() -> None:
    async def test() -> None:
        def of_node(whole: bytes) -> Callable[[bytes], None]:
            node, follower = GatewayNode(make_config(), Mock()), EndpointListFollower()
            node._endpoints_updated(follower.apply_response(whole) or EndpointListEvent(EndpointListScope.FULL))

            def take(body: bytes) -> None:
                listed = follower.apply_response(body)
                assert listed is not None
                node._endpoints_updated(listed)

            return take

        assert median_cost(LARGE, of_node) <= MAX_RATIO * median_cost(SMALL, of_node)

    run(test())
