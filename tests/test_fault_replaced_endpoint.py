"""A new process at the address of an endpoint that has gone: no connection to the old one is used for it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from tests.socket_rig import Peer, run
from tests.test_fault_memory import KINDS, Subject, subject

STARTED_MS = 5_000.0
OLD, NEW = 1, 9  # endpoint numbers


def listed(number: int, state: EndpointState, started_ms: float = 0.0) -> Endpoint:
    """Return an entry of the endpoint list."""
    return Endpoint(number, "a", "std", 0, state, 1.0, started_ms)


def tell(gateway: Subject, address: tuple[str, int], *endpoints: Endpoint) -> None:
    """Apply a change of the endpoint list, in which every endpoint has the same address."""
    addresses = {endpoint.id: address for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED}
    gateway.server.handle(EndpointListEvent(EndpointListScope.DELTA, endpoints, addresses))


def replace_under_a_new_id(gateway: Subject, number: int, address: tuple[str, int]) -> None:
    """Drain the endpoint, then list another in its place."""
    tell(gateway, address, listed(number, EndpointState.DRAINING))
    tell(gateway, address, listed(number, EndpointState.REMOVED), listed(NEW, EndpointState.UP))


def restart_under_the_same_id(gateway: Subject, number: int, address: tuple[str, int]) -> None:
    """Tell that the endpoint was started anew."""
    tell(gateway, address, listed(number, EndpointState.UP, STARTED_MS))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("replace", [replace_under_a_new_id, restart_under_the_same_id])
@pytest.mark.parametrize("in_use", [False, True])
def test_a_new_process_at_an_address_gets_no_request_over_an_old_connection(
    tmp_path: Path, kind: str, replace: object, in_use: bool
) -> None:
    """Guards against requests for a successor that arrive at the process that it replaced, after that one's drain."""
    served: list[int] = []  # for each request: the number of the connection that it arrived on
    connections = 0
    may_answer = asyncio.Event()

    async def serve(peer: Peer) -> None:
        nonlocal connections
        connections += 1
        connection = connections
        while True:
            await peer.read_head()
            served.append(connection)
            if len(served) == 2 and in_use:
                await may_answer.wait()
            await peer.send_response()

    async def request(gateway: Subject) -> None:
        client = await gateway.connect()
        await client.write(gateway.get())
        assert (await client.read_response())[0] == 200
        client.close()

    async def test() -> None:
        async with subject(kind, tmp_path, serve) as gateway:
            [(number, address)] = gateway.server.engine.addresses.items()
            await request(gateway)
            await asyncio.sleep(0.05)  # the time after which a connection may be reused
            in_flight = asyncio.create_task(request(gateway)) if in_use else None
            while in_use and len(served) < 2:
                await asyncio.sleep(0.002)
            before = connections
            replace(gateway, number, address)  # type: ignore[operator]
            may_answer.set()
            if in_flight is not None:
                await in_flight
            await asyncio.sleep(0.05)
            await request(gateway)
            assert served[-1] > before

    run(test())
