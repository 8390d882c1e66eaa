"""File formats of replicas and logs: stored folders are read, and the same content is written byte by byte."""

from __future__ import annotations

import contextlib
import random
import shutil
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.replication import node_disk
from martenstep.replication.messages import Configuration, EntryKind, LogEntry, Snapshot, decode_configuration, encode
from martenstep.replication.node_disk import DiskIdentity, derive_replica_id, load_disk_identity
from martenstep.replication.raft import DurableWrite, LogPosition
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.replication.witness import WitnessMark, read_witness_mark
from martenstep.storage import log
from martenstep.storage.files import Disk
from martenstep.storage.log import LogWriter, compact, decode_records, open_log, read_records, write_snapshot

FORMATS = Path(__file__).parent / "formats" / "replication"
CONFIG = Configuration((4503599627370497, 2, 3), (), ((4503599627370497, "d1"), (2, "d2"), (3, "d3")))
GROWN = Configuration((4503599627370497, 2, 3), (4,), (*CONFIG.locations, (4, "d4")))
WRITES = [
    DurableWrite(1, 1, 2),
    DurableWrite(2, 1, 2, entries=(LogEntry(1, 1, EntryKind.NO_OP), LogEntry(2, 1, EntryKind.COMMAND, b"first"))),
    DurableWrite(3, 1, 2, entries=(LogEntry(3, 1, EntryKind.CONFIGURATION, encode(GROWN)),)),
    DurableWrite(4, 2, None, LogPosition(1, 3)),
    DurableWrite(
        5,
        3,
        3,
        LogPosition(1, 3),
        3,
        (LogEntry(3, 3, EntryKind.NO_OP), LogEntry(4, 3, EntryKind.COMMAND, b"in its place")),
    ),
    DurableWrite(6, 3, 3, LogPosition(1, 3), snapshot=Snapshot(3, 3, GROWN, b"state of three")),
    DurableWrite(7, 3, 3, LogPosition(1, 3), entries=(LogEntry(5, 3, EntryKind.COMMAND, b"\x00\xff" * 4),)),
    DurableWrite(
        8,
        3,
        3,
        LogPosition(1, 3),
        None,
        (LogEntry(6, 3, EntryKind.COMMAND, b"a" * 40_000), LogEntry(7, 3, EntryKind.COMMAND, b"b" * 60_000)),
    ),
    DurableWrite(9, 4, None, LogPosition(0, 0)),
]
LOG_ENTRIES = [[b"one", b"two"], [b"three" * 10], [b"four"], [b"five" * 20, b"six"], [b"seven"]]


def files_in(folder: Path) -> dict[str, bytes]:
    return {
        str(path.relative_to(folder)): path.read_bytes()
        for path in sorted(folder.rglob("*"))
        if path.is_file() and path.name != "lock"
    }


def copy_stored(name: str, to: Path) -> Path:
    shutil.copytree(FORMATS / name, to)
    return to


def write_replica(folder: Path, witness: Path, seed: int = 20, writes: list[DurableWrite] = WRITES) -> None:
    """Store these writes as a replica does: the last three with one sync, the others one by one."""
    with contextlib.closing(Disk(folder)) as disk, contextlib.closing(Disk(witness)) as witness_disk:
        storage = ReplicaStorage(disk, witness_disk, random.Random(seed))
        for write in writes[:-3]:
            storage.write([write])
        storage.write(writes[-3:])
        storage.close()


def write_log(folder: Path) -> None:
    """Write a log with several segments, a snapshot, and a group of entries that was not synced."""
    with contextlib.closing(Disk(folder)) as disk:
        writer = LogWriter(disk, open_log(disk), 200)
        for number, entries in enumerate(LOG_ENTRIES):
            writer.write(entries, durable=number != 2)
            if number == 1:
                write_snapshot(disk, writer.synced, b"snapshot of three records")
        writer.close()


def test_a_replicas_stored_folder_is_read(tmp_path: Path) -> None:
    folder, witness = copy_stored("replica", tmp_path / "replica"), copy_stored("witness", tmp_path / "witness")
    with contextlib.closing(Disk(folder)) as disk, contextlib.closing(Disk(witness)) as witness_disk:
        storage = ReplicaStorage(disk, witness_disk, random.Random(1))
        image = storage.read_state()
        storage.close()
    assert storage.replica_id == IDENTITY and storage.disk_verified
    assert (image.term, image.voted_for, image.log_floor) == (4, None, LogPosition(0, 0))
    assert image.snapshot is not None
    assert (image.snapshot.index, image.snapshot.term, image.snapshot.body) == (3, 3, b"state of three")
    assert image.snapshot.configuration.voters == (
        4503599627370497,
        2,
        3,
    ) and image.snapshot.configuration.learners == (4,)
    assert image.snapshot.configuration.locations == ((4503599627370497, "d1"), (2, "d2"), (3, "d3"), (4, "d4"))
    assert [(one.index, one.term, one.kind, one.data) for one in image.entries] == [
        (4, 3, EntryKind.COMMAND, b"in its place"),
        (5, 3, EntryKind.COMMAND, b"\x00\xff" * 4),
        (6, 3, EntryKind.COMMAND, b"a" * 40_000),
        (7, 3, EntryKind.COMMAND, b"b" * 60_000),
    ]


