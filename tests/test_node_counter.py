"""The client of the platform's counter: encoding of calls, matching of replies, and calls that end indeterminate."""

from __future__ import annotations

import asyncio

import pytest

from martenstep.node import counter as counter_module
from martenstep.node.counter import CounterClient, InvalidReplyError, ReplyReader, encode_call
from martenstep.policy.messages import CallResult
from tests.socket_rig import Peer, ScriptedServer, run

Results = list[tuple[int, CallResult, float]]


def reader_with_pending(*calls: int) -> tuple[ReplyReader, Results]:
    """Return the reader of a connection with pending calls, and the list of their results."""
    results: Results = []
    reader = ReplyReader(lambda call, result, total: results.append((call, result, total)))
    reader.pending.extend(calls)
    return reader, results


def test_a_call_is_encoded_with_a_decimal_amount_and_whole_milliseconds() -> None:
    assert encode_call(12, -2.5, 4000.2) == b"*4\r\n$6\r\nADDGET\r\n$2\r\n12\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
    assert b"$8\r\n0.000001\r\n" in encode_call(1, 1e-6, 1.0), "the counter does not accept an exponent"
    assert encode_call(1, 0.0, 0.2).endswith(b"$1\r\n0\r\n$1\r\n1\r\n")


def test_replies_in_pieces_are_matched_to_calls_in_order() -> None:
    reader, results = reader_with_pending(1, 2, 3, 4)
    for byte in b"$3\r\n7.5\r\n-BUSY\r\n$2\r\n-1\r\n-ERR no\r\n":
        reader.feed(bytes([byte]))
    assert results == [
        (1, CallResult.OK, 7.5),
        (2, CallResult.OVERLOADED, 0.0),
        (3, CallResult.OK, -1.0),
        (4, CallResult.OVERLOADED, 0.0),
    ]


@pytest.mark.parametrize(
    "invalid",
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
def test_an_invalid_reply_leaves_every_pending_call_indeterminate(invalid: bytes) -> None:
    reader, results = reader_with_pending(1, 2, 3)
    reader.feed(b"$1\r\n5\r\n")
    with pytest.raises(InvalidReplyError):
        reader.feed(invalid)
    reader.connection_lost()
    assert results == [(1, CallResult.OK, 5.0), (2, CallResult.TIMEOUT, 0.0), (3, CallResult.TIMEOUT, 0.0)]
    assert not CallResult.TIMEOUT.never_executed


def test_a_reply_without_a_pending_call_is_invalid() -> None:
    reader, results = reader_with_pending(1)
    with pytest.raises(InvalidReplyError):
        reader.feed(b"$1\r\n5\r\n$1\r\n6\r\n")
    assert results == [(1, CallResult.OK, 5.0)]


async def _all_connected(client: CounterClient) -> None:
    while len(client._connections) < counter_module.MAX_CONNECTIONS:
        await asyncio.sleep(0.001)


def test_calls_of_one_loop_turn_are_written_at_once_and_all_answered() -> None:
    async def echo_key(peer: Peer) -> None:
        while True:
            words = [await peer.reader.readline() for _ in range(9)]
            await peer.write(b"$1\r\n%b\r\n" % words[4][:1])

    async def test() -> None:
        server = ScriptedServer(echo_key)
        results: Results = []
        client = CounterClient(("127.0.0.1", await server.start()), lambda *result: results.append(result))
        client.start()
        await _all_connected(client)
        for call in range(1, 9):
            client.add(call, call, 1.0, 1000.0, False)
        while len(results) < 8:
            await asyncio.sleep(0.001)
        assert sorted(results) == [(call, CallResult.OK, float(call)) for call in range(1, 9)]
        client.stop()
        server.stop()

    run(test())


def test_a_call_without_a_connection_was_never_executed() -> None:
    async def test() -> None:
        results: Results = []
        client = CounterClient(("127.0.0.1", 1), lambda *result: results.append(result))
        client.start()
        client.add(1, 5, 1.0, 1000.0, False)
        assert results == [], "a result during the call would reenter the policy in the middle of its decision"
        while not results:
            await asyncio.sleep(0.001)
        assert results == [(1, CallResult.CONNECT_FAILED, 0.0)] and CallResult.CONNECT_FAILED.never_executed
        client.stop()

    run(test())


def test_replies_of_the_old_counter_still_count_after_a_change_of_address() -> None:
    async def test() -> None:
        call_received = asyncio.Event()
        address_changed = asyncio.Event()

        async def old(peer: Peer) -> None:
            await peer.read(9)
            call_received.set()
            await address_changed.wait()
            await peer.write(b"$1\r\n3\r\n")
            await peer.read_to_end()

        async def new(peer: Peer) -> None:
            await peer.read(9)
            await peer.write(b"$1\r\n8\r\n")
            await peer.read_to_end()

        old_counter, new_counter = ScriptedServer(old), ScriptedServer(new)
        results: Results = []
        client = CounterClient(("127.0.0.1", await old_counter.start()), lambda *result: results.append(result))
        client.start()
        await _all_connected(client)
        client.add(1, 5, 1.0, 1000.0, False)
        await call_received.wait()
        client.change_address(("127.0.0.1", await new_counter.start()))
        await _all_connected(client)
        client.add(2, 5, 1.0, 1000.0, False)
        while not results:
            await asyncio.sleep(0.001)
        assert results == [(2, CallResult.OK, 8.0)]
        address_changed.set()
        while len(results) < 2:
            await asyncio.sleep(0.001)
        assert results[1] == (1, CallResult.OK, 3.0)
        client.stop()
        old_counter.stop()
        new_counter.stop()

    run(test())


def test_a_counter_that_closes_what_it_accepts_is_dialled_with_backoff() -> None:
    """Guards against thousands of dials a second, which take the core from requests."""

    async def test() -> None:
        async def close_at_once(peer: Peer) -> None:
            peer.close()

        back = ScriptedServer(close_at_once)
        client = CounterClient(("127.0.0.1", await back.start()), lambda call, result, total: None)
        client.start()
        await asyncio.sleep(0.5)
        client.stop()
        back.stop()
        assert 2 <= back.connections <= 30
        assert client._backoff.next_ms > counter_module.MIN_BACKOFF_MS

    run(test())


def test_a_reply_ends_the_backoff() -> None:
    """A counter that comes back is used at once, and a lost connection to it is replaced without a delay."""

    async def test() -> None:
        async def answer_one(peer: Peer) -> None:
            await peer.reader.readuntil(b"ADDGET")
            await peer.write("$1\r\n1\r\n")
            await peer.read_to_end()

        back = ScriptedServer(answer_one)
        results: Results = []
        client = CounterClient(
            ("127.0.0.1", await back.start()), lambda call, result, total: results.append((call, result, total))
        )
        client._backoff.failed()
        client.start()
        await _all_connected(client)
        client.add(1, 5, 1.0, 1000.0, False)
        while not results:
            await asyncio.sleep(0.002)
        assert results == [(1, CallResult.OK, 1.0)] and client._backoff.next_ms == counter_module.MIN_BACKOFF_MS
        client.stop()
        back.stop()

    run(test())
