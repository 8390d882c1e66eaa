"""Records of a run, written by the rig or the virtual fleet and read by the invariant checker: JSON lines on one clock.

A truth is what really happened to a member: `started`, `killed`, `paused`, `resumed`, `leaving`, and the begin and end
of each fault.  A belief is an event that a member's membership core reported, right or wrong.  A view is the member
table of one member at one moment.  A place is one process on its machine: a fault can run two processes of one name.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec


class Truth(msgspec.Struct, tag="truth", frozen=True):
    """What happened to a member; `who` is its name, and `place` distinguishes two processes of one name."""

    at_ms: float
    kind: str
    who: str = ""
    place: str = ""
    fields: dict[str, Any] = {}


class Belief(msgspec.Struct, tag="belief", frozen=True):
    """An event as a member reported it."""

    at_ms: float
    place: str  # of the process that reported it
    kind: str
    about: str
    fields: dict[str, Any] = {}


class ViewEntry(msgspec.Struct, array_like=True, frozen=True):
    """One member in a view."""

    name: str
    state: str
    boot_id: int
    self_report: int


class View(msgspec.Struct, tag="view", frozen=True):
    """The member table of a member at one moment, with its counters of messages and bytes until then."""

    at_ms: float
    place: str
    stage: str
    held: list[ViewEntry]
    counts: dict[str, float] = {}


Record = Truth | Belief | View
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Record)


class RecordError(Exception):
    """A file of records cannot be read."""


def write_records(path: Path, records: Iterable[Record]) -> None:
    """Write records as JSON lines."""
    with path.open("wb") as file:
        for record in records:
            file.write(_encoder.encode(record) + b"\n")


def read_records(path: Path) -> Iterator[Record]:
    """Read records from JSON lines; raises RecordError with the number of a malformed line."""
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield _decoder.decode(line)
                except msgspec.DecodeError as error:
                    raise RecordError(f"{path}, line {number}: {error}") from None
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
