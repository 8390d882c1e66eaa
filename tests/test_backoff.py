"""Waits between attempts are bounded, random, and reset by a success; the counter client resets them as well."""

from __future__ import annotations

import random
from pathlib import Path

from martenstep.backoff import Backoff
from martenstep.counter.client import MIN_RECONNECT_MS
from tests.socket_rig import run
from tests.test_counter_service import GatewayClient, running_service


def test_waits_double_up_to_the_maximum_and_reset_after_a_success() -> None:
    backoff = Backoff(20.0, 100.0, random.Random(1))
    nominal_waits = []
    for _ in range(5):
        nominal_waits.append(backoff.next_ms)
        assert 0.5 * nominal_waits[-1] <= backoff.failed() <= 1.5 * nominal_waits[-1]
    assert nominal_waits == [20.0, 40.0, 80.0, 100.0, 100.0]
    backoff.succeeded()
    assert backoff.next_ms == 20.0


def test_waits_are_random_so_that_gateways_do_not_reconnect_together() -> None:
    waits = [Backoff(20.0, 100.0).failed() for _ in range(50)]
    assert max(waits) - min(waits) > 10.0


def test_the_counter_client_resets_its_backoff_with_each_session(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "log") as (service, port):
            desk = GatewayClient(port, tmp_path / "door", timeout_ms=5000.0)
            for _ in range(6):  # six lost sessions: the wait after a loss does not grow with the age of the gateway
                desk.add(5)
                await desk.wait_until_answered()
                assert desk.client.backoff.next_ms == MIN_RECONNECT_MS
                for connection in list(service.connections):
                    assert connection.transport is not None
                    connection.transport.abort()
            await desk.client.stop()
            assert service.pipeline.state.total(5) == 6.0

    run(test())
