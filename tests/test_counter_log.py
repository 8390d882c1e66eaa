"""The counter's state and log: crashes at every step, repeats, flips, bounds."""

from __future__ import annotations

import contextlib
import random
from collections import Counter as Tally
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from martenstep.counter.commit_pipeline import CommitPipeline, LogOptions, Session, rebuild_state
from martenstep.counter.protocol import Add, Read, RecordAttempt, RecordReply, Reply, Status, TotalReply
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.storage.log import HEADER, LogError, open_log, segments, snapshots
from tests.faulty_files import Crash, FaultFiles

LIMITS = CounterLimits(deduplication_window=64, attempt_window_ms=60_000.0)
HOUR = 3_600_000.0
START = 1_000_000.0


class Doors:
    """Doors that send each command until it is answered, over a service that crashes as it likes."""

    def __init__(self, files: FaultFiles, snapshot_records: int = 0, segment_bytes: int = 1500) -> None:
        self.files, self._snapshots, self._segment_bytes = files, snapshot_records, segment_bytes
        self.now = START
        self.keeper: CommitPipeline[Any] | None = None
        self.epochs = {"door-0": 1, "door-1": 1}
        self.sequence = {"door-0": 0, "door-1": 0}
        self.waiting: dict[tuple[str, int], Add | RecordAttempt] = {}
        self.answers: dict[tuple[str, int], Reply] = {}
        self.asked: list[Add | RecordAttempt] = []
        self.crashes = 0

    def open(self) -> CommitPipeline[Any]:
        if self.keeper is None:
            made: CommitPipeline[Any] = CommitPipeline(
                self.files, LIMITS, LogOptions(self._segment_bytes, True, self._snapshots)
            )
            made.state.advance_clock(self.now)
            self.keeper = made
        return self.keeper

    def send(self, door: str, make: type[Add] | type[RecordAttempt], *words: object) -> None:
        self.sequence[door] += 1
        command = make(self.sequence[door], *words)  # type: ignore[arg-type]
        self.waiting[door, command.sequence] = command
        self.asked.append(command)

    def round(self) -> None:
        """Send all that waits, in one group; a crash may come at any step of it."""
        try:
            keeper = self.open()
            keeper.state.advance_clock(self.now)
            sessions = {}
            for (door, _), command in self.waiting.items():
                if door not in sessions:
                    session = keeper.open_session(door, self.epochs[door])
                    assert session is not None
                    sessions[door] = session
                keeper.submit((door, command.sequence), sessions[door], command)
            for who, reply in keeper.commit_pending():
                assert not isinstance(reply, TotalReply | RecordReply) or reply.status in (
                    Status.DONE,
                    Status.REPEATED,
                    Status.KNOWN,
                ), reply
                assert who not in self.answers
                self.answers[who] = reply
                del self.waiting[who]
            if keeper.snapshot_due():
                keeper.store_snapshot(*keeper.encode_snapshot())
        except Crash:
            self.crashes += 1
            self.keeper = None
            self.files.crash()

    def settle(self) -> None:
        self.files.crash_at = -1
        while self.waiting:
            self.round()

    def check(self) -> None:
        """Each command counted exactly once, live and on rebuild."""
        self.settle()
        self.files.crash()
        for counter in (self.open().state, rebuild_state(open_log(self.files), LIMITS)):
            wanted: Tally[int] = Tally()
            for command in self.asked:
                if isinstance(command, Add):
                    wanted[command.key] += int(command.units)
            assert {name: counter.total(name) for name in wanted} == dict(wanted)
            tried = {command.request_id for command in self.asked if isinstance(command, RecordAttempt)}
            assert sum(use.attempts for use in counter.usage().values()) == len(tried)


@given(st.integers(0, 2**32), st.data())
@hypo(max_examples=2000, deadline=None, derandomize=True)
def test_each_command_counts_once_through_crashes_at_any_step(seed: int, data: st.DataObject) -> None:
    doors = Doors(FaultFiles(seed), snapshot_records=data.draw(st.sampled_from((0, 7, 40))))
    rng = random.Random(seed)
    for _ in range(data.draw(st.integers(1, 14))):
        for _ in range(rng.randint(1, 6)):
            door = rng.choice(("door-0", "door-1"))
            if rng.random() < 0.6:
                doors.send(door, Add, rng.randint(1, 4), float(rng.randint(1, 9)), 1e9)
            else:
                doors.send(
                    door, RecordAttempt, doors.now, 1.0, False, f"r{rng.randint(0, 20)}", "anna", "plain", "read"
                )
        doors.files.crash_at = doors.files.steps + rng.randint(1, 6) if rng.random() < 0.7 else -1
        doors.now += rng.choice((1.0, 500.0))
        doors.round()
    doors.check()


