"""Front doors as processes whose wall clock is stepped while the monotonic one runs on.

The wall clock is that of the process alone (lab/soak/faults.py); what is asserted is what was sent where."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from martenstep.lab.soak.faults import FaultControl
from tests.node_rig import SETTINGS, request, target
from tests.socket_rig import Peer, Script, ScriptedServer
from tests.test_node_gateway import serves
from tests.test_node_processes import Process, doors, play

HOUR_S = 3600.0
REQUESTS = 100
COLD_MOST = 20  # of these to a cold backend beside a warm one: 1 a second are let through, and one at first
WARM_LEAST = 20  # to a warm one beside a slow one
PERIOD_TURNS = 3  # tries: a period may turn between two doors' calls, not each time
SLOW_S = 0.05  # answers of the slow one


class Agent:
    """A discovery agent whose list can change; every watch is answered at once when it does."""

    def __init__(self) -> None:
        self.revision = 1
        self.targets: list[dict[str, Any]] = []

    async def script(self, peer: Peer) -> None:
        """Answer calls on one connection."""
        told = -1
        while True:
            head = await peer.read_head()
            while "after=" in head and told == self.revision:
                await _moment()
            told = self.revision
            await peer.send_response(json.dumps({"rev": told, "all": True, "targets": self.targets}))


async def _moment() -> None:
    await asyncio.sleep(0.005)


def counted(counts: dict[str, int], name: str, delay_s: float = 0.0) -> Script:
    """A backend that counts its requests."""

    async def script(peer: Peer) -> None:
        while True:
            await peer.read_head()
            counts[name] = counts.get(name, 0) + 1
            await asyncio.sleep(delay_s)
            await peer.send_response("ok")

    return script


def cold_settings(warm_within_ms: float) -> dict[str, Any]:
    """Settings under which a backend that has started is cold for so long."""
    rules = {
        **SETTINGS["rules"],
        "cold_from": 0.05,
        "warm_within_ms": warm_within_ms,
        "fall_multiple": 1.5,
        "overload_for_ms": 1000.0,
        "drain_grace_ms": 1000.0,
    }
    return {**SETTINGS, "rules": rules}


@contextlib.asynccontextmanager
async def stepped_door(
    tmp_path: Path, agent: Agent, counts: dict[str, int], warm_within_ms: float, delay_s: float = 0.0
) -> AsyncIterator[tuple[Process, FaultControl]]:
    """A door in front of the backends s-0 and s-1, s-0 known from the start."""
    control = FaultControl(tmp_path / "faults")
    async with doors(
        tmp_path,
        1,
        agent.script,
        counted(counts, "warm", delay_s),
        counted(counts, "cold"),
        settings=cold_settings(warm_within_ms),
    ) as [door]:
        known = json.loads(door.path.read_text(encoding="utf-8"))["known"]["targets"]
        agent.targets = known[:1]
        door.environment = control.environment
        await door.start()
        await door.until("ready")
        yield door, control
    control.close()


def cold_target(port: int, wall_s: float) -> dict[str, Any]:
    """The second backend, which started just now by a wall clock."""
    return target("s-1", port, boot_ms=wall_s * 1000)


async def ask_many(door: Process, count: int = REQUESTS) -> None:
    """So many requests, one after another, on one connection."""
    peer = await door.client()
    for number in range(count):
        await peer.write(request(number + time.monotonic_ns() % 10**12 * 1000))
        assert (await peer.read_response())[0] in (200, 503)  # refused where the slow one is full
    peer.close()


def port_of(door: Process, place: int) -> int:
    """The port of a backend."""
    known = json.loads(door.path.read_text(encoding="utf-8"))["known"]["targets"]
    return int(known[place]["endpoint"].rpartition(":")[2])


@pytest.mark.parametrize("step_s", [0.0, HOUR_S, -HOUR_S, 30.0, -30.0])
def test_a_backend_that_started_is_cold_whatever_the_wall_clock_did(tmp_path: Path, step_s: float) -> None:
    """A step back of an hour made it look warm from its first moment: 73 calls where 36 are allowed."""

    async def test() -> None:
        agent, counts = Agent(), dict[str, int]()
        async with stepped_door(tmp_path, agent, counts, 60_000.0) as (door, control):
            control.shift_wall_clock(step_s)
            agent.targets = [*agent.targets, cold_target(port_of(door, 1), time.time() + step_s)]
            agent.revision += 1
            await _moment()
            await ask_many(door, 20)  # by now the list has come
            before = counts.get("cold", 0)
            await ask_many(door)
            assert counts.get("cold", 0) - before <= COLD_MOST, counts

    play(test())


@pytest.mark.parametrize("step_s", [0.0, HOUR_S, -HOUR_S])
def test_a_backend_is_warm_in_time_whatever_the_wall_clock_did(tmp_path: Path, step_s: float) -> None:
    """A step forward of an hour kept it cold for an hour."""

    async def test() -> None:
        agent, counts = Agent(), dict[str, int]()
        async with stepped_door(tmp_path, agent, counts, 300.0, SLOW_S) as (door, control):
            control.shift_wall_clock(step_s)
            agent.targets = [*agent.targets, cold_target(port_of(door, 1), time.time() + step_s)]
            agent.revision += 1
            until = time.monotonic() + 1.0
            while time.monotonic() < until:
                await ask_many(door, 5)
            counts.clear()
            await asyncio.gather(*(ask_many(door, 10) for _ in range(REQUESTS // 10)))
            assert counts.get("cold", 0) >= WARM_LEAST, counts

    play(test())


def test_a_backend_that_starts_anew_after_a_step_back_is_cold_again(tmp_path: Path) -> None:
    """Its start lies before the one that is known, by the stepped clock."""

    async def test() -> None:
        agent, counts = Agent(), dict[str, int]()
        async with stepped_door(tmp_path, agent, counts, 60_000.0) as (door, control):
            port = port_of(door, 1)
            agent.targets = [*agent.targets, target("s-1", port, boot_ms=(time.time() - 600) * 1000)]
            agent.revision += 1
            await ask_many(door)
            control.shift_wall_clock(-HOUR_S)
            agent.targets = [*agent.targets[:1], cold_target(port, time.time() - HOUR_S)]
            agent.revision += 1
            await ask_many(door, 20)
            counts.clear()
            await ask_many(door)
            assert counts.get("cold", 0) <= COLD_MOST, counts

    play(test())


def test_doors_share_a_quota_that_started_before_and_after_a_step(tmp_path: Path) -> None:
    """Each numbered the periods of a quota by the clock that it had found: they met under no name."""

    async def test() -> None:
        names: list[bytes] = []

        async def shows_names(peer: Peer) -> None:
            while True:
                words = [(await peer.reader.readline()).strip() for _ in range(9)]
                names.append(words[4])
                await peer.write(b"$1\r\n1\r\n")

        agent, counter = Agent(), ScriptedServer(shows_names)
        plans = [{"name": "free", "units_per_s": 0.2, "most_at_once": 4.0, "beyond_costs": 0.5}]
        control = FaultControl(tmp_path / "faults")
        async with doors(
            tmp_path,
            2,
            agent.script,
            serves,
            settings={**SETTINGS, "contracts": plans},
            counter=f"127.0.0.1:{await counter.start()}",
        ) as both:
            agent.targets = json.loads(both[0].path.read_text(encoding="utf-8"))["known"]["targets"]
            for door in both:
                door.environment = control.environment
                await door.start()
                await door.until("ready")
                control.shift_wall_clock(HOUR_S)
            for customer in range(PERIOD_TURNS):  # whom neither knows: both ask the counter
                first, second = [await names_of(door, names, customer) for door in both]
                assert first and second
                if first & second:
                    break
            assert first & second, (first, second)
        counter.stop()
        control.close()

    play(test())


async def names_of(door: Process, names: list[bytes], customer: int) -> set[bytes]:
    """The names that a door calls the counter by for a customer."""
    names.clear()
    await door.ask(request(time.monotonic_ns() % 10**12, customer=f"{customer:016x}"))
    return set(names)
