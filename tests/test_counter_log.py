"""The counter's state and log under crashes at every step, repeated commands, flipped bytes, and full bounds."""

from __future__ import annotations

import contextlib
import random
from collections import Counter
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from martenstep.counter.commit_pipeline import CommitPipeline, LogOptions, Session, rebuild_state
from martenstep.counter.protocol import Add, Read, RecordAttempt, RecordReply, Reply, Status, TotalReply
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.storage.log import HEADER, LogError, open_log, segments, snapshots
from tests.faulty_files import Crash, FaultFiles

LIMITS = CounterLimits(deduplication_window=64, attempt_window_ms=60_000.0)
HOUR_MS = 3_600_000.0
START = 1_000_000.0


class RetryingGateways:
    """Two gateways that send each command until it is answered, to a service that crashes at chosen steps."""

    def __init__(self, files: FaultFiles, snapshot_records: int = 0, segment_bytes: int = 1500) -> None:
        self.files, self._snapshot_records, self._segment_bytes = files, snapshot_records, segment_bytes
        self.now = START
        self.pipeline: CommitPipeline[Any] | None = None
        self.epochs = {"door-0": 1, "door-1": 1}
        self.last_sequence = {"door-0": 0, "door-1": 0}
        self.unanswered: dict[tuple[str, int], Add | RecordAttempt] = {}
        self.replies: dict[tuple[str, int], Reply] = {}
        self.submitted: list[Add | RecordAttempt] = []
        self.crashes = 0

    def open(self) -> CommitPipeline[Any]:
        if self.pipeline is None:
            self.pipeline = CommitPipeline(
                self.files, LIMITS, LogOptions(self._segment_bytes, True, self._snapshot_records)
            )
            self.pipeline.state.advance_clock(self.now)
        return self.pipeline

    def send(self, gateway: str, command_type: type[Add] | type[RecordAttempt], *fields: object) -> None:
        self.last_sequence[gateway] += 1
        command = command_type(self.last_sequence[gateway], *fields)  # type: ignore[arg-type]
        self.unanswered[gateway, command.sequence] = command
        self.submitted.append(command)

    def send_unanswered(self) -> None:
        """Send all unanswered commands in one group; a crash may interrupt it at any step."""
        try:
            pipeline = self.open()
            pipeline.state.advance_clock(self.now)
            sessions = {}
            for (gateway, _), command in self.unanswered.items():
                if gateway not in sessions:
                    session = pipeline.open_session(gateway, self.epochs[gateway])
                    assert session is not None
                    sessions[gateway] = session
                pipeline.submit((gateway, command.sequence), sessions[gateway], command)
            for receiver, reply in pipeline.commit_pending():
                assert not isinstance(reply, TotalReply | RecordReply) or reply.status in (
                    Status.DONE,
                    Status.REPEATED,
                    Status.KNOWN,
                ), reply
                assert receiver not in self.replies
                self.replies[receiver] = reply
                del self.unanswered[receiver]
            if pipeline.snapshot_due():
                pipeline.store_snapshot(*pipeline.encode_snapshot())
        except Crash:
            self.crashes += 1
            self.pipeline = None
            self.files.crash()

    def send_until_answered(self) -> None:
        self.files.crash_at = -1
        while self.unanswered:
            self.send_unanswered()

    def check(self) -> None:
        """Check that each command was counted exactly once, live and on rebuild."""
        self.send_until_answered()
        self.files.crash()
        for state in (self.open().state, rebuild_state(open_log(self.files), LIMITS)):
            wanted: Counter[int] = Counter()
            for command in self.submitted:
                if isinstance(command, Add):
                    wanted[command.key] += int(command.units)
            assert {key: state.total(key) for key in wanted} == dict(wanted)
            request_ids = {command.request_id for command in self.submitted if isinstance(command, RecordAttempt)}
            assert sum(totals.attempts for totals in state.usage().values()) == len(request_ids)


