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
    """A configuration, and the index of the log entry that contains it."""

    configuration: Configuration
    index: int


class RaftLog:
    """Entries by index; the first index is 1."""

    def __init__(self, entries: Iterable[LogEntry], snapshot: Snapshot | None) -> None:
        """`entries` are those after the snapshot."""
        self.entries = list(entries)
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index if snapshot is not None else 0  # last entry that the snapshot covers
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
        """Term and index of the last entry."""
        return LogPosition(self.last_term, self.last_index)

    def entry(self, index: int) -> LogEntry | None:
        """Return an entry that follows the snapshot; None if there is no such entry."""
        offset = index - self.snapshot_index - 1
        return self.entries[offset] if 0 <= offset < len(self.entries) else None

    def slice(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from `first` to `last` inclusive; both follow the snapshot."""
        return tuple(self.entries[first - self.snapshot_index - 1 : last - self.snapshot_index])

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry; None if the log does not hold it."""
        if index == 0:
            return 0
        if index == self.snapshot_index and self.snapshot is not None:
            return self.snapshot.term
        entry = self.entry(index)
        return None if entry is None else entry.term

    def configuration_at(self, index: int) -> IndexedConfiguration | None:
        """Return the latest configuration up to an index, committed or not (thesis, 4.1); None if there is none."""
        for number in range(index, self.snapshot_index, -1):
            entry = self.entry(number)
            if entry is not None and entry.kind is EntryKind.CONFIGURATION:
                return IndexedConfiguration(decode_configuration(entry.data), number)
        if self.snapshot is not None:
            return IndexedConfiguration(self.snapshot.configuration, self.snapshot.index)
        return None

    def append(self, entries: Iterable[LogEntry]) -> None:
        """Add entries after the last one."""
        self.entries += entries

    def truncate_from(self, index: int) -> None:
        """Remove an entry and all entries after it."""
        del self.entries[index - self.snapshot_index - 1 :]

    def compact(self, snapshot: Snapshot) -> None:
        """Replace all entries up to the snapshot's index by the snapshot, and keep the later ones."""
        self._replace(snapshot, self.entries[snapshot.index - self.snapshot_index :])

    def reset(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self._replace(snapshot, [])

    def _replace(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self.entries = entries
        self.snapshot = snapshot
        self.snapshot_index = snapshot.index
        self.snapshot_term = snapshot.term
