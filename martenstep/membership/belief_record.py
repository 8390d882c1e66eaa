"""The record of what a node believes, as JSON lines: read by the checkers of the lab, under its external names."""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import BinaryIO

import msgspec

from martenstep.membership.actions import EventFields

NODE_STARTED = "life"  # the kind of the first line of a process


class _BeliefLine(msgspec.Struct, tag_field="type", tag="belief"):
    at_ms: float
    node: str = msgspec.field(name="place")
    kind: str
    member: str = msgspec.field(name="about")
    fields: EventFields


class BeliefRecord:
    """A file that is appended to; a line that cannot be written is lost."""

    def __init__(self, path: Path, node: str) -> None:
        """Raises OSError where the file cannot be opened."""
        self._node = node
        self._file: BinaryIO = path.open("ab", 0)

    def write(self, at_ms: float, kind: str, member: str, fields: EventFields) -> None:
        """Append a line."""
        line = msgspec.json.encode(_BeliefLine(at_ms, self._node, kind, member, fields))
        with contextlib.suppress(OSError):
            self._file.write(line + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
