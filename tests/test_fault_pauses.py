"""Requests that wait in a front door, or before one that does not run: their time runs on meanwhile.

The process is stopped by SIGSTOP; what is asserted is what its backends were told and sent once it runs again."""

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
from tests.test_node_processes import Process, doors, play

HELD_UP_S = 0.15  # a door may be held up so long between its clock and its write, ...
BUSY_S = 0.3  # ... and this process on a busy machine between the arrival of a head and its own clock
DEADLINE_MS = 2000
STOP_S = 0.8
DRAIN_GRACE_S = 0.5


def told_ms(head: str) -> int:
    """What a backend was told of the time that is left."""
    return next(int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("x-expires-in-ms"))


def shows(seen: list[tuple[float, str]], delay_s: float = 0.0) -> Any:
    """A backend that keeps when each head came."""

    async def script(peer: Peer) -> None:
        while True:
            head = await peer.read_head()
            seen.append((time.monotonic(), head))
            await asyncio.sleep(delay_s)
            await peer.send_response("ok")

    return script


def known_targets(path: Path) -> list[dict[str, Any]]:
    """The endpoints of a gateway's configuration."""
    targets: list[dict[str, Any]] = json.loads(path.read_text(encoding="utf-8"))["known"]["targets"]
    return targets


@dataclass
class Running:
    """A gateway that serves, its agent, and the heads that its backend has received."""

    gateway: Process
    agent: Agent
    seen: list[tuple[float, str]]


@asynccontextmanager
async def running_gateway(
    tmp_path: Path, delay_s: float = 0.0, settings: dict[str, Any] = SETTINGS
) -> AsyncIterator[Running]:
    """A gateway that is ready, in front of one backend that answers after a while."""
    seen: list[tuple[float, str]] = []
    agent = Agent()
    async with doors(tmp_path, 1, agent.script, shows(seen, delay_s), settings=settings) as [gateway]:
        agent.targets = known_targets(gateway.path)
        await gateway.start()
        await gateway.until("ready")
        yield Running(gateway, agent, seen)


def test_a_request_behind_another_has_the_time_left_that_its_client_has(tmp_path: Path) -> None:
    """Four at once on one connection: the fourth was sent on with all of its time after three others' answers."""

    async def test() -> None:
        async with running_gateway(tmp_path, 0.3) as running:
            door, seen = running.gateway, running.seen
            peer = await door.client()
            sent = time.monotonic()
            await peer.write("".join(request(n, X_Expires_In_Ms=str(DEADLINE_MS)) for n in range(4)))
            for _ in range(4):
                await peer.read_response()
            assert len(seen) == 4
            for at, head in seen:
                assert told_ms(head) / 1000 <= DEADLINE_MS / 1000 - (at - sent) + HELD_UP_S + BUSY_S

    play(test())


def test_requests_that_came_while_the_door_stood_still_have_less_time_left(tmp_path: Path) -> None:
    """On a connection that it had, and on new ones that stood in its queue."""

    async def test() -> None:
        async with running_gateway(tmp_path) as running:
            door, seen = running.gateway, running.seen
            standing = await door.client()
            await standing.write(request(1))
            await standing.read_response()
            seen.clear()
            door.signal(signal.SIGSTOP)
            fresh = [await door.client() for _ in range(6)]
            sent = time.monotonic()
            for number, peer in enumerate((standing, *fresh), 2):
                await peer.write(request(number, X_Expires_In_Ms=str(DEADLINE_MS)))
            await asyncio.sleep(STOP_S)
            door.signal(signal.SIGCONT)
            for peer in (standing, *fresh):
                await peer.read_response()
            assert seen
            for at, head in seen:
                assert told_ms(head) / 1000 <= DEADLINE_MS / 1000 - (at - sent) + HELD_UP_S + BUSY_S

    play(test())


@pytest.mark.parametrize("mode", ["automatic", "subscribe"])
def test_a_door_that_stood_still_hears_of_drains_before_it_sends(tmp_path: Path, mode: str) -> None:
    """Discovery had told it while it stood: it sent on by the list of before."""

    async def test() -> None:
        rules = {**SETTINGS["rules"], "drain_grace_ms": DRAIN_GRACE_S * 1000}
        settings = {**SETTINGS, "rules": rules, "discovery": mode}
        async with running_gateway(tmp_path, settings=settings) as running:
            door, agent, seen = running.gateway, running.agent, running.seen
            standing = await door.client()
            await standing.write(request(1))
            await standing.read_response()
            seen.clear()
            door.signal(signal.SIGSTOP)
            for number in range(2, 6):
                await standing.write(request(number))
            agent.targets = [{**one, "state": "draining"} for one in agent.targets]
            agent.revision += 1
            await asyncio.sleep(STOP_S + DRAIN_GRACE_S)
            door.signal(signal.SIGCONT)
            for _ in range(2, 6):
                await standing.read_response()
            assert seen == []

    play(test())


def test_a_request_that_becomes_whole_as_the_door_ends_is_not_sent_on(tmp_path: Path) -> None:
    """Its last byte comes after all was answered: it was forwarded, and its connection closed."""

    async def test() -> None:
        async with running_gateway(tmp_path, 5.0) as running:
            door, seen = running.gateway, running.seen
            out, half = await door.client(), await door.client()
            await out.write(request(1, X_Expires_In_Ms="3000"))
            door.signal(signal.SIGTERM)
            text = request(2, X_Expires_In_Ms="3000")
            await half.write(text[:20])
            for place in range(20, len(text) - 2):  # slowly, up to the door's end
                await asyncio.sleep(0.012)
                await half.write(text[place])
            status, _, _ = await out.read_response()  # the door has answered all that it held
            assert status in (502, 503, 504)
            seen.clear()
            await half.write(text[-2:])
            await half.read_to_end()
            assert await door.end() == 0
            assert seen == []

    play(test())


def test_a_connection_after_a_turn_that_emptied_the_queue_has_all_its_time(tmp_path: Path) -> None:
    """The queue counted as not emptied since then, and the request as that old."""

    async def test() -> None:
        async with running_gateway(tmp_path) as running:
            door, seen = running.gateway, running.seen
            door.signal(signal.SIGSTOP)
            crowd = [await door.client() for _ in range(MAX_ACCEPTS_PER_TURN)]
            door.signal(signal.SIGCONT)
            await asyncio.sleep(STOP_S)
            peer = await door.client()
            await peer.write(request(1, X_Expires_In_Ms=str(int(STOP_S * 500))))
            assert (await peer.read_response())[0] == 200 and len(seen) == 1
            for one in crowd:
                one.close()

    play(test())
