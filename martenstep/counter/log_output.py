"""The counter services' event log: JSON lines on standard error."""

from __future__ import annotations

import json
import sys

from martenstep.event_log import LogFields


def log_event(event: str, fields: LogFields) -> None:
    """Write one event as a JSON line."""
    sys.stderr.write(json.dumps({"event": event, **fields}) + "\n")
