"""Verification of the stored replicas of nodes that are not running.

Raft guarantees the log matching property (thesis, 3.5): if two replicas of a group hold an entry with the same index
and term, the entry and all entries before it are the same on both.  This module checks stored entries for it.
"""

from __future__ import annotations

import contextlib
import random
from dataclasses import dataclass, field
from itertools import combinations
from pathlib import Path

from martenstep.replication.errors import ReplicaStorageError
from martenstep.replication.messages import LogEntry
from martenstep.replication.node_disk import GROUPS_FOLDER
from martenstep.replication.raft import LogPosition, PersistentState
from martenstep.replication.replica_storage import ReplicaStorage
from martenstep.storage.files import Disk


@dataclass(slots=True)
class StoredReplica:
    """The stored state of one replica, read from its folder."""

    group: str
    folder: Path
    replica: int = 0
    state: PersistentState = field(default_factory=PersistentState)
    error: str = ""  # the error that was found when reading; empty if none

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        if self.state.entries:
            return self.state.entries[-1].index
        return self.state.snapshot.index if self.state.snapshot is not None else 0

    @property
    def last_position(self) -> LogPosition:
        """Term and index of the last entry; term 0 if the log has no entries after its snapshot."""
        return LogPosition(self.state.entries[-1].term if self.state.entries else 0, self.last_index)


def read_folder(directory: Path) -> list[StoredReplica]:
    """Read all replicas in a node's folder; damaged ones carry their error.

    Raises LockedError if a process has locked a replica's folder, OSError.
    """
    replicas = []
    for folder in sorted((directory / GROUPS_FOLDER).iterdir()):
        stored = StoredReplica(folder.name, folder)
        with contextlib.closing(Disk(folder)) as disk:
            try:
                with contextlib.closing(ReplicaStorage(disk, None, random.Random(0))) as storage:
                    stored.replica, stored.state = storage.replica_id, storage.read_state()
            except ReplicaStorageError as error:
                stored.error = str(error)
        replicas.append(stored)
    return replicas


def find_latest(replicas: list[StoredReplica]) -> dict[str, StoredReplica]:
    """Return, by group, the undamaged replica with the most advanced log, by last term and then by last index.

    Folders that were renamed because of damage (`GROUP.damaged.*`) are ignored.
    """
    latest: dict[str, StoredReplica] = {}
    for stored in replicas:
        if stored.error or "." in stored.group:
            continue
        known = latest.get(stored.group)
        if known is None or known.last_position < stored.last_position:
            latest[stored.group] = stored
    return latest


def find_differences(replicas: list[StoredReplica]) -> list[str]:
    """Return a line for each pair of replicas of a group that violates the log matching property."""
    undamaged = [stored for stored in replicas if not stored.error]
    differences = []
    for first, second in combinations(undamaged, 2):
        entry = _first_difference(first, second) if first.group == second.group else None
        if entry is not None:
            differences.append(
                f"{first.group}: entry {entry.index} of term {entry.term} is not the same in "
                f"{first.folder} and {second.folder}"
            )
    return differences


def _first_difference(first: StoredReplica, second: StoredReplica) -> LogEntry | None:
    entries = {entry.index: entry for entry in first.state.entries}
    for entry in second.state.entries:
        other = entries.get(entry.index)
        if other is not None and other.term == entry.term and other != entry:
            return entry
    return None
