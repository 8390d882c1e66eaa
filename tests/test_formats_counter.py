"""The counter's protocol, entries and settings, compared byte by byte with files that an earlier version wrote."""

from __future__ import annotations

from pathlib import Path

from google.protobuf.descriptor import Descriptor

from martenstep.counter import counter_pb2, pending_increments
from martenstep.counter import protocol as frames
from martenstep.counter.pending_increments import (
    Acknowledge,
    AddPending,
    AttemptRecord,
    FenceOwner,
    PendingIncrements,
    SetOwner,
)
from martenstep.counter.protocol import (
    Add,
    FollowAck,
    FollowRequest,
    Frame,
    Hello,
    LogRecords,
    Read,
    RecordAttempt,
    RecordReply,
    Rejection,
    Status,
    TotalReply,
    Welcome,
)
from martenstep.counter.replicated_counter import ReplicatedCounter, encode_entry
from martenstep.counter.state import CounterLimits, CounterState

STORED = Path(__file__).parent / "formats" / "counter"
NOW_MS = 1_700_000_000_000.0
LIMITS = CounterLimits(
    deduplication_window=4, attempt_window_ms=60_000.0, max_attempts=100, max_keys=100, period_ms=3_600_000.0
)
ATTEMPT_FIELDS = ("r-é", "ada", "plan ☂", "read")


def golden(name: str) -> bytes:
    """Return the bytes of a committed file."""
    return (STORED / name).read_bytes()


# The protocol

FRAMES: dict[str, Frame] = {
    "hello": Hello("door-0", 7, 2),
    "hello group": Hello("dö", 2**63, 3, 1, 9, "counter-1"),
    "add": Add(1, 2**63 - 1, -2.5, 1e6),
    "read": Read(3, 9),
    "record": RecordAttempt(4, 1.7e12, 2.0, True, *ATTEMPT_FIELDS),
    "follow": FollowRequest(5, 6, 7),
    "ack": FollowAck(8),
    "welcome": Welcome(5, 2, 1, 3),
    "total": TotalReply(1, Status.REPEATED, 3.5),
    "stored": RecordReply(2, Status.KNOWN),
    "refused": Rejection(Status.MOVED, "10.0.0.1:6400"),
    "entries": LogRecords(9, b"\0records\xff"),
}


def test_each_frame_is_encoded_and_decoded_as_committed() -> None:
    lines = dict(line.rsplit(" ", 1) for line in golden("frames.txt").decode().splitlines())
    assert lines == {name: frames.encode(frame).hex() for name, frame in FRAMES.items()}
    for name, frame in FRAMES.items():
        assert frames.decode(bytes.fromhex(lines[name])[8:]) == frame


def test_decoded_frames_have_the_committed_fields() -> None:
    lines = dict(line.rsplit(" ", 1) for line in golden("frames.txt").decode().splitlines())
    attempt = frames.decode(bytes.fromhex(lines["record"])[8:])
    assert isinstance(attempt, RecordAttempt)
    assert (attempt.sequence, attempt.time_ms, attempt.units) == (4, 1.7e12, 2.0)
    assert (attempt.request_id, attempt.customer, attempt.plan) == ATTEMPT_FIELDS[:3]
    add = frames.decode(bytes.fromhex(lines["add"])[8:])
    assert isinstance(add, Add)
    assert (add.sequence, add.units, add.ttl_ms) == (1, -2.5, 1e6)


def test_each_status_keeps_its_number() -> None:
    assert [int(status) for status in Status] == list(range(12))
    assert [Status(number).name for number in range(12)] == [
        "DONE",
        "REPEATED",
        "KNOWN",
        "TOO_OLD",
        "REUSED",
        "FENCED",
        "FULL",
        "UNWRITTEN",
        "VERSION",
        "MAP",
        "BAD",
        "MOVED",
    ]


# Log entries


def test_log_entries_are_encoded_as_committed() -> None:
    state = CounterState(LIMITS)
    state.advance_clock(NOW_MS)
    gateway, session_entry = state.begin_session("dö", 9)
    assert gateway is not None and session_entry is not None
    entries = [
        session_entry,
        state.execute(gateway, 9, Add(1, 2**64 - 1, 2.5, 1000.0))[1],
        state.execute(gateway, 9, RecordAttempt(2, NOW_MS, 2.0, True, *ATTEMPT_FIELDS))[1],
        state.execute(gateway, 9, RecordAttempt(3, NOW_MS, 2.0, True, *ATTEMPT_FIELDS))[1],
    ]
    assert [data.hex() if data else "" for data in entries] == golden("entries.txt").decode().split()
    rebuilt = CounterState(LIMITS)
    for line in golden("entries.txt").decode().split():
        rebuilt.apply(bytes.fromhex(line))
    assert rebuilt.snapshot() == state.snapshot()
    assert rebuilt.total(2**64 - 1) == 2.5 and sum(totals.attempts for totals in rebuilt.usage().values()) == 1


