"""A follower, its promotion, and what each mode may lose."""

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
from tests.test_counter_service import Desk, Wire, served


async def adds(wire: Wire, first: int, count: int) -> list[fr.Frame]:
    wire.send(*(fr.Add(n, 1, 1.0, 1e9) for n in range(first, first + count)))
    return [await wire.next() for _ in range(count)]


async def caught_up(follower: Follower, records: int) -> None:
    while follower.record_count < records:
        await asyncio.sleep(0.002)


def test_a_follower_holds_what_the_leader_holds_from_old_segments_and_live(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a", "recent_bytes: 2000") as (service, port):
            wire = await Wire.to(port, fr.Hello("door", 1))
            for first in range(1, 2000, 100):
                await adds(wire, first, 100)  # most of it is no longer in memory
            follower = Follower(tmp_path / "b", segment_bytes=30_000)
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            await caught_up(follower, service.pipeline.durable_count)
            for first in range(2001, 2500, 100):
                await adds(wire, first, 100)
            await caught_up(follower, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            again = Follower(tmp_path / "b")  # goes on where it was
            task = asyncio.create_task(again.run("127.0.0.1", port))
            await adds(wire, 2501, 10)
            await caught_up(again, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            again.close()
        assert (
            rebuild_from_log(tmp_path / "b", CounterLimits()).total(1)
            == rebuild_from_log(tmp_path / "a", CounterLimits()).total(1)
            == 2510.0
        )
        assert verify(tmp_path / "b").segments > 3

    run(test())


def test_a_segment_that_cannot_be_read_for_once_costs_a_follower_its_connection_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A segment that was compacted away between its listing and its reading hung the follower for good."""
    failed: list[bool] = []

    async def test() -> None:
        async with served(tmp_path / "a", "recent_bytes: 2000") as (service, port):
            wire = await Wire.to(port, fr.Hello("door", 1))
            for first in range(1, 500, 100):
                await adds(wire, first, 100)
            read = read_records

            def once(*words: Any) -> Any:
                if not failed:
                    failed.append(True)
                    raise FileNotFoundError("gone")
                return read(*words)

            monkeypatch.setattr(log_shipping, "read_records", once)
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            await caught_up(follower, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()

    run(test())
    assert failed


def test_a_follower_that_reads_slowly_is_waited_for(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a", "recent_bytes: 100 unsent_bytes: 4096") as (service, port):
            door = await Wire.to(port, fr.Hello("door", 1))
            for first in range(1, 4001, 100):  # more than the sockets hold
                door.send(
                    *(
                        fr.RecordAttempt(n, time.time() * 1000, 1.0, False, f"{n:01000}", "ada", "plan", "read")
                        for n in range(first, first + 100)
                    )
                )
                assert [await door.next() for _ in range(100)] == [
                    fr.RecordReply(n, fr.Status.DONE) for n in range(first, first + 100)
                ]
            slow = await Wire.to(port)
            slow.send(fr.FollowRequest(0, 0, 0))
            await asyncio.sleep(0.3)  # it reads nothing meanwhile: what is sent stands in the sockets
            held = 0
            while held < service.pipeline.durable_count:
                frame = await slow.next()
                assert isinstance(frame, fr.LogRecords) and frame.first_index == held
                held += len(decode_records(frame.data, held))
            assert held > 4000

    run(test())


def test_a_follower_is_not_waited_for_by_a_log_that_is_not_durable(tmp_path: Path) -> None:
    text = f'name: "c" wait_for_follower: true log {{ directory: "{tmp_path}" durable: false }}'
    with pytest.raises(SettingsError) as caught:
        parse_service(text, "c")
    assert [fault.describe("c") for fault in caught.value.problems] == [
        "c:1:11: wait_for_follower: expected only with a durable log, but log.durable is false"
    ]


def test_a_leader_that_does_not_sync_ships_each_record_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a") as (service, port):
            service.pipeline._options = LogOptions(durable=False)
            service.pipeline._writer._segment_bytes = 4096
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.follow("127.0.0.1", port))
            wire = await Wire.to(port, fr.Hello("door", 1))
            for first in range(1, 200, 10):  # a segment's end syncs what was written before it
                await adds(wire, first, 10)
            await caught_up(follower, service.pipeline.durable_count)
            assert service.pipeline.durable_count > 50 and not task.done()  # nothing was sent that did not follow
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()

    run(test())


def test_in_step_nothing_is_answered_that_a_follower_does_not_hold(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a", "wait_for_follower: true") as (_, port):
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            wire = await Wire.to(port, fr.Hello("door", 1))  # itself an entry that waits for the follower
            assert (await adds(wire, 1, 20))[-1] == fr.TotalReply(20, fr.Status.DONE, 20.0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            wire.send(fr.Add(21, 1, 1.0, 1e9))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(wire.next(), 0.2)  # no follower: no answer
            # The leader's machine is lost here: the copy holds all that was answered.
            assert rebuild_from_log(tmp_path / "b", CounterLimits()).total(1) == 20.0

    run(test())


def test_out_of_step_what_the_follower_lacks_is_lost_with_the_leader(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a") as (service, port):
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", port))
            wire = await Wire.to(port, fr.Hello("door", 1))
            await adds(wire, 1, 20)
            await caught_up(follower, service.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            assert (await adds(wire, 21, 5))[-1] == fr.TotalReply(25, fr.Status.DONE, 25.0)  # answered, and only here
        assert (
            rebuild_from_log(tmp_path / "b", CounterLimits()).total(1) == 20.0
        )  # as stated: 5 acknowledged adds are lost

    run(test())


def test_a_promoted_follower_fences_a_leader_that_still_lives(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a") as (old, old_port):
            follower = Follower(tmp_path / "b")
            task = asyncio.create_task(follower.run("127.0.0.1", old_port))
            desk = Desk(old_port, tmp_path / "door", timeout_ms=5000.0)
            for _ in range(10):
                desk.add(1)
            await desk.quiet()
            await caught_up(follower, old.pipeline.durable_count)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            follower.close()
            await desk.client.stop()
            assert promote(tmp_path / "b") == 1
            async with served(tmp_path / "b") as (new, new_port):
                moved = Desk(new_port, tmp_path / "door", timeout_ms=5000.0)  # the door is pointed at the new one
                call = moved.add(1)
                await moved.quiet()
                assert moved.answers[call] == (CallResult.OK, 11.0) and new.pipeline.state.term == 1
                await moved.client.stop()
            # A stray door speaks to the old leader, and brings the term along.
            stray = Desk(old_port, tmp_path / "door", timeout_ms=200.0)
            call = stray.add(1)
            while call not in stray.answers:
                await asyncio.sleep(0.005)
            assert stray.answers[call][0] is not CallResult.OK
            await stray.client.stop()
            wire = await Wire.to(old_port)
            wire.send(fr.Hello("another", 1))  # one that knows nothing of the new term is refused as well
            refused = await wire.next()
            assert isinstance(refused, fr.Rejection) and "fenced: term 1 has begun elsewhere" in refused.reason
            assert old.pipeline.state.total(1) == 10.0

    run(test())


def test_a_log_that_has_parted_is_not_followed_over(tmp_path: Path) -> None:
    async def test() -> None:
        async with served(tmp_path / "a") as (_, port):
            await adds(await Wire.to(port, fr.Hello("door", 1)), 1, 10)
        async with served(tmp_path / "b") as (_, port):
            await adds(await Wire.to(port, fr.Hello("other", 2)), 1, 20)
            parted = Follower(tmp_path / "a")
            with pytest.raises(LeaderRejectedError, match="the logs part before record"):
                await parted.run("127.0.0.1", port)
            parted.close()
        async with served(tmp_path / "c") as (_, port):
            longer = Follower(tmp_path / "a")
            with pytest.raises(LeaderRejectedError, match="they have parted"):
                await longer.run("127.0.0.1", port)
            longer.close()

    run(test())


def test_a_follower_behind_what_is_kept_is_told_to_copy(tmp_path: Path) -> None:
    async def test() -> None:
        more = "recent_bytes: 100"
        async with served(tmp_path / "a", more) as (service, port):
            await adds(await Wire.to(port, fr.Hello("door", 1)), 1, 50)
            from martenstep.storage.log import segments

            [first] = segments(service.pipeline.files)
            service.pipeline._writer._begin_segment()
            service.pipeline.files.remove(first.name)
            follower = Follower(tmp_path / "b")
            with pytest.raises(LeaderRejectedError, match="copy the directory first"):
                await follower.run("127.0.0.1", port)
            follower.close()

    run(test())
