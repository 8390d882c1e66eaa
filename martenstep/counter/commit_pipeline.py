"""State and log together: commands in, replies out once what they rest on is durable.

Commands change the state at once, so that those of one group see each other, but no reply leaves before the group's
entries are written and synced.  Where that fails nothing is acknowledged any more: the state is then ahead of the disk
by the groups that were not written, so a read of a name that they touched is not answered either; all others are.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from martenstep.counter.protocol import (
    Add,
    Read,
    RecordAttempt,
    RecordReply,
    Reply,
    Status,
    TotalReply,
    reply_without_result,
)
from martenstep.counter.state import ENTRY_ADD, CounterLimits, CounterState, GatewayState, decode_add, encode_term
from martenstep.storage.files import Files
from martenstep.storage.log import LogError, Opened, Writer, compact, open_log, write_snapshot


@dataclass(slots=True)
class Session:
    """One connection's door, and which of its lives."""

    gateway: GatewayState
    epoch: int


@dataclass(slots=True)
class CommitGroup:
    """What is made durable together, and whom it answers."""

    entries: list[bytes] = field(default_factory=list)
    first_index: int = 0  # once written: the number of the first record, and the records, for followers
    records: bytes = b""
    replies: list[tuple[Any, Reply]] = field(default_factory=list)


@dataclass(slots=True)
class RecoveredLog:
    """A log that was read anew after a failure, and can be written."""

    state: CounterState
    writer: Writer
    record_count: int


def rebuild_state(opened: Opened, limits: CounterLimits) -> CounterState:
    """The state that a log tells; raises LogError where a snapshot's body cannot be read."""
    counter = CounterState(limits)
    if opened.snapshot is not None:
        try:
            counter = CounterState.from_snapshot(limits, opened.snapshot)
        except msgspec.DecodeError as error:
            raise LogError("snapshot", 0, str(error)) from None
    for entry in opened.entries:
        counter.apply(entry)
    return counter


