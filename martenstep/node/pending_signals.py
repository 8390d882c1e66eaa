"""Records signals that arrive before the event loop handles them, while modules and the configuration are loaded.

The default action would end the process, and an ignored signal is lost, and with it a change of discovery's address.
The signals are recorded, and acted on once the event loop runs.  This module is imported first, so it imports almost
nothing.
"""

from __future__ import annotations

import signal
from types import FrameType

HANDLED_SIGNALS = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
)  # installed in this order: once the last has a handler, all have


class PendingSignals:
    """The set of signals received so far."""

    def __init__(self) -> None:
        """Create the set, empty."""
        self.received: set[int] = set()

    def install_handlers(self) -> None:
        """Record signals from now on, until the event loop installs its own handlers.

        They may be blocked as the process starts: it inherits that from its parent.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._record)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self.received.add(number)