@given(st.integers(0, 2**32), st.data())
@hypothesis_settings(max_examples=2000, deadline=None, derandomize=True)
def test_each_command_counts_once_across_crashes_at_any_step(seed: int, data: st.DataObject) -> None:
    gateways = RetryingGateways(FaultFiles(seed), snapshot_records=data.draw(st.sampled_from((0, 7, 40))))
    rng = random.Random(seed)
    for _ in range(data.draw(st.integers(1, 14))):
        for _ in range(rng.randint(1, 6)):
            gateway = rng.choice(("door-0", "door-1"))
            if rng.random() < 0.6:
                gateways.send(gateway, Add, rng.randint(1, 4), float(rng.randint(1, 9)), 1e9)
            else:
                gateways.send(
                    gateway, RecordAttempt, gateways.now, 1.0, False, f"r{rng.randint(0, 20)}", "anna", "plain", "read"
                )
        gateways.files.crash_at = gateways.files.steps + rng.randint(1, 6) if rng.random() < 0.7 else -1
        gateways.now += rng.choice((1.0, 500.0))
        gateways.send_unanswered()
    gateways.check()


def test_the_crash_schedules_interrupt_every_kind_of_step() -> None:
    """Guards the property above against passing without crashes.

    Over the seeds, crashes happen during writes, syncs, creations, renames and removals.
    """
    crashes = 0
    for seed in range(150):
        gateways, rng = RetryingGateways(FaultFiles(seed), snapshot_records=9, segment_bytes=700), random.Random(seed)
        for _ in range(12):
            gateways.send("door-0", Add, 1, float(rng.randint(1, 9)), 1e9)
            gateways.files.crash_at = gateways.files.steps + rng.randint(1, 9)
            gateways.send_unanswered()
        gateways.check()
        crashes += gateways.crashes
    assert crashes > 300


def log_of_adds(count: int = 30, segment_bytes: int = 1 << 20) -> FaultFiles:
    """Return a log of adds, each in its own group, as a kill of the process leaves it."""
    gateways = RetryingGateways(FaultFiles(1), segment_bytes=segment_bytes)
    for _ in range(count):
        gateways.send("door-0", Add, 1, 1.0, 1e9)
        gateways.send_unanswered()
    gateways.files.kill()
    return gateways.files


def test_a_flipped_byte_is_rejected_or_removes_only_unacknowledged_records() -> None:
    files = log_of_adds(8)
    [segment] = segments(files)
    size = len(files.read(segment.name))
    refused = 0
    for at in range(size):
        files.flip(segment.name, at)
        try:
            opened = open_log(files)
        except LogError as error:
            refused += 1
            assert error.file == segment.name and error.offset <= at
        else:
            assert rebuild_state(opened, LIMITS).total(1) == 8.0, "an acknowledged add was lost without an error"
        files.flip(segment.name, at)
    assert refused > size * 0.9  # all but the last seal


def test_a_flipped_byte_in_an_earlier_segment_is_rejected_with_file_and_offset() -> None:
    files = log_of_adds(40, segment_bytes=600)
    first = segments(files)[0].name
    files.flip(first, 200)
    with pytest.raises(LogError, match=rf"{first} at byte \d+: record \d+ is damaged"):
        open_log(files)


def test_a_missing_segment_is_reported() -> None:
    files = log_of_adds(40, segment_bytes=600)
    names = [segment.name for segment in segments(files)]
    files.remove(names[1])
    with pytest.raises(LogError, match="the next segment begins at"):
        open_log(files)


def test_a_tail_truncated_at_any_byte_ends_at_the_last_complete_record() -> None:
    size = len(log_of_adds(5).read("seg-0000000000000000.log"))
    for end in range(HEADER.size, size + 1):
        files = log_of_adds(5)
        files.truncate("seg-0000000000000000.log", end)
        opened = open_log(files)
        total = rebuild_state(opened, LIMITS).total(1)
        assert total in range(6)
        assert CommitPipeline(files, LIMITS).record_count <= opened.count
        assert rebuild_state(open_log(files), LIMITS).total(1) == total  # the first opening removed the torn tail


