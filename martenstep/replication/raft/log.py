"""The log of one replica in memory: a snapshot, and the entries after it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from martenstep.replication.messages import (
    Configuration,
    EntryKind,
    LogEntry,
    Snapshot,
    decode_configuration,
)
from martenstep.replication.raft.types import LogPosition


@dataclass(frozen=True, slots=True)
class IndexedConfiguration:
    """A configuration, and the index of the entry that put it in place."""

    configuration: Configuration
    index: int


class RaftLog:
    """Entries by index; the first index is 1."""

    def __init__(self, entries: Iterable[LogEntry], snapshot: Snapshot | None) -> None:
        """`entries` are those after the snapshot."""
        self.entries = list(entries)
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index if snapshot is not None else 0  # all up to here is in the snapshot
        self.snapshot_term = snapshot.term if snapshot is not None else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def last_position(self) -> LogPosition:
        """Where the log ends."""
        return LogPosition(self.last_term, self.last_index)

    def entry(self, index: int) -> LogEntry | None:
        """One of the entries after the snapshot; None where there is none."""
        offset = index - self.snapshot_index - 1
        return self.entries[offset] if 0 <= offset < len(self.entries) else None

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """The entries from one index to another, both after the snapshot."""
        return tuple(self.entries[first - self.snapshot_index - 1 : last - self.snapshot_index])

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where it is not held."""
        if index == 0:
            return 0
        if index == self.snapshot_index and self.snapshot is not None:
            return self.snapshot.term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def configuration_at(self, index: int) -> IndexedConfiguration | None:
        """The latest configuration up to an index, committed or not (thesis, 4.1); None before the first."""
        for number in range(index, self.snapshot_index, -1):
            entry = self.entry(number)
            if entry is not None and entry.kind is EntryKind.CONFIGURATION:
                return IndexedConfiguration(decode_configuration(entry.data), number)
        if self.snapshot is not None:
            return IndexedConfiguration(self.snapshot.configuration, self.snapshot.index)
        return None

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries behind the last one."""
        self.entries += entries

    def truncate_from(self, index: int) -> None:
        """Remove an entry and all behind it."""
        del self.entries[index - self.snapshot_index - 1 :]

    def compact(self, snapshot: Snapshot) -> None:
        """Put a snapshot in place of all entries up to its index, and keep those behind it."""
        self._replace(snapshot, self.entries[snapshot.index - self.snapshot_index :])

    def reset(self, snapshot: Snapshot) -> None:
        """Put a snapshot in place of the whole log."""
        self._replace(snapshot, [])

    def _replace(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.entries = entries
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index
        self.snapshot_term = snapshot.term
