"""The counter's stored forms, byte by byte, against files of an earlier text: its log, and a gateway's journal."""

from __future__ import annotations

import json
import shutil
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.counter.commit_pipeline import CommitPipeline, LogOptions
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.log_inspection import iterate_attempts, rebuild_from_log, verify
from martenstep.counter.protocol import Add, RecordAttempt, RecordReply, Status, TotalReply
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.storage.files import Disk

STORED = Path(__file__).parent / "formats" / "counter"
NOW_MS = 1_700_000_000_000.0
LIMITS = CounterLimits(
    deduplication_window=4, attempt_window_ms=60_000.0, max_attempts=100, max_keys=100, period_ms=3_600_000.0
)
TRY_FIELDS = ("r-é", "ada", "plan ☂", "read")


def golden(name: str) -> bytes:
    """A committed file's bytes."""
    return (STORED / name).read_bytes()


# The service's log --------------------------------------------------------------------------------------


def write_log(directory: Path) -> None:
    """The same commands each time: two doors, adds, tries, a snapshot, a term, several segments."""
    with Disk(directory) as disk:
        keeper: CommitPipeline[int | None] = CommitPipeline(disk, LIMITS, LogOptions(700, True, 5, 1e12))
        keeper.state.advance_clock(NOW_MS)
        first, second = keeper.open_session("door-0", 11), keeper.open_session("döor-1", 12)
        assert first is not None and second is not None
        keeper.submit(None, first, Add(1, 5, 2.5, 600_000.0))
        keeper.submit(None, second, Add(1, 5, 1.0, 600_000.0))
        keeper.submit(None, first, RecordAttempt(2, NOW_MS - 10.0, 2.0, True, *TRY_FIELDS))
        keeper.commit_pending()
        keeper.state.advance_clock(NOW_MS + 1000.0)
        keeper.submit(None, second, RecordAttempt(2, NOW_MS - 10.0, 2.0, True, *TRY_FIELDS))
        keeper.submit(None, second, RecordAttempt(3, NOW_MS + 500.0, 1.0, False, "r-2", "bob", "basic", "write"))
        keeper.submit(None, first, Add(3, 2**64 - 1, -1.0, 500.0))
        keeper.commit_pending()
        assert keeper.snapshot_due()
        keeper.store_snapshot(*keeper.encode_snapshot())
        keeper.state.advance_clock(NOW_MS + 2000.0)
        assert keeper.begin_term() == 1
        later = keeper.open_session("door-0", 21)
        assert later is not None
        for number in range(1, 7):
            keeper.submit(None, later, Add(number, 6, 1.0, 600_000.0))
        keeper.commit_pending()
        keeper.submit(None, later, Add(7, 7, 0.5, 600_000.0))
        keeper.commit_pending()
        keeper.close()


def log_files(directory: Path) -> dict[str, bytes]:
    """All files but the lock."""
    return {path.name: path.read_bytes() for path in sorted(directory.iterdir()) if path.name != "lock"}


def copied_log(tmp_path: Path) -> Path:
    """A copy of the committed log: opening one leaves a lock file."""
    return shutil.copytree(STORED / "log", tmp_path / "log")


def test_the_same_commands_write_the_same_log(tmp_path: Path) -> None:
    write_log(tmp_path / "log")
    assert log_files(tmp_path / "log") == log_files(STORED / "log")
    assert sorted(log_files(STORED / "log")) == [
        "seg-0000000000000000.log",
        "seg-0000000000000013.log",
        "snap-0000000000000009.snap",
    ]


