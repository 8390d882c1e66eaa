"""Signals that come before the event loop handles them: while modules are loaded and the configuration is read.

Their usual action would end the process, and one that is ignored is lost: a move of discovery with it.  They are kept,
and acted on once the loop is there.  Imported first of all, so it imports next to nothing.
"""

from __future__ import annotations

import signal
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # in this order: once the last is caught, all are


class PendingSignals:
    """The signals that have been received."""

    def __init__(self) -> None:
        """None have come."""
        self.received: set[int] = set()

    def keep(self) -> None:
        """Keep them from now on, until the loop has handlers of its own."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._take)

    def _take(self, number: int, frame: FrameType | None) -> None:
        self.received.add(number)
