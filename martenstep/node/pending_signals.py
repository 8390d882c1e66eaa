"""Signals that come before the event loop minds them: while modules are loaded and the configuration is read.

Their usual action would end the process, and one that is ignored is lost: a move of discovery with it.  They are kept,
and acted on once the loop is there.  Imported first of all, so it imports next to nothing.
"""

from __future__ import annotations

import signal
from types import FrameType

MINDED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)  # who sees the last of them caught knows of all


class PendingSignals:
    """Which of them have come."""

    def __init__(self) -> None:
        self.come: set[int] = set()

    def keep(self) -> None:
        """Keep them from now on, until the loop has handlers of its own."""
        for number in MINDED:
            signal.signal(number, self._take)

    def _take(self, number: int, frame: FrameType | None) -> None:
        self.come.add(number)