def test_a_log_continues_in_a_new_segment_after_each_group() -> None:
    gateways = RetryingGateways(FaultFiles(1), segment_bytes=1)  # every group ends its segment
    for _ in range(5):
        gateways.send("door-0", Add, 1, 2.0, 1e9)
        gateways.send_unanswered()
    assert len(segments(gateways.files)) >= 5
    gateways.check()


def test_old_segments_are_removed_and_a_damaged_snapshot_falls_back_to_the_older_one() -> None:
    gateways = RetryingGateways(FaultFiles(1), snapshot_records=20, segment_bytes=500)
    for _ in range(100):
        gateways.send("door-0", Add, 1, 1.0, 1e9)
        gateways.send_unanswered()
    files = gateways.files
    assert len(snapshots(files)) == 2 and segments(files)[0].first > 0
    files.kill()
    newest = snapshots(files)[0][0]
    assert rebuild_state(open_log(files), LIMITS).total(1) == 100.0
    files.flip(newest, 40)
    assert rebuild_state(open_log(files), LIMITS).total(1) == 100.0
    files.flip(snapshots(files)[1][0], 40)
    with pytest.raises(LogError, match="are missing"):
        open_log(files)


def open_pipeline(files: FaultFiles | None = None, limits: CounterLimits = LIMITS) -> CommitPipeline[Any]:
    pipeline: CommitPipeline[Any] = CommitPipeline(files or FaultFiles(1), limits)
    pipeline.state.advance_clock(START)
    return pipeline


def open_session(pipeline: CommitPipeline[Any], gateway: str = "door-0", epoch: int = 1) -> Session:
    session = pipeline.open_session(gateway, epoch)
    assert session is not None
    return session


def execute(pipeline: CommitPipeline[Any], session: Session, command: Add | Read | RecordAttempt) -> Reply:
    pipeline.submit("me", session, command)
    [(_, reply)] = pipeline.commit_pending()
    return reply


def test_a_repeated_command_gets_the_first_result_and_a_reused_sequence_is_rejected() -> None:
    pipeline = open_pipeline()
    session = open_session(pipeline)
    assert execute(pipeline, session, Add(1, 7, 2.0, HOUR_MS)) == TotalReply(1, Status.DONE, 2.0)
    assert execute(pipeline, session, Add(2, 7, 3.0, HOUR_MS)) == TotalReply(2, Status.DONE, 5.0)
    assert execute(pipeline, session, Add(1, 7, 2.0, HOUR_MS)) == TotalReply(1, Status.REPEATED, 2.0)
    # A gateway whose disk was restored from a backup may reuse a sequence.
    assert execute(pipeline, session, Add(1, 7, 9.0, HOUR_MS)) == TotalReply(1, Status.REUSED, 0.0)
    assert execute(pipeline, session, Read(0, 7)) == TotalReply(0, Status.DONE, 5.0)


def test_a_sequence_before_the_window_is_too_old_and_not_counted_again() -> None:
    pipeline = open_pipeline(limits=CounterLimits(deduplication_window=4))
    session = open_session(pipeline)
    for number in range(1, 11):
        execute(pipeline, session, Add(number, 7, 1.0, HOUR_MS))
    assert execute(pipeline, session, Add(3, 7, 1.0, HOUR_MS)) == TotalReply(3, Status.TOO_OLD, 0.0)
    assert execute(pipeline, session, Add(7, 7, 1.0, HOUR_MS)) == TotalReply(7, Status.REPEATED, 7.0)
    assert execute(pipeline, session, Add(100, 7, 1.0, HOUR_MS)).status is Status.DONE  # type: ignore[union-attr]  # a gap
    assert execute(pipeline, session, Add(98, 7, 1.0, HOUR_MS)).status is Status.DONE  # type: ignore[union-attr]  # in it
    assert execute(pipeline, session, Add(96, 7, 1.0, HOUR_MS)).status is Status.TOO_OLD  # type: ignore[union-attr]
    assert execute(pipeline, session, Read(0, 7)) == TotalReply(0, Status.DONE, 12.0)
    assert len(session.gateway.results) <= 4 or len(pipeline.state.gateway("door-0").results) <= 4


