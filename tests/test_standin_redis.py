"""The Redis stand-in, met through the client library and on the wire; and the door's store against it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import redis.asyncio as redis
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from redis.exceptions import ResponseError

from martenstep.config import door_pb2 as pb
from martenstep.interface import Verdict
from martenstep.standins.base import Trace
from martenstep.standins.redis.keyspace import Keyspace, Session
from martenstep.standins.redis.server import RedisServer
from martenstep.standins.resp import Commands, RespError, encode
from martenstep.store.redis_store import RedisStore
from tests.socket_rig import run


@asynccontextmanager
async def server() -> AsyncIterator[tuple[RedisServer, int]]:
    made = RedisServer(Trace(None))
    port = await made.start()
    try:
        yield made, port
    finally:
        await made.stop()


@pytest.mark.parametrize("protocol", [2, 3])
def test_the_client_library_speaks_to_it(protocol: int) -> None:
    async def test() -> None:
        async with server() as (_, port):
            client: Any = redis.Redis(port=port, protocol=protocol, client_name="test", decode_responses=True)
            assert await client.ping() is True
            assert await client.set("a", "1") is True and await client.get("a") == "1"
            assert await client.get("none") is None
            assert await client.set("a", "2", nx=True) is None
            assert float(await client.incrbyfloat("f", 2.5)) == 2.5
            assert float(await client.incrbyfloat("f", -1)) == 1.5
            assert await client.pttl("f") == -1 and await client.pttl("none") == -2
            async with client.pipeline(transaction=True) as pipe:
                pipe.incrbyfloat("f", 1)
                pipe.pexpire("f", 60_000, nx=True)
                pipe.pexpire("f", 1, nx=True)
                assert await pipe.execute() == [2.5, 1, 0]
            assert 0 < await client.pttl("f") <= 60_000
            assert await client.delete("a", "none") == 1
            assert await client.dbsize() == 1
            assert (await client.info())["redis_version"] == "7.4.0"
            assert await client.client_getname() == "test"
            with pytest.raises(ResponseError, match="not a valid float"):
                await client.incrbyfloat("word", "x")
            with pytest.raises(ResponseError, match="unknown command"):
                await client.execute_command("NOPE")
            with pytest.raises(ResponseError, match="wrong number"):
                await client.execute_command("GET")
            assert await client.flushall() is True and await client.dbsize() == 0
            await client.aclose()
    run(test())


def test_a_wrong_command_inside_multi_runs_nothing() -> None:
    keys, session = Keyspace(), Session(1)
    assert keys.run(session, 0, [b"MULTI"]) == "OK"
    assert keys.run(session, 0, [b"SET", b"a", b"1"]) == "QUEUED"
    assert str(keys.run(session, 0, [b"NOPE"])).startswith("ERR unknown")
    assert str(keys.run(session, 0, [b"EXEC"])).startswith("EXECABORT")
    assert keys.run(session, 0, [b"GET", b"a"]) is None
    assert str(keys.run(session, 0, [b"EXEC"])) == "ERR EXEC without MULTI"


def test_keys_expire_and_expiry_is_set_only_when_new() -> None:
    keys, session = Keyspace(), Session(1)
    assert keys.run(session, 0, [b"INCRBYFLOAT", b"k", b"3"]) == b"3"
    assert keys.run(session, 0, [b"PEXPIRE", b"k", b"100", b"NX"]) == 1
    assert keys.run(session, 50, [b"INCRBYFLOAT", b"k", b"1"]) == b"4"
    assert keys.run(session, 50, [b"PEXPIRE", b"k", b"100", b"NX"]) == 0
    assert keys.run(session, 99, [b"PTTL", b"k"]) == 1
    assert keys.run(session, 100, [b"GET", b"k"]) is None
    assert keys.run(session, 100, [b"INCRBYFLOAT", b"k", b"1"]) == b"1"


@given(st.lists(st.lists(st.binary(max_size=12), min_size=1, max_size=4), max_size=6), st.data())
@hypo(max_examples=60, deadline=None, derandomize=True)
def test_commands_come_out_however_they_are_cut(commands: list[list[bytes]], data: st.DataObject) -> None:
    sent = b"".join(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)
                    for words in commands)
    reader, got, at = Commands(), [], 0
    while at < len(sent):
        size = data.draw(st.integers(1, 20))
        got += reader.feed(sent[at:at + size])
        at += size
    assert got == commands


@pytest.mark.parametrize("sent", [b"*1\r\n:5\r\n", b"*x\r\n", b"*1\r\n$-5\r\n", b"*99999999\r\n", b"$" * 70_000])
def test_bytes_that_are_no_command_are_told(sent: bytes) -> None:
    with pytest.raises(RespError):
        Commands().feed(sent)


def test_replies_in_both_protocols() -> None:
    assert encode(None, 2) == b"$-1\r\n" and encode(None, 3) == b"_\r\n"
    assert encode(2.5, 2) == b"$3\r\n2.5\r\n" and encode(2.5, 3) == b",2.5\r\n"
    assert encode({"a": 1}, 2) == b"*2\r\n$1\r\na\r\n:1\r\n" and encode({"a": 1}, 3) == b"%1\r\n$1\r\na\r\n:1\r\n"


# The door's store ---------------------------------------------------------------------------------------


class Desk:
    """Makes adds and waits for their answers."""

    def __init__(self, port: int, **changes: Any) -> None:
        settings = pb.Store(port=port, **{"timeout_ms": 5000.0, "connections": 2, **changes})
        self.answers: dict[int, tuple[Verdict, float]] = {}
        self.order: list[int] = []
        self.store = RedisStore(settings, self._answer)
        self._number = 0

    def _answer(self, number: int, verdict: Verdict, total: float) -> None:
        assert number not in self.answers, "answered twice"
        self.answers[number] = verdict, total
        self.order.append(number)

    def add(self, name: int, units: float = 1.0) -> int:
        self._number += 1
        self.store.add(self._number, name, units, 1000.0)
        return self._number

    async def all(self) -> None:
        while len(self.answers) < self._number:
            await asyncio.sleep(0.001)


@asynccontextmanager
async def desk(**changes: Any) -> AsyncIterator[tuple[Desk, RedisServer]]:
    async with server() as (redis_, port):
        made = Desk(port, **changes)
        made.store.start()
        try:
            yield made, redis_
        finally:
            await made.store.stop()


def test_adds_give_totals_in_the_order_of_the_calls() -> None:
    async def test() -> None:
        async with desk() as (made, redis_):
            numbers = [made.add(7, units) for units in (1, 2.5, -0.5, 4)]
            others = [made.add(name) for name in range(100, 300)]
            await made.all()
            assert [made.answers[n] for n in numbers] == [(Verdict.OK, t) for t in (1, 3.5, 3, 7)]
            assert [n for n in made.order if n in numbers] == numbers
            assert all(made.answers[n] == (Verdict.OK, 1.0) for n in others)
            assert redis_.control("state", {})["connections"] == 2
    run(test())


def test_a_paused_store_is_a_time_out_and_its_late_answers_are_nobodys() -> None:
    async def test() -> None:
        async with desk(timeout_ms=150.0, connections=1) as (made, redis_):
            made.add(1)
            await made.all()
            redis_.control("pause", {"ms": 400})
            late = made.add(1, 10)
            await made.all()
            assert made.answers[late][0] is Verdict.TIMEOUT
            verdict, tries = Verdict.TIMEOUT, 0
            while verdict is not Verdict.OK:
                other = made.add(2, 0.25)
                tries += 1
                await made.all()
                verdict, total = made.answers[other]
            assert total <= 0.25 * tries  # of its own name: the late answer would say 11
            again = made.add(1, 1)
            await made.all()
            # The add that timed out was read after the pause, or its connection was gone: once, or not at all.
            assert made.answers[again] in ((Verdict.OK, 12.0), (Verdict.OK, 2.0))
    run(test())


def test_a_store_that_is_down_adds_nothing_and_says_so() -> None:
    async def test() -> None:
        async with desk(timeout_ms=200.0) as (made, redis_):
            redis_.control("down", {"on": True})
            first = made.add(1, 10)
            await made.all()
            assert made.answers[first][0] in (Verdict.CONNECT_FAILED, Verdict.TIMEOUT)
            redis_.control("down", {"on": False})
            verdict = Verdict.TIMEOUT
            while verdict is not Verdict.OK:
                last = made.add(1, 1)
                await made.all()
                verdict, total = made.answers[last]
            assert total < 10
    run(test())


def test_a_connection_that_breaks_after_the_write_is_a_time_out_and_is_not_sent_again() -> None:
    async def test() -> None:
        reads = []

        async def breaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                reads.append(data)
                if b"INCRBYFLOAT" in data:
                    writer.transport.abort()
                    return
                writer.write(b"+OK\r\n" * data.count(b"*"))

        listener = await asyncio.start_server(breaks, "127.0.0.1", 0)
        made = Desk(listener.sockets[0].getsockname()[1], connections=1)
        made.store.start()
        number = made.add(1)
        await made.all()
        assert made.answers[number][0] is Verdict.TIMEOUT  # it may have been added
        await asyncio.sleep(0.05)
        assert sum(b"INCRBYFLOAT" in data for data in reads) == 1
        await made.store.stop()
        listener.close()
    run(test())


def test_what_redis_turns_down_was_not_added() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            redis_.keyspace.run(Session(0), 0, [b"SET", b"mstep:5", b"word"])
            bad, good = made.add(5), made.add(6)
            await made.all()
            assert made.answers[bad][0] is Verdict.FULL and made.answers[good] == (Verdict.OK, 1.0)
    run(test())


def test_a_full_queue_turns_calls_away_at_once() -> None:
    async def test() -> None:
        async with desk(connections=1, waiting=3, timeout_ms=300.0) as (made, redis_):
            redis_.control("pause", {"ms": 100})
            numbers = [made.add(1) for _ in range(6)]
            assert [made.answers[n][0] for n in numbers[3:]] == [Verdict.FULL] * 3
            await made.all()
    run(test())


def test_an_emptied_store_counts_from_nothing() -> None:
    async def test() -> None:
        async with desk() as (made, redis_):
            made.add(1, 50)
            await made.all()
            redis_.control("empty", {})
            last = made.add(1, 2)
            await made.all()
            assert made.answers[last] == (Verdict.OK, 2.0)
    run(test())


def test_an_order_that_is_not_known_is_told_and_changes_nothing() -> None:
    made = RedisServer(Trace(None))
    assert made.control("nonsense", {}) == {"error": "no such command: nonsense"}
    assert made.control("state", {}) == {"commands": 0, "connections": 0}
