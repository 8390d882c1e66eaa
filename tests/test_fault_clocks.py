"""Gateway processes whose wall clock is stepped while their monotonic clock is not.

The step applies to the wall clock of the one process (lab/soak/faults.py); the assertions are about which backend
received how many requests.
"""

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
from tests.node_rig import SETTINGS, endpoint_entry, request
from tests.socket_rig import Peer, Script, ScriptedServer
from tests.test_node_gateway import serve_echo
from tests.test_node_processes import GatewayProcess, gateway_processes, run_test

HOUR_S = 3600.0
REQUESTS = 100
MAX_COLD_REQUESTS = 20  # of REQUESTS, to a cold backend beside a warm one: one at first, then 1 a second
MIN_WARM_REQUESTS = 20  # of REQUESTS, to a warm backend beside a slow one
MAX_TRIES = 3  # a counter period may end between the calls of two gateways, but not each time
SLOW_RESPONSE_S = 0.05  # response time of the slow backend


class Agent:
    """A discovery agent whose list can change; every watch is answered at once when it does."""

    def __init__(self) -> None:
        self.revision = 1
        self.targets: list[dict[str, Any]] = []

    async def script(self, peer: Peer) -> None:
        """Answer the polls of one connection."""
        sent_revision = -1
        while True:
            head = await peer.read_head()
            while "after=" in head and sent_revision == self.revision:
                await _poll_interval()
            sent_revision = self.revision
            await peer.send_response(json.dumps({"rev": sent_revision, "all": True, "targets": self.targets}))


async def _poll_interval() -> None:
    await asyncio.sleep(0.005)


def counting_backend(counts: dict[str, int], name: str, delay_s: float = 0.0) -> Script:
    """Return the script of a backend that counts its requests."""

    async def script(peer: Peer) -> None:
        while True:
            await peer.read_head()
            counts[name] = counts.get(name, 0) + 1
            await asyncio.sleep(delay_s)
            await peer.send_response("ok")

    return script


def cold_settings(warm_within_ms: float) -> dict[str, Any]:
    """Return settings under which a backend is in slow start for `warm_within_ms` after its start."""
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
async def gateway_with_stepped_clock(
    tmp_path: Path, agent: Agent, counts: dict[str, int], warm_within_ms: float, delay_s: float = 0.0
) -> AsyncIterator[tuple[GatewayProcess, FaultControl]]:
    """Run a gateway in front of the backends s-0 and s-1, of which the agent lists only s-0 at first."""
    control = FaultControl(tmp_path / "faults")
    async with gateway_processes(
        tmp_path,
        1,
        agent.script,
        counting_backend(counts, "warm", delay_s),
        counting_backend(counts, "cold"),
        settings=cold_settings(warm_within_ms),
    ) as [gateway]:
        known = json.loads(gateway.path.read_text(encoding="utf-8"))["known"]["targets"]
        agent.targets = known[:1]
        gateway.environment = control.environment
        await gateway.start()
        await gateway.wait_for_event("ready")
        yield gateway, control
    control.close()


def cold_target(port: int, wall_s: float) -> dict[str, Any]:
    """Return the entry of the second backend, which starts now by the given wall clock."""
    return endpoint_entry("s-1", port, boot_ms=wall_s * 1000)


async def send_requests(gateway: GatewayProcess, count: int = REQUESTS) -> None:
    """Send `count` requests one after another on one connection."""
    peer = await gateway.connect()
    for number in range(count):
        await peer.write(request(number + time.monotonic_ns() % 10**12 * 1000))
        assert (await peer.read_response())[0] in (200, 503)  # rejected if the slow backend is at its limit
    peer.close()


def backend_port(gateway: GatewayProcess, index: int) -> int:
    """Return the port of a backend."""
    known = json.loads(gateway.path.read_text(encoding="utf-8"))["known"]["targets"]
    return int(known[index]["endpoint"].rpartition(":")[2])