def test_an_earlier_epoch_of_a_gateway_is_fenced() -> None:
    pipeline = open_pipeline()
    old = open_session(pipeline, epoch=1)
    execute(pipeline, old, Add(1, 7, 1.0, HOUR_MS))
    new = open_session(pipeline, epoch=2)
    # Each epoch has its own sequences.
    assert execute(pipeline, new, Add(1, 7, 1.0, HOUR_MS)) == TotalReply(1, Status.DONE, 2.0)
    assert execute(pipeline, old, Add(2, 7, 1.0, HOUR_MS)) == TotalReply(2, Status.FENCED, 0.0)
    assert pipeline.open_session("door-0", 1) is None


def test_the_same_attempt_from_two_gateways_is_recorded_once() -> None:
    pipeline = open_pipeline()
    first, second = open_session(pipeline, "door-0"), open_session(pipeline, "door-1")
    attempt_fields = (START, 2.0, True, "r1", "anna", "plain", "read")
    pipeline.submit("first", first, RecordAttempt(1, *attempt_fields))
    pipeline.submit("second", second, RecordAttempt(1, *attempt_fields))  # in the same group
    assert pipeline.commit_pending() == [
        ("first", RecordReply(1, Status.DONE)),
        ("second", RecordReply(1, Status.KNOWN)),
    ]
    # A repeated command gets the same result.
    assert execute(pipeline, second, RecordAttempt(1, *attempt_fields)) == RecordReply(1, Status.KNOWN)
    [totals] = pipeline.state.usage().values()
    assert (totals.attempts, totals.units, totals.over_quota_units) == (1, 2.0, 2.0)


def test_an_attempt_whose_id_was_removed_is_not_recorded_again() -> None:
    pipeline = open_pipeline()
    session = open_session(pipeline)
    assert execute(pipeline, session, RecordAttempt(1, START, 1.0, False, "r1", "a", "p", "c")) == RecordReply(
        1, Status.DONE
    )
    pipeline.state.advance_clock(START + 70_000.0)
    execute(pipeline, session, RecordAttempt(2, START + 70_000.0, 1.0, False, "r2", "a", "p", "c"))
    assert pipeline.state.sizes["tries"] == 1  # the id of r1 was removed
    assert execute(pipeline, session, RecordAttempt(3, START, 1.0, False, "r1", "a", "p", "c")) == RecordReply(
        3, Status.TOO_OLD
    )
    assert execute(pipeline, session, RecordAttempt(4, START + 9e9, 1.0, False, "r3", "a", "p", "c")) == RecordReply(
        4, Status.DONE
    )
    assert execute(pipeline, session, RecordAttempt(4, START + 9e9, 1.0, False, "r3", "a", "p", "c")) == RecordReply(
        4, Status.REPEATED
    )
    last = max(period for _, _, period in pipeline.state.usage())
    assert last == (START + 70_000.0) // LIMITS.period_ms, "a time too far ahead must be replaced by the service's time"


def test_a_command_beyond_a_bound_is_rejected_as_full() -> None:
    pipeline = open_pipeline(limits=CounterLimits(max_keys=2, max_attempts=1))
    session = open_session(pipeline)
    for key, status in ((1, Status.DONE), (2, Status.DONE), (3, Status.FULL), (1, Status.DONE)):
        reply = execute(pipeline, session, Add(pipeline.state.gateway("door-0").highest_sequence + 1, key, 1.0, 1000.0))
        assert isinstance(reply, TotalReply) and reply.status is status
    pipeline.state.advance_clock(START + 2000.0)  # the keys have expired, so new ones fit
    assert execute(pipeline, session, Add(20, 3, 1.0, 1000.0)) == TotalReply(20, Status.DONE, 1.0)
    execute(pipeline, session, RecordAttempt(21, START + 2000.0, 1.0, False, "r1", "a", "p", "c"))
    assert execute(
        pipeline, session, RecordAttempt(22, START + 2000.0, 1.0, False, "r2", "a", "p", "c")
    ) == RecordReply(22, Status.FULL)


