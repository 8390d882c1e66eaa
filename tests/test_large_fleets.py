"""The cost of one change of the endpoint list does not grow with the number of endpoints.

Sixteen times as many endpoints may cost a gateway 1.4 times the processor time over a day, and 0.12 s for each thousand
endpoints; a day has hundreds of changes.
"""

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
MAX_RATIO = 4.0  # of the median costs; it was 15 to 30


def full_list(count: int) -> bytes:
    """Return the full list of a fleet."""
    targets = [endpoint_entry(f"s-{number}", 1 + number) for number in range(count)]
    return json.dumps({"rev": 1, "all": True, "targets": targets}).encode()


def drain_change(number: int) -> bytes:
    """Return a change in which one endpoint drains."""
    entry = endpoint_entry(f"s-{number}", 1 + number, state="draining")
    return json.dumps({"rev": 2 + number, "all": False, "targets": [entry]}).encode()


def median_cost(count: int, prepare: Callable[[bytes], Callable[[bytes], None]]) -> float:
    """Return the median time in seconds of one change in a fleet of `count` endpoints."""
    apply_change, costs = prepare(full_list(count)), []
    for number in range(CHANGES):
        body = drain_change(number)
        began = time.perf_counter()
        apply_change(body)
        costs.append(time.perf_counter() - began)
    return statistics.median(costs)


def prepare_follower(full_list_body: bytes) -> Callable[[bytes], None]:
    """Apply the full list to a follower; return what applies a change to it."""
    follower = EndpointListFollower()
    follower.apply_response(full_list_body)
    return lambda body: assert_one_endpoint_changed(follower.apply_response(body))


def assert_one_endpoint_changed(listed: EndpointListEvent | None) -> None:
    """Check that a change was reported, with one endpoint."""
    assert listed is not None and listed.scope is EndpointListScope.DELTA and len(listed.endpoints) == 1


def prepare_policy(full_list_body: bytes) -> Callable[[bytes], None]:
    """Apply the full list to a follower and the policy; return what applies a change to both."""
    follower, gateway = EndpointListFollower(), Gateway(make_config().settings, 1)

    def apply_change(body: bytes) -> None:
        listed = follower.apply_response(body)
        assert listed is not None
        gateway.handle(0.0, api.EndpointListUpdate(listed.scope, listed.endpoints))

    apply_change(full_list_body)
    return apply_change


def test_a_change_costs_the_follower_and_the_policy_the_same_in_a_large_fleet() -> None:
    for prepare in (prepare_follower, prepare_policy):
        assert median_cost(LARGE, prepare) <= MAX_RATIO * median_cost(SMALL, prepare), prepare.__name__


def test_a_change_costs_a_gateway_the_same_in_a_large_fleet() -> None:
    async def test() -> None:
        def prepare_node(full_list_body: bytes) -> Callable[[bytes], None]:
            node, follower = GatewayNode(make_config(), Mock()), EndpointListFollower()
            node._endpoints_updated(
                follower.apply_response(full_list_body) or EndpointListEvent(EndpointListScope.FULL)
            )

            def apply_change(body: bytes) -> None:
                listed = follower.apply_response(body)
                assert listed is not None
                node._endpoints_updated(listed)

            return apply_change

        assert median_cost(LARGE, prepare_node) <= MAX_RATIO * median_cost(SMALL, prepare_node)

    run(test())
