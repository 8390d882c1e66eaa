"""Detects steps of the wall clock against the monotonic one.

Gateways number the periods of a quota by the wall clock, since their monotonic clocks have nothing in common.  One that
kept the wall clock as it found it at its start would number them otherwise than those that start after a step.
"""

from __future__ import annotations

from collections.abc import Callable

from martenstep.proxy.clock import now_ms, wall_clock_ms

MIN_STEP_MS = 5.0  # less is within the bound on how far gateways' clocks may differ (policy/quota.py)
MAX_READING_MS = 1.0  # between two readings of the monotonic clock, the wall clock read between them
MAX_READINGS = 5  # to get one within that


class ClockStepDetector:
    """What the wall clock reads beyond the gateway's own, which runs on."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall_clock: Callable[[], float] = wall_clock_ms) -> None:
        """Both in milliseconds; at first they read the same."""
        self._clock, self._wall_clock = clock, wall_clock
        self.shift_ms = 0.0
        self._asked = False

    def stepped(self) -> bool:
        """Whether the wall clock was stepped since this was last asked, or may have been before it was first asked.

        `shift_ms` has the difference now.
        """
        if not self._asked:
            self._asked = True
            return True
        if abs(self._wall_clock() - self._clock() - self.shift_ms) < MIN_STEP_MS:
            return False
        measured_ms = self._measure_shift()  # this process may have been held up between the two readings
        if measured_ms is None or abs(measured_ms - self.shift_ms) < MIN_STEP_MS:
            return False
        self.shift_ms = measured_ms
        return True

    def _measure_shift(self) -> float | None:
        for _ in range(MAX_READINGS):
            before = self._clock()
            wall = self._wall_clock()
            after = self._clock()
            if after - before <= MAX_READING_MS:
                return wall - (before + after) / 2
        return None