def test_thousands_of_schedules_do_crash_and_reach_every_step() -> None:
    """The property above means something: over seeds, crashes come in writes, syncs, creations, renames, removals."""
    crashes = 0
    for seed in range(150):
        doors, rng = Doors(FaultFiles(seed), snapshot_records=9, segment_bytes=700), random.Random(seed)
        for _ in range(12):
            doors.send("door-0", Add, 1, float(rng.randint(1, 9)), 1e9)
            doors.files.crash_at = doors.files.steps + rng.randint(1, 9)
            doors.round()
        doors.check()
        crashes += doors.crashes
    assert crashes > 300


def filled(count: int = 30, segment_bytes: int = 1 << 20) -> FaultFiles:
    """A log of adds, each its own group, closed as by a kill."""
    doors = Doors(FaultFiles(1), segment_bytes=segment_bytes)
    for _ in range(count):
        doors.send("door-0", Add, 1, 1.0, 1e9)
        doors.round()
    doors.files.kill()
    return doors.files


def test_a_flip_is_refused_wherever_it_is_or_cuts_only_what_was_never_acknowledged() -> None:
    files = filled(8)
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
            assert rebuild_state(opened, LIMITS).total(1) == 8.0, "an acknowledged add is gone without a word"
        files.flip(segment.name, at)
    assert refused > size * 0.9  # all but the last seal


def test_a_flip_in_an_earlier_segment_is_refused_with_file_and_offset() -> None:
    files = filled(40, segment_bytes=600)
    first = segments(files)[0].name
    files.flip(first, 200)
    with pytest.raises(LogError, match=rf"{first} at byte \d+: record \d+ is damaged"):
        open_log(files)


def test_a_missing_segment_is_told() -> None:
    files = filled(40, segment_bytes=600)
    names = [segment.name for segment in segments(files)]
    files.remove(names[1])
    with pytest.raises(LogError, match="the next segment begins at"):
        open_log(files)


def test_a_tail_cut_at_any_byte_ends_at_the_last_whole_record() -> None:
    size = len(filled(5).read("seg-0000000000000000.log"))
    for end in range(HEADER.size, size + 1):
        files = filled(5)
        files.cut("seg-0000000000000000.log", end)
        opened = open_log(files)
        total = rebuild_state(opened, LIMITS).total(1)
        assert total in range(6)
        assert CommitPipeline(files, LIMITS).record_count <= opened.count
        assert rebuild_state(open_log(files), LIMITS).total(1) == total  # cut once, then whole


def test_a_segment_that_ends_exactly_at_a_record_goes_on_in_the_next() -> None:
    doors = Doors(FaultFiles(1), segment_bytes=1)  # every group ends its segment
    for _ in range(5):
        doors.send("door-0", Add, 1, 2.0, 1e9)
        doors.round()
    assert len(segments(doors.files)) >= 5
    doors.check()


def test_snapshots_let_old_segments_go_and_a_damaged_one_is_stood_in_for() -> None:
    doors = Doors(FaultFiles(1), snapshot_records=20, segment_bytes=500)
    for _ in range(100):
        doors.send("door-0", Add, 1, 1.0, 1e9)
        doors.round()
    files = doors.files
    assert len(snapshots(files)) == 2 and segments(files)[0].first > 0
    files.kill()
    newest = snapshots(files)[0][0]
    assert rebuild_state(open_log(files), LIMITS).total(1) == 100.0
    files.flip(newest, 40)
    assert rebuild_state(open_log(files), LIMITS).total(1) == 100.0
    files.flip(snapshots(files)[1][0], 40)
    with pytest.raises(LogError, match="are missing"):
        open_log(files)


def keeper(files: FaultFiles | None = None, limits: CounterLimits = LIMITS) -> CommitPipeline[Any]:
    made: CommitPipeline[Any] = CommitPipeline(files or FaultFiles(1), limits)
    made.state.advance_clock(START)
    return made


def session(made: CommitPipeline[Any], door: str = "door-0", epoch: int = 1) -> Session:
    found = made.open_session(door, epoch)
    assert found is not None
    return found


def ask(made: CommitPipeline[Any], who: Session, command: Add | Read | RecordAttempt) -> Reply:
    made.submit("me", who, command)
    [(_, reply)] = made.commit_pending()
    return reply


