"""Reads the folders of copies that do not run, and holds them against each other.

What agreement promises can be seen on the disks: two copies of a group that hold an entry of the same index and term
hold the same entry, and the same before it (the log matching property, thesis 3.5).
"""

from __future__ import annotations

import contextlib
import random
from dataclasses import dataclass, field
from pathlib import Path

from martenstep.replication.raft import PersistentState
from martenstep.replication.replica_manager import GROUPS_FOLDER
from martenstep.replication.replica_storage import ReplicaStorage, ReplicaStorageError
from martenstep.storage.files import Disk


@dataclass(slots=True)
class StoredReplica:
    """One folder of a copy."""

    group: str
    folder: Path
    replica: int = 0
    state: PersistentState = field(default_factory=PersistentState)
    error: str = ""

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        kept = self.state
        return kept.entries[-1].index if kept.entries else kept.snapshot.index if kept.snapshot is not None else 0

    @property
    def last_position(self) -> tuple[int, int]:
        """How far its log goes: last term, last index."""
        return self.state.entries[-1].term if self.state.entries else 0, self.last_index


def read_folder(directory: Path) -> list[StoredReplica]:
    """The copies below a door's copies directory, damaged ones with what is wrong.  Raises LockedError where a door
    holds one, OSError."""
    made = []
    for folder in sorted((directory / GROUPS_FOLDER).iterdir()):
        found = StoredReplica(folder.name, folder)
        with contextlib.closing(Disk(folder)) as disk:
            try:
                with contextlib.closing(ReplicaStorage(disk, None, random.Random(0))) as store:
                    found.replica, found.state = store.replica_id, store.read_state()
            except ReplicaStorageError as error:
                found.error = str(error)
        made.append(found)
    return made


def find_most_advanced(found: list[StoredReplica]) -> dict[str, StoredReplica]:
    """Of each group the sound copy whose log goes furthest, by its last term and then its length; what was set aside
    (`SLOT.damaged.*`) is no copy."""
    best: dict[str, StoredReplica] = {}
    for one in found:
        if one.error or "." in one.group:
            continue
        before = best.get(one.group)
        if before is None or before.last_position < one.last_position:
            best[one.group] = one
    return best


def find_differences(copies: list[StoredReplica]) -> list[str]:
    """What two copies of one group hold differently that they must hold alike, a line each."""
    told = []
    sound = [one for one in copies if not one.error]
    for number, first in enumerate(sound):
        held = {entry.index: entry for entry in first.state.entries}
        for second in sound[number + 1 :]:
            if second.group != first.group:
                continue
            for entry in second.state.entries:
                other = held.get(entry.index)
                if other is not None and other.term == entry.term and other != entry:
                    told.append(
                        f"{first.group}: entry {entry.index} of term {entry.term} is not the same in "
                        f"{first.folder} and {second.folder}"
                    )
                    break
    return told