def test_a_stored_log_without_a_snapshot_is_read_with_its_truncation(tmp_path: Path) -> None:
    folder = copy_stored("replica-early", tmp_path / "replica")
    with (
        contextlib.closing(Disk(folder)) as disk,
        contextlib.closing(ReplicaStorage(disk, None, random.Random(1))) as storage,
    ):
        image = storage.read_state()
    assert not storage.disk_verified
    assert (image.term, image.voted_for, image.log_floor, image.snapshot) == (3, 3, LogPosition(1, 3), None)
    assert [(one.index, one.term, one.kind, one.data) for one in image.entries] == [
        (1, 1, EntryKind.NO_OP, b""),
        (2, 1, EntryKind.COMMAND, b"first"),
        (3, 3, EntryKind.NO_OP, b""),
        (4, 3, EntryKind.COMMAND, b"in its place"),
    ]


def test_the_same_writes_make_the_same_folder(tmp_path: Path) -> None:
    write_replica(tmp_path / "replica", tmp_path / "witness")
    assert files_in(tmp_path / "replica") == files_in(FORMATS / "replica")
    assert files_in(tmp_path / "witness") == files_in(FORMATS / "witness")
    write_replica(tmp_path / "early", tmp_path / "early-witness", writes=WRITES[:5])
    assert files_in(tmp_path / "early") == files_in(FORMATS / "replica-early")


def test_a_replicas_identity_and_witness_have_these_bytes() -> None:
    assert (FORMATS / "replica" / "copy.json").read_bytes() == b'{"id":6510405511282792}'
    data = (FORMATS / "witness" / "witness").read_bytes()
    assert len(data) == 128 and read_witness_mark(data) == WitnessMark(8, 6510405511282792, 15)
    assert WitnessMark(5, 7, 12).encode().hex() == "00000000000000050000000000000007000000000000000c2b4336f6"


def test_a_stored_configuration_entry_is_read(tmp_path: Path) -> None:
    folder = tmp_path / "replica"
    write_replica(folder, tmp_path / "witness", writes=WRITES[:3])
    assert files_in(folder) == files_in(FORMATS / "replica-configured")
    shutil.rmtree(folder)
    copy_stored("replica-configured", folder)
    with (
        contextlib.closing(Disk(folder)) as disk,
        contextlib.closing(ReplicaStorage(disk, None, random.Random(1))) as storage,
    ):
        config = decode_configuration(storage.read_state().entries[2].data)
    assert config.voters == (4503599627370497, 2, 3) and config.learners == (4,)
    assert dict(config.locations)[4] == "d4"


# A node's disk.


