"""The counter's protocol, entries and settings, byte by byte, against files that an earlier text wrote."""

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
TRY_FIELDS = ("r-é", "ada", "plan ☂", "read")


def golden(name: str) -> bytes:
    """A committed file's bytes."""
    return (STORED / name).read_bytes()


# The protocol -------------------------------------------------------------------------------------------

FRAMES: dict[str, Frame] = {
    "hello": Hello("door-0", 7, 2),
    "hello group": Hello("dö", 2**63, 3, 1, 9, "counter-1"),
    "add": Add(1, 2**63 - 1, -2.5, 1e6),
    "read": Read(3, 9),
    "record": RecordAttempt(4, 1.7e12, 2.0, True, *TRY_FIELDS),
    "follow": FollowRequest(5, 6, 7),
    "ack": FollowAck(8),
    "welcome": Welcome(5, 2, 1, 3),
    "total": TotalReply(1, Status.REPEATED, 3.5),
    "stored": RecordReply(2, Status.KNOWN),
    "refused": Rejection(Status.MOVED, "10.0.0.1:6400"),
    "entries": LogRecords(9, b"\0records\xff"),
}


def test_each_frame_is_written_and_read_as_committed() -> None:
    lines = dict(line.rsplit(" ", 1) for line in golden("frames.txt").decode().splitlines())
    assert lines == {name: frames.encode(frame).hex() for name, frame in FRAMES.items()}
    for name, frame in FRAMES.items():
        assert frames.decode(bytes.fromhex(lines[name])[8:]) == frame


def test_the_fields_of_the_frames_that_are_read() -> None:
    lines = dict(line.rsplit(" ", 1) for line in golden("frames.txt").decode().splitlines())
    made = frames.decode(bytes.fromhex(lines["record"])[8:])
    assert isinstance(made, RecordAttempt)
    assert (made.sequence, made.time_ms, made.units) == (4, 1.7e12, 2.0)
    assert (made.request_id, made.customer, made.plan) == TRY_FIELDS[:3]
    added = frames.decode(bytes.fromhex(lines["add"])[8:])
    assert isinstance(added, Add)
    assert (added.sequence, added.units, added.ttl_ms) == (1, -2.5, 1e6)


def test_the_statuses_have_their_numbers() -> None:
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


# Entries -----------------------------------------------------------------------------------------------


def test_entries_are_written_as_committed() -> None:
    counter = CounterState(LIMITS)
    counter.advance_clock(NOW_MS)
    door, hello = counter.begin_session("dö", 9)
    assert door is not None and hello is not None
    made = [
        hello,
        counter.execute(door, 9, Add(1, 2**64 - 1, 2.5, 1000.0))[1],
        counter.execute(door, 9, RecordAttempt(2, NOW_MS, 2.0, True, *TRY_FIELDS))[1],
        counter.execute(door, 9, RecordAttempt(3, NOW_MS, 2.0, True, *TRY_FIELDS))[1],
    ]
    assert [data.hex() if data else "" for data in made] == golden("entries.txt").decode().split()
    again = CounterState(LIMITS)
    for line in golden("entries.txt").decode().split():
        again.apply(bytes.fromhex(line))
    assert again.snapshot() == counter.snapshot()
    assert again.total(2**64 - 1) == 2.5 and sum(use.attempts for use in again.usage().values()) == 1


# What groups of replicas hold ---------------------------------------------------------------------------

PENDING = (
    AttemptRecord("r-1", NOW_MS, 1.5, True, *TRY_FIELDS[1:]),
    AttemptRecord("r-2", NOW_MS + 1, 1.0, False, "bob", "basic", "write"),
)


def book_entries() -> list[bytes]:
    """One entry of each kind."""
    return [
        pending_increments.encode_entry(SetOwner("door-0")),
        pending_increments.encode_entry(AddPending(PENDING)),
        pending_increments.encode_entry(Acknowledge(("r-2", "r-9"))),
        pending_increments.encode_entry(FenceOwner()),
    ]


def replicated_entries() -> list[bytes]:
    """One entry of each kind."""
    return [
        encode_entry(NOW_MS, "dö", 7, Hello("dö", 7)),
        encode_entry(NOW_MS + 1, "dö", 7, Add(1, 5, 2.5, 1000.0)),
        encode_entry(NOW_MS + 2, "dö", 7, RecordAttempt(2, NOW_MS, 2.0, True, *TRY_FIELDS)),
    ]


def test_a_book_is_written_and_read_as_committed() -> None:
    lines = golden("book-entries.txt").decode().split()
    assert [data.hex() for data in book_entries()] == lines
    book = PendingIncrements()
    assert [book.apply(bytes.fromhex(line)) for line in lines] == [True] * 4
    assert not book.apply(bytes.fromhex(lines[1]))
    assert (book.owner, book.fenced, book.acknowledged_count, book.pending) == ("door-0", True, 1, {"r-1": PENDING[0]})
    made = book.pending["r-1"]
    assert (made.request_id, made.time_ms, made.units, made.over_quota) == ("r-1", NOW_MS, 1.5, True)
    assert (made.customer, made.plan, made.request_class) == TRY_FIELDS[1:]
    assert book.snapshot() == golden("book.snapshot")
    other = PendingIncrements()
    other.restore(golden("book.snapshot"))
    assert (other.owner, other.fenced, other.acknowledged_count, other.pending) == (
        "door-0",
        True,
        1,
        {"r-1": PENDING[0]},
    )
    assert other.snapshot() == golden("book.snapshot")


def test_a_replicated_counter_is_written_and_read_as_committed() -> None:
    lines = golden("replicated-entries.txt").decode().split()
    assert [data.hex() for data in replicated_entries()] == lines
    machine = ReplicatedCounter(LIMITS)
    assert [machine.apply(bytes.fromhex(line)) for line in lines] == [
        Welcome(0),
        TotalReply(1, Status.DONE, 2.5),
        RecordReply(2, Status.DONE),
    ]
    assert machine.snapshot() == golden("replicated.snapshot")
    other = ReplicatedCounter(LIMITS)
    other.restore(golden("replicated.snapshot"))
    assert other.apply(bytes.fromhex(lines[1])) == TotalReply(1, Status.REPEATED, 2.5)
    assert other.total(5) == 2.5


# Settings -----------------------------------------------------------------------------------------------


def described(message: Descriptor) -> list[str]:
    """Each key of a message and of those inside it: label, type, name, number, default."""
    lines = []
    for key in message.fields:
        kind = key.message_type.full_name if key.message_type else f"type {key.type}"
        default = repr(key.default_value) if key.has_default_value else "-"
        label = "repeated" if key.is_repeated else "optional"
        lines.append(f"{message.full_name}: {label} {kind} {key.name} = {key.number} [{default}]")
    for inner in message.nested_types:
        lines += described(inner)
    return lines


def test_the_settings_have_their_keys() -> None:
    made = [line for message in counter_pb2.DESCRIPTOR.message_types_by_name.values() for line in described(message)]
    assert made == golden("settings.txt").decode().splitlines()
