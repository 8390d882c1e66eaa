"""The queue's clock, which never runs faster than real time and does not depend on wall clocks.

A leader continues by its monotonic clock from the queue's time when its term began; without a leader, the queue's time
stands still.  A lease that has expired in the queue has therefore also expired at its machine, which counts it from
before it sent the start.
"""

from __future__ import annotations

MAX_CLOCK_DRIFT = 0.02  # the largest relative difference in speed of two monotonic clocks


class QueueClock:
    """The queue's time at one leader, in milliseconds."""

    def __init__(self, queue_time_ms: float, now: float) -> None:
        """`queue_time_ms` is the queue's time at `now` of this node's monotonic clock, when its term began."""
        self._queue_time_ms = queue_time_ms
        self._since_ms = now

    def read(self, now: float) -> float:
        """Return the queue's time at `now` of this node's monotonic clock."""
        return self._queue_time_ms + (now - self._since_ms) * (1 - MAX_CLOCK_DRIFT)
