"""Unix time as it was read once, carried on by the monotonic clock.

The lifetimes of keys and the window of attempts are spans of real time: a step of the wall clock must neither end nor
stretch them.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class SteadyClock:
    """Unix time that never goes back or leaps while the process runs."""

    def __init__(
        self, wall: Callable[[], float] | None = None, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        """`wall` is read once; both in seconds."""
        self._monotonic = monotonic
        self._offset_s = (wall or time.time)() - monotonic()

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self.now_s() * MS_PER_S

    def now_s(self) -> float:
        """Return the time in seconds."""
        return self._monotonic() + self._offset_s
