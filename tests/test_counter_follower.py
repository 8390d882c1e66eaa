"""Followers: replication of the log, promotion, and what may be lost with and without `wait_for_follower`."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from martenstep.config.text_format import SettingsError
from martenstep.counter import log_shipping
from martenstep.counter import protocol as fr
from martenstep.counter.commit_pipeline import LogOptions
from martenstep.counter.follower import Follower, LeaderRejectedError, promote
from martenstep.counter.log_inspection import rebuild_from_log, verify
from martenstep.counter.settings import parse_service
from martenstep.counter.state import CounterLimits
from martenstep.policy.messages import CallResult
from martenstep.storage.log import decode_records, read_records
from tests.socket_rig import run
from tests.test_counter_service import GatewayClient, ProtocolConnection, running_service


async def add_units(connection: ProtocolConnection, first: int, count: int) -> list[fr.Frame]:
    connection.send(*(fr.Add(n, 1, 1.0, 1e9) for n in range(first, first + count)))
    return [await connection.next() for _ in range(count)]


async def wait_until_caught_up(follower: Follower, records: int) -> None:
    while follower.record_count < records:
        await asyncio.sleep(0.002)


def test_a_follower_replicates_old_segments_and_new_records(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a", "recent_bytes: 2000") as (service, port):
            connection = await ProtocolConnection.connect(port, fr.Hello("door", 1))
            for first in range(1, 2000, 100):
                await add_units(connection, first, 100)  # most of these records are no longer in memory
            follower = Follower(tmp_path / "b", segment_bytes=30_000)
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            await wait_until_caught_up(follower, service.pipeline.durable_count)
            for first in range(2001, 2500, 100):
                await add_units(connection, first, 100)
            await wait_until_caught_up(follower, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            reopened = Follower(tmp_path / "b")  # continues after its last record
            task = asyncio.create_task(reopened.run("127.0.0.1", port))
            await add_units(connection, 2501, 10)
            await wait_until_caught_up(reopened, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            reopened.close()
        assert (
            rebuild_from_log(tmp_path / "b", CounterLimits()).total(1)
            == rebuild_from_log(tmp_path / "a", CounterLimits()).total(1)
            == 2510.0
        )
        assert verify(tmp_path / "b").segments > 3

    run(test())


def test_a_follower_reconnects_after_a_segment_could_not_be_read_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a follower that hangs forever.

    It hung after a segment was compacted away between its listing and its reading.
    """
    failed: list[bool] = []

    async def test() -> None:
        async with running_service(tmp_path / "a", "recent_bytes: 2000") as (service, port):
            connection = await ProtocolConnection.connect(port, fr.Hello("door", 1))
            for first in range(1, 500, 100):
                await add_units(connection, first, 100)

            def fail_once(*arguments: Any) -> Any:
                if not failed:
                    failed.append(True)
                    raise FileNotFoundError("gone")
                return read_records(*arguments)

            monkeypatch.setattr(log_shipping, "read_records", fail_once)
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            await wait_until_caught_up(follower, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()

    run(test())
    assert failed


def test_a_slow_follower_stays_connected_and_gets_all_records(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a", "recent_bytes: 100 unsent_bytes: 4096") as (service, port):
            gateway = await ProtocolConnection.connect(port, fr.Hello("door", 1))
            for first in range(1, 4001, 100):  # more than the sockets hold
                gateway.send(
                    *(
                        fr.RecordAttempt(n, time.time() * 1000, 1.0, False, f"{n:01000}", "ada", "plan", "read")
                        for n in range(first, first + 100)
                    )
                )
                assert [await gateway.next() for _ in range(100)] == [
                    fr.RecordReply(n, fr.Status.DONE) for n in range(first, first + 100)
                ]
            slow = await ProtocolConnection.connect(port)
            slow.send(fr.FollowRequest(0, 0, 0))
            await asyncio.sleep(0.3)  # it reads nothing, so the sockets fill up
            received = 0
            while received < service.pipeline.durable_count:
                frame = await slow.next()
                assert isinstance(frame, fr.LogRecords) and frame.first_index == received
                received += len(decode_records(frame.data, received))
            assert received > 4000

    run(test())


def test_wait_for_follower_is_rejected_without_a_durable_log(tmp_path: Path) -> None:
    text = f'name: "c" wait_for_follower: true log {{ directory: "{tmp_path}" durable: false }}'
    with pytest.raises(SettingsError) as caught:
        parse_service(text, "c")
    assert [problem.describe("c") for problem in caught.value.problems] == [
        "c:1:11: wait_for_follower: expected only with a durable log, but log.durable is false"
    ]


def test_a_leader_that_does_not_sync_ships_each_record_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a") as (service, port):
            service.pipeline._options = LogOptions(durable=False)
            service.pipeline._writer._segment_bytes = 4096
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.follow("127.0.0.1", port))
            connection = await ProtocolConnection.connect(port, fr.Hello("door", 1))
            for first in range(1, 200, 10):  # the end of a segment syncs the records before it
                await add_units(connection, first, 10)
            await wait_until_caught_up(follower, service.pipeline.durable_count)
            assert service.pipeline.durable_count > 50 and not task.done()  # the follower got no gap or repetition
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()

    run(test())


def test_with_wait_for_follower_no_command_is_answered_before_a_follower_holds_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a", "wait_for_follower: true") as (_, port):
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            # The entry of the session waits for the follower too.
            connection = await ProtocolConnection.connect(port, fr.Hello("door", 1))
            assert (await add_units(connection, 1, 20))[-1] == fr.TotalReply(20, fr.Status.DONE, 20.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            connection.send(fr.Add(21, 1, 1.0, 1e9))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(connection.next(), 0.2)  # without a follower there is no reply
            # If the leader's machine is lost now, the follower holds every answered command.
            assert rebuild_from_log(tmp_path / "b", CounterLimits()).total(1) == 20.0

    run(test())


def test_without_wait_for_follower_records_that_the_follower_lacks_are_lost_with_the_leader(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a") as (service, port):
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            connection = await ProtocolConnection.connect(port, fr.Hello("door", 1))
            await add_units(connection, 1, 20)
            await wait_until_caught_up(follower, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            # These adds are answered, but only the leader holds them.
            assert (await add_units(connection, 21, 5))[-1] == fr.TotalReply(25, fr.Status.DONE, 25.0)
        # Without `wait_for_follower` the loss of the 5 acknowledged adds is allowed.
        assert rebuild_from_log(tmp_path / "b", CounterLimits()).total(1) == 20.0

    run(test())


def test_a_promoted_follower_fences_the_old_leader_that_still_runs(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a") as (old, old_port):
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", old_port))
            gateway = GatewayClient(old_port, tmp_path / "door", timeout_ms=5000.0)
            for _ in range(10):
                gateway.add(1)
            await gateway.wait_until_answered()
            await wait_until_caught_up(follower, old.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            await gateway.client.stop()
            assert promote(tmp_path / "b") == 1
            async with running_service(tmp_path / "b") as (new, new_port):
                # The same gateway now uses the new leader.
                redirected = GatewayClient(new_port, tmp_path / "door", timeout_ms=5000.0)
                call = redirected.add(1)
                await redirected.wait_until_answered()
                assert redirected.results[call] == (CallResult.OK, 11.0) and new.pipeline.state.term == 1
                await redirected.client.stop()
            # A gateway that still uses the old leader reports the new term to it.
            outdated = GatewayClient(old_port, tmp_path / "door", timeout_ms=200.0)
            call = outdated.add(1)
            while call not in outdated.results:
                await asyncio.sleep(0.005)
            assert outdated.results[call][0] is not CallResult.OK
            await outdated.client.stop()
            connection = await ProtocolConnection.connect(old_port)
            connection.send(fr.Hello("another", 1))  # a gateway that does not know the new term is rejected too
            rejection = await connection.next()
            assert isinstance(rejection, fr.Rejection) and "fenced: term 1 has begun elsewhere" in rejection.reason
            assert old.pipeline.state.total(1) == 10.0

    run(test())


def test_a_follower_with_a_diverged_log_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_service(tmp_path / "a") as (_, port):
            await add_units(await ProtocolConnection.connect(port, fr.Hello("door", 1)), 1, 10)
        async with running_service(tmp_path / "b") as (_, port):
            await add_units(await ProtocolConnection.connect(port, fr.Hello("other", 2)), 1, 20)
            diverged = Follower(tmp_path / "a")
            with pytest.raises(LeaderRejectedError, match="the logs part before record"):
                await diverged.run("127.0.0.1", port)
            diverged.close()
        async with running_service(tmp_path / "c") as (_, port):
            longer = Follower(tmp_path / "a")
            with pytest.raises(LeaderRejectedError, match="they have parted"):
                await longer.run("127.0.0.1", port)
            longer.close()

    run(test())


def test_a_follower_that_needs_a_removed_segment_is_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        more = "recent_bytes: 100"
        async with running_service(tmp_path / "a", more) as (service, port):
            await add_units(await ProtocolConnection.connect(port, fr.Hello("door", 1)), 1, 50)
            from martenstep.storage.log import segments

            [first] = segments(service.pipeline.files)
            service.pipeline._writer._begin_segment()
            service.pipeline.files.remove(first.name)
            follower = Follower(tmp_path / "b")
            with pytest.raises(LeaderRejectedError, match="copy the directory first"):
                await follower.run("127.0.0.1", port)
            follower.close()

    run(test())
