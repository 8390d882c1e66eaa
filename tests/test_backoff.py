"""Waits between attempts: bounded, drawn, and begun anew after a success; and that the clients do so."""

from __future__ import annotations

import random
from pathlib import Path

from martenstep.backoff import Backoff
from martenstep.counter.client import MIN_RECONNECT_MS
from tests.socket_rig import run
from tests.test_counter_service import GatewayClient, running_service


def test_waits_double_to_the_bound_and_begin_anew() -> None:
    backoff = Backoff(20.0, 100.0, random.Random(1))
    turns = []
    for _ in range(5):
        turns.append(backoff.next_ms)
        assert 0.5 * turns[-1] <= backoff.failed() <= 1.5 * turns[-1]
    assert turns == [20.0, 40.0, 80.0, 100.0, 100.0]
    backoff.succeeded()
    assert backoff.next_ms == 20.0


def test_doors_that_lose_a_thing_together_do_not_come_back_together() -> None:
    waits = [Backoff(20.0, 100.0).failed() for _ in range(50)]
    assert max(waits) - min(waits) > 10.0


def test_a_counters_client_begins_anew_with_each_session(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "log") as (service, port):
            desk = GatewayClient(port, tmp_path / "door", timeout_ms=5000.0)
            for _ in range(6):  # six sessions end; what a connection lost costs does not grow with a door's age
                desk.add(5)
                await desk.wait_until_answered()
                assert desk.client.backoff.next_ms == MIN_RECONNECT_MS
                for connection in list(service.connections):
                    assert connection.transport is not None
                    connection.transport.abort()
            await desk.client.stop()
            assert service.pipeline.state.total(5) == 6.0

    run(test())
