"""Names of segment files: `seg-<number of the first record, 16 hex digits>.log`."""

from __future__ import annotations

from dataclasses import dataclass

from martenstep.storage.files import Files

PREFIX = "seg-"
SUFFIX = ".log"


@dataclass(frozen=True, slots=True)
class Segment:
    """One segment and the number of its first record."""

    name: str
    first: int


def segment_name(first: int) -> str:
    """Return the file name of a segment."""
    return f"{PREFIX}{first:016x}{SUFFIX}"


def segments(files: Files) -> list[Segment]:
    """Return all segments in order."""
    return [
        Segment(name, int(name.removeprefix(PREFIX).removesuffix(SUFFIX), 16))
        for name in sorted(files.names())
        if name.startswith(PREFIX) and name.endswith(SUFFIX)
    ]
