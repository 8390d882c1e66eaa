"""The platform's counter: calls in its form, answers in order, and what is in doubt with a connection."""

from __future__ import annotations

import asyncio

import pytest

from martenstep.node import counter as counters
from martenstep.node.counter import CounterClient, InvalidReplyError, ReplyReader, encode_call
from martenstep.policy.messages import CallResult
from tests.socket_rig import Peer, ScriptedServer, run

Answers = list[tuple[int, CallResult, float]]


def lane(*calls: int) -> tuple[ReplyReader, Answers]:
    """A connection with calls out."""
    answers: Answers = []
    made = ReplyReader(lambda call, verdict, total: answers.append((call, verdict, total)))
    made.pending.extend(calls)
    return made, answers


def test_a_call_has_its_parts_written_out() -> None:
    assert encode_call(12, -2.5, 4000.2) == b"*4\r\n$6\r\nADDGET\r\n$2\r\n12\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
    assert b"$8\r\n0.000001\r\n" in encode_call(1, 1e-6, 1.0), "an exponent is no decimal number"
    assert encode_call(1, 0.0, 0.2).endswith(b"$1\r\n0\r\n$1\r\n1\r\n")


def test_answers_come_in_order_and_in_pieces() -> None:
    made, answers = lane(1, 2, 3, 4)
    for byte in b"$3\r\n7.5\r\n-BUSY\r\n$2\r\n-1\r\n-ERR no\r\n":
        made.feed(bytes([byte]))
    assert answers == [
        (1, CallResult.OK, 7.5),
        (2, CallResult.OVERLOADED, 0.0),
        (3, CallResult.OK, -1.0),
        (4, CallResult.OVERLOADED, 0.0),
    ]


@pytest.mark.parametrize(
    "noise",
    [
        b"$3\r\nabc\r\n",
        b"$3\r\nnan\r\n",
        b"$3\r\ninf\r\n",
        b":5\r\n",
        b"+OK\r\n",
        b"$-1\r\n",
        b"$x\r\n",
        b"x" * 600,
        b"$9999999\r\n",
        b"$1\r\n5xx",
        b"\r\n",
    ],
)
def test_what_is_no_answer_leaves_all_that_is_out_in_doubt(noise: bytes) -> None:
    made, answers = lane(1, 2, 3)
    made.feed(b"$1\r\n5\r\n")
    with pytest.raises(InvalidReplyError):
        made.feed(noise)
    made.connection_lost()
    assert answers == [(1, CallResult.OK, 5.0), (2, CallResult.TIMEOUT, 0.0), (3, CallResult.TIMEOUT, 0.0)]
    assert not CallResult.TIMEOUT.never_executed


def test_an_answer_that_nobody_asked_for_ends_the_connection() -> None:
    made, answers = lane(1)
    with pytest.raises(InvalidReplyError):
        made.feed(b"$1\r\n5\r\n$1\r\n6\r\n")
    assert answers == [(1, CallResult.OK, 5.0)]


async def _connected(made: CounterClient) -> None:
    while len(made._connections) < counters.MAX_CONNECTIONS:
        await asyncio.sleep(0.001)


def test_calls_of_one_turn_share_a_write_and_come_back() -> None:
    async def serves(peer: Peer) -> None:
        while True:
            words = [await peer.reader.readline() for _ in range(9)]
            await peer.write(b"$1\r\n%b\r\n" % words[4][:1])

    async def test() -> None:
        back = ScriptedServer(serves)
        answers: Answers = []
        made = CounterClient(("127.0.0.1", await back.start()), lambda *answer: answers.append(answer))
        made.start()
        await _connected(made)
        for call in range(1, 9):
            made.add(call, call, 1.0, 1000.0, False)
        while len(answers) < 8:
            await asyncio.sleep(0.001)
        assert sorted(answers) == [(call, CallResult.OK, float(call)) for call in range(1, 9)]
        made.stop()
        back.stop()

    run(test())


def test_without_a_connection_a_call_was_never_made() -> None:
    async def test() -> None:
        answers: Answers = []
        made = CounterClient(("127.0.0.1", 1), lambda *answer: answers.append(answer))
        made.start()
        made.add(1, 5, 1.0, 1000.0, False)
        assert answers == [], "told in the midst of the call, the module would be asked anew while it decides"
        while not answers:
            await asyncio.sleep(0.001)
        assert answers == [(1, CallResult.CONNECT_FAILED, 0.0)] and CallResult.CONNECT_FAILED.never_executed
        made.stop()

    run(test())


def test_after_a_move_the_old_ones_answers_still_count() -> None:
    async def test() -> None:
        asked = asyncio.Event()
        moved = asyncio.Event()

        async def old(peer: Peer) -> None:
            await peer.read(9)
            asked.set()
            await moved.wait()
            await peer.write(b"$1\r\n3\r\n")
            await peer.read_to_end()

        async def new(peer: Peer) -> None:
            await peer.read(9)
            await peer.write(b"$1\r\n8\r\n")
            await peer.read_to_end()

        before, after = ScriptedServer(old), ScriptedServer(new)
        answers: Answers = []
        made = CounterClient(("127.0.0.1", await before.start()), lambda *answer: answers.append(answer))
        made.start()
        await _connected(made)
        made.add(1, 5, 1.0, 1000.0, False)
        await asked.wait()
        made.move(("127.0.0.1", await after.start()))
        await _connected(made)
        made.add(2, 5, 1.0, 1000.0, False)
        while not answers:
            await asyncio.sleep(0.001)
        assert answers == [(2, CallResult.OK, 8.0)]
        moved.set()
        while len(answers) < 2:
            await asyncio.sleep(0.001)
        assert answers[1] == (1, CallResult.OK, 3.0)
        made.stop()
        before.stop()
        after.stop()

    run(test())