def test_a_repeat_gets_the_first_result_and_another_command_is_told() -> None:
    made = keeper()
    door = session(made)
    assert ask(made, door, Add(1, 7, 2.0, HOUR)) == TotalReply(1, Status.DONE, 2.0)
    assert ask(made, door, Add(2, 7, 3.0, HOUR)) == TotalReply(2, Status.DONE, 5.0)
    assert ask(made, door, Add(1, 7, 2.0, HOUR)) == TotalReply(1, Status.REPEATED, 2.0)
    assert ask(made, door, Add(1, 7, 9.0, HOUR)) == TotalReply(1, Status.REUSED, 0.0)  # restored from an old disk
    assert ask(made, door, Read(0, 7)) == TotalReply(0, Status.DONE, 5.0)


def test_what_lies_before_the_window_is_too_old_and_never_counted_again() -> None:
    made = keeper(limits=CounterLimits(deduplication_window=4))
    door = session(made)
    for number in range(1, 11):
        ask(made, door, Add(number, 7, 1.0, HOUR))
    assert ask(made, door, Add(3, 7, 1.0, HOUR)) == TotalReply(3, Status.TOO_OLD, 0.0)
    assert ask(made, door, Add(7, 7, 1.0, HOUR)) == TotalReply(7, Status.REPEATED, 7.0)
    assert ask(made, door, Add(100, 7, 1.0, HOUR)).status is Status.DONE  # type: ignore[union-attr]  # a gap
    assert ask(made, door, Add(98, 7, 1.0, HOUR)).status is Status.DONE  # type: ignore[union-attr]  # inside it
    assert ask(made, door, Add(96, 7, 1.0, HOUR)).status is Status.TOO_OLD  # type: ignore[union-attr]
    assert ask(made, door, Read(0, 7)) == TotalReply(0, Status.DONE, 12.0)
    assert len(door.gateway.results) <= 4 or len(made.state.gateway("door-0").results) <= 4


def test_an_old_life_of_a_door_is_fenced() -> None:
    made = keeper()
    old = session(made, epoch=1)
    ask(made, old, Add(1, 7, 1.0, HOUR))
    new = session(made, epoch=2)
    assert ask(made, new, Add(1, 7, 1.0, HOUR)) == TotalReply(1, Status.DONE, 2.0)  # a sequence of its own
    assert ask(made, old, Add(2, 7, 1.0, HOUR)) == TotalReply(2, Status.FENCED, 0.0)
    assert made.open_session("door-0", 1) is None


def test_two_doors_with_the_same_try_make_one_record() -> None:
    made = keeper()
    one, two = session(made, "door-0"), session(made, "door-1")
    words = (START, 2.0, True, "r1", "anna", "plain", "read")
    made.submit("one", one, RecordAttempt(1, *words))
    made.submit("two", two, RecordAttempt(1, *words))  # at the same moment: one group
    assert made.commit_pending() == [("one", RecordReply(1, Status.DONE)), ("two", RecordReply(1, Status.KNOWN))]
    assert ask(made, two, RecordAttempt(1, *words)) == RecordReply(1, Status.KNOWN)  # its repeat is told the same
    [use] = made.state.usage().values()
    assert (use.attempts, use.units, use.over_quota_units) == (1, 2.0, 2.0)


def test_a_forgotten_try_cannot_come_in_twice() -> None:
    made = keeper()
    door = session(made)
    assert ask(made, door, RecordAttempt(1, START, 1.0, False, "r1", "a", "p", "c")) == RecordReply(1, Status.DONE)
    made.state.advance_clock(START + 70_000.0)
    ask(made, door, RecordAttempt(2, START + 70_000.0, 1.0, False, "r2", "a", "p", "c"))
    assert made.state.sizes["tries"] == 1  # r1 is let go
    assert ask(made, door, RecordAttempt(3, START, 1.0, False, "r1", "a", "p", "c")) == RecordReply(3, Status.TOO_OLD)
    assert ask(made, door, RecordAttempt(4, START + 9e9, 1.0, False, "r3", "a", "p", "c")) == RecordReply(
        4, Status.DONE
    )
    assert ask(made, door, RecordAttempt(4, START + 9e9, 1.0, False, "r3", "a", "p", "c")) == RecordReply(
        4, Status.REPEATED
    )
    last = max(period for _, _, period in made.state.usage())
    assert last == (START + 70_000.0) // LIMITS.period_ms, "a time that lies ahead is taken for now"


