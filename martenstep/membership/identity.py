"""The node's identity on its disk: an id drawn when the disk was first used, and the number of starts.

A node that finds no file is a new node under its name: whatever the old one had promised, this disk does not hold.  The
number of starts is the first incarnation, so that a start stands above what was claimed of the process before it; a
disk that was restored from a copy begins too low, and its first refutation mends that.
"""

from __future__ import annotations

import random
from typing import NamedTuple

import msgspec

from martenstep.membership.member import Address
from martenstep.storage.files import Files

IDENTITY_FILE = "identity.json"
MAX_ADDRESSES = 64
MAX_STARTS = 1 << 31


class NodeIdentity(msgspec.Struct):
    """The contents of the file; the external names are those of stored data."""

    node_id: int = msgspec.field(name="identity")
    start_count: int = msgspec.field(name="starts")
    addresses: list[Address] = []  # of other members as last known: further seeds

    @property
    def is_valid(self) -> bool:
        """Whether the numbers fit a member record."""
        return 0 <= self.node_id < 1 << 64 and 0 <= self.start_count < MAX_STARTS


class LoadedIdentity(NamedTuple):
    """The identity of a start, and what was wrong with its file; empty where nothing was."""

    identity: NodeIdentity
    problem: str


def load_identity(files: Files, rng: random.Random) -> LoadedIdentity:
    """The identity for this start, stored before it is used.

    Nothing on the disk keeps a node from starting: where the file cannot be read it is a new node, and where it cannot
    be written this start goes on with what it has.
    """
    identity, problem = None, ""
    try:
        identity = msgspec.json.decode(files.read(IDENTITY_FILE), type=NodeIdentity)
    except FileNotFoundError:
        pass
    except (OSError, msgspec.DecodeError) as error:
        problem = f"{IDENTITY_FILE} is not read: {error}"
    if identity is None or not identity.is_valid:
        identity = NodeIdentity(rng.getrandbits(62), 0)
    identity.start_count += 1
    write_problem = store_identity(files, identity)
    return LoadedIdentity(identity, problem or write_problem)


def store_identity(files: Files, identity: NodeIdentity) -> str:
    """Write the file; returns what was wrong, empty where nothing was."""
    try:
        files.write_atomically(IDENTITY_FILE, msgspec.json.encode(identity))
    except OSError as error:
        return f"{IDENTITY_FILE} is not written: {error}"
    return ""
