"""Writes structured log lines for operators, at a limited rate under overload.

Each final response is one line.  Lines beyond the limit per second are dropped, and a warning before the next second's
first line states how many.  Other lines are rare and are always written.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, Protocol, TextIO, cast

import structlog

from martenstep.config import door_pb2 as pb
from martenstep.event_log import LogFields
from martenstep.proxy.log_output import LogOutput


class LineLogger(Protocol):
    """The methods of structlog's loggers that are used here."""

    def info(self, event: str, **fields: object) -> object:
        """Write a line at level info."""

    def warning(self, event: str, **fields: object) -> object:
        """Write a line at level warning."""


RATE_LIMITED_EVENTS = ("request finished", "request rejected", "policy")


def configure(log_format: pb.Log.Form) -> None:
    """Set the format of all lines, JSON or console; they go to standard error."""
    renderer: Any = (
        structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
        if log_format == pb.Log.CONSOLE
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, LogOutput(sys.stderr))),
        cache_logger_on_first_use=True,
    )


class EventLogger:
    """Writes the event log of one gateway."""

    def __init__(
        self,
        settings: pb.Log,
        gateway: str,
        clock: Callable[[], float] = time.monotonic,
        logger: LineLogger | None = None,
    ) -> None:
        """`clock` returns seconds; `logger` replaces structlog's."""
        self._max_lines_per_s, self._clock = settings.lines_per_s, clock
        self._logger: LineLogger = logger if logger is not None else structlog.get_logger().bind(door=gateway)
        self._second, self._written, self._dropped = 0, 0, 0

    def reconfigure(self, settings: pb.Log) -> None:
        """Set another limit of lines per second."""
        self._max_lines_per_s = settings.lines_per_s

    def log(self, event: str, fields: LogFields) -> None:
        """Write one line; drop it if it is limited and the second's limit is reached."""
        if event in RATE_LIMITED_EVENTS:
            second = int(self._clock())
            if second != self._second:
                if self._dropped:
                    self._logger.warning("log lines dropped", lines=self._dropped)
                self._second, self._written, self._dropped = second, 0, 0
            if self._written >= self._max_lines_per_s:
                self._dropped += 1
                return
            self._written += 1
        self._logger.info(event, **fields)
