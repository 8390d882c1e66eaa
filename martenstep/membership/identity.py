"""The node's identity on its disk: an id that is drawn when the disk is first used, and the number of starts.

A node that finds no identity file starts as a new node under the same name, because the disk does not hold what the
old node had promised.  The number of starts is the incarnation of each start, so that its record takes precedence over
claims about earlier processes.  A disk restored from a copy starts with too low a number, which the node's first
refutation corrects.
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
    """The contents of the file; the field names in the file differ from those here."""

    node_id: int = msgspec.field(name="identity")
    start_count: int = msgspec.field(name="starts")
    addresses: list[Address] = []  # last known addresses of other members, used as additional seeds

    @property
    def is_valid(self) -> bool:
        """Whether the numbers are in the range that a member record allows."""
        return 0 <= self.node_id < 1 << 64 and 0 <= self.start_count < MAX_STARTS


class LoadedIdentity(NamedTuple):
    """The identity of a start, and the problem with its file; an empty text if there was none."""

    identity: NodeIdentity
    problem: str


def load_identity(files: Files, rng: random.Random) -> LoadedIdentity:
    """Return the identity for this start, stored before it is used.

    No fault of the disk prevents a start: if the file cannot be read, the node starts as a new node, and if it cannot
    be written, this start continues with the identity in memory.
    """
    identity, problem = None, ""
    try:
        identity = msgspec.json.decode(files.read(IDENTITY_FILE), type=NodeIdentity)
    except FileNotFoundError:
        pass
    except (OSError, msgspec.DecodeError) as error:
        problem = f"cannot read {IDENTITY_FILE}, so this node starts with a new node id: {error}"
    if identity is None or not identity.is_valid:
        identity = NodeIdentity(rng.getrandbits(62), 0)
    identity.start_count += 1
    write_problem = store_identity(files, identity)
    return LoadedIdentity(identity, problem or write_problem)


def store_identity(files: Files, identity: NodeIdentity) -> str:
    """Write the file; returns the problem, an empty text if there was none."""
    try:
        files.write_atomically(IDENTITY_FILE, msgspec.json.encode(identity))
    except OSError as error:
        return f"cannot write {IDENTITY_FILE}: {error}"
    return ""
