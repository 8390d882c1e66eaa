"""The record of beliefs: the membership events of one node as JSON lines, which the checkers of the lab read.

The field names and the tag in the file are part of its format and differ from the names in this package.
"""

from __future__ import annotations

import contextlib
from pathlib import Path
from typing import BinaryIO

import msgspec

from martenstep.membership.actions import EventFields

NODE_STARTED = "life"  # kind of the first line that each process writes


class _BeliefLine(msgspec.Struct, tag_field="type", tag="belief"):
    at_ms: float
    node: str = msgspec.field(name="place")
    kind: str
    member: str = msgspec.field(name="about")
    fields: EventFields


class BeliefRecord:
    """Appends events to a file; a line that cannot be written is lost, so that a full disk does not stop the node."""

    def __init__(self, path: Path, node: str) -> None:
        """Open the file; raises OSError if it cannot be opened."""
        self._node = node
        self._file: BinaryIO = path.open("ab", 0)

    def write(self, at_ms: float, kind: str, member: str, fields: EventFields) -> None:
        """Append one event."""
        line = msgspec.json.encode(_BeliefLine(at_ms, self._node, kind, member, fields))
        with contextlib.suppress(OSError):
            self._file.write(line + b"\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
