"""Front doors as processes whose system calls fail for a moment, in the ways that their manual pages document.

Waits have bounds only so that a fault ends the test, but for one: a request of little time must be answered in it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from martenstep.lab.soak.faults import SHORT_COUNT, Call, FaultControl
from tests.node_rig import request
from tests.socket_rig import Peer
from tests.test_node_gateway import serves
from tests.test_node_processes import Process, doors, lists, play

SHORT_DEADLINE_MS = 400
PAUSE_S = 0.95  # the event loop's own pause is of 1 s
ANSWERED = {200, 503}  # served, or refused for want of room: ten at once are many for one backend
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EINTR, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
START_ERRORS = (
    (Call.SOCKET, errno.ENFILE),
    (Call.SOCKET, errno.ENOBUFS),
    (Call.CONNECT, errno.EADDRNOTAVAIL),
    (Call.CONNECT, errno.ENETUNREACH),
)
FAILED_CALLS = 25  # more than are made before the listener is
FAILED_LEAST = 8  # connections are tried anew by chance


@contextlib.asynccontextmanager
async def failing_door(tmp_path: Path) -> AsyncIterator[tuple[Process, FaultControl]]:
    """A door in front of one backend, not started yet."""
    control = FaultControl(tmp_path / "faults")

    async def told(peer: Peer) -> None:
        targets = json.loads((tmp_path / "n0.json").read_text(encoding="utf-8"))["known"]["targets"]
        await lists(targets, [])(peer)

    async with doors(tmp_path, 1, told, serves) as [door]:
        door.environment = control.environment
        yield door, control
    control.close()


def short_request(number: int) -> str:
    """A request that has to be answered soon."""
    return request(number, X_Expires_In_Ms=str(SHORT_DEADLINE_MS))


def test_an_accept_that_fails_once_delays_no_request(tmp_path: Path) -> None:
    """The event loop took its listener away for a second."""

    async def test() -> None:
        async with failing_door(tmp_path) as (door, control):
            await door.start()
            await door.until("ready")
            for round_, error in enumerate(ACCEPT_ERRORS):
                control.fail(Call.ACCEPT, error, times=1)
                lost = await door.client() if error in (errno.ECONNABORTED, errno.EPROTO) else None
                peers = [await door.client() for _ in range(10)]
                for number, peer in enumerate(peers):
                    await peer.write(short_request(100 * round_ + number))
                async with asyncio.timeout(PAUSE_S):
                    statuses = [(await peer.read_response())[0] for peer in peers]
                assert set(statuses) <= ANSWERED, (error, statuses)
                assert control.hits(Call.ACCEPT) == round_ + 1
                assert "fault" not in door.events(), (error, door.lines)
                if lost is not None:
                    assert await lost.read_to_end() == b""
                for peer in peers:
                    peer.close()

    play(test())


def test_accepts_that_fail_while_the_door_ends_lose_nobody_in_its_queue(tmp_path: Path) -> None:
    """The pause ended after the listener was closed, over whoever stood in its queue."""

    async def test() -> None:
        async with failing_door(tmp_path) as (door, control):
            await door.start()
            await door.until("ready")
            control.fail(Call.ACCEPT, errno.ENFILE, times=1)
            door.signal(signal.SIGTERM)
            await door.until("stopping")
            peers = [await door.client() for _ in range(3)]
            for number, peer in enumerate(peers):
                await peer.write(short_request(number))
            assert {(await peer.read_response())[0] for peer in peers} <= ANSWERED
            assert control.hits(Call.ACCEPT) == 1
            assert await door.end() == 0

    play(test())


def test_a_start_gets_over_calls_that_fail_for_a_moment(tmp_path: Path) -> None:
    """A socket that could not be made ended the start with status 2."""

    async def test() -> None:
        for call, error in START_ERRORS:
            async with failing_door(tmp_path) as (door, control):
                control.fail(call, error, times=FAILED_CALLS)
                await door.start()
                await door.until("ready")
                assert control.hits(call) >= FAILED_LEAST
                control.clear(call)
                assert (await door.ask(request(1)))[0] == 200

    play(test())


def test_a_configuration_that_cannot_be_read_for_a_moment_is_taken_up_later(tmp_path: Path) -> None:
    """The move was lost: the door went on at an address that answers no more."""

    async def test() -> None:
        async with failing_door(tmp_path) as (door, _):
            await door.start()
            await door.until("ready")
            text = door.path.read_text(encoding="utf-8")
            door.path.write_text(text[: len(text) // 2], encoding="utf-8")  # whoever writes it is not done
            door.signal(signal.SIGHUP)
            await door.until("configuration rejected")
            aside = tmp_path / "aside.json"
            aside.write_text(text, encoding="utf-8")
            os.replace(aside, door.path)
            await door.until("configuration applied")

    play(test())


@pytest.mark.parametrize(
    "call, error",
    [(Call.RECV, SHORT_COUNT), (Call.SEND, SHORT_COUNT), (Call.RECV, errno.EINTR), (Call.SEND, errno.EINTR)],
)
def test_short_and_interrupted_transfers_change_nothing(tmp_path: Path, call: Call, error: int) -> None:
    """*Held* before."""

    async def test() -> None:
        async with failing_door(tmp_path) as (door, control):
            await door.start()
            await door.until("ready")
            control.fail(call, error, per_million=300_000)
            body = "x" * 20_000
            for number in range(20):
                status, _, answer = await door.ask(request(number, "book", method="POST", body=body))
                assert status == 200 and answer.endswith(body.encode())
            assert control.hits(call) > 5

    play(test())
