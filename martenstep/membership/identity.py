"""Who a door is, kept on its disk: an identity drawn when the disk was first used, and how often it was started.

A door that finds no file is a new identity under its name: whatever the old one had promised, this disk does not hold.
The number of starts is the first incarnation, so that a start stands above what was said of the life before it; a disk
put back from a copy begins too low, and its first refutation mends that.
"""

from __future__ import annotations

import random

import msgspec

from martenstep.storage.files import Files

FILE = "identity.json"
MOST_ADDRESSES = 64


class Identity(msgspec.Struct):
    """What is kept."""

    identity: int
    starts: int
    addresses: list[tuple[str, int]] = []  # of others as last known: further seeds


def take_up(files: Files, rng: random.Random) -> tuple[Identity, str]:
    """The identity for this start, kept before it is used; and what was wrong, empty where nothing was.

    Nothing on the disk keeps a door from starting: where the file cannot be read it is another identity, and where it
    cannot be written this start goes on with what it has.
    """
    wrong, kept = "", None
    try:
        kept = msgspec.json.decode(files.read(FILE), type=Identity)
    except FileNotFoundError:
        pass
    except (OSError, msgspec.DecodeError) as error:
        wrong = f"{FILE} is not read: {error}"
    if kept is None or not 0 <= kept.identity < 1 << 64 or not 0 <= kept.starts < 1 << 31:
        kept = Identity(rng.getrandbits(62), 0)
    kept.starts += 1
    unwritten = keep(files, kept)
    return kept, wrong or unwritten


def keep(files: Files, identity: Identity) -> str:
    """Write it; gives what was wrong."""
    try:
        files.write_atomically(FILE, msgspec.json.encode(identity))
    except OSError as error:
        return f"{FILE} is not written: {error}"
    return ""