@pytest.mark.parametrize("without_snapshot", [False, True])
def test_the_committed_log_is_opened_and_gone_on_with(tmp_path: Path, without_snapshot: bool) -> None:
    directory = copied_log(tmp_path)
    if without_snapshot:
        (directory / "snap-0000000000000009.snap").unlink()
    with Disk(directory) as disk:
        keeper: CommitPipeline[int | None] = CommitPipeline(disk, LIMITS, LogOptions(700))
        counter = keeper.state
        assert (counter.now_ms, counter.term, counter.applied_entries, keeper.truncated_bytes) == (
            NOW_MS + 2000.0,
            1,
            20 + without_snapshot,
            0,
        )
        assert (counter.total(5), counter.total(6), counter.total(7)) == (3.5, 6.0, 0.5)
        assert counter.total(2**64 - 1) == 0.0  # its time is over
        uses = {key: (use.attempts, use.units, use.over_quota_units) for key, use in counter.usage().items()}
        period = int(NOW_MS // 3_600_000.0)
        assert uses == {("ada", "plan ☂", period): (1, 2.0, 2.0), ("bob", "basic", period): (1, 1.0, 0.0)}
        doors = [counter.gateway("door-0"), counter.gateway("döor-1")]
        assert [(door.number, door.epoch, door.highest_sequence) for door in doors] == [(0, 21, 7), (1, 12, 3)]
        assert keeper.open_session("door-0", 11) is None
        session, other = keeper.open_session("door-0", 21), keeper.open_session("döor-1", 12)
        assert session is not None and other is not None
        keeper.submit(1, session, Add(7, 7, 0.5, 600_000.0))
        keeper.submit(2, session, Add(7, 7, 9.0, 600_000.0))
        keeper.submit(3, session, Add(3, 6, 1.0, 600_000.0))
        keeper.submit(4, other, RecordAttempt(2, NOW_MS - 10.0, 2.0, True, *TRY_FIELDS))
        keeper.submit(5, session, RecordAttempt(8, NOW_MS, 1.0, False, "r-2", "bob", "basic", "write"))
        keeper.submit(6, session, Add(9, 5, 0.5, 600_000.0))
        assert keeper.commit_pending() == [
            (1, TotalReply(7, Status.REPEATED, 0.5)),
            (2, TotalReply(7, Status.REUSED, 0.0)),
            (3, TotalReply(3, Status.TOO_OLD, 0.0)),
            (4, RecordReply(2, Status.KNOWN)),
            (5, RecordReply(8, Status.KNOWN)),
            (6, TotalReply(9, Status.DONE, 4.0)),
        ]
        keeper.close()


def test_the_state_and_its_snapshot_as_committed(tmp_path: Path) -> None:
    counter = rebuild_from_log(copied_log(tmp_path), LIMITS)
    assert counter.snapshot() == golden("state.snapshot")
    assert CounterState.from_snapshot(LIMITS, golden("state.snapshot")).snapshot() == golden("state.snapshot")


@pytest.mark.parametrize(
    ("name", "words"),
    [
        ("verify", ["verify"]),
        ("export", ["export"]),
        ("export-between", ["export", "--from", "1699999999000", "--to", "1700000000100"]),
        ("history", ["history", "bob"]),
        ("rebuild", ["rebuild", "--period-ms", "3600000"]),
    ],
)
def test_the_command_line_prints_as_committed(tmp_path: Path, name: str, words: list[str]) -> None:
    done = CliRunner().invoke(cli, ["counter", words[0], str(copied_log(tmp_path)), *words[1:]])
    assert done.exit_code == 0
    assert done.output.encode() == golden(f"cli-{name}.txt")


def test_what_is_read_of_the_committed_log(tmp_path: Path) -> None:
    directory = copied_log(tmp_path)
    found = verify(directory)
    assert (found.records, found.segments, found.snapshots, found.torn_bytes) == (21, 2, 1, 0)
    tries = [
        (door, made.request_id, made.customer, made.plan, made.units) for door, made in iterate_attempts(directory)
    ]
    assert tries == [("door-0", "r-é", "ada", "plan ☂", 2.0), ("döor-1", "r-2", "bob", "basic", 1.0)]


# The gateway's journal ----------------------------------------------------------------------------------


def write_journal(directory: Path) -> None:
    """Three tries promised, one of them acknowledged, a term seen.  The file is left as a kill leaves it."""
    journal = AttemptJournal(directory, 100)
    for number in range(3):
        assert journal.append(
            RecordAttempt(number + 1, NOW_MS + number, 0.5, number == 1, f"r-{number}", *TRY_FIELDS[1:])
        )
    journal.acknowledge("r-0")
    journal.observe_term(4)
    journal.close()


def journal_files(directory: Path) -> dict[str, bytes]:
    """All files of a journal."""
    return {path.name: path.read_bytes() for path in sorted(directory.iterdir())}


def test_the_journal_is_written_as_committed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: NOW_MS / 1000)
    write_journal(tmp_path / "journal")
    assert journal_files(tmp_path / "journal") == journal_files(STORED / "journal")


def test_the_committed_journal_is_read_and_written_anew(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1.0)
    shutil.copytree(STORED / "journal", tmp_path / "journal")
    journal = AttemptJournal(tmp_path / "journal", 100)
    assert (journal.epoch, journal.term) == (int(NOW_MS) + 1, 4)
    assert list(journal.pending.values()) == [
        RecordAttempt(0, NOW_MS + 1, 0.5, True, "r-1", *TRY_FIELDS[1:]),
        RecordAttempt(0, NOW_MS + 2, 0.5, False, "r-2", *TRY_FIELDS[1:]),
    ]
    journal.close()
    assert journal_files(tmp_path / "journal") == journal_files(STORED / "journal-anew")
    line = json.loads((tmp_path / "journal" / "tries.jsonl").read_text().splitlines()[0])
    assert line == {
        "sequence": 0,
        "time_ms": NOW_MS + 1,
        "units": 0.5,
        "beyond": True,
        "request": "r-1",
        "customer": "ada",
        "plan": "plan ☂",
        "cls": "read",
    }
