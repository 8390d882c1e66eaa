"""The commit pipeline: it executes commands on the state, and releases their replies by group commit.

A command changes the state immediately, so that later commands of the same group observe it, but no reply is released
before the group's entries are written and synced.  If that fails, nothing more is acknowledged: the state is ahead of
the disk by the groups that were not written.  Reads of the keys that those groups changed are then rejected as well,
while reads of all other keys are answered.
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
Client = TypeVar("Client")  # the receiver of a reply
AddressedReply = tuple[Client, Reply]  # a plain tuple, because one is created for each command


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Options for writing the log."""

    segment_bytes: int = DEFAULT_SEGMENT_BYTES
    durable: bool = True  # whether each group is synced
    snapshot_records: int = 0  # the number of records between two snapshots; 0: no snapshots
    retention_ms: float = 0.0  # how long segments are kept after a snapshot covers them


@dataclass(slots=True)
class Session:
    """The session of one connection: its gateway and the gateway's epoch."""

    gateway: GatewayState
    epoch: int


@dataclass(slots=True)
class CommitGroup(Generic[Client]):
    """Entries that are made durable together, and the replies that are released afterwards."""

    entries: list[bytes] = field(default_factory=list)
    first_index: int = 0  # once written: the index of the first record
    records: bytes = b""  # once written: the records, for followers
    replies: list[AddressedReply[Client]] = field(default_factory=list)


@dataclass(slots=True)
class RecoveredLog:
    """A log that was read again after a failure, and is writable."""

    state: CounterState
    writer: LogWriter
    record_count: int


@dataclass(frozen=True, slots=True)
class _SnapshotMark:
    """When a snapshot was stored, and how many records it covers."""

    time_ms: float
    record_count: int


