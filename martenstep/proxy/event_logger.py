"""Structured lines for the operators, bounded under overload.

One line a final response; past the limit of lines a second they are left out, and the next second's first line states
how many.  Other lines are few and always written.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, Protocol

import structlog

from martenstep.config import door_pb2 as pb
from martenstep.event_log import LogFields


class LineLogger(Protocol):
    """What of structlog's loggers is used here."""

    def info(self, event: str, **fields: object) -> object:
        """Write a line."""

    def warning(self, event: str, **fields: object) -> object:
        """Write a line that needs attention."""


LIMITED_EVENTS = ("request finished", "request rejected", "policy")


def configure(form: pb.Log.Form) -> None:
    """Set the form of all lines: JSON for machines, or console; to standard error."""
    renderer: Any = (
        structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
        if form == pb.Log.CONSOLE
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
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
        """`clock` in seconds; `logger` in place of structlog's."""
        self._max_lines_per_s, self._clock = settings.lines_per_s, clock
        self._logger: LineLogger = logger if logger is not None else structlog.get_logger().bind(door=gateway)
        self._second, self._written, self._left_out = 0, 0, 0

    def reconfigure(self, settings: pb.Log) -> None:
        """Set another limit of lines a second."""
        self._max_lines_per_s = settings.lines_per_s

    def log(self, event: str, fields: LogFields) -> None:
        """Write one line, or none past the limit."""
        if event in LIMITED_EVENTS:
            second = int(self._clock())
            if second != self._second:
                if self._left_out:
                    self._logger.warning("log lines dropped", lines=self._left_out)
                self._second, self._written, self._left_out = second, 0, 0
            if self._written >= self._max_lines_per_s:
                self._left_out += 1
                return
            self._written += 1
        self._logger.info(event, **fields)
