"""The fake photo server: its cores, the slow start, the crash from overload, and its responses."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.standins.base import Trace
from martenstep.standins.photo import ClassWork, Cores, OverloadDetector, PhotoConfig, PhotoServer
from tests.socket_rig import Peer, request_head, run


def test_cores_execute_in_order_of_arrival_and_reject_beyond_the_queue() -> None:
    async def test() -> None:
        cores, order = Cores(2, 3), []

        async def work(number: int) -> None:
            if not await cores.acquire():
                order.append(f"{number} rejected")
                return
            order.append(str(number))
            await asyncio.sleep(0.01)
            cores.release()

        await asyncio.gather(*(work(number) for number in range(7)))
        assert order == ["0", "1", "5 rejected", "6 rejected", "2", "3", "4"]

    run(test())


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
@hypo(max_examples=50, deadline=None, derandomize=True)
def test_cancelled_work_always_releases_its_core(steps: list[tuple[int, bool]]) -> None:
    async def test() -> None:
        cores, tasks = Cores(2, 10), []

        async def work() -> None:
            if await cores.acquire():
                try:
                    await asyncio.sleep(0)
                finally:
                    cores.release()

        for pause, cancel in steps:
            tasks.append(asyncio.create_task(work()))
            for _ in range(pause):
                await asyncio.sleep(0)
            if cancel:
                tasks[len(tasks) // 2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert cores._free == 2 and not cores.waiting

    run(test())


def test_a_cold_server_has_less_capacity_and_crashes_from_overload() -> None:
    detector = OverloadDetector(
        PhotoConfig(cores=2, cold_from=0.2, warm_ms=10_000.0, fall_multiple=2.0, fall_window_ms=1000.0)
    )
    assert [detector.capacity(age) for age in (0.0, 5000.0, 10_000.0, 1e9)] == pytest.approx([0.2, 0.6, 1.0, 1.0])
    # In a window of 1 s, 2 cores at a fifth of their capacity do 400 ms of work; more than 800 ms crashes the server.
    assert not any(detector.offer(10.0 * n, 100.0, 0.0) for n in range(8))
    assert detector.offer(90.0, 100.0, 0.0)
    detector = OverloadDetector(PhotoConfig(cores=2, cold_from=0.2, warm_ms=10_000.0, fall_multiple=2.0))
    assert not any(detector.offer(200.0 * n, 100.0, 0.0) for n in range(40))
    assert not any(detector.offer(0.0, 1e6, 10_000.0) for _ in range(3))  # warm


def test_a_repeat_with_a_key_a_drain_and_each_fault_change_the_response() -> None:
    async def test() -> None:
        config = PhotoConfig(id=1, work={"read": ClassWork(1, 1, 5, 10_000)})
        server = PhotoServer(config, Trace(None))
        peer = Peer(*await asyncio.open_connection("127.0.0.1", await server.start()))
        await peer.write(request_head(extra_headers="idempotency-key: k\r\n"))
        assert (await peer.read_response())[0] == 200
        await peer.write(request_head(extra_headers="idempotency-key: k\r\n"))
        assert "x-repeat: 1" in (await peer.read_response())[1]
        server.control("drain", {"on": True})
        await peer.write(request_head())
        status, head, _ = await peer.read_response()
        assert status == 503 and "x-not-run: 1" in head
        server.control("drain", {"on": False})
        for command, status_expected in (("errors", 500), ("resets", None), ("cuts", None)):
            server.control(command, {"share": 1.0})
            peer = Peer(*await asyncio.open_connection("127.0.0.1", server._port))
            await peer.write(request_head())
            if status_expected:
                assert (await peer.read_response())[0] == status_expected
            else:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await peer.read_response()
            server.control(command, {"share": 0.0})
        with contextlib.suppress(ConnectionError):
            peer.close()
        await server.stop()

    run(test())