@pytest.mark.parametrize("step_s", [0.0, HOUR_S, -HOUR_S, 30.0, -30.0])
def test_a_started_backend_is_cold_after_any_step_of_the_wall_clock(tmp_path: Path, step_s: float) -> None:
    """After a step back of an hour the backend counted as warm from the start: 73 requests where 36 are allowed."""

    async def test() -> None:
        agent, counts = Agent(), dict[str, int]()
        async with gateway_with_stepped_clock(tmp_path, agent, counts, 60_000.0) as (gateway, control):
            control.shift_wall_clock(step_s)
            agent.targets = [*agent.targets, cold_target(backend_port(gateway, 1), time.time() + step_s)]
            agent.revision += 1
            await _poll_interval()
            await send_requests(gateway, 20)  # the list has arrived by the end of these
            before = counts.get("cold", 0)
            await send_requests(gateway)
            assert counts.get("cold", 0) - before <= MAX_COLD_REQUESTS, counts

    run_test(test())


@pytest.mark.parametrize("step_s", [0.0, HOUR_S, -HOUR_S])
def test_a_backend_ends_its_slow_start_in_time_after_any_step_of_the_wall_clock(tmp_path: Path, step_s: float) -> None:
    """After a step forward of an hour the slow start of the backend took an hour."""

    async def test() -> None:
        agent, counts = Agent(), dict[str, int]()
        async with gateway_with_stepped_clock(tmp_path, agent, counts, 300.0, SLOW_RESPONSE_S) as (gateway, control):
            control.shift_wall_clock(step_s)
            agent.targets = [*agent.targets, cold_target(backend_port(gateway, 1), time.time() + step_s)]
            agent.revision += 1
            until = time.monotonic() + 1.0
            while time.monotonic() < until:
                await send_requests(gateway, 5)
            counts.clear()
            await asyncio.gather(*(send_requests(gateway, 10) for _ in range(REQUESTS // 10)))
            assert counts.get("cold", 0) >= MIN_WARM_REQUESTS, counts

    run_test(test())


def test_a_backend_that_restarts_after_a_step_back_is_cold_again(tmp_path: Path) -> None:
    """By the stepped clock the new start of the backend lies before the previous one."""

    async def test() -> None:
        agent, counts = Agent(), dict[str, int]()
        async with gateway_with_stepped_clock(tmp_path, agent, counts, 60_000.0) as (gateway, control):
            port = backend_port(gateway, 1)
            agent.targets = [*agent.targets, endpoint_entry("s-1", port, boot_ms=(time.time() - 600) * 1000)]
            agent.revision += 1
            await send_requests(gateway)
            control.shift_wall_clock(-HOUR_S)
            agent.targets = [*agent.targets[:1], cold_target(port, time.time() - HOUR_S)]
            agent.revision += 1
            await send_requests(gateway, 20)
            counts.clear()
            await send_requests(gateway)
            assert counts.get("cold", 0) <= MAX_COLD_REQUESTS, counts

    run_test(test())


def test_gateways_started_before_and_after_a_step_share_a_quota(tmp_path: Path) -> None:
    """Each gateway numbered the counter periods of a quota by the wall clock at its start: they never shared a key."""

    async def test() -> None:
        keys: list[bytes] = []

        async def records_keys(peer: Peer) -> None:
            while True:
                words = [(await peer.reader.readline()).strip() for _ in range(9)]
                keys.append(words[4])
                await peer.write(b"$1\r\n1\r\n")

        agent, counter = Agent(), ScriptedServer(records_keys)
        plans = [{"name": "free", "units_per_s": 0.2, "most_at_once": 4.0, "beyond_costs": 0.5}]
        control = FaultControl(tmp_path / "faults")
        async with gateway_processes(
            tmp_path,
            2,
            agent.script,
            serve_echo,
            settings={**SETTINGS, "contracts": plans},
            counter=f"127.0.0.1:{await counter.start()}",
        ) as both:
            agent.targets = json.loads(both[0].path.read_text(encoding="utf-8"))["known"]["targets"]
            for gateway in both:
                gateway.environment = control.environment
                await gateway.start()
                await gateway.wait_for_event("ready")
                control.shift_wall_clock(HOUR_S)
            for customer in range(MAX_TRIES):  # new to both gateways, so both call the counter
                first, second = [await counter_keys(gateway, keys, customer) for gateway in both]
                assert first and second
                if first & second:
                    break
            assert first & second, (first, second)
        counter.stop()
        control.close()

    run_test(test())


async def counter_keys(gateway: GatewayProcess, keys: list[bytes], customer: int) -> set[bytes]:
    """Return the keys with which a gateway calls the counter for a request of a customer."""
    keys.clear()
    await gateway.fetch(request(time.monotonic_ns() % 10**12, customer=f"{customer:016x}"))
    return set(keys)
