"""Steps of the wall clock are detected, and distinguished from a process delayed between two readings."""

from __future__ import annotations

from martenstep.proxy.clock_step_detector import MAX_READING_MS, MAX_READINGS, MIN_STEP_MS, ClockStepDetector


class FakeClocks:
    """A monotonic clock whose readings can be delayed, and a wall clock at a settable shift from it."""

    def __init__(self) -> None:
        self.now, self.shift, self.delays = 1000.0, 0.0, list[float]()

    def monotonic(self) -> float:
        """Read after the next delay, if one is set."""
        self.now += self.delays.pop(0) if self.delays else 0.0
        return self.now

    def wall(self) -> float:
        """Read without a delay."""
        return self.now + self.shift


def make_detector() -> tuple[FakeClocks, ClockStepDetector]:
    """A detector whose first call was made already."""
    clocks = FakeClocks()
    detector = ClockStepDetector(clocks.monotonic, clocks.wall)
    assert detector.stepped() and detector.shift_ms == 0.0, "the clock may have been stepped before the first call"
    return clocks, detector


def test_a_step_in_either_direction_is_reported_once() -> None:
    clocks, detector = make_detector()
    assert not detector.stepped()
    for shift in (3_600_000.0, -40.0, -40.0 + MIN_STEP_MS):
        clocks.shift = shift
        assert detector.stepped() and detector.shift_ms == shift
        assert not detector.stepped()
    clocks.shift += MIN_STEP_MS - 1
    assert not detector.stepped()


def test_a_delay_between_two_readings_is_not_reported_as_a_step() -> None:
    clocks, detector = make_detector()
    clocks.delays = [150.0]
    assert not detector.stepped(), "a delay between the readings of the two clocks is no step"
    clocks.shift, clocks.delays = 900.0, [0.0] + [MAX_READING_MS + 1] * 2 * MAX_READINGS
    assert not detector.stepped(), "every reading took too long to be used"
    assert detector.stepped() and detector.shift_ms == 900.0
