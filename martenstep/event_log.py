"""The interface through which every package writes structured log events."""

from __future__ import annotations

from typing import Any, Protocol

LogFields = dict[str, Any]  # the values must be ones that the log's renderer can write


class EventLog(Protocol):
    """Writes log lines; each has the name of an event, by which operators search, and fields."""

    def __call__(self, event: str, fields: LogFields, /) -> None:
        """Write one line."""
