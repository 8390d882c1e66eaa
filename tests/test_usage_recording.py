"""An answer waits until its try is in the door's book, and no longer than it may."""

from __future__ import annotations

import asyncio

import pytest

from martenstep.lab.rules import Traffic, Try, Visit, recorded
from martenstep.proxy import engine_messages as ev
from tests.socket_rig import Peer, request_head, run, running_gateway
from tests.test_proxy_sockets import echo_target


class Promising:
    """Stands for the book: each try's promise is kept when the test says so."""

    def __init__(self) -> None:
        self.made: list[asyncio.Future[bool]] = []

    def __call__(self, tried: ev.RecordUsage) -> asyncio.Future[bool]:
        self.made.append(asyncio.get_running_loop().create_future())
        return self.made[-1]


def test_an_answer_leaves_once_its_try_is_in_the_book() -> None:
    async def test() -> None:
        async with running_gateway(echo_target) as door:
            book = Promising()
            door.server.set_usage_recorder(book, 60_000.0)
            door.server.engine._state.dependencies.records_usage = True
            peer = await door.connect()
            await peer.write(request_head("/read/7"))
            await door.wait_until(
                lambda: bool(book.made) and any(flight.withheld_data for flight in door.server.requests.values())
            )  # the server has answered
            answer = asyncio.create_task(peer.read_response())
            await asyncio.sleep(0.02)
            assert not answer.done()
            book.made[0].set_result(True)
            assert (await answer)[::2] == (200, b"/read/7")
            assert not door.server.counts["answers_not_waited_for"]

    run(test())


def test_an_answer_waits_no_longer_than_it_may_and_a_door_that_gives_up_answers_at_once() -> None:
    async def silent(peer: Peer) -> None:
        await peer.read_to_end()

    async def test() -> None:
        async with running_gateway(echo_target) as door:
            door.server.set_usage_recorder(Promising(), 30.0)
            door.server.engine._state.dependencies.records_usage = True
            assert (await door.get())[0] == 200
            assert door.server.counts["answers_not_waited_for"] == 1
        async with running_gateway(silent) as door:
            door.server.set_usage_recorder(Promising(), 60_000.0)
            door.server.engine._state.dependencies.records_usage = True
            assert (await door.get())[0] == 503  # the door's own words wait for nothing

    run(test())


@pytest.mark.parametrize("whole", [True, False])
def test_a_long_answer_is_not_held_beyond_its_bound(whole: bool) -> None:
    async def long(peer: Peer) -> None:
        while True:
            await peer.read_head()
            await peer.send_response("x" * 200_000)

    async def test() -> None:
        async with running_gateway(long, text="" if whole else "upstream { hold_answer_bytes: 50000 }") as door:
            door.server.set_usage_recorder(Promising(), 60_000.0 if not whole else 50.0)
            door.server.engine._state.dependencies.records_usage = True
            status, _, body = await door.get()
            assert status == 200 and len(body) == 200_000

    run(test())


def test_what_a_lost_door_had_answered_for_must_be_recorded() -> None:
    def tried(rid: str, answered: float | None) -> Try:
        made = Try(rid, 0, "ada", "read", 1.0, 100.0, 4000.0)
        made.visits.append(Visit(rid, 0, 1, "door-0", "", 110.0))
        if answered is not None:
            made.ends.append({"what": "answer", "status": 200, "t": answered})
        return made

    traffic = Traffic(tries={one.rid: one for one in (tried("r1", 150.0), tried("r2", None), tried("r3", 250.0))})
    assert [breach.text for breach in recorded(traffic, [])] == ["reached a server, and is not recorded"] * 3
    traffic.lost[0].append(200.0)
    assert len(list(recorded(traffic, []))) == 1  # r1 was answered before its door was lost
    assert list(recorded(traffic, [("r1", "ada", 1.0)])) == []
