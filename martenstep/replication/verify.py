"""Reads the folders of copies that do not run, and holds them against each other.

What agreement promises can be seen on the disks: two copies of a group that hold an entry of the same index and term
hold the same entry, and the same before it (the log matching property, thesis 3.5).
"""

from __future__ import annotations

import contextlib
import random
from dataclasses import dataclass, field
from pathlib import Path

from martenstep.replication.raft import Kept
from martenstep.replication.replica_manager import GROUPS
from martenstep.replication.replica_storage import Store, StoreError
from martenstep.storage.files import Disk


@dataclass(slots=True)
class Found:
    """One folder of a copy."""

    group: str
    folder: Path
    copy: int = 0
    kept: Kept = field(default_factory=Kept)
    wrong: str = ""

    @property
    def last(self) -> int:
        """Index of the last entry."""
        kept = self.kept
        return kept.entries[-1].index if kept.entries else kept.snapshot.index if kept.snapshot is not None else 0

    @property
    def reach(self) -> tuple[int, int]:
        """How far its log goes: last term, last index."""
        return self.kept.entries[-1].term if self.kept.entries else 0, self.last


def read_folder(directory: Path) -> list[Found]:
    """The copies below a door's copies directory, damaged ones with what is wrong.  Raises LockedError where a door
    holds one, OSError."""
    made = []
    for folder in sorted((directory / GROUPS).iterdir()):
        found = Found(folder.name, folder)
        with contextlib.closing(Disk(folder)) as disk:
            try:
                with contextlib.closing(Store(disk, None, random.Random(0))) as store:
                    found.copy, found.kept = store.id, store.image()
            except StoreError as error:
                found.wrong = str(error)
        made.append(found)
    return made


def furthest(found: list[Found]) -> dict[str, Found]:
    """Of each group the sound copy whose log goes furthest, by its last term and then its length; what was set aside
    (`SLOT.damaged.*`) is no copy."""
    best: dict[str, Found] = {}
    for one in found:
        if one.wrong or "." in one.group:
            continue
        before = best.get(one.group)
        if before is None or before.reach < one.reach:
            best[one.group] = one
    return best


def differences(copies: list[Found]) -> list[str]:
    """What two copies of one group hold differently that they must hold alike, a line each."""
    told = []
    sound = [one for one in copies if not one.wrong]
    for number, first in enumerate(sound):
        held = {entry.index: entry for entry in first.kept.entries}
        for second in sound[number + 1 :]:
            if second.group != first.group:
                continue
            for entry in second.kept.entries:
                other = held.get(entry.index)
                if other is not None and other.term == entry.term and other != entry:
                    told.append(
                        f"{first.group}: entry {entry.index} of term {entry.term} is not the same in "
                        f"{first.folder} and {second.folder}"
                    )
                    break
    return told
