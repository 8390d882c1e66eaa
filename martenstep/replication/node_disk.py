"""The disk of a node's replicas: its identity, and the folder of each group.

The identity file is JSON.  Its keys differ from the field names here, and stay for compatibility with stored files.
"""

from __future__ import annotations

import random
import re
from collections.abc import Iterable
from pathlib import Path

import msgspec
import xxhash

from martenstep.replication.errors import ReplicaManagerError
from martenstep.storage.files import Disk

DISK_FILE = "disk.json"
GROUPS_FOLDER = "groups"
GROUP_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,63}")  # a group's name, which is also a folder's name
DISK_ID_BITS = 53  # integers that every JSON reader represents exactly
MAX_DISSOLVED_GROUPS = 200  # whose names are kept


class DiskIdentity(msgspec.Struct):
    """The identity of a disk, and the groups that were created on it."""

    id: int
    bootstrapped_groups: list[str] = msgspec.field(name="founded", default_factory=list)
    latest_own_group: str = msgspec.field(name="alone", default="")  # latest group with this node as first member
    dissolved_groups: list[str] = msgspec.field(name="over", default_factory=list)


def derive_replica_id(disk_id: int, group: str) -> int:
    """Return the identity of the replica that a bootstrap member's disk starts a group with."""
    return xxhash.xxh3_64_intdigest(f"{disk_id}\0{group}".encode()) >> 11 or 1


def load_disk_identity(disk: Disk) -> DiskIdentity:
    """Read the identity of a disk; an empty disk gets a new one.  Raises ReplicaManagerError, OSError."""
    if DISK_FILE in disk.names():
        try:
            return msgspec.json.decode(disk.read(DISK_FILE), type=DiskIdentity)
        except msgspec.DecodeError as error:
            raise ReplicaManagerError(f"cannot decode {DISK_FILE}: {error}") from None
    identity = DiskIdentity(random.SystemRandom().getrandbits(DISK_ID_BITS))
    _save(disk, identity)
    return identity


def _save(disk: Disk, identity: DiskIdentity) -> None:
    disk.write_atomically(DISK_FILE, msgspec.json.encode(identity))


class NodeDisk:
    """The folders of one node's replicas and of their witnesses, locked by one process."""

    def __init__(self, folder: Path, witness_folder: Path) -> None:
        """Store the paths; nothing is read before `open`."""
        self._folder = folder
        self._witness_folder = witness_folder
        self._disk: Disk | None = None
        self._identity = DiskIdentity(0)

    def open(self) -> None:
        """Lock the folder and read its identity.  Raises ReplicaManagerError, LockedError, OSError."""
        self._folder.mkdir(parents=True, exist_ok=True)
        self._disk = Disk(self._folder)
        self._identity = load_disk_identity(self._disk)
        (self._folder / GROUPS_FOLDER).mkdir(exist_ok=True)

    def close(self) -> None:
        """Unlock the folder."""
        if self._disk is not None:
            self._disk.close()
            self._disk = None

    @property
    def id(self) -> int:
        """The identity of the disk."""
        return self._identity.id

    @property
    def bootstrapped_groups(self) -> list[str]:
        """The groups of the settings that were bootstrapped on this disk."""
        return self._identity.bootstrapped_groups

    @property
    def latest_own_group(self) -> str:
        """The latest group that was created with this node as sole member; empty if there is none."""
        return self._identity.latest_own_group

    @property
    def dissolved_groups(self) -> list[str]:
        """Groups that were dissolved here; a replica of one that still queries its membership is told to be removed."""
        return self._identity.dissolved_groups

    def add_bootstrapped(self, groups: Iterable[str]) -> None:
        """Store groups that were bootstrapped here; raises OSError."""
        self._identity.bootstrapped_groups += groups
        self.save()

    def set_latest_own_group(self, group: str) -> None:
        """Set, in memory only, the group created with this node as sole member; `save` makes it durable."""
        self._identity.latest_own_group = group

    def add_dissolved(self, group: str) -> None:
        """Store a group that was dissolved; raises OSError."""
        latest = self._identity.dissolved_groups[1 - MAX_DISSOLVED_GROUPS :]
        self._identity.dissolved_groups = [*latest, group]
        self.save()

    def save(self) -> None:
        """Write the identity; raises OSError."""
        assert self._disk is not None
        _save(self._disk, self._identity)

    def stored_groups(self) -> list[str]:
        """Return the groups that have a folder, sorted by name."""
        folders = sorted((self._folder / GROUPS_FOLDER).iterdir())
        return [folder.name for folder in folders if GROUP_NAME.fullmatch(folder.name)]

    def group_folder(self, group: str) -> Path:
        """Return the folder of a group's replica."""
        return self._folder / GROUPS_FOLDER / group

    def witness_folder(self, group: str) -> Path:
        """Return the folder of the witness of a group's replica."""
        return self._witness_folder / group
