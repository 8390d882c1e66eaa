"""Detects steps of the wall clock by comparing it with the monotonic clock.

Gateways derive the numbers of quota periods from the wall clock, because their monotonic clocks have no common origin.
A gateway that kept the offset read at its start would number the periods differently from gateways started after a
step.
"""

from __future__ import annotations

from collections.abc import Callable

from martenstep.proxy.clock import now_ms, wall_clock_ms

MIN_STEP_MS = 5.0  # smaller steps are within the permitted difference between gateways' clocks (policy/quota.py)
# The longest time between the two readings of the monotonic clock that enclose a reading of the wall clock.
MAX_READING_MS = 1.0
MAX_READINGS = 5  # attempts to get a reading within MAX_READING_MS


class ClockStepDetector:
    """Tracks the difference between the wall clock and the gateway's clock, which is never stepped."""

    def __init__(self, clock: Callable[[], float] = now_ms, wall_clock: Callable[[], float] = wall_clock_ms) -> None:
        """Both clocks are in milliseconds and are taken to agree at first."""
        self._clock, self._wall_clock = clock, wall_clock
        self.shift_ms = 0.0
        self._compared_before = False

    def stepped(self) -> bool:
        """Whether the wall clock was stepped since the last call; True on the first call, as it may have been before.

        `shift_ms` then holds the difference.
        """
        if not self._compared_before:
            self._compared_before = True
            return True
        if abs(self._wall_clock() - self._clock() - self.shift_ms) < MIN_STEP_MS:
            return False
        measured_ms = self._measure_shift()  # the process may have been delayed between the two readings above
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
