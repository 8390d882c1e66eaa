"""The door's store against the Redis stand-in, on sockets.

Waits have bounds only so that a fault ends the test; no verdict rests on how long anything takes.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from martenstep.config import door_pb2 as pb
from martenstep.policy.messages import CallResult
from martenstep.redis_counter.redis_client import RedisCounter, now_ms
from martenstep.standins.base import Trace
from martenstep.standins.redis.fleet import ALONE, CLUSTER, SENTINEL, Fleet
from martenstep.standins.redis.keyspace import Session, User
from martenstep.standins.redis.server import RedisServer
from tests.socket_rig import run
from tests.test_tls import CertificateAuthority


@asynccontextmanager
async def server() -> AsyncIterator[tuple[RedisServer, int]]:
    made = RedisServer(Trace(None))
    port = await made.start()
    try:
        yield made, port
    finally:
        await made.stop()


class Desk:
    """Makes adds and waits for their answers."""

    def __init__(self, port: int, **changes: Any) -> None:
        settings = pb.Store(port=port, **{"timeout_ms": 5000.0, "connections": 2, **changes})
        self.answers: dict[int, tuple[CallResult, float]] = {}
        self.order: list[int] = []
        self.store = RedisCounter(settings, self._answer, "door-0", lambda what, fields: self.notes.append(what))
        self._number = 0
        self.notes: list[str] = []
        self.calls: dict[int, tuple[int, float]] = {}

    def _answer(self, number: int, verdict: CallResult, total: float, kept_ms: float) -> None:
        assert number not in self.answers, "answered twice"
        self.answers[number] = verdict, total
        self.order.append(number)

    def add(self, name: int, units: float = 1.0) -> int:
        self._number += 1
        self.calls[self._number] = name, units
        self.store.add(self._number, name, units, 60_000.0)
        return self._number

    def added(self, name: int) -> float:
        """What must be in the store: all that was told as added, and as perhaps added once anything came after."""
        return sum(
            units
            for number, (called, units) in self.calls.items()
            if called == name and self.answers[number][0] in (CallResult.OK, CallResult.TIMEOUT)
        )

    async def all(self) -> None:
        while len(self.answers) < self._number:
            await asyncio.sleep(0.001)

    async def settled(self) -> None:
        while not self.store.core.settled:
            await asyncio.sleep(0.001)

    async def until_good(self, name: int, units: float) -> tuple[int, float]:
        """Add until it is told OK; how many calls that took, and the total."""
        for tries in range(1, 100_000):
            number = self.add(name, units)
            await self.all()
            verdict, total = self.answers[number]
            if verdict is CallResult.OK:
                return tries, total
            await asyncio.sleep(0.005)
        raise AssertionError("never OK")


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
            assert [made.answers[n] for n in numbers] == [(CallResult.OK, t) for t in (1, 3.5, 3, 7)]
            assert [n for n in made.order if n in numbers] == numbers
            assert all(made.answers[n] == (CallResult.OK, 1.0) for n in others)
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
            assert made.answers[late][0] is CallResult.TIMEOUT
            tries, total = await made.until_good(2, 0.25)
            assert total <= 0.25 * tries  # of its own name: the late answer would say 11
            assert (await made.until_good(1, 1))[1] == made.added(1) >= 12.0  # the late one once

    run(test())


def test_a_store_that_is_down_adds_nothing_and_says_so() -> None:
    async def test() -> None:
        async with desk(timeout_ms=200.0) as (made, redis_):
            redis_.control("down", {"on": True})
            first = made.add(1, 10)
            await made.all()
            assert made.answers[first][0] in (CallResult.CONNECT_FAILED, CallResult.TIMEOUT)
            redis_.control("down", {"on": False})
            # What may have been written is a time-out, and counts by now; what was not, never.
            assert (await made.until_good(1, 1))[1] == made.added(1)

    run(test())


@pytest.mark.parametrize(("scripts", "word"), [(True, b"EVALSHA"), (False, b"HINCRBYFLOAT")])
def test_a_broken_connection_is_a_second_statement_or_no_second_add(scripts: bool, word: bytes) -> None:
    """What the library would do by itself is off: without scripts an add goes out once, whatever happens."""

    async def test() -> None:
        reads = []

        async def breaks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                reads.append(data)
                if word in data:
                    writer.transport.abort()
                    return
                writer.write(b"+OK\r\n" * data.count(b"*"))

        listener = await asyncio.start_server(breaks, "127.0.0.1", 0)
        made = Desk(listener.sockets[0].getsockname()[1], connections=1, scripts=scripts, timeout_ms=300.0)
        made.store.start()
        number = made.add(1)
        await made.all()
        assert made.answers[number][0] is CallResult.TIMEOUT  # it may have been added
        await asyncio.sleep(0.05)
        sent = sum(word in data for data in reads)
        assert sent > 1 if scripts else sent == 1
        await made.store.stop()
        listener.close()

    run(test())


def test_what_redis_turns_down_was_not_added() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            redis_.keyspace.run(Session(0), 0, [b"SET", b"mstep:5", b"word"])
            bad, good = made.add(5), made.add(6)
            await made.all()
            assert made.answers[bad][0] is CallResult.OVERLOADED and made.answers[good] == (CallResult.OK, 1.0)

    run(test())


def test_a_full_queue_turns_calls_away_at_once() -> None:
    async def test() -> None:
        async with desk(connections=1, waiting=3, timeout_ms=300.0) as (made, redis_):
            redis_.control("pause", {"ms": 100})
            numbers = [made.add(1) for _ in range(6)]
            assert [made.answers[n][0] for n in numbers[3:]] == [CallResult.OVERLOADED] * 3
            await made.all()

    run(test())


def total_of(server_: RedisServer, name: int) -> float:
    """What a server holds of a name."""
    return float(server_.keyspace.run(Session(0), 0, [b"HGET", b"mstep:%x" % name, b"t"]) or 0)  # type: ignore[arg-type]


def test_an_emptied_store_is_told_anew_what_this_door_had_added() -> None:
    async def test() -> None:
        async with desk() as (made, redis_):
            for name in range(50):
                made.add(name, 10 + name)
            await made.all()
            redis_.control("empty", {})
            assert (await made.until_good(1, 2))[1] == made.added(1)
            await made.settled()
            assert [total_of(redis_, name) for name in range(50)] == [made.added(name) for name in range(50)]
            assert made.notes == ["store lost contents"]

    run(test())


def test_a_door_that_is_idle_notices_by_itself() -> None:
    async def test() -> None:
        async with desk() as (made, redis_):
            made.add(7, 5)
            await made.all()
            redis_.control("restart", {})
            while total_of(redis_, 7) != 5:
                await asyncio.sleep(0.005)

    run(test())


def test_scripts_flushed_are_loaded_again_and_nothing_is_lost() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            numbers = []
            for _ in range(5):
                redis_.control("flush_scripts", {})
                numbers += [made.add(3, 1), made.add(4, 1)]
                await made.all()
            assert [made.answers[n] for n in numbers[::2]] == [(CallResult.OK, float(n)) for n in range(1, 6)]
            assert made.store.core.counts["fault NOSCRIPT"] > 0

    run(test())


@pytest.mark.parametrize("code", ["LOADING", "BUSY", "MASTERDOWN", "NOREPLICAS", "CLUSTERDOWN"])
def test_a_store_that_says_that_it_cannot_has_added_nothing(code: str) -> None:
    async def test() -> None:
        async with desk(connections=1, timeout_ms=200.0) as (made, redis_):
            made.add(1, 1)
            await made.all()
            redis_.control("error", {"code": code})
            number = made.add(1, 10)
            await made.all()
            assert made.answers[number][0] is not CallResult.OK
            redis_.control("error", {"code": ""})
            assert (await made.until_good(1, 1))[1] == made.added(1)

    run(test())


def test_a_full_store_turns_down_what_is_new_and_is_right_again_with_room() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            made.add(1, 1)
            await made.all()
            redis_.control("memory", {"bytes": 1})
            number = made.add(1, 10)
            await made.all()
            assert made.answers[number] == (CallResult.OVERLOADED, 0.0)
            redis_.control("memory", {"bytes": 0})
            assert (await made.until_good(1, 1))[1] == made.added(1) < 10

    run(test())


def test_a_name_that_was_evicted_alone_comes_back_with_its_next_call() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            for name in range(20):
                made.add(name, 5)
                await made.all()
            redis_.control("memory", {"bytes": 1500, "evicts": True})
            made.add(99, 1)
            await made.all()
            assert redis_.keyspace.evicted > 0 and total_of(redis_, 0) == 0
            redis_.control("memory", {"bytes": 0})
            assert (await made.until_good(0, 1))[1] == made.added(0)

    run(test())


def test_a_store_that_answers_reads_and_hangs_on_writes_is_left_alone() -> None:
    async def test() -> None:
        async with desk(connections=2, timeout_ms=60.0) as (made, redis_):
            made.add(1, 1)
            await made.all()
            redis_.control("hang_writes", {"on": True})
            while not made.store.core.counts["breaks"]:
                made.add(1, 1)
                await made.all()
            at_once = made.add(1, 1)
            assert made.answers[at_once][0] is CallResult.CONNECT_FAILED  # nobody waits for it any more
            redis_.control("hang_writes", {"on": False})
            assert (await made.until_good(1, 1))[1] == made.added(1) > 2

    run(test())


def test_partial_replies_count_once() -> None:
    async def test() -> None:
        async with desk(connections=2, timeout_ms=100.0) as (made, redis_):
            redis_.control("partial", {"share": 0.3})
            for _ in range(200):
                made.add(5, 1)
                await made.all()
                await asyncio.sleep(0.001)
            redis_.control("partial", {"share": 0.0})
            await made.until_good(5, 0.5)
            await made.settled()
            assert total_of(redis_, 5) == made.added(5)
            assert made.store.core.counts["sent again"] > 0

    run(test())


def test_a_user_without_scripts_falls_back_to_plain_adds_and_a_wrong_password_adds_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "password"
        file.write_text("secret\n")
        async with server() as (redis_, port):
            redis_.keyspace.users["door"] = User(
                "secret", frozenset({b"AUTH", b"HELLO", b"CLIENT", b"MULTI", b"EXEC", b"HINCRBYFLOAT", b"PEXPIRE"})
            )
            made = Desk(port, connections=1, user="door", password_file=str(file))
            made.store.start()
            one, two = made.add(1, 2), made.add(1, 1)
            await made.all()
            assert made.answers[one] == (CallResult.OK, 2.0) and made.answers[two] == (CallResult.OK, 3.0)
            assert made.notes == ["store without scripts"]
            await made.store.stop()
            file.write_text("wrong\n")
            other = Desk(port, connections=1, user="door", password_file=str(file))
            other.store.start()
            number = other.add(1, 2)
            await other.all()
            assert other.answers[number][0] is CallResult.CONNECT_FAILED
            await other.store.stop()
            redis_.keyspace.users.clear()
            assert total_of(redis_, 1) == 3.0

    run(test())


# Several servers ----------------------------------------------------------------------------------------


@asynccontextmanager
async def many(
    kind: str, doors: int = 1, lag_ms: float = 40.0, **changes: Any
) -> AsyncIterator[tuple[Fleet, list[Desk]]]:
    fleet = Fleet(Trace(None), kind, lag_ms=lag_ms)
    await fleet.start()
    topology = {ALONE: pb.Store.ALONE, SENTINEL: pb.Store.SENTINEL, CLUSTER: pb.Store.CLUSTER}[kind]
    nodes = [pb.Store.Node(port=port) for port in fleet.ports]
    desks = [
        Desk(0, topology=topology, node=nodes, primary_name="counts", connections=2, **{"timeout_ms": 250.0, **changes})
        for _ in range(doors)
    ]
    for made in desks:
        made.store.start()
    try:
        yield fleet, desks
    finally:
        for made in desks:
            await made.store.stop()
        await fleet.stop()


async def held(fleet: Fleet, name: int, wanted: float) -> None:
    """Wait until the primaries together hold so much of a name."""
    while sum(total_of(pair.primary, name) for pair in fleet.pairs) != wanted:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("kind", [SENTINEL, CLUSTER])
def test_a_replica_promoted_without_the_last_writes_gets_them_again(kind: str) -> None:
    async def test() -> None:
        async with many(kind, doors=3, lag_ms=60_000.0) as (fleet, desks):
            for name in range(30):
                for made in desks:
                    await made.until_good(name, 1 + name)
            for number in range(len(fleet.pairs)):
                fleet.failover(number)
            for name in range(30):
                await held(fleet, name, sum(made.added(name) for made in desks))
            assert all(made.added(29) >= 30 for made in desks)

    run(test())


def test_two_primaries_for_a_time_end_as_one_sum() -> None:
    async def test() -> None:
        async with many(SENTINEL, doors=2) as (fleet, [one, two]):
            await one.until_good(1, 1)
            await two.until_good(1, 1)
            old = fleet.pairs[0].primary
            fleet.failover(0, split_ms=300.0)
            assert old is not fleet.pairs[0].primary
            for _ in range(20):
                for made in (one, two):
                    made.add(1, 1)
                    await made.all()
                await asyncio.sleep(0.02)
            for made in (one, two):
                await made.until_good(1, 0.5)
            await one.settled()
            await two.settled()
            await held(fleet, 1, one.added(1) + two.added(1))

    run(test())


@pytest.mark.parametrize("for_ms", [0.0, 200.0])
def test_slots_that_move_are_followed_and_nothing_counts_twice(for_ms: float) -> None:
    async def test() -> None:
        async with many(CLUSTER) as (fleet, [made]):
            for name in range(60):
                made.add(name, 1)
            await made.all()
            assert all(answer == (CallResult.OK, 1.0) for answer in made.answers.values())
            fleet.move(8000, to=2, for_ms=for_ms)
            numbers = [made.add(name, 1) for name in range(60)]
            await made.all()
            assert all(made.answers[number] == (CallResult.OK, 2.0) for number in numbers)
            for name in range(60):
                await held(fleet, name, 2.0)
            counts = made.store.core.counts
            assert counts["asked elsewhere" if for_ms else "fault MOVED"] > 0 and not counts["losses"]

    run(test())


def test_sentinels_that_are_gone_are_passed_over() -> None:
    async def test() -> None:
        async with many(SENTINEL) as (fleet, [made]):
            for sentinel in fleet.sentinels[:2]:
                sentinel.control("down", {"on": True})
            await made.until_good(1, 1)
            fleet.failover(0)
            assert (await made.until_good(1, 1))[1] == made.added(1)

    run(test())


def test_a_failover_in_the_middle_of_pipelines_loses_and_doubles_nothing() -> None:
    async def test() -> None:
        async with many(SENTINEL, doors=2, lag_ms=60_000.0) as (fleet, desks):
            for turn in range(6):
                for made in desks:
                    for name in range(80):
                        made.add(name, 1)
                await asyncio.sleep(0.002 * turn)
                fleet.failover(0)
                for made in desks:
                    await made.all()
            for made in desks:
                for name in range(80):
                    await made.until_good(name, 1)
            for name in range(80):
                await held(fleet, name, sum(made.added(name) for made in desks))

    run(test())


def test_a_whole_fleet_that_loses_its_connections_at_once_finds_its_way_back() -> None:
    async def test() -> None:
        async with server() as (redis_, port):
            desks = [Desk(port, connections=1, timeout_ms=8000.0) for _ in range(380)]
            for made in desks:
                made.store.start()
                made.add(1)
            for made in desks:
                await made.all()
            assert total_of(redis_, 1) == 380.0
            first = len(redis_.accepted)
            redis_.control("drop", {})
            for made in desks:
                made.add(1)
            for made in desks:
                await made.all()
            assert total_of(redis_, 1) == sum(made.added(1) for made in desks) == 760.0
            assert first == 380 and len(redis_.accepted) - first >= 380
            await asyncio.gather(*(made.store.stop() for made in desks))

    run(test())


def test_names_that_would_stay_for_good_are_given_an_end_again() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            await made.until_good(1, 1)
            redis_.control("lose_expiry", {})
            ttl = [b"PTTL", b"mstep:1"]
            assert redis_.keyspace.run(Session(0), 0, ttl) == -1
            await made.until_good(1, 1)
            left = redis_.keyspace.run(Session(0), now_ms(), ttl)
            assert isinstance(left, int) and 0 < left <= 60_000

    run(test())


def test_names_that_expire_too_early_by_the_stores_clock_are_stated_again() -> None:
    async def test() -> None:
        async with desk(connections=1) as (made, redis_):
            for name in range(5):
                await made.until_good(name, 3)
            redis_.control("skew", {"ms": 1e9})
            for name in range(5):
                assert (await made.until_good(name, 1))[1] == made.added(name) >= 4

    run(test())


def test_names_that_are_slow_cost_no_other_connection_its_answers() -> None:
    async def test() -> None:
        async with desk(connections=2, timeout_ms=400.0) as (made, redis_):
            redis_.control("slow_names", {"share": 0.2, "ms": 150})
            numbers = [made.add(name) for name in range(40)]
            await made.all()
            redis_.control("slow_names", {"share": 0.0})
            for name in range(40):
                await made.until_good(name, 1)
            assert len(numbers) == 40
            assert [total_of(redis_, name) for name in range(40)] == [made.added(name) for name in range(40)]

    run(test())


def test_tls_and_a_host_that_is_not_the_certificates(tmp_path: Path) -> None:
    issuer = CertificateAuthority(tmp_path)
    certificate, key = issuer.issue("redis", "localhost")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)

    async def test() -> None:
        redis_ = RedisServer(Trace(None))
        redis_.tls = context
        port = await redis_.start()
        for host, good in (("localhost", True), ("127.0.0.1", False)):
            made = Desk(port, connections=1, host=host, timeout_ms=1000.0, tls=pb.ClientTls(ca=issuer.file))
            made.store.start()
            number = made.add(1)
            await made.all()
            assert (made.answers[number][0] is CallResult.OK) is good
            await made.store.stop()
        await redis_.stop()

    run(test())