def rebuild_state(opened: OpenedLog, limits: CounterLimits) -> CounterState:
    """Rebuild the state from a log; raises LogError if the snapshot's body cannot be decoded."""
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
    """The counter's state together with the log in one directory."""

    def __init__(self, files: Files, limits: CounterLimits, options: LogOptions | None = None) -> None:
        """Read the log and rebuild the state; raises LogError, OSError."""
        self._files = files
        self._limits = limits
        self._options = options or LogOptions()
        opened = open_log(files)
        self.truncated_bytes = opened.torn_bytes  # the size of the torn tail that was removed on opening
        self.state = rebuild_state(opened, limits)
        self._writer = LogWriter(files, opened, self._options.segment_bytes)
        self._last_snapshot_records = opened.start
        self._snapshot_marks: list[_SnapshotMark] = []  # these decide the retention of segments
        self.pending_group: CommitGroup[Client] = CommitGroup()
        self.failure = ""  # why nothing is acknowledged any more; empty if writing works
        self.fenced = False  # whether a later term has ended this log's acknowledgements for good
        self._indeterminate_keys: set[int] = set()  # keys whose totals may be ahead of the disk

    @property
    def record_count(self) -> int:
        """The number of records in the log."""
        return self._writer.next

    @property
    def durable_count(self) -> int:
        """The number of records that are durable."""
        return self._writer.synced

    @property
    def files(self) -> Files:
        """The directory, for readers of old records."""
        return self._files

    # Terms

    def fence_if_superseded(self, term: int) -> bool:
        """Fence this log if a term that was observed elsewhere is later: nothing more is acknowledged then."""
        if term <= self.state.term:
            return False
        self.fenced = True
        self.failure = self.failure or f"fenced: term {term} has begun elsewhere, this is term {self.state.term}"
        return True

    def begin_term(self) -> int:
        """Begin the next term durably, for a promotion, and return it; raises OSError."""
        term = self.state.term + 1
        entry = encode_term(self.state.now_ms, term)
        self.state.apply(entry)
        self._writer.write([entry], True)
        return term

    # Commands

    def open_session(self, name: str, epoch: int) -> Session | None:
        """Begin a gateway's session; returns None if its epoch is over or the log cannot be written."""
        if self.failure:
            return None
        gateway, entry = self.state.begin_session(name, epoch)
        if entry is not None:
            self.pending_group.entries.append(entry)
        return Session(gateway, epoch) if gateway is not None else None

    def submit(self, client: Client, session: Session, command: Add | Read | RecordAttempt) -> None:
        """Execute one command; its reply is released with its group."""
        if self.failure and (not isinstance(command, Read) or command.key in self._indeterminate_keys):
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
        """Return the pending group, and begin another."""
        group, self.pending_group = self.pending_group, CommitGroup()
        return group

    def write_group(self, group: CommitGroup[Client]) -> str:
        """Make a group durable; returns the failure, or an empty string.

        It may run in a thread while `submit` runs, but two calls must not overlap.
        """
        if not group.entries:
            return ""
        try:
            group.first_index, group.records = self._writer.write(group.entries, self._options.durable)
        except OSError as error:
            return error.strerror or str(error)
        return ""

    def finish_group(self, group: CommitGroup[Client], failure: str) -> list[AddressedReply[Client]]:
        """Return the replies that may be sent after a group was written, or failed to be written."""
        if failure and not self.failure:
            self.failure = failure
        if not self.failure or not group.entries:
            return group.replies
        for entry in [*group.entries, *self.pending_group.entries]:
            if entry[0] == ENTRY_ADD:
                self._indeterminate_keys.add(decode_add(entry).key)
        # This group may not be on disk, so neither it nor the commands executed on top of it are acknowledged.
        later_group = self.take_group()
        return [self._without_result(addressed) for addressed in (*group.replies, *later_group.replies)]

    @staticmethod
    def _without_result(addressed: AddressedReply[Client]) -> AddressedReply[Client]:
        client, reply = addressed
        if not isinstance(reply, TotalReply | RecordReply):
            return addressed
        return client, reply_without_result(reply, Status.UNWRITTEN)

    def commit_pending(self) -> list[AddressedReply[Client]]:
        """Write the pending group, and return its replies."""
        group = self.take_group()
        return self.finish_group(group, self.write_group(group))

    # Recovery

    def recover_log(self) -> RecoveredLog:
        """Read the directory again, and make its whole content durable in a new snapshot and a new segment.

        Old files cannot be relied on: after a failed sync their last bytes may or may not be on disk.  The pipeline
        itself is unchanged until `resume`.  Raises OSError or LogError.
        """
        with contextlib.suppress(OSError):
            self._writer.abandon()
        opened = open_log(self._files)
        state = rebuild_state(opened, self._limits)
        record_count = opened.start + opened.count
        write_snapshot(self._files, record_count, state.snapshot())
        if opened.tail is not None:
            segment, end = opened.tail
            if segment.first == record_count:  # the segment was created and holds no records
                self._files.remove(segment.name)
            else:
                # Only the last segment may have a torn tail, and this is no longer the last.
                self._files.append(segment.name, end).close()
        empty_log = OpenedLog(None, record_count, iter(()), 0, None, 0)
        return RecoveredLog(state, LogWriter(self._files, empty_log, self._options.segment_bytes), record_count)

    def resume(self, recovered: RecoveredLog) -> None:
        """Continue with a recovered log; every gateway has to open a new session."""
        self.state = recovered.state
        self._writer = recovered.writer
        self._last_snapshot_records = recovered.record_count
        self.pending_group = CommitGroup()
        self.failure = ""
        self._indeterminate_keys.clear()

    # Snapshots

    def snapshot_due(self) -> bool:
        """Whether enough records were written since the last snapshot."""
        return (
            bool(self._options.snapshot_records)
            and not self.failure
            and (self.record_count - self._last_snapshot_records >= self._options.snapshot_records)
        )

    def encode_snapshot(self) -> tuple[int, bytes]:
        """Return the number of records that the state covers, and the state as a snapshot's body.

        Must be called while no group is pending; raises OSError if the written records cannot be made durable.
        """
        assert not self.pending_group.entries, "a snapshot needs durable entries only, but a group is pending"
        if not self._options.durable:
            self._writer.sync()
        return self._writer.synced, self.state.snapshot()

    def store_snapshot(self, record_count: int, body: bytes) -> list[str]:
        """Write a snapshot, and remove segments that snapshots cover and whose retention is over; returns their names.

        Raises OSError, in which case the log is unchanged.
        """
        write_snapshot(self._files, record_count, body)
        self._last_snapshot_records = record_count
        self._snapshot_marks.append(_SnapshotMark(self.state.now_ms, record_count))
        oldest_ms = self.state.now_ms - self._options.retention_ms
        expired = [mark.record_count for mark in self._snapshot_marks if mark.time_ms <= oldest_ms]
        return compact(self._files, expired[-1]) if expired else []

    def close(self) -> None:
        """Make the remaining records durable, and close the log."""
        if not self.failure:
            self._writer.close()
