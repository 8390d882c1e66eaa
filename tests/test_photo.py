"""The photo server's parts: cores, the cold ramp, falling over."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.standins.base import Trace
from martenstep.standins.photo import Cores, Fall, PhotoConfig, PhotoServer, WorkOf
from tests.socket_rig import Peer, request_head, run


def test_cores_serve_in_order_and_the_queue_is_bounded() -> None:
    async def test() -> None:
        cores, order = Cores(2, 3), []

        async def work(number: int) -> None:
            if not await cores.take():
                order.append(f"{number} refused")
                return
            order.append(str(number))
            await asyncio.sleep(0.01)
            cores.give()

        await asyncio.gather(*(work(number) for number in range(7)))
        assert order == ["0", "1", "5 refused", "6 refused", "2", "3", "4"]

    run(test())


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
@hypo(max_examples=50, deadline=None, derandomize=True)
def test_no_core_is_lost_however_work_is_cancelled(steps: list[tuple[int, bool]]) -> None:
    async def test() -> None:
        cores, tasks = Cores(2, 10), []

        async def work() -> None:
            if await cores.take():
                try:
                    await asyncio.sleep(0)
                finally:
                    cores.give()

        for pause, cancel in steps:
            tasks.append(asyncio.create_task(work()))
            for _ in range(pause):
                await asyncio.sleep(0)
            if cancel:
                tasks[len(tasks) // 2].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert cores._free == 2 and not cores.waiting

    run(test())


def test_a_cold_server_does_less_and_falls_when_sent_too_much() -> None:
    fall = Fall(PhotoConfig(cores=2, cold_from=0.2, warm_ms=10_000.0, fall_multiple=2.0, fall_window_ms=1000.0))
    assert [fall.capacity(age) for age in (0.0, 5000.0, 10_000.0, 1e9)] == pytest.approx([0.2, 0.6, 1.0, 1.0])
    # In a window of 1 s, 2 cores at a fifth do 400 ms of work; it bears twice that.
    assert not any(fall.offer(10.0 * n, 100.0, 0.0) for n in range(8))
    assert fall.offer(90.0, 100.0, 0.0)
    calm = Fall(PhotoConfig(cores=2, cold_from=0.2, warm_ms=10_000.0, fall_multiple=2.0))
    assert not any(calm.offer(200.0 * n, 100.0, 0.0) for n in range(40))
    assert not any(calm.offer(0.0, 1e6, 10_000.0) for _ in range(3))  # warm


def test_it_answers_refuses_while_draining_and_drops_keyed_repeats() -> None:
    async def test() -> None:
        config = PhotoConfig(id=1, work={"read": WorkOf(1, 1, 5, 10_000)})
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
        for do, told in (("errors", 500), ("resets", None), ("cuts", None)):
            server.control(do, {"share": 1.0})
            peer = Peer(*await asyncio.open_connection("127.0.0.1", server._port))
            await peer.write(request_head())
            if told:
                assert (await peer.read_response())[0] == told
            else:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await peer.read_response()
            server.control(do, {"share": 0.0})
        with contextlib.suppress(ConnectionError):
            peer.close()
        await server.stop()

    run(test())