def test_keys_expire_while_the_service_is_down_and_stay_expired_when_the_clock_goes_back() -> None:
    files = FaultFiles(1)
    pipeline = open_pipeline(files)
    session = open_session(pipeline)
    execute(pipeline, session, Add(1, 7, 5.0, 1000.0))
    execute(pipeline, session, Add(2, 7, 1.0, 9e9))  # the time to live applies only to a new key
    pipeline.close()
    files.kill()
    reopened: CommitPipeline[Any] = CommitPipeline(files, LIMITS)
    reopened.state.advance_clock(START + 1500.0)
    assert reopened.state.total(7) == 0.0
    session = open_session(reopened)
    assert execute(reopened, session, Add(3, 7, 2.0, 1000.0)) == TotalReply(3, Status.DONE, 2.0)
    reopened.state.advance_clock(START - 50_000.0)  # the clock went back
    assert reopened.state.now_ms == START + 1500.0
    assert execute(reopened, session, Read(0, 7)) == TotalReply(0, Status.DONE, 2.0)


@pytest.mark.parametrize("sync", [False, True])
def test_a_full_disk_or_a_failed_sync_stops_acknowledgements_but_not_reads(sync: bool) -> None:
    files = FaultFiles(1)
    pipeline = open_pipeline(files)
    session = open_session(pipeline)
    execute(pipeline, session, Add(1, 7, 5.0, HOUR_MS))
    execute(pipeline, session, Add(2, 8, 1.0, HOUR_MS))
    files.fail_sync, files.fail_at = sync, -1 if sync else files.steps
    assert execute(pipeline, session, Add(3, 7, 1.0, HOUR_MS)) == TotalReply(3, Status.UNWRITTEN, 0.0)
    assert pipeline.failure
    files.fail_sync, files.fail_at = False, -1  # the disk works again, but nothing recovers the log yet
    assert execute(pipeline, session, Add(4, 9, 1.0, HOUR_MS)) == TotalReply(4, Status.UNWRITTEN, 0.0)
    assert execute(pipeline, session, Read(0, 8)) == TotalReply(0, Status.DONE, 1.0)
    # The disk may hold a total of 5 or 6 for key 7.
    assert execute(pipeline, session, Read(0, 7)) == TotalReply(0, Status.UNWRITTEN, 0.0)
    assert pipeline.open_session("door-1", 1) is None
    files.kill()
    reopened = open_pipeline(files)
    session = open_session(reopened)
    # The command is sent again after the restart, and counts once in either case.
    reply = execute(reopened, session, Add(3, 7, 1.0, HOUR_MS))
    assert reply in (TotalReply(3, Status.DONE, 6.0), TotalReply(3, Status.REPEATED, 6.0))


@given(
    st.lists(st.tuples(st.integers(1, 3), st.floats(-5, 5), st.sampled_from((50.0, 1e6))), max_size=40),
    st.lists(st.floats(0, 200), max_size=40),
)
@hypothesis_settings(max_examples=80, deadline=None, derandomize=True)
def test_a_rebuilt_state_equals_the_live_state(adds: list[tuple[int, float, float]], pauses: list[float]) -> None:
    files = FaultFiles(3)
    pipeline = open_pipeline(files, CounterLimits(deduplication_window=8))
    session = open_session(pipeline)
    pipeline.commit_pending()
    now = START
    for number, (key, units, ttl_ms) in enumerate(adds, 1):
        now += pauses[number % len(pauses)] if pauses else 1.0
        pipeline.state.advance_clock(now)
        execute(pipeline, session, Add(number, key, units, ttl_ms))
        with contextlib.suppress(AssertionError):
            if number % 7 == 0:
                pipeline.store_snapshot(*pipeline.encode_snapshot())
    files.kill()
    reopened = rebuild_state(open_log(files), CounterLimits(deduplication_window=8))
    reopened.advance_clock(pipeline.state.now_ms)
    assert {key: reopened.total(key) for key in (1, 2, 3)} == {key: pipeline.state.total(key) for key in (1, 2, 3)}
    assert reopened.gateway("door-0").results == pipeline.state.gateway("door-0").results
    assert (
        reopened.snapshot()
        == CounterState.from_snapshot(CounterLimits(deduplication_window=8), reopened.snapshot()).snapshot()
    )
