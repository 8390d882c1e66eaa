"""The queue's clock: it never runs faster than real time, and no wall clock is in it.

A leader counts on from what the queue held when it began to lead, by its monotonic clock.  While nobody leads it
stands.  So a lease that is over in the queue is over at its machine, which counts from before it asked.
"""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.02  # monotonic clocks drift apart by no more than this part


class QueueClock:
    """The queue's time at one leader; times in milliseconds."""

    def __init__(self, queue_time_ms: float, now: float) -> None:
        """`queue_time_ms` is the queue's time when this node began to lead, at `now` of its monotonic clock."""
        self._queue_time_ms = queue_time_ms
        self._since_ms = now

    def read(self, now: float) -> float:
        """The queue's time."""
        return self._queue_time_ms + (now - self._since_ms) * (1 - MAX_CLOCK_DRIFT)
