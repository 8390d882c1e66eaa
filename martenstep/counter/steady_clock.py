"""Unix time as it was read once, carried on by the monotonic clock.

The lives of names and the window of tries are spans of real time: a step of the wall clock must neither end nor stretch
them.
"""

from __future__ import annotations

import time
from collections.abc import Callable

MS_PER_S = 1000.0


class SteadyClock:
    """Unix milliseconds that never go back or leap while the process runs."""

    def __init__(
        self, wall: Callable[[], float] | None = None, monotonic: Callable[[], float] = time.monotonic
    ) -> None:
        """`wall` is read once; both in seconds."""
        self._monotonic = monotonic
        self._offset_s = (wall or time.time)() - monotonic()

    def now_ms(self) -> float:
        """The time now, in milliseconds."""
        return self.now_s() * MS_PER_S

    def now_s(self) -> float:
        """And in seconds."""
        return self._monotonic() + self._offset_s