def test_bounds_are_answers_not_silence() -> None:
    made = keeper(limits=CounterLimits(max_keys=2, max_attempts=1))
    door = session(made)
    for number, status in ((1, Status.DONE), (2, Status.DONE), (3, Status.FULL), (1, Status.DONE)):
        reply = ask(made, door, Add(made.state.gateway("door-0").highest_sequence + 1, number, 1.0, 1000.0))
        assert isinstance(reply, TotalReply) and reply.status is status
    made.state.advance_clock(START + 2000.0)  # their time is over: there is room again
    assert ask(made, door, Add(20, 3, 1.0, 1000.0)) == TotalReply(20, Status.DONE, 1.0)
    ask(made, door, RecordAttempt(21, START + 2000.0, 1.0, False, "r1", "a", "p", "c"))
    assert ask(made, door, RecordAttempt(22, START + 2000.0, 1.0, False, "r2", "a", "p", "c")) == RecordReply(
        22, Status.FULL
    )


def test_names_expire_also_while_the_service_is_down_and_no_clock_brings_them_back() -> None:
    files = FaultFiles(1)
    made = keeper(files)
    door = session(made)
    ask(made, door, Add(1, 7, 5.0, 1000.0))
    ask(made, door, Add(2, 7, 1.0, 9e9))  # the expiry is set only when new
    made.close()
    files.kill()
    again: CommitPipeline[Any] = CommitPipeline(files, LIMITS)
    again.state.advance_clock(START + 1500.0)
    assert again.state.total(7) == 0.0
    door = session(again)
    assert ask(again, door, Add(3, 7, 2.0, 1000.0)) == TotalReply(3, Status.DONE, 2.0)
    again.state.advance_clock(START - 50_000.0)  # the clock went back
    assert again.state.now_ms == START + 1500.0
    assert ask(again, door, Read(0, 7)) == TotalReply(0, Status.DONE, 2.0)


@pytest.mark.parametrize("sync", [False, True])
def test_a_full_disk_or_a_failed_sync_ends_acknowledging_and_not_reading(sync: bool) -> None:
    files = FaultFiles(1)
    made = keeper(files)
    door = session(made)
    ask(made, door, Add(1, 7, 5.0, HOUR))
    ask(made, door, Add(2, 8, 1.0, HOUR))
    files.fail_sync, files.fail_at = sync, -1 if sync else files.steps
    assert ask(made, door, Add(3, 7, 1.0, HOUR)) == TotalReply(3, Status.UNWRITTEN, 0.0)
    assert made.failure
    files.fail_sync, files.fail_at = False, -1  # room again: that alone changes nothing
    assert ask(made, door, Add(4, 9, 1.0, HOUR)) == TotalReply(4, Status.UNWRITTEN, 0.0)
    assert ask(made, door, Read(0, 8)) == TotalReply(0, Status.DONE, 1.0)
    assert ask(made, door, Read(0, 7)) == TotalReply(0, Status.UNWRITTEN, 0.0)  # the disk may hold 5 or 6
    assert made.open_session("door-1", 1) is None
    files.kill()
    again = keeper(files)
    door = session(again)
    reply = ask(again, door, Add(3, 7, 1.0, HOUR))  # sent again after the restart: once, either way
    assert reply in (TotalReply(3, Status.DONE, 6.0), TotalReply(3, Status.REPEATED, 6.0))


@given(
    st.lists(st.tuples(st.integers(1, 3), st.floats(-5, 5), st.sampled_from((50.0, 1e6))), max_size=40),
    st.lists(st.floats(0, 200), max_size=40),
)
@hypo(max_examples=80, deadline=None, derandomize=True)
def test_a_rebuilt_state_is_the_live_one(adds: list[tuple[int, float, float]], pauses: list[float]) -> None:
    files = FaultFiles(3)
    made = keeper(files, CounterLimits(deduplication_window=8))
    door = session(made)
    made.commit_pending()
    now = START
    for number, (name, units, expire) in enumerate(adds, 1):
        now += pauses[number % len(pauses)] if pauses else 1.0
        made.state.advance_clock(now)
        ask(made, door, Add(number, name, units, expire))
        with contextlib.suppress(AssertionError):
            if number % 7 == 0:
                made.store_snapshot(*made.encode_snapshot())
    files.kill()
    again = rebuild_state(open_log(files), CounterLimits(deduplication_window=8))
    again.advance_clock(made.state.now_ms)
    assert {name: again.total(name) for name in (1, 2, 3)} == {name: made.state.total(name) for name in (1, 2, 3)}
    assert again.gateway("door-0").results == made.state.gateway("door-0").results
    assert (
        again.snapshot()
        == CounterState.from_snapshot(CounterLimits(deduplication_window=8), again.snapshot()).snapshot()
    )
