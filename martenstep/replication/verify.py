"""Verification of the stored replicas of nodes that do not run.

What Raft promises can be seen on the disks: two replicas of a group that hold an entry of the same index and term hold
the same entry, and the same before it (the log matching property, thesis 3.5).
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
    """One replica's folder."""

    group: str
    folder: Path
    replica: int = 0
    state: PersistentState = field(default_factory=PersistentState)
    error: str = ""  # what is damaged

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        if self.state.entries:
            return self.state.entries[-1].index
        return self.state.snapshot.index if self.state.snapshot is not None else 0

    @property
    def last_position(self) -> LogPosition:
        """How far its log goes."""
        return LogPosition(self.state.entries[-1].term if self.state.entries else 0, self.last_index)


def read_folder(directory: Path) -> list[StoredReplica]:
    """The replicas below a node's folder, damaged ones with their error.

    Raises LockedError where a process holds one, OSError.
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
    """The sound replica of each group whose log goes furthest, by its last term and then its length.

    A folder that was set aside (`GROUP.damaged.*`) is no replica.
    """
    best: dict[str, StoredReplica] = {}
    for stored in replicas:
        if stored.error or "." in stored.group:
            continue
        before = best.get(stored.group)
        if before is None or before.last_position < stored.last_position:
            best[stored.group] = stored
    return best


def find_differences(replicas: list[StoredReplica]) -> list[str]:
    """A line for each two replicas of a group that hold different entries where they must hold the same."""
    sound = [stored for stored in replicas if not stored.error]
    differences = []
    for first, second in combinations(sound, 2):
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