def test_a_nodes_disk_identity_is_read_and_written_alike(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    stored = (FORMATS / "disk.json").read_bytes()
    (tmp_path / "old").mkdir()
    (tmp_path / "old" / "disk.json").write_bytes(stored)
    with contextlib.closing(Disk(tmp_path / "old")) as disk:
        identity = load_disk_identity(disk)
    assert identity.id == 4503599627370497
    assert identity.bootstrapped_groups == ["counter-0", "counter-1"]
    assert identity.latest_own_group == "book-7"
    assert identity.dissolved_groups == ["book-5", "book-6"]
    assert msgspec.json.encode(identity) == stored
    assert msgspec.json.decode(b'{"id":5}', type=DiskIdentity) == DiskIdentity(5)
    monkeypatch.setattr("random.SystemRandom", lambda: random.Random(8))
    with contextlib.closing(Disk(tmp_path / "new")) as disk:
        assert load_disk_identity(disk).id == 3336370223932723
    assert (tmp_path / "new" / "disk.json").read_bytes() == b'{"id":3336370223932723,"founded":[],"alone":"","over":[]}'


def test_names_of_folders_and_files() -> None:
    assert (node_disk.DISK_FILE, node_disk.GROUPS_FOLDER) == ("disk.json", "groups")
    assert derive_replica_id(4503599627370497, "counter-0") == 813743150357365
    assert log.segment_name(31) == "seg-000000000000001f.log"
    assert log.snapshot_name(31) == "snap-000000000000001f.snap"


# The log of records.


def test_a_stored_log_is_read(tmp_path: Path) -> None:
    with contextlib.closing(Disk(copy_stored("log", tmp_path / "log"))) as disk:
        opened = open_log(disk)
        assert (opened.snapshot, opened.start, opened.count, opened.torn_bytes) == (
            b"snapshot of three records",
            4,
            6,
            0,
        )
        assert list(opened.entries) == [
            b"\x04",
            b"four",
            b"fivefivefivefivefivefivefivefivefivefivefivefivefivefivefivefivefivefivefivefive",
            b"six",
            b"\x04",
            b"seven",
        ]
        assert opened.tail is not None
        assert (opened.tail[0].name, opened.tail[0].first, opened.tail[1]) == ("seg-000000000000000a.log", 10, 32)
        assert [(one.name, one.first) for one in log.segments(disk)] == [
            ("seg-0000000000000000.log", 0),
            ("seg-0000000000000006.log", 6),
            ("seg-000000000000000a.log", 10),
        ]
        assert log.snapshots(disk) == [("snap-0000000000000004.snap", 4)]
        data, after = read_records(disk, 1, 3)
        assert (decode_records(data, 1), after) == ([b"two", b"\x04"], 3)


def test_the_same_entries_make_the_same_log(tmp_path: Path) -> None:
    write_log(tmp_path / "log")
    assert files_in(tmp_path / "log") == files_in(FORMATS / "log")


def test_a_stored_log_is_continued_with_these_bytes(tmp_path: Path) -> None:
    with contextlib.closing(Disk(copy_stored("log", tmp_path / "log"))) as disk:
        writer = LogWriter(disk, open_log(disk), 200)
        writer.append_copied([b"copied", b"\x04"])
        writer.write([b"more"], durable=True)
        write_snapshot(disk, writer.synced, b"second snapshot")
        assert compact(disk, writer.synced) == []
        writer.write([b"and more"], durable=True)
        write_snapshot(disk, writer.synced, b"third snapshot")
        removed = compact(disk, writer.synced)
        writer.close()
    assert removed == ["seg-0000000000000000.log", "seg-0000000000000006.log", "snap-0000000000000004.snap"]
    assert files_in(tmp_path / "log") == files_in(FORMATS / "log-carried-on")


def test_parts_of_a_log_have_these_bytes() -> None:
    assert log.encode_segment_header(31).hex() == "4d535445504c4f4700000001000000000000001f0000000000000000f0bafeb8"
    assert log.encode_record(7, 2, b"entry").hex() == "00000005995e715b000000000000000700000002656e747279"
    assert (
        log.SYNC_MARKER == b"\x04"
        and log.encode_record(8, 0, log.SYNC_MARKER).hex() == "000000011bc72ae400000000000000080000000004"
    )
    assert log.fingerprint_entry(7, b"entry") == 3646334113


# The output of `copies verify`.


def test_verify_prints_these_lines(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    for node in ("a", "b"):
        copy_stored("replica", Path(node) / "groups" / "counter-0")
        copy_stored("replica-early", Path(node) / "groups" / "counter-1")
    assert run_verify() == (0, UNDAMAGED)
    other = [
        *WRITES[:4],
        DurableWrite(
            5,
            3,
            3,
            LogPosition(1, 3),
            3,
            (LogEntry(3, 3, EntryKind.NO_OP), LogEntry(4, 3, EntryKind.COMMAND, b"another")),
        ),
    ]
    shutil.rmtree("b/groups/counter-1")
    write_replica(Path("b/groups/counter-1"), tmp_path / "w", 21, other)
    segment = Path("a/groups/counter-0") / sorted(path.name for path in Path("a/groups/counter-0").glob("seg-*"))[-1]
    segment.write_bytes(segment.read_bytes()[:10] + b"!" + segment.read_bytes()[11:])
    assert run_verify() == (1, DAMAGED)


def run_verify() -> tuple[int, str]:
    done = CliRunner().invoke(cli, ["copies", "verify", "a", "b"])
    return done.exit_code, done.output


UNDAMAGED = """\
a/groups/counter-0: copy 6510405511282792, term 4, entries to 7
a/groups/counter-1: copy 6510405511282792, term 3, entries to 4
b/groups/counter-0: copy 6510405511282792, term 4, entries to 7
b/groups/counter-1: copy 6510405511282792, term 3, entries to 4
"""
DAMAGED = """\
a/groups/counter-0: seg-0000000000000000.log at byte 0: the header does not fit
a/groups/counter-1: copy 6510405511282792, term 3, entries to 4
b/groups/counter-0: copy 6510405511282792, term 4, entries to 7
b/groups/counter-1: copy 3764951860257031, term 3, entries to 4
counter-1: entry 4 of term 3 is not the same in a/groups/counter-1 and b/groups/counter-1
"""
IDENTITY = 6510405511282792
