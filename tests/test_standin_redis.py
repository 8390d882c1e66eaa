"""The fake Redis, through the client library and at the level of the protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
import redis.asyncio as redis
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from redis.asyncio.cluster import RedisCluster
from redis.asyncio.sentinel import Sentinel
from redis.exceptions import ResponseError

from martenstep.standins.base import Trace
from martenstep.standins.redis.fleet import CLUSTER, SENTINEL, Fleet
from martenstep.standins.redis.keyspace import Keyspace, Session
from martenstep.standins.redis.server import RedisServer
from martenstep.standins.resp import CommandParser, RespError, encode
from tests.socket_rig import run


@asynccontextmanager
async def server() -> AsyncIterator[tuple[RedisServer, int]]:
    fake = RedisServer(Trace(None))
    port = await fake.start()
    try:
        yield fake, port
    finally:
        await fake.stop()


@pytest.mark.parametrize("protocol", [2, 3])
def test_the_client_library_works_with_the_fake(protocol: int) -> None:
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


@pytest.mark.parametrize("protocol", [2, 3])
def test_the_client_library_finds_the_primary_through_sentinels_and_the_nodes_of_a_cluster(protocol: int) -> None:
    async def test() -> None:
        fleet = Fleet(Trace(None), SENTINEL)
        await fleet.start()
        sentinel: Any = Sentinel(
            [("127.0.0.1", port) for port in fleet.ports],  # type: ignore[no-untyped-call]
            sentinel_kwargs={"protocol": protocol},
            protocol=protocol,
        )
        client: Any = sentinel.master_for("counts")
        assert await client.incrby("a", 2) == 2
        [replica] = await sentinel.discover_slaves("counts")
        assert fleet.pairs[0].replica is not None and replica[1] == fleet.pairs[0].replica.port
        fleet.failover()
        await client.aclose()
        assert (await sentinel.discover_master("counts"))[1] == fleet.pairs[0].primary.port
        for connection in sentinel.sentinels:
            await connection.aclose()
        await fleet.stop()

        fleet = Fleet(Trace(None), CLUSTER)
        await fleet.start()
        cluster: Any = RedisCluster(host="127.0.0.1", port=fleet.ports[0], protocol=protocol)
        for number in range(30):
            assert await cluster.incrby(f"key-{number}", number) == number
        assert len(cluster.get_primaries()) == 3 and len(cluster.get_replicas()) == 3
        fleet.move(9000, to=1)
        for number in range(30):
            assert await cluster.incrby(f"key-{number}", 1) == number + 1
        await cluster.aclose()
        await fleet.stop()

    run(test())


def test_exec_runs_nothing_after_an_invalid_command() -> None:
    keys, session = Keyspace(), Session(1)
    assert keys.run(session, 0, [b"MULTI"]) == "OK"
    assert keys.run(session, 0, [b"SET", b"a", b"1"]) == "QUEUED"
    assert str(keys.run(session, 0, [b"NOPE"])).startswith("ERR unknown")
    assert str(keys.run(session, 0, [b"EXEC"])).startswith("EXECABORT")
    assert keys.run(session, 0, [b"GET", b"a"]) is None
    assert str(keys.run(session, 0, [b"EXEC"])) == "ERR EXEC without MULTI"


def test_keys_expire_and_nx_sets_an_expiry_only_if_there_is_none() -> None:
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
def test_commands_are_parsed_however_their_bytes_are_split(commands: list[list[bytes]], data: st.DataObject) -> None:
    sent = b"".join(
        b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words) for words in commands
    )
    parser, parsed, at = CommandParser(), [], 0
    while at < len(sent):
        size = data.draw(st.integers(1, 20))
        parsed += parser.feed(sent[at : at + size])
        at += size
    assert parsed == commands


@pytest.mark.parametrize("sent", [b"*1\r\n:5\r\n", b"*x\r\n", b"*1\r\n$-5\r\n", b"*99999999\r\n", b"$" * 70_000])
def test_bytes_that_are_not_a_command_raise_an_error(sent: bytes) -> None:
    with pytest.raises(RespError):
        CommandParser().feed(sent)


def test_replies_are_encoded_for_both_protocol_versions() -> None:
    assert encode(None, 2) == b"$-1\r\n" and encode(None, 3) == b"_\r\n"
    assert encode(2.5, 2) == b"$3\r\n2.5\r\n" and encode(2.5, 3) == b",2.5\r\n"
    assert encode({"a": 1}, 2) == b"*2\r\n$1\r\na\r\n:1\r\n" and encode({"a": 1}, 3) == b"%1\r\n$1\r\na\r\n:1\r\n"


def test_an_unknown_control_command_returns_an_error_and_changes_nothing() -> None:
    fake = RedisServer(Trace(None))
    assert fake.control("nonsense", {}) == {"error": "no such command: nonsense"}
    assert fake.control("state", {}) == {"commands": 0, "connections": 0}
