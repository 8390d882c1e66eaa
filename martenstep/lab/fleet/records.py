"""What the players write and the judge reads: truths and beliefs on one clock, as JSON lines.

A truth is what the player did to a member, or let it do: `started`, `killed`, `paused`, `resumed`, `leaving`, and each
fault that begins or ends.  A belief is what a member told of: an event of its membership core.  A view is what a member
held at a moment.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec


class Truth(msgspec.Struct, tag="truth", frozen=True):
    """What happened to a member; `who` is its name, and `place` tells two processes of one name apart."""

    at_ms: float
    kind: str
    who: str = ""
    place: str = ""
    fields: dict[str, Any] = {}


class Belief(msgspec.Struct, tag="belief", frozen=True):
    """What a member told, as it told it."""

    at_ms: float
    place: str  # of the process that told it
    kind: str
    about: str
    fields: dict[str, Any] = {}


class Held(msgspec.Struct, array_like=True, frozen=True):
    """One line of a view."""

    name: str
    state: str
    life: int
    says: int


class View(msgspec.Struct, tag="view", frozen=True):
    """What a member held at a moment, with what its membership had cost it by then."""

    at_ms: float
    place: str
    stage: str
    held: list[Held]
    counts: dict[str, float] = {}


Record = Truth | Belief | View
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Record)


class RecordError(Exception):
    """A file of records that cannot be read."""


def write_records(path: Path, records: Iterable[Record]) -> None:
    """Write them as JSON lines."""
    with path.open("wb") as file:
        for record in records:
            file.write(_encoder.encode(record) + b"\n")


def read_records(path: Path) -> Iterator[Record]:
    """Read them; raises RecordError with the line."""
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield _decoder.decode(line)
                except msgspec.DecodeError as error:
                    raise RecordError(f"{path}, line {number}: {error}") from None
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from None
