"""The counter's log and a gateway's journal, compared byte by byte with files that an earlier version wrote."""

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
ATTEMPT_FIELDS = ("r-é", "ada", "plan ☂", "read")


def golden(name: str) -> bytes:
    """Return the bytes of a committed file."""
    return (STORED / name).read_bytes()


# The service's log


def write_log(directory: Path) -> None:
    """Write a log with fixed commands: two gateways, adds, attempts, a snapshot, a term, and several segments."""
    with Disk(directory) as disk:
        pipeline: CommitPipeline[int | None] = CommitPipeline(disk, LIMITS, LogOptions(700, True, 5, 1e12))
        pipeline.state.advance_clock(NOW_MS)
        first, second = pipeline.open_session("door-0", 11), pipeline.open_session("döor-1", 12)
        assert first is not None and second is not None
        pipeline.submit(None, first, Add(1, 5, 2.5, 600_000.0))
        pipeline.submit(None, second, Add(1, 5, 1.0, 600_000.0))
        pipeline.submit(None, first, RecordAttempt(2, NOW_MS - 10.0, 2.0, True, *ATTEMPT_FIELDS))
        pipeline.commit_pending()
        pipeline.state.advance_clock(NOW_MS + 1000.0)
        pipeline.submit(None, second, RecordAttempt(2, NOW_MS - 10.0, 2.0, True, *ATTEMPT_FIELDS))
        pipeline.submit(None, second, RecordAttempt(3, NOW_MS + 500.0, 1.0, False, "r-2", "bob", "basic", "write"))
        pipeline.submit(None, first, Add(3, 2**64 - 1, -1.0, 500.0))
        pipeline.commit_pending()
        assert pipeline.snapshot_due()
        pipeline.store_snapshot(*pipeline.encode_snapshot())
        pipeline.state.advance_clock(NOW_MS + 2000.0)
        assert pipeline.begin_term() == 1
        later = pipeline.open_session("door-0", 21)
        assert later is not None
        for number in range(1, 7):
            pipeline.submit(None, later, Add(number, 6, 1.0, 600_000.0))
        pipeline.commit_pending()
        pipeline.submit(None, later, Add(7, 7, 0.5, 600_000.0))
        pipeline.commit_pending()
        pipeline.close()


def log_files(directory: Path) -> dict[str, bytes]:
    """Return the contents of all files except the lock."""
    return {path.name: path.read_bytes() for path in sorted(directory.iterdir()) if path.name != "lock"}


