"""How long to wait before an attempt that failed is made again.  No I/O, no clock.

Drawn by chance, since all doors lose a shared thing at the same moment and would else all come back at the same moment.
"""

from __future__ import annotations

import random


class Backoff:
    """Waits that double from the least to the most, and begin anew once an attempt came through."""

    def __init__(self, least_ms: float, most_ms: float, rng: random.Random | None = None) -> None:
        self._least_ms, self._most_ms = least_ms, most_ms
        self._rng = rng or random.Random()
        self.next_ms = least_ms  # of the next failure, before the draw

    def failed(self) -> float:
        """Milliseconds to wait now: half to one and a half of what its turn is."""
        wait_ms = self.next_ms * self._rng.uniform(0.5, 1.5)
        self.next_ms = min(self.next_ms * 2, self._most_ms)
        return wait_ms

    def succeeded(self) -> None:
        """An attempt came through."""
        self.next_ms = self._least_ms
