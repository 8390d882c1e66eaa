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

from martenstep.counter.protocol import Add, Read, Record, Reply, Status, Stored, Total, without
from martenstep.counter.state import ENTRY_ADD, Counter, Door, Limits, read_add, term_entry
from martenstep.storage.files import Files
from martenstep.storage.log import LogError, LogWriter, OpenedLog, compact, open_log, write_snapshot


@dataclass(slots=True)
class Session:
    """One connection's door, and which of its lives."""

    door: Door
    epoch: int


@dataclass(slots=True)
class Group:
    """What is made durable together, and whom it answers."""

    entries: list[bytes] = field(default_factory=list)
    first: int = 0  # once written: the number of the first record, and the records, for followers
    data: bytes = b""
    replies: list[tuple[Any, Reply]] = field(default_factory=list)


@dataclass(slots=True)
class Recovered:
    """A log that was read anew after a failure, and can be written."""

    counter: Counter
    writer: LogWriter
    records: int


def rebuild(opened: OpenedLog, limits: Limits) -> Counter:
    """The state that a log tells; raises LogError where a snapshot's body cannot be read."""
    counter = Counter(limits)
    if opened.snapshot is not None:
        try:
            counter = Counter.restored(limits, opened.snapshot)
        except msgspec.DecodeError as error:
            raise LogError("snapshot", 0, str(error)) from None
    for entry in opened.entries:
        counter.apply(entry)
    return counter


class Keeper:
    """The counter over a directory."""

    def __init__(
        self,
        files: Files,
        limits: Limits,
        segment_bytes: int = 64 << 20,
        durable: bool = True,
        snapshot_records: int = 0,
        keep_ms: float = 0.0,
    ) -> None:
        self._files, self._durable = files, durable
        self._snapshot_records, self._keep_ms = snapshot_records, keep_ms
        opened = open_log(files)
        self.cut = opened.torn_bytes
        self.counter = rebuild(opened, limits)
        self._writer = LogWriter(files, opened, segment_bytes)
        self._last_snapshot = opened.start
        self._marks: list[tuple[float, int]] = []  # time and records at each snapshot, for retention
        self.group = Group()
        self.failed = ""  # why nothing is acknowledged any more
        self.fenced = False  # by a later term: then nothing ever is again
        self._limits, self._segment_bytes = limits, segment_bytes
        self._touched: set[int] = set()  # names that the state knows more of than the disk

    @property
    def records(self) -> int:
        """Records in the log."""
        return self._writer.next

    @property
    def synced(self) -> int:
        """Records that are durable."""
        return self._writer.synced

    @property
    def files(self) -> Files:
        """The directory, for what reads old records."""
        return self._files

    def fence(self, term: int) -> bool:
        """A later term has begun elsewhere: nothing more is acknowledged here.  False where it has not."""
        if term <= self.counter.term:
            return False
        self.fenced = True
        self.failed = self.failed or f"fenced: term {term} has begun elsewhere, this is term {self.counter.term}"
        return True

    def begin_term(self) -> int:
        """Promote: begin the next term, durably; gives it.  Raises OSError."""
        term = self.counter.term + 1
        entry = term_entry(self.counter.now, term)
        self.counter.apply(entry)
        self._writer.write([entry], True)
        return term

    def hello(self, name: str, epoch: int) -> Session | None:
        """A door begins a session; None where its epoch is over, or nothing can be written."""
        if self.failed:
            return None
        door, entry = self.counter.hello(name, epoch)
        if entry is not None:
            self.group.entries.append(entry)
        return Session(door, epoch) if door is not None else None

    def command(self, who: Any, session: Session, command: Add | Read | Record) -> None:
        """Take in one command; its reply comes with the group."""
        if self.failed and (not isinstance(command, Read) or command.name in self._touched):
            self.group.replies.append((who, without(command, Status.UNWRITTEN)))
            return
        door = session.door
        current = self.counter.door(door.name)
        reply, entry = self.counter.command(current, session.epoch, command)
        if entry is not None:
            self.group.entries.append(entry)
        self.group.replies.append((who, reply))

    def take(self) -> Group:
        """What came in since the last group."""
        group, self.group = self.group, Group()
        return group

    def write(self, group: Group) -> str:
        """Make a group durable; gives why that failed, or nothing.  May run beside `command`, not beside itself."""
        if not group.entries:
            return ""
        try:
            group.first, group.data = self._writer.write(group.entries, self._durable)
        except OSError as error:
            return error.strerror or str(error)
        return ""

    def written(self, group: Group, fault: str) -> list[tuple[Any, Reply]]:
        """The replies that may go out."""
        if fault and not self.failed:
            self.failed = fault
        if not self.failed or not group.entries:
            return group.replies
        for entry in [*group.entries, *self.group.entries]:
            if entry[0] == ENTRY_ADD:
                self._touched.add(read_add(entry).name)
        # Nobody is told of what may not be there: neither this group nor what was decided upon it since.
        since, self.group = self.group, Group()
        doubtful = [*group.replies, *since.replies]
        return [
            (who, without(reply, Status.UNWRITTEN) if isinstance(reply, Total | Stored) else reply)
            for who, reply in doubtful
        ]

    def recovered(self) -> Recovered:
        """Read the directory anew and make all that it tells durable in files of its own: what stands in the old ones
        behind a failed sync may be there or not.  The keeper goes on as it was.  Raises OSError or LogError."""
        with contextlib.suppress(OSError):
            self._writer.abandon()
        opened = open_log(self._files)
        counter = rebuild(opened, self._limits)
        records = opened.start + opened.count
        write_snapshot(self._files, records, counter.snapshot())
        if opened.tail is not None:
            segment, end = opened.tail
            if segment.first == records:  # it was begun and holds nothing
                self._files.remove(segment.name)
            else:
                self._files.append(segment.name, end).close()  # it is no longer the last, which alone may be torn
        fresh = OpenedLog(None, records, iter(()), 0, None, 0)
        return Recovered(counter, LogWriter(self._files, fresh, self._segment_bytes), records)

    def resume(self, recovered: Recovered) -> None:
        """Go on with what was recovered; every session has to begin anew."""
        self.counter, self._writer = recovered.counter, recovered.writer
        self._last_snapshot = recovered.records
        self.group, self.failed = Group(), ""
        self._touched.clear()

    def commit(self) -> list[tuple[Any, Reply]]:
        """Take, write and answer in one step."""
        group = self.take()
        return self.written(group, self.write(group))

    def snapshot_due(self) -> bool:
        """Whether so many records came since the last snapshot."""
        return (
            bool(self._snapshot_records)
            and not self.failed
            and (self.records - self._last_snapshot >= self._snapshot_records)
        )

    def snapshot(self) -> tuple[int, bytes]:
        """The state as a snapshot's body, and how many records are in it.  Only with no group between; raises
        OSError where what was written cannot be made durable."""
        assert not self.group.entries, "a snapshot holds only what is durable"
        if not self._durable:
            self._writer.sync()
        return self._writer.synced, self.counter.snapshot()

    def keep_snapshot(self, records: int, body: bytes) -> list[str]:
        """Write a snapshot and let go of segments that it makes useless and that are old enough; gives their names.
        Raises OSError: the log is then as it was."""
        write_snapshot(self._files, records, body)
        self._last_snapshot = records
        self._marks.append((self.counter.now, records))
        old = [mark for at, mark in self._marks if at <= self.counter.now - self._keep_ms]
        return compact(self._files, old[-1]) if old else []

    def close(self) -> None:
        """Make the rest durable and close."""
        if not self.failed:
            self._writer.close()
