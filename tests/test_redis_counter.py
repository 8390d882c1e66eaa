"""The Redis counter against the fake Redis, over sockets.

Waits are bounded only so that a failure ends the test; no check depends on how long anything takes.
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
    fake = RedisServer(Trace(None))
    port = await fake.start()
    try:
        yield fake, port
    finally:
        await fake.stop()


class Caller:
    """A Redis counter with the calls made on it and their answers."""

    def __init__(self, port: int, **changes: Any) -> None:
        settings = pb.Store(port=port, **{"timeout_ms": 5000.0, "connections": 2, **changes})
        self.answers: dict[int, tuple[CallResult, float]] = {}
        self.answer_order: list[int] = []
        self.counter = RedisCounter(
            settings, self._on_answer, "door-0", lambda event, fields: self.logged_events.append(event)
        )
        self._number = 0
        self.logged_events: list[str] = []
        self.calls: dict[int, tuple[int, float]] = {}

    def _on_answer(self, number: int, result: CallResult, total: float, retained_ms: float) -> None:
        assert number not in self.answers, "the call was answered twice"
        self.answers[number] = result, total
        self.answer_order.append(number)

    def add(self, key: int, units: float = 1.0) -> int:
        self._number += 1
        self.calls[self._number] = key, units
        self.counter.add(self._number, key, units, 60_000.0)
        return self._number

    def added(self, key: int) -> float:
        """Return the expected total: a call that timed out is included in any later statement of its key."""
        return sum(
            units
            for number, (called_key, units) in self.calls.items()
            if called_key == key and self.answers[number][0] in (CallResult.OK, CallResult.TIMEOUT)
        )

    async def wait_for_answers(self) -> None:
        while len(self.answers) < self._number:
            await asyncio.sleep(0.001)

    async def wait_until_settled(self) -> None:
        while not self.counter.core.settled:
            await asyncio.sleep(0.001)

    async def add_until_ok(self, key: int, units: float) -> tuple[int, float]:
        """Repeat an add until it is answered OK; returns the number of calls, and the total."""
        for attempts in range(1, 100_000):
            number = self.add(key, units)
            await self.wait_for_answers()
            result, total = self.answers[number]
            if result is CallResult.OK:
                return attempts, total
            await asyncio.sleep(0.005)
        raise AssertionError("no call was answered OK")


@asynccontextmanager
async def caller_with_server(**changes: Any) -> AsyncIterator[tuple[Caller, RedisServer]]:
    async with server() as (redis_, port):
        caller = Caller(port, **changes)
        caller.counter.start()
        try:
            yield caller, redis_
        finally:
            await caller.counter.stop()


def test_adds_give_totals_in_the_order_of_the_calls() -> None:
    async def test() -> None:
        async with caller_with_server() as (caller, redis_):
            numbers = [caller.add(7, units) for units in (1, 2.5, -0.5, 4)]
            others = [caller.add(key) for key in range(100, 300)]
            await caller.wait_for_answers()
            assert [caller.answers[n] for n in numbers] == [(CallResult.OK, t) for t in (1, 3.5, 3, 7)]
            assert [n for n in caller.answer_order if n in numbers] == numbers
            assert all(caller.answers[n] == (CallResult.OK, 1.0) for n in others)
            assert redis_.control("state", {})["connections"] == 2

    run(test())


def test_a_call_to_a_paused_store_times_out_and_its_late_reply_answers_no_other_call() -> None:
    async def test() -> None:
        async with caller_with_server(timeout_ms=150.0, connections=1) as (caller, redis_):
            caller.add(1)
            await caller.wait_for_answers()
            redis_.control("pause", {"ms": 400})
            late = caller.add(1, 10)
            await caller.wait_for_answers()
            assert caller.answers[late][0] is CallResult.TIMEOUT
            attempts, total = await caller.add_until_ok(2, 0.25)
            assert total <= 0.25 * attempts  # the total of its own key; the late reply has the total 11
            assert (await caller.add_until_ok(1, 1))[1] == caller.added(1) >= 12.0  # the late add counts once

    run(test())


def test_a_call_to_a_store_that_is_down_fails_and_only_timeouts_may_have_been_added() -> None:
    async def test() -> None:
        async with caller_with_server(timeout_ms=200.0) as (caller, redis_):
            redis_.control("down", {"on": True})
            first = caller.add(1, 10)
            await caller.wait_for_answers()
            assert caller.answers[first][0] in (CallResult.CONNECT_FAILED, CallResult.TIMEOUT)
            redis_.control("down", {"on": False})
            # A call that may have been written timed out and counts by now; any other call never counts.
            assert (await caller.add_until_ok(1, 1))[1] == caller.added(1)

    run(test())


@pytest.mark.parametrize(("scripts", "word"), [(True, b"EVALSHA"), (False, b"HINCRBYFLOAT")])
def test_after_a_broken_connection_a_statement_is_sent_again_and_a_plain_add_is_not(scripts: bool, word: bytes) -> None:
    """The retries of the client library are disabled: they would send a plain add a second time."""

    async def test() -> None:
        reads = []

        async def break_at_command(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(65536):
                reads.append(data)
                if word in data:
                    writer.transport.abort()
                    return
                writer.write(b"+OK\r\n" * data.count(b"*"))

        listener = await asyncio.start_server(break_at_command, "127.0.0.1", 0)
        caller = Caller(listener.sockets[0].getsockname()[1], connections=1, scripts=scripts, timeout_ms=300.0)
        caller.counter.start()
        number = caller.add(1)
        await caller.wait_for_answers()
        assert caller.answers[number][0] is CallResult.TIMEOUT  # it may have been added
        await asyncio.sleep(0.05)
        sent = sum(word in data for data in reads)
        assert sent > 1 if scripts else sent == 1
        await caller.counter.stop()
        listener.close()

    run(test())


def test_a_statement_that_redis_rejects_is_not_added() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1) as (caller, redis_):
            redis_.keyspace.run(Session(0), 0, [b"SET", b"mstep:5", b"word"])
            rejected, accepted = caller.add(5), caller.add(6)
            await caller.wait_for_answers()
            assert caller.answers[rejected][0] is CallResult.OVERLOADED
            assert caller.answers[accepted] == (CallResult.OK, 1.0)

    run(test())


def test_a_full_queue_rejects_calls_at_once() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1, waiting=3, timeout_ms=300.0) as (caller, redis_):
            redis_.control("pause", {"ms": 100})
            numbers = [caller.add(1) for _ in range(6)]
            assert [caller.answers[n][0] for n in numbers[3:]] == [CallResult.OVERLOADED] * 3
            await caller.wait_for_answers()

    run(test())


def total_of(server_: RedisServer, key: int) -> float:
    """Return the total that a server holds for a key."""
    return float(server_.keyspace.run(Session(0), 0, [b"HGET", b"mstep:%x" % key, b"t"]) or 0)  # type: ignore[arg-type]


def test_a_gateway_states_all_its_sums_again_to_a_store_that_lost_its_contents() -> None:
    async def test() -> None:
        async with caller_with_server() as (caller, redis_):
            for key in range(50):
                caller.add(key, 10 + key)
            await caller.wait_for_answers()
            redis_.control("empty", {})
            assert (await caller.add_until_ok(1, 2))[1] == caller.added(1)
            await caller.wait_until_settled()
            assert [total_of(redis_, key) for key in range(50)] == [caller.added(key) for key in range(50)]
            assert caller.logged_events == ["store lost contents"]

    run(test())


def test_an_idle_gateway_detects_a_loss_and_states_its_sums_again() -> None:
    async def test() -> None:
        async with caller_with_server() as (caller, redis_):
            caller.add(7, 5)
            await caller.wait_for_answers()
            redis_.control("restart", {})
            while total_of(redis_, 7) != 5:
                await asyncio.sleep(0.005)

    run(test())


def test_a_flushed_script_is_loaded_again_and_no_add_is_lost() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1) as (caller, redis_):
            numbers = []
            for _ in range(5):
                redis_.control("flush_scripts", {})
                numbers += [caller.add(3, 1), caller.add(4, 1)]
                await caller.wait_for_answers()
            assert [caller.answers[n] for n in numbers[::2]] == [(CallResult.OK, float(n)) for n in range(1, 6)]
            assert caller.counter.core.counts["fault NOSCRIPT"] > 0

    run(test())


@pytest.mark.parametrize("code", ["LOADING", "BUSY", "MASTERDOWN", "NOREPLICAS", "CLUSTERDOWN"])
def test_an_add_that_a_failing_store_answers_with_an_error_is_not_counted(code: str) -> None:
    async def test() -> None:
        async with caller_with_server(connections=1, timeout_ms=200.0) as (caller, redis_):
            caller.add(1, 1)
            await caller.wait_for_answers()
            redis_.control("error", {"code": code})
            number = caller.add(1, 10)
            await caller.wait_for_answers()
            assert caller.answers[number][0] is not CallResult.OK
            redis_.control("error", {"code": ""})
            assert (await caller.add_until_ok(1, 1))[1] == caller.added(1)

    run(test())


def test_a_store_out_of_memory_rejects_adds_and_its_totals_are_right_once_it_has_memory() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1) as (caller, redis_):
            caller.add(1, 1)
            await caller.wait_for_answers()
            redis_.control("memory", {"bytes": 1})
            number = caller.add(1, 10)
            await caller.wait_for_answers()
            assert caller.answers[number] == (CallResult.OVERLOADED, 0.0)
            redis_.control("memory", {"bytes": 0})
            assert (await caller.add_until_ok(1, 1))[1] == caller.added(1) < 10

    run(test())


def test_a_single_evicted_key_is_restored_by_its_next_call() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1) as (caller, redis_):
            for key in range(20):
                caller.add(key, 5)
                await caller.wait_for_answers()
            redis_.control("memory", {"bytes": 1500, "evicts": True})
            caller.add(99, 1)
            await caller.wait_for_answers()
            assert redis_.keyspace.evicted > 0 and total_of(redis_, 0) == 0
            redis_.control("memory", {"bytes": 0})
            assert (await caller.add_until_ok(0, 1))[1] == caller.added(0)

    run(test())


def test_the_circuit_opens_for_a_store_that_hangs_on_writes() -> None:
    async def test() -> None:
        async with caller_with_server(connections=2, timeout_ms=60.0) as (caller, redis_):
            caller.add(1, 1)
            await caller.wait_for_answers()
            redis_.control("hang_writes", {"on": True})
            while not caller.counter.core.counts["breaks"]:
                caller.add(1, 1)
                await caller.wait_for_answers()
            rejected = caller.add(1, 1)
            # Answered at once: calls do not wait for this node any more.
            assert caller.answers[rejected][0] is CallResult.CONNECT_FAILED
            redis_.control("hang_writes", {"on": False})
            assert (await caller.add_until_ok(1, 1))[1] == caller.added(1) > 2

    run(test())


def test_adds_with_partial_replies_count_once() -> None:
    async def test() -> None:
        async with caller_with_server(connections=2, timeout_ms=100.0) as (caller, redis_):
            redis_.control("partial", {"share": 0.3})
            for _ in range(200):
                caller.add(5, 1)
                await caller.wait_for_answers()
                await asyncio.sleep(0.001)
            redis_.control("partial", {"share": 0.0})
            await caller.add_until_ok(5, 0.5)
            await caller.wait_until_settled()
            assert total_of(redis_, 5) == caller.added(5)
            assert caller.counter.core.counts["sent again"] > 0

    run(test())


def test_a_user_without_scripts_falls_back_to_plain_adds_and_a_wrong_password_adds_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        file = tmp_path / "password"
        file.write_text("secret\n")
        async with server() as (redis_, port):
            redis_.keyspace.users["door"] = User(
                "secret", frozenset({b"AUTH", b"HELLO", b"CLIENT", b"MULTI", b"EXEC", b"HINCRBYFLOAT", b"PEXPIRE"})
            )
            caller = Caller(port, connections=1, user="door", password_file=str(file))
            caller.counter.start()
            first, second = caller.add(1, 2), caller.add(1, 1)
            await caller.wait_for_answers()
            assert caller.answers[first] == (CallResult.OK, 2.0) and caller.answers[second] == (CallResult.OK, 3.0)
            assert caller.logged_events == ["store without scripts"]
            await caller.counter.stop()
            file.write_text("wrong\n")
            other = Caller(port, connections=1, user="door", password_file=str(file))
            other.counter.start()
            number = other.add(1, 2)
            await other.wait_for_answers()
            assert other.answers[number][0] is CallResult.CONNECT_FAILED
            await other.counter.stop()
            redis_.keyspace.users.clear()
            assert total_of(redis_, 1) == 3.0

    run(test())


# Several servers ----------------------------------------------------------------------------------------


@asynccontextmanager
async def callers_with_fleet(
    kind: str, gateways: int = 1, lag_ms: float = 40.0, **changes: Any
) -> AsyncIterator[tuple[Fleet, list[Caller]]]:
    fleet = Fleet(Trace(None), kind, lag_ms=lag_ms)
    await fleet.start()
    topology = {ALONE: pb.Store.ALONE, SENTINEL: pb.Store.SENTINEL, CLUSTER: pb.Store.CLUSTER}[kind]
    nodes = [pb.Store.Node(port=port) for port in fleet.ports]
    callers = [
        Caller(
            0, topology=topology, node=nodes, primary_name="counts", connections=2, **{"timeout_ms": 250.0, **changes}
        )
        for _ in range(gateways)
    ]
    for caller in callers:
        caller.counter.start()
    try:
        yield fleet, callers
    finally:
        for caller in callers:
            await caller.counter.stop()
        await fleet.stop()


async def wait_for_total(fleet: Fleet, key: int, expected: float) -> None:
    """Wait until the totals that the primaries hold for a key have the expected sum."""
    while sum(total_of(pair.primary, key) for pair in fleet.pairs) != expected:
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("kind", [SENTINEL, CLUSTER])
def test_a_promoted_replica_that_lacks_the_last_writes_receives_the_sums_again(kind: str) -> None:
    async def test() -> None:
        async with callers_with_fleet(kind, gateways=3, lag_ms=60_000.0) as (fleet, callers):
            for key in range(30):
                for caller in callers:
                    await caller.add_until_ok(key, 1 + key)
            for number in range(len(fleet.pairs)):
                fleet.failover(number)
            for key in range(30):
                await wait_for_total(fleet, key, sum(caller.added(key) for caller in callers))
            assert all(caller.added(29) >= 30 for caller in callers)

    run(test())


def test_after_a_time_with_two_primaries_the_remaining_one_has_all_sums() -> None:
    async def test() -> None:
        async with callers_with_fleet(SENTINEL, gateways=2) as (fleet, [one, two]):
            await one.add_until_ok(1, 1)
            await two.add_until_ok(1, 1)
            old = fleet.pairs[0].primary
            fleet.failover(0, split_ms=300.0)
            assert old is not fleet.pairs[0].primary
            for _ in range(20):
                for caller in (one, two):
                    caller.add(1, 1)
                    await caller.wait_for_answers()
                await asyncio.sleep(0.02)
            for caller in (one, two):
                await caller.add_until_ok(1, 0.5)
            await one.wait_until_settled()
            await two.wait_until_settled()
            await wait_for_total(fleet, 1, one.added(1) + two.added(1))

    run(test())


@pytest.mark.parametrize("for_ms", [0.0, 200.0])
def test_redirections_of_moving_slots_are_followed_and_no_add_counts_twice(for_ms: float) -> None:
    async def test() -> None:
        async with callers_with_fleet(CLUSTER) as (fleet, [caller]):
            for key in range(60):
                caller.add(key, 1)
            await caller.wait_for_answers()
            assert all(answer == (CallResult.OK, 1.0) for answer in caller.answers.values())
            fleet.move(8000, to=2, for_ms=for_ms)
            numbers = [caller.add(key, 1) for key in range(60)]
            await caller.wait_for_answers()
            assert all(caller.answers[number] == (CallResult.OK, 2.0) for number in numbers)
            for key in range(60):
                await wait_for_total(fleet, key, 2.0)
            counts = caller.counter.core.counts
            assert counts["asked elsewhere" if for_ms else "fault MOVED"] > 0 and not counts["losses"]

    run(test())


def test_unreachable_sentinels_are_skipped() -> None:
    async def test() -> None:
        async with callers_with_fleet(SENTINEL) as (fleet, [caller]):
            for sentinel in fleet.sentinels[:2]:
                sentinel.control("down", {"on": True})
            await caller.add_until_ok(1, 1)
            fleet.failover(0)
            assert (await caller.add_until_ok(1, 1))[1] == caller.added(1)

    run(test())


def test_after_failovers_in_the_middle_of_pipelines_each_add_counts_once() -> None:
    async def test() -> None:
        async with callers_with_fleet(SENTINEL, gateways=2, lag_ms=60_000.0) as (fleet, callers):
            for turn in range(6):
                for caller in callers:
                    for key in range(80):
                        caller.add(key, 1)
                await asyncio.sleep(0.002 * turn)
                fleet.failover(0)
                for caller in callers:
                    await caller.wait_for_answers()
            for caller in callers:
                for key in range(80):
                    await caller.add_until_ok(key, 1)
            for key in range(80):
                await wait_for_total(fleet, key, sum(caller.added(key) for caller in callers))

    run(test())


def test_380_gateways_that_lose_their_connections_at_once_connect_again() -> None:
    async def test() -> None:
        async with server() as (redis_, port):
            callers = [Caller(port, connections=1, timeout_ms=8000.0) for _ in range(380)]
            for caller in callers:
                caller.counter.start()
                caller.add(1)
            for caller in callers:
                await caller.wait_for_answers()
            assert total_of(redis_, 1) == 380.0
            first = len(redis_.accepted)
            redis_.control("drop", {})
            for caller in callers:
                caller.add(1)
            for caller in callers:
                await caller.wait_for_answers()
            assert total_of(redis_, 1) == sum(caller.added(1) for caller in callers) == 760.0
            assert first == 380 and len(redis_.accepted) - first >= 380
            await asyncio.gather(*(caller.counter.stop() for caller in callers))

    run(test())


def test_a_key_that_lost_its_expiry_gets_one_with_its_next_add() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1) as (caller, redis_):
            await caller.add_until_ok(1, 1)
            redis_.control("lose_expiry", {})
            ttl = [b"PTTL", b"mstep:1"]
            assert redis_.keyspace.run(Session(0), 0, ttl) == -1
            await caller.add_until_ok(1, 1)
            left = redis_.keyspace.run(Session(0), now_ms(), ttl)
            assert isinstance(left, int) and 0 < left <= 60_000

    run(test())


def test_keys_that_expire_too_early_by_the_clock_of_the_store_are_stated_again() -> None:
    async def test() -> None:
        async with caller_with_server(connections=1) as (caller, redis_):
            for key in range(5):
                await caller.add_until_ok(key, 3)
            redis_.control("skew", {"ms": 1e9})
            for key in range(5):
                assert (await caller.add_until_ok(key, 1))[1] == caller.added(key) >= 4

    run(test())


def test_with_slow_keys_each_add_counts_once() -> None:
    async def test() -> None:
        async with caller_with_server(connections=2, timeout_ms=400.0) as (caller, redis_):
            redis_.control("slow_names", {"share": 0.2, "ms": 150})
            numbers = [caller.add(key) for key in range(40)]
            await caller.wait_for_answers()
            redis_.control("slow_names", {"share": 0.0})
            for key in range(40):
                await caller.add_until_ok(key, 1)
            assert len(numbers) == 40
            assert [total_of(redis_, key) for key in range(40)] == [caller.added(key) for key in range(40)]

    run(test())


def test_tls_connects_only_to_the_host_of_the_certificate(tmp_path: Path) -> None:
    issuer = CertificateAuthority(tmp_path)
    certificate, key = issuer.issue("redis", "localhost")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)

    async def test() -> None:
        redis_ = RedisServer(Trace(None))
        redis_.tls = context
        port = await redis_.start()
        for host, accepted in (("localhost", True), ("127.0.0.1", False)):
            caller = Caller(port, connections=1, host=host, timeout_ms=1000.0, tls=pb.ClientTls(ca=issuer.file))
            caller.counter.start()
            number = caller.add(1)
            await caller.wait_for_answers()
            assert (caller.answers[number][0] is CallResult.OK) is accepted
            await caller.counter.stop()
        await redis_.stop()

    run(test())
