"""Structured lines for the operators, bounded under overload.

One line a final answer; past the bound of lines a second they are left out, and the next second's first line says
how many.  Other lines are few and always written.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import structlog

from martenstep.config import door_pb2 as pb

BOUNDED = ("answer", "turned away", "module")


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
    """Where the door's notes go."""

    def __init__(self, log: pb.Log, door: str, clock: Callable[[], float] = time.monotonic, logger: Any = None) -> None:
        self._bound, self._clock = log.lines_per_s, clock
        self._logger = logger if logger is not None else structlog.get_logger().bind(door=door)
        self._second, self._written, self._left_out = 0, 0, 0

    def bound(self, log: pb.Log) -> None:
        """Another bound of lines a second."""
        self._bound = log.lines_per_s

    def log(self, event: str, fields: dict[str, Any]) -> None:
        """One line, or none past the bound."""
        if event in BOUNDED:
            second = int(self._clock())
            if second != self._second:
                if self._left_out:
                    self._logger.warning("lines left out", lines=self._left_out)
                self._second, self._written, self._left_out = second, 0, 0
            if self._written >= self._bound:
                self._left_out += 1
                return
            self._written += 1
        self._logger.info(event, **fields)
