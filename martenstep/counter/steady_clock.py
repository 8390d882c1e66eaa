"""Unix time that is read once from the wall clock, and then advanced by the monotonic clock.

The lifetimes of keys and the window of attempts are spans of real time: a step of the wall clock must neither end nor
extend them.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class SteadyClock:
    """Unix time that never goes back or jumps while the process runs."""

    def __init__(
        self, wall: Callable[[], float] | None = None, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        """Read the wall clock once; `wall` and `monotonic` return seconds."""
        self._monotonic = monotonic
        self._offset_s = (wall or time.time)() - monotonic()

    def now_ms(self) -> float:
        """Return the time in milliseconds."""
        return self.now_s() * MS_PER_S

    def now_s(self) -> float:
        """Return the time in seconds."""
        return self._monotonic() + self._offset_s
