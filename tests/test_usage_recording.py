"""A response waits until its usage record is replicated, and no longer than its timeout."""

from __future__ import annotations

import asyncio

import pytest

from martenstep.lab.rules import ClientTry, ServerAttempt, Traffic, check_recorded
from martenstep.proxy import engine_messages as ev
from tests.socket_rig import Peer, request_head, run, running_gateway
from tests.test_proxy_sockets import echo_target


class FakeLedger:
    """Records usage; the test resolves the future of each record."""

    def __init__(self) -> None:
        self.futures: list[asyncio.Future[bool]] = []

    def __call__(self, usage: ev.RecordUsage) -> asyncio.Future[bool]:
        self.futures.append(asyncio.get_running_loop().create_future())
        return self.futures[-1]


def test_a_response_is_sent_once_its_usage_is_recorded() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as door:
            ledger = FakeLedger()
            door.server.set_usage_recorder(ledger, 60_000.0)
            door.server.engine._state.dependencies.records_usage = True
            peer = await door.connect()
            await peer.write(request_head("/read/7"))
            await door.wait_until(
                lambda: bool(ledger.futures) and any(flight.withheld_data for flight in door.server.requests.values())
            )  # the server has responded
            answer = asyncio.create_task(peer.read_response())
            await asyncio.sleep(0.02)
            assert not answer.done()
            ledger.futures[0].set_result(True)
            assert (await answer)[::2] == (200, b"/read/7")
            assert not door.server.counts["answers_not_waited_for"]

    run(test())


def test_a_response_waits_for_its_record_up_to_the_timeout_and_a_local_reply_does_not_wait() -> None:
    async def silent(peer: Peer) -> None:
        await peer.read_to_end()

    async def test() -> None:
        async with running_gateway(echo_target) as door:
            door.server.set_usage_recorder(FakeLedger(), 30.0)
            door.server.engine._state.dependencies.records_usage = True
            assert (await door.get())[0] == 200
            assert door.server.counts["answers_not_waited_for"] == 1
        async with running_gateway(silent) as door:
            door.server.set_usage_recorder(FakeLedger(), 60_000.0)
            door.server.engine._state.dependencies.records_usage = True
            assert (await door.get())[0] == 503  # a local reply does not wait for a record

    run(test())


@pytest.mark.parametrize("fits_buffer", [True, False])
def test_a_long_response_is_not_withheld_beyond_the_timeout_or_the_buffer(fits_buffer: bool) -> None:
    async def long(peer: Peer) -> None:
        while True:
            await peer.read_head()
            await peer.send_response("x" * 200_000)

    async def test() -> None:
        async with running_gateway(long, text="" if fits_buffer else "upstream { hold_answer_bytes: 50000 }") as door:
            door.server.set_usage_recorder(FakeLedger(), 60_000.0 if not fits_buffer else 50.0)
            door.server.engine._state.dependencies.records_usage = True
            status, _, body = await door.get()
            assert status == 200 and len(body) == 200_000

    run(test())


def test_the_checker_requires_records_of_requests_answered_before_their_gateway_was_lost() -> None:
    def forwarded(rid: str, answered_at: float | None) -> ClientTry:
        request = ClientTry(rid, 0, "ada", "read", 1.0, 100.0, 4000.0)
        request.attempts.append(ServerAttempt(rid, 0, 1, "door-0", "", 110.0))
        if answered_at is not None:
            request.ends.append({"what": "answer", "status": 200, "t": answered_at})
        return request

    traffic = Traffic(
        tries={one.rid: one for one in (forwarded("r1", 150.0), forwarded("r2", None), forwarded("r3", 250.0))}
    )
    assert [breach.text for breach in check_recorded(traffic, [])] == ["reached a server, and is not recorded"] * 3
    traffic.disk_losses[0].append(200.0)
    assert len(list(check_recorded(traffic, []))) == 1  # only r1 was answered before its gateway was lost
    assert list(check_recorded(traffic, [("r1", "ada", 1.0)])) == []
