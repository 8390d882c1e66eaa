"""State and log together, by group commit: commands in, replies out once what they rest on is durable.

Commands change the state at once, so that those of one group see each other, but no reply leaves before the group's
entries are written and synced.  If that fails nothing is acknowledged any more: the state is then ahead of the disk by
the groups that were not written, so a read of a key that they touched is not answered either; all others are.
"""

from __future__ import annotations

import contextlib
from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

from martenstep.counter.log_entries import ENTRY_ADD, decode_add, encode_term
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
from martenstep.counter.state import CounterLimits, CounterState, GatewayState
from martenstep.storage.files import Files
from martenstep.storage.log import LogError, LogWriter, OpenedLog, compact, open_log, write_snapshot

DEFAULT_SEGMENT_BYTES = 64 << 20
Client = TypeVar("Client")  # whoever a reply goes to
AddressedReply = tuple[Client, Reply]  # a plain pair: one is made for each command


@dataclass(frozen=True, slots=True)
class LogOptions:
    """How the log is written."""

    segment_bytes: int = DEFAULT_SEGMENT_BYTES
    durable: bool = True  # whether groups are synced
    snapshot_records: int = 0  # a snapshot is due each so many records; 0: never
    retention_ms: float = 0.0  # of segments that a snapshot makes useless


@dataclass(slots=True)
class Session:
    """The gateway of one connection, and its epoch."""

    gateway: GatewayState
    epoch: int


@dataclass(slots=True)
class CommitGroup(Generic[Client]):
    """What is made durable together, and the replies that wait for it."""

    entries: list[bytes] = field(default_factory=list)
    first_index: int = 0  # once written: the number of the first record
    records: bytes = b""  # once written: the records, for followers
    replies: list[AddressedReply[Client]] = field(default_factory=list)


@dataclass(slots=True)
class RecoveredLog:
    """A log that was read anew after a failure, and can be written."""

    state: CounterState
    writer: LogWriter
    record_count: int


@dataclass(frozen=True, slots=True)
class _SnapshotMark:
    """When a snapshot was stored, and how many records were in it."""

    time_ms: float
    record_count: int


def rebuild_state(opened: OpenedLog, limits: CounterLimits) -> CounterState:
    """Rebuild the state from a log; raises LogError if a snapshot's body cannot be read."""
    state = CounterState(limits)
    if opened.snapshot is not None:
        try:
            state = CounterState.from_snapshot(limits, opened.snapshot)
        except msgspec.DecodeError as error:
            raise LogError("snapshot", 0, str(error)) from None
    for entry in opened.entries:
        state.apply(entry)
    return state


