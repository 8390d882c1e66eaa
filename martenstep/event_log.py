"""The interface through which every package writes structured log events."""

from __future__ import annotations

from typing import Any, Protocol

LogFields = dict[str, Any]  # values that the log's renderer can write


class EventLog(Protocol):
    """Writes one log line: the name of an event, in the words that operators search for, and its fields."""

    def __call__(self, event: str, fields: LogFields, /) -> None:
        """Write one line."""
