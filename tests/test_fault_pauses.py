"""Requests that wait in a gateway, or for a gateway that is stopped, lose that time from their deadlines.

The process is stopped by SIGSTOP; the assertions are about the requests and remaining times that its backends receive
once it runs again.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from martenstep.proxy.listener import MAX_ACCEPTS_PER_TURN
from tests.node_rig import SETTINGS, request
from tests.socket_rig import Peer
from tests.test_fault_clocks import Agent
from tests.test_node_processes import GatewayProcess, gateway_processes, run_test

GATEWAY_DELAY_S = 0.15  # a gateway may be delayed this long between reading its clock and its write
TEST_DELAY_S = 0.3  # the test may be delayed this long between the arrival of a head and reading its clock
DEADLINE_MS = 2000
PAUSE_S = 0.8
DRAIN_GRACE_S = 0.5


def remaining_ms(head: str) -> int:
    """Return the remaining time that a request head states."""
    return next(int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("x-expires-in-ms"))


def records_heads(seen: list[tuple[float, str]], delay_s: float = 0.0) -> Any:
    """Return the script of a backend that records each head and its time."""

    async def script(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            seen.append((time.monotonic(), head))
            await asyncio.sleep(delay_s)
            await peer.send_response("ok")

    return script


def known_targets(path: Path) -> list[dict[str, Any]]:
    """Return the endpoint entries of a gateway's configuration."""
    targets: list[dict[str, Any]] = json.loads(path.read_text(encoding="utf-8"))["known"]["targets"]
    return targets


@dataclass
class Running:
    """A running gateway, its agent, and the heads that its backend has received."""

    gateway: GatewayProcess
    agent: Agent
    seen: list[tuple[float, str]]


@asynccontextmanager
async def running_gateway(
    tmp_path: Path, delay_s: float = 0.0, settings: dict[str, Any] = SETTINGS
) -> AsyncIterator[Running]:
    """Run a gateway in front of one backend that answers after `delay_s`."""
    seen: list[tuple[float, str]] = []
    agent = Agent()
    async with gateway_processes(tmp_path, 1, agent.script, records_heads(seen, delay_s), settings=settings) as [
        gateway
    ]:
        agent.targets = known_targets(gateway.path)
        await gateway.start()
        await gateway.wait_for_event("ready")
        yield Running(gateway, agent, seen)


def test_a_pipelined_request_loses_the_time_that_it_waits_for_the_ones_before(tmp_path: Path) -> None:
    """Of four requests sent at once on one connection, the fourth was forwarded, after three responses, with all of its
    time."""

    async def test() -> None:
        async with running_gateway(tmp_path, 0.3) as running:
            gateway, seen = running.gateway, running.seen
            peer = await gateway.connect()
            sent = time.monotonic()
            await peer.write("".join(request(n, X_Expires_In_Ms=str(DEADLINE_MS)) for n in range(4)))
            for _ in range(4):
                await peer.read_response()
            assert len(seen) == 4
            for at, head in seen:
                assert remaining_ms(head) / 1000 <= DEADLINE_MS / 1000 - (at - sent) + GATEWAY_DELAY_S + TEST_DELAY_S

    run_test(test())


def test_requests_that_came_while_the_door_stood_still_have_less_time_left(tmp_path: Path) -> None:
    """The gateway is stopped as requests arrive, on an open connection and on new ones in the accept queue."""

    async def test() -> None:
        async with running_gateway(tmp_path) as running:
            gateway, seen = running.gateway, running.seen
            open_peer = await gateway.connect()
            await open_peer.write(request(1))
            await open_peer.read_response()
            seen.clear()
            gateway.send_signal(signal.SIGSTOP)
            new_peers = [await gateway.connect() for _ in range(6)]
            sent = time.monotonic()
            for number, peer in enumerate((open_peer, *new_peers), 2):
                await peer.write(request(number, X_Expires_In_Ms=str(DEADLINE_MS)))
            await asyncio.sleep(PAUSE_S)
            gateway.send_signal(signal.SIGCONT)
            for peer in (open_peer, *new_peers):
                await peer.read_response()
            assert seen
            for at, head in seen:
                assert remaining_ms(head) / 1000 <= DEADLINE_MS / 1000 - (at - sent) + GATEWAY_DELAY_S + TEST_DELAY_S

    run_test(test())


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_a_gateway_that_was_stopped_receives_drains_before_it_sends(tmp_path: Path, mode: str) -> None:
    """Discovery sent the drain while the gateway was stopped; afterwards the gateway still sent by the old list."""

    async def test() -> None:
        rules = {**SETTINGS["rules"], "drain_grace_ms": DRAIN_GRACE_S * 1000}
        settings = {**SETTINGS, "rules": rules, "discovery": mode}
        async with running_gateway(tmp_path, settings=settings) as running:
            gateway, agent, seen = running.gateway, running.agent, running.seen
            open_peer = await gateway.connect()
            await open_peer.write(request(1))
            await open_peer.read_response()
            seen.clear()
            gateway.send_signal(signal.SIGSTOP)
            for number in range(2, 6):
                await open_peer.write(request(number))
            agent.targets = [{**one, "state": "draining"} for one in agent.targets]
            agent.revision += 1
            await asyncio.sleep(PAUSE_S + DRAIN_GRACE_S)
            gateway.send_signal(signal.SIGCONT)
            for _ in range(2, 6):
                await open_peer.read_response()
            assert seen == []

    run_test(test())


def test_a_request_completed_at_the_end_of_a_shutdown_is_not_forwarded(tmp_path: Path) -> None:
    """The last byte arrives once all other requests are answered: it was forwarded, and its connection closed."""

    async def test() -> None:
        async with running_gateway(tmp_path, 5.0) as running:
            gateway, seen = running.gateway, running.seen
            complete, partial = await gateway.connect(), await gateway.connect()
            await complete.write(request(1, X_Expires_In_Ms="3000"))
            gateway.send_signal(signal.SIGTERM)
            text = request(2, X_Expires_In_Ms="3000")
            await partial.write(text[:20])
            for place in range(20, len(text) - 2):  # slowly, until the gateway has almost ended
                await asyncio.sleep(0.012)
                await partial.write(text[place])
            status, _, _ = await complete.read_response()  # every complete request is answered
            assert status in (502, 503, 504)
            seen.clear()
            await partial.write(text[-2:])
            await partial.read_to_end()
            assert await gateway.wait_for_exit() == 0
            assert seen == []

    run_test(test())


def test_a_connection_accepted_after_a_full_batch_keeps_all_of_its_time(tmp_path: Path) -> None:
    """A batch of MAX_ACCEPTS emptied the queue exactly, but the queue counted as not emptied since then, and the next
    request as having waited from that time."""

    async def test() -> None:
        async with running_gateway(tmp_path) as running:
            gateway, seen = running.gateway, running.seen
            gateway.send_signal(signal.SIGSTOP)
            batch = [await gateway.connect() for _ in range(MAX_ACCEPTS_PER_TURN)]
            gateway.send_signal(signal.SIGCONT)
            await asyncio.sleep(PAUSE_S)
            peer = await gateway.connect()
            await peer.write(request(1, X_Expires_In_Ms=str(int(PAUSE_S * 500))))
            assert (await peer.read_response())[0] == 200 and len(seen) == 1
            for one in batch:
                one.close()

    run_test(test())