class CommitPipeline(Generic[Client]):
    """The counter over a directory."""

    def __init__(self, files: Files, limits: CounterLimits, options: LogOptions | None = None) -> None:
        """Read the log; raises LogError, OSError."""
        self._files = files
        self._limits = limits
        self._options = options or LogOptions()
        opened = open_log(files)
        self.truncated_bytes = opened.torn_bytes  # of a torn tail
        self.state = rebuild_state(opened, limits)
        self._writer = LogWriter(files, opened, self._options.segment_bytes)
        self._last_snapshot_records = opened.start
        self._snapshot_marks: list[_SnapshotMark] = []  # for retention
        self.pending_group: CommitGroup[Client] = CommitGroup()
        self.failure = ""  # why nothing is acknowledged any more
        self.fenced = False  # by a later term: then nothing ever is again
        self._uncertain_keys: set[int] = set()  # keys that the state knows more of than the disk

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

    # Terms

    def fence_if_superseded(self, term: int) -> bool:
        """Fence this log if the term, which was seen elsewhere, is later: nothing more is acknowledged then."""
        if term <= self.state.term:
            return False
        self.fenced = True
        self.failure = self.failure or f"fenced: term {term} has begun elsewhere, this is term {self.state.term}"
        return True

    def begin_term(self) -> int:
        """Promote: begin the next term durably, and return it; raises OSError."""
        term = self.state.term + 1
        entry = encode_term(self.state.now_ms, term)
        self.state.apply(entry)
        self._writer.write([entry], True)
        return term

    # Commands

    def open_session(self, name: str, epoch: int) -> Session | None:
        """Begin a gateway's session; None if its epoch is over, or nothing can be written."""
        if self.failure:
            return None
        gateway, entry = self.state.begin_session(name, epoch)
        if entry is not None:
            self.pending_group.entries.append(entry)
        return Session(gateway, epoch) if gateway is not None else None

    def submit(self, client: Client, session: Session, command: Add | Read | RecordAttempt) -> None:
        """Execute one command; its reply comes with the group."""
        if self.failure and (not isinstance(command, Read) or command.key in self._uncertain_keys):
            reply: Reply = reply_without_result(command, Status.UNWRITTEN)
            self.pending_group.replies.append((client, reply))
            return
        gateway = self.state.gateway(session.gateway.name)
        reply, entry = self.state.execute(gateway, session.epoch, command)
        if entry is not None:
            self.pending_group.entries.append(entry)
        self.pending_group.replies.append((client, reply))

    # Group commit

    def take_group(self) -> CommitGroup[Client]:
        """Return what came in since the last group, and begin another."""
        group, self.pending_group = self.pending_group, CommitGroup()
        return group

    def write_group(self, group: CommitGroup[Client]) -> str:
        """Make a group durable; returns why that failed, or nothing.  May run beside `submit`, not beside itself."""
        if not group.entries:
            return ""
        try:
            group.first_index, group.records = self._writer.write(group.entries, self._options.durable)
        except OSError as error:
            return error.strerror or str(error)
        return ""

    def finish_group(self, group: CommitGroup[Client], failure: str) -> list[AddressedReply[Client]]:
        """Return the replies that may be sent, after a group was written or that failed."""
        if failure and not self.failure:
            self.failure = failure
        if not self.failure or not group.entries:
            return group.replies
        for entry in [*group.entries, *self.pending_group.entries]:
            if entry[0] == ENTRY_ADD:
                self._uncertain_keys.add(decode_add(entry).key)
        # Nobody is told of what may not be there: neither this group nor what was decided upon it since.
        since = self.take_group()
        return [self._without_result(addressed) for addressed in (*group.replies, *since.replies)]

    @staticmethod
    def _without_result(addressed: AddressedReply[Client]) -> AddressedReply[Client]:
        client, reply = addressed
        if not isinstance(reply, TotalReply | RecordReply):
            return addressed
        return client, reply_without_result(reply, Status.UNWRITTEN)

    def commit_pending(self) -> list[AddressedReply[Client]]:
        """Take, write and answer in one step."""
        group = self.take_group()
        return self.finish_group(group, self.write_group(group))

    # Recovery

    def recover_log(self) -> RecoveredLog:
        """Read the directory anew, and make all that it holds durable in files of its own.

        What stands in the old ones behind a failed sync may be there or not.  The pipeline goes on as it was.  Raises
        OSError or LogError.
        """
        with contextlib.suppress(OSError):
            self._writer.abandon()
        opened = open_log(self._files)
        state = rebuild_state(opened, self._limits)
        record_count = opened.start + opened.count
        write_snapshot(self._files, record_count, state.snapshot())
        if opened.tail is not None:
            segment, end = opened.tail
            if segment.first == record_count:  # it was begun and holds nothing
                self._files.remove(segment.name)
            else:
                self._files.append(segment.name, end).close()  # it is no longer the last, which alone may be torn
        fresh = OpenedLog(None, record_count, iter(()), 0, None, 0)
        return RecoveredLog(state, LogWriter(self._files, fresh, self._options.segment_bytes), record_count)

    def resume(self, recovered: RecoveredLog) -> None:
        """Go on with what was recovered; every session has to begin anew."""
        self.state = recovered.state
        self._writer = recovered.writer
        self._last_snapshot_records = recovered.record_count
        self.pending_group = CommitGroup()
        self.failure = ""
        self._uncertain_keys.clear()

    # Snapshots

    def snapshot_due(self) -> bool:
        """Whether enough records came since the last snapshot."""
        return (
            bool(self._options.snapshot_records)
            and not self.failure
            and (self.record_count - self._last_snapshot_records >= self._options.snapshot_records)
        )

    def encode_snapshot(self) -> tuple[int, bytes]:
        """Return how many records are in the state, and the state as a snapshot's body.

        Only with no group pending; raises OSError if what was written cannot be made durable.
        """
        assert not self.pending_group.entries, "a snapshot holds only what is durable"
        if not self._options.durable:
            self._writer.sync()
        return self._writer.synced, self.state.snapshot()

    def store_snapshot(self, record_count: int, body: bytes) -> list[str]:
        """Write a snapshot and remove segments that it makes useless and that are old enough; returns their names.

        Raises OSError: the log is then as it was.
        """
        write_snapshot(self._files, record_count, body)
        self._last_snapshot_records = record_count
        self._snapshot_marks.append(_SnapshotMark(self.state.now_ms, record_count))
        oldest_ms = self.state.now_ms - self._options.retention_ms
        expired = [mark.record_count for mark in self._snapshot_marks if mark.time_ms <= oldest_ms]
        return compact(self._files, expired[-1]) if expired else []

    def close(self) -> None:
        """Make the rest durable and close."""
        if not self.failure:
            self._writer.close()