class CommitPipeline:
    """The counter over a directory."""

    def __init__(
        self,
        files: Files,
        limits: CounterLimits,
        segment_bytes: int = 64 << 20,
        durable: bool = True,
        snapshot_records: int = 0,
        keep_ms: float = 0.0,
    ) -> None:
        self._files, self._durable = files, durable
        self._snapshot_records, self._keep_ms = snapshot_records, keep_ms
        opened = open_log(files)
        self.truncated_bytes = opened.cut
        self.state = rebuild_state(opened, limits)
        self._writer = Writer(files, opened, segment_bytes)
        self._last_snapshot = opened.start
        self._marks: list[tuple[float, int]] = []  # time and records at each snapshot, for retention
        self.pending_group = CommitGroup()
        self.failure = ""  # why nothing is acknowledged any more
        self.fenced = False  # by a later term: then nothing ever is again
        self._limits, self._segment_bytes = limits, segment_bytes
        self._touched: set[int] = set()  # names that the state knows more of than the disk

    @property
    def record_count(self) -> int:
        """Records in the log."""
        return self._writer.next

    @property
    def durable_count(self) -> int:
        """Records that are durable."""
        return self._writer.synced

    @property
    def files(self) -> Files:
        """The directory, for what reads old records."""
        return self._files

    def fence_if_superseded(self, term: int) -> bool:
        """A later term has begun elsewhere: nothing more is acknowledged here.  False where it has not."""
        if term <= self.state.term:
            return False
        self.fenced = True
        self.failure = self.failure or f"fenced: term {term} has begun elsewhere, this is term {self.state.term}"
        return True

    def begin_term(self) -> int:
        """Promote: begin the next term, durably; gives it.  Raises OSError."""
        term = self.state.term + 1
        entry = encode_term(self.state.now_ms, term)
        self.state.apply(entry)
        self._writer.write([entry], True)
        return term

    def open_session(self, name: str, epoch: int) -> Session | None:
        """A door begins a session; None where its epoch is over, or nothing can be written."""
        if self.failure:
            return None
        door, entry = self.state.begin_session(name, epoch)
        if entry is not None:
            self.pending_group.entries.append(entry)
        return Session(door, epoch) if door is not None else None

    def submit(self, who: Any, session: Session, command: Add | Read | RecordAttempt) -> None:
        """Take in one command; its reply comes with the group."""
        if self.failure and (not isinstance(command, Read) or command.key in self._touched):
            self.pending_group.replies.append((who, reply_without_result(command, Status.UNWRITTEN)))
            return
        door = session.gateway
        current = self.state.gateway(door.name)
        reply, entry = self.state.execute(current, session.epoch, command)
        if entry is not None:
            self.pending_group.entries.append(entry)
        self.pending_group.replies.append((who, reply))

    def take_group(self) -> CommitGroup:
        """What came in since the last group."""
        group, self.pending_group = self.pending_group, CommitGroup()
        return group

    def write_group(self, group: CommitGroup) -> str:
        """Make a group durable; gives why that failed, or nothing.  May run beside `command`, not beside itself."""
        if not group.entries:
            return ""
        try:
            group.first_index, group.records = self._writer.write(group.entries, self._durable)
        except OSError as error:
            return error.strerror or str(error)
        return ""

    def finish_group(self, group: CommitGroup, fault: str) -> list[tuple[Any, Reply]]:
        """The replies that may go out."""
        if fault and not self.failure:
            self.failure = fault
        if not self.failure or not group.entries:
            return group.replies
        for entry in [*group.entries, *self.pending_group.entries]:
            if entry[0] == ENTRY_ADD:
                self._touched.add(decode_add(entry).key)
        # Nobody is told of what may not be there: neither this group nor what was decided upon it since.
        since, self.pending_group = self.pending_group, CommitGroup()
        doubtful = [*group.replies, *since.replies]
        return [
            (
                who,
                reply_without_result(reply, Status.UNWRITTEN) if isinstance(reply, TotalReply | RecordReply) else reply,
            )
            for who, reply in doubtful
        ]

    def recover_log(self) -> RecoveredLog:
        """Read the directory anew and make all that it tells durable in files of its own: what stands in the old ones
        behind a failed sync may be there or not.  The keeper goes on as it was.  Raises OSError or LogError."""
        with contextlib.suppress(OSError):
            self._writer.abandon()
        opened = open_log(self._files)
        counter = rebuild_state(opened, self._limits)
        records = opened.start + opened.count
        write_snapshot(self._files, records, counter.snapshot())
        if opened.tail is not None:
            segment, end = opened.tail
            if segment.first == records:  # it was begun and holds nothing
                self._files.remove(segment.name)
            else:
                self._files.append(segment.name, end).close()  # it is no longer the last, which alone may be torn
        fresh = Opened(None, records, iter(()), 0, None, 0)
        return RecoveredLog(counter, Writer(self._files, fresh, self._segment_bytes), records)

    def resume(self, recovered: RecoveredLog) -> None:
        """Go on with what was recovered; every session has to begin anew."""
        self.state, self._writer = recovered.state, recovered.writer
        self._last_snapshot = recovered.record_count
        self.pending_group, self.failure = CommitGroup(), ""
        self._touched.clear()

    def commit_pending(self) -> list[tuple[Any, Reply]]:
        """Take, write and answer in one step."""
        group = self.take_group()
        return self.finish_group(group, self.write_group(group))

    def snapshot_due(self) -> bool:
        """Whether so many records came since the last snapshot."""
        return (
            bool(self._snapshot_records)
            and not self.failure
            and (self.record_count - self._last_snapshot >= self._snapshot_records)
        )

    def encode_snapshot(self) -> tuple[int, bytes]:
        """The state as a snapshot's body, and how many records are in it.  Only with no group between; raises
        OSError where what was written cannot be made durable."""
        assert not self.pending_group.entries, "a snapshot holds only what is durable"
        if not self._durable:
            self._writer.sync()
        return self._writer.synced, self.state.snapshot()

    def store_snapshot(self, records: int, body: bytes) -> list[str]:
        """Write a snapshot and let go of segments that it makes useless and that are old enough; gives their names.
        Raises OSError: the log is then as it was."""
        write_snapshot(self._files, records, body)
        self._last_snapshot = records
        self._marks.append((self.state.now_ms, records))
        old = [mark for at, mark in self._marks if at <= self.state.now_ms - self._keep_ms]
        return compact(self._files, old[-1]) if old else []

    def close(self) -> None:
        """Make the rest durable and close."""
        if not self.failure:
            self._writer.close()
