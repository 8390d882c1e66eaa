"""The history of the releases at one gateway, as lines of JSON.

A restarted gateway reads it, so that a release that was rolled back stays out of service.
"""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

from martenstep.event_log import LogFields

MAX_READ_BYTES = 1_048_576  # from the end of the file
ROLLED_BACK_EVENT = "hooks withdrawn"


class ReleaseHistory:
    """The history file of one gateway."""

    def __init__(self, path: Path, gateway: str) -> None:
        """`gateway` is the name written to each line."""
        self._path = path
        self._gateway = gateway

    def add(self, event: str, fields: LogFields) -> None:
        """Append one line; raises OSError."""
        now = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime())
        line = {"time": now, "door": self._gateway, "event": event, **fields}
        with self._path.open("ab") as file:
            file.write(json.dumps(line).encode() + b"\n")

    def lines(self) -> list[dict[str, Any]]:
        """The lines from the oldest to the newest, without malformed ones; raises OSError."""
        if not self._path.exists():
            return []
        with self._path.open("rb") as file:
            file.seek(0, os.SEEK_END)
            file.seek(max(file.tell() - MAX_READ_BYTES, 0))
            data = file.read()
        lines = []
        for text in data.splitlines():
            try:
                line = json.loads(text)
            except ValueError:
                continue
            if isinstance(line, dict):
                lines.append(line)
        return lines

    def rolled_back_versions(self) -> set[int]:
        """The versions that were rolled back; raises OSError."""
        return {
            line["version"]
            for line in self.lines()
            if line.get("event") == ROLLED_BACK_EVENT and isinstance(line.get("version"), int)
        }
