"""When endpoints started, from times of a clock that may have been stepped."""

from __future__ import annotations

import math

import pytest

from martenstep.policy.start_times import MAX_LISTING_DELAY_MS, MAX_UNLISTED_STARTS, StartTimes

NOW, REPORTED = 90_000.0, 1_700_000_000_000.0
HOUR_MS = 3_600_000.0


@pytest.mark.parametrize(
    ("age_ms", "unlisted_ms", "started"),
    [
        (4000.0, math.inf, NOW - 4000.0),  # the first list: nothing else tells
        (800.0, 1500.0, NOW - 800.0),
        (HOUR_MS, 1500.0, NOW),  # stepped forward meanwhile: it was not there a moment ago
        (-HOUR_MS, 1500.0, NOW),  # stepped back
        (-HOUR_MS, math.inf, NOW),
        (1500.0 + MAX_LISTING_DELAY_MS + 1, 1500.0, NOW),
    ],
)
def test_an_age_is_believed_as_far_as_it_fits(age_ms: float, unlisted_ms: float, started: float) -> None:
    assert StartTimes().local_start("s", REPORTED, age_ms, NOW, unlisted_ms) == started


def test_a_start_is_found_once_and_another_distinguished_by_any_other_time() -> None:
    starts = StartTimes()
    first = starts.local_start("s", REPORTED, 100.0, NOW, 1000.0)
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + 5000.0, 1000.0) == first
    assert starts.local_start("s", REPORTED - HOUR_MS, 0.0, NOW + 6000.0, 1000.0) == NOW + 6000.0
    assert starts.local_start("t", 0.0, 0.0, NOW, 1000.0) == 0.0


def test_an_endpoint_that_was_cut_off_comes_back_as_it_was_and_what_is_kept_is_bounded() -> None:
    starts = StartTimes()
    first = starts.local_start("s", REPORTED, 100.0, NOW, 1000.0)
    starts.trim({})
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + 20_000.0, 1000.0) == first
    for number in range(2 * MAX_UNLISTED_STARTS):
        starts.local_start(number, REPORTED, 0.0, NOW, 1000.0)
        starts.trim({})
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + 30_000.0, 1000.0) == NOW + 30_000.0


def test_an_endpoint_that_is_listed_stays_known_however_many_come_and_go() -> None:
    """It would be taken for one that started just now, and be cold, at the next whole list."""
    starts = StartTimes()
    first = starts.local_start("s", REPORTED, 100.0, NOW, math.inf)
    for number in range(3 * MAX_UNLISTED_STARTS):
        starts.local_start(number, REPORTED, 0.0, NOW, 1000.0)
        starts.trim({"s": 1, number: 2})
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + HOUR_MS, 1000.0) == first
