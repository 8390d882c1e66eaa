"""Steps of the wall clock are told from a process that was held up between two readings."""

from __future__ import annotations

from martenstep.proxy.clock_step_detector import MAX_READING_MS, MAX_READINGS, MIN_STEP_MS, ClockStepDetector


class Clocks:
    """A monotonic clock that moves on with each reading, and a wall clock beside it."""

    def __init__(self) -> None:
        self.now, self.shift, self.delays = 1000.0, 0.0, list[float]()

    def monotonic(self) -> float:
        """Each reading may come after a delay."""
        self.now += self.delays.pop(0) if self.delays else 0.0
        return self.now

    def wall(self) -> float:
        """Read at once."""
        return self.now + self.shift


def watch() -> tuple[Clocks, ClockStepDetector]:
    """One that was asked before."""
    clocks = Clocks()
    made = ClockStepDetector(clocks.monotonic, clocks.wall)
    assert made.stepped() and made.shift_ms == 0.0, "before the first look it may have been stepped"
    return clocks, made


def test_a_step_is_told_once_either_way() -> None:
    clocks, made = watch()
    assert not made.stepped()
    for shift in (3_600_000.0, -40.0, -40.0 + MIN_STEP_MS):
        clocks.shift = shift
        assert made.stepped() and made.shift_ms == shift
        assert not made.stepped()
    clocks.shift += MIN_STEP_MS - 1
    assert not made.stepped()


def test_a_process_that_is_held_up_sees_no_step() -> None:
    clocks, made = watch()
    clocks.delays = [150.0]
    assert not made.stepped(), "between the wall clock and the other"
    clocks.shift, clocks.delays = 900.0, [0.0] + [MAX_READING_MS + 1] * 2 * MAX_READINGS
    assert not made.stepped(), "no reading to be trusted"
    assert made.stepped() and made.shift_ms == 900.0