# Entries and snapshots of replica groups

PENDING = (
    AttemptRecord("r-1", NOW_MS, 1.5, True, *ATTEMPT_FIELDS[1:]),
    AttemptRecord("r-2", NOW_MS + 1, 1.0, False, "bob", "basic", "write"),
)


def pending_entries() -> list[bytes]:
    """Return one entry of each type of pending increments."""
    return [
        pending_increments.encode_entry(SetOwner("door-0")),
        pending_increments.encode_entry(AddPending(PENDING)),
        pending_increments.encode_entry(Acknowledge(("r-2", "r-9"))),
        pending_increments.encode_entry(FenceOwner()),
    ]


def replicated_entries() -> list[bytes]:
    """Return one entry of each type of the replicated counter."""
    return [
        encode_entry(NOW_MS, "dö", 7, Hello("dö", 7)),
        encode_entry(NOW_MS + 1, "dö", 7, Add(1, 5, 2.5, 1000.0)),
        encode_entry(NOW_MS + 2, "dö", 7, RecordAttempt(2, NOW_MS, 2.0, True, *ATTEMPT_FIELDS)),
    ]


def test_pending_increments_are_encoded_and_decoded_as_committed() -> None:
    lines = golden("book-entries.txt").decode().split()
    assert [data.hex() for data in pending_entries()] == lines
    increments = PendingIncrements()
    assert [increments.apply(bytes.fromhex(line)) for line in lines] == [True] * 4
    assert not increments.apply(bytes.fromhex(lines[1]))
    assert (increments.owner, increments.fenced, increments.acknowledged_count, increments.pending) == (
        "door-0",
        True,
        1,
        {"r-1": PENDING[0]},
    )
    attempt = increments.pending["r-1"]
    assert (attempt.request_id, attempt.time_ms, attempt.units, attempt.over_quota) == ("r-1", NOW_MS, 1.5, True)
    assert (attempt.customer, attempt.plan, attempt.request_class) == ATTEMPT_FIELDS[1:]
    assert increments.snapshot() == golden("book.snapshot")
    restored = PendingIncrements()
    restored.restore(golden("book.snapshot"))
    assert (restored.owner, restored.fenced, restored.acknowledged_count, restored.pending) == (
        "door-0",
        True,
        1,
        {"r-1": PENDING[0]},
    )
    assert restored.snapshot() == golden("book.snapshot")


def test_a_replicated_counter_is_encoded_and_decoded_as_committed() -> None:
    lines = golden("replicated-entries.txt").decode().split()
    assert [data.hex() for data in replicated_entries()] == lines
    machine = ReplicatedCounter(LIMITS)
    assert [machine.apply(bytes.fromhex(line)) for line in lines] == [
        Welcome(0),
        TotalReply(1, Status.DONE, 2.5),
        RecordReply(2, Status.DONE),
    ]
    assert machine.snapshot() == golden("replicated.snapshot")
    restored = ReplicatedCounter(LIMITS)
    restored.restore(golden("replicated.snapshot"))
    assert restored.apply(bytes.fromhex(lines[1])) == TotalReply(1, Status.REPEATED, 2.5)
    assert restored.total(5) == 2.5


# Settings


def describe_keys(message: Descriptor) -> list[str]:
    """Describe each key of a message and of its nested messages: label, type, name, number, default."""
    lines = []
    for key in message.fields:
        kind = key.message_type.full_name if key.message_type else f"type {key.type}"
        default = repr(key.default_value) if key.has_default_value else "-"
        label = "repeated" if key.is_repeated else "optional"
        lines.append(f"{message.full_name}: {label} {kind} {key.name} = {key.number} [{default}]")
    for nested in message.nested_types:
        lines += describe_keys(nested)
    return lines


def test_the_settings_keep_their_keys() -> None:
    lines = [
        line for message in counter_pb2.DESCRIPTOR.message_types_by_name.values() for line in describe_keys(message)
    ]
    assert lines == golden("settings.txt").decode().splitlines()