def copy_log(tmp_path: Path) -> Path:
    """Return a copy of the committed log, because opening a log leaves a lock file."""
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
def test_the_committed_log_can_be_opened_and_continued(tmp_path: Path, without_snapshot: bool) -> None:
    directory = copy_log(tmp_path)
    if without_snapshot:
        (directory / "snap-0000000000000009.snap").unlink()
    with Disk(directory) as disk:
        pipeline: CommitPipeline[int | None] = CommitPipeline(disk, LIMITS, LogOptions(700))
        state = pipeline.state
        assert (state.now_ms, state.term, state.applied_entries, pipeline.truncated_bytes) == (
            NOW_MS + 2000.0,
            1,
            20 + without_snapshot,
            0,
        )
        assert (state.total(5), state.total(6), state.total(7)) == (3.5, 6.0, 0.5)
        assert state.total(2**64 - 1) == 0.0  # the key has expired
        usage = {key: (totals.attempts, totals.units, totals.over_quota_units) for key, totals in state.usage().items()}
        period = int(NOW_MS // 3_600_000.0)
        assert usage == {("ada", "plan ☂", period): (1, 2.0, 2.0), ("bob", "basic", period): (1, 1.0, 0.0)}
        gateways = [state.gateway("door-0"), state.gateway("döor-1")]
        assert [(gateway.number, gateway.epoch, gateway.highest_sequence) for gateway in gateways] == [
            (0, 21, 7),
            (1, 12, 3),
        ]
        assert pipeline.open_session("door-0", 11) is None
        session, other = pipeline.open_session("door-0", 21), pipeline.open_session("döor-1", 12)
        assert session is not None and other is not None
        pipeline.submit(1, session, Add(7, 7, 0.5, 600_000.0))
        pipeline.submit(2, session, Add(7, 7, 9.0, 600_000.0))
        pipeline.submit(3, session, Add(3, 6, 1.0, 600_000.0))
        pipeline.submit(4, other, RecordAttempt(2, NOW_MS - 10.0, 2.0, True, *ATTEMPT_FIELDS))
        pipeline.submit(5, session, RecordAttempt(8, NOW_MS, 1.0, False, "r-2", "bob", "basic", "write"))
        pipeline.submit(6, session, Add(9, 5, 0.5, 600_000.0))
        assert pipeline.commit_pending() == [
            (1, TotalReply(7, Status.REPEATED, 0.5)),
            (2, TotalReply(7, Status.REUSED, 0.0)),
            (3, TotalReply(3, Status.TOO_OLD, 0.0)),
            (4, RecordReply(2, Status.KNOWN)),
            (5, RecordReply(8, Status.KNOWN)),
            (6, TotalReply(9, Status.DONE, 4.0)),
        ]
        pipeline.close()


def test_the_rebuilt_state_has_the_committed_snapshot(tmp_path: Path) -> None:
    state = rebuild_from_log(copy_log(tmp_path), LIMITS)
    assert state.snapshot() == golden("state.snapshot")
    assert CounterState.from_snapshot(LIMITS, golden("state.snapshot")).snapshot() == golden("state.snapshot")


@pytest.mark.parametrize(
    ("name", "arguments"),
    [
        ("verify", ["verify"]),
        ("export", ["export"]),
        ("export-between", ["export", "--from", "1699999999000", "--to", "1700000000100"]),
        ("history", ["history", "bob"]),
        ("rebuild", ["rebuild", "--period-ms", "3600000"]),
    ],
)
def test_the_command_line_prints_as_committed(tmp_path: Path, name: str, arguments: list[str]) -> None:
    result = CliRunner().invoke(cli, ["counter", arguments[0], str(copy_log(tmp_path)), *arguments[1:]])
    assert result.exit_code == 0
    assert result.output.encode() == golden(f"cli-{name}.txt")


def test_the_committed_log_is_verified_and_its_attempts_are_read(tmp_path: Path) -> None:
    directory = copy_log(tmp_path)
    summary = verify(directory)
    assert (summary.records, summary.segments, summary.snapshots, summary.torn_bytes) == (21, 2, 1, 0)
    attempts = [
        (gateway, attempt.request_id, attempt.customer, attempt.plan, attempt.units)
        for gateway, attempt in iterate_attempts(directory)
    ]
    assert attempts == [("door-0", "r-é", "ada", "plan ☂", 2.0), ("döor-1", "r-2", "bob", "basic", 1.0)]


# The gateway's journal


def write_journal(directory: Path) -> None:
    """Write a journal with three attempts, one of them acknowledged, and a term.  The file is as a kill leaves it."""
    journal = AttemptJournal(directory, 100)
    for number in range(3):
        assert journal.append(
            RecordAttempt(number + 1, NOW_MS + number, 0.5, number == 1, f"r-{number}", *ATTEMPT_FIELDS[1:])
        )
    journal.acknowledge("r-0")
    journal.observe_term(4)
    journal.close()


def journal_files(directory: Path) -> dict[str, bytes]:
    """Return the contents of all files of a journal."""
    return {path.name: path.read_bytes() for path in sorted(directory.iterdir())}


def test_the_journal_is_written_as_committed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: NOW_MS / 1000)
    write_journal(tmp_path / "journal")
    assert journal_files(tmp_path / "journal") == journal_files(STORED / "journal")


def test_the_committed_journal_is_read_and_rewritten(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time", lambda: 1.0)
    shutil.copytree(STORED / "journal", tmp_path / "journal")
    journal = AttemptJournal(tmp_path / "journal", 100)
    assert (journal.epoch, journal.term) == (int(NOW_MS) + 1, 4)
    assert list(journal.pending.values()) == [
        RecordAttempt(0, NOW_MS + 1, 0.5, True, "r-1", *ATTEMPT_FIELDS[1:]),
        RecordAttempt(0, NOW_MS + 2, 0.5, False, "r-2", *ATTEMPT_FIELDS[1:]),
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
