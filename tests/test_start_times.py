"""The starts of endpoints, from times of a wall clock that may have been stepped."""

from __future__ import annotations

import math

import pytest

from martenstep.policy.start_times import MAX_LISTING_DELAY_MS, MAX_UNLISTED_STARTS, StartTimes

NOW, REPORTED = 90_000.0, 1_700_000_000_000.0
HOUR_MS = 3_600_000.0


@pytest.mark.parametrize(
    ("age_ms", "unlisted_ms", "started"),
    [
        (4000.0, math.inf, NOW - 4000.0),  # in the first list nothing contradicts the age
        (800.0, 1500.0, NOW - 800.0),
        (HOUR_MS, 1500.0, NOW),  # the clock was stepped forward: the endpoint was not listed 1.5 s ago
        (-HOUR_MS, 1500.0, NOW),  # the clock was stepped back
        (-HOUR_MS, math.inf, NOW),
        (1500.0 + MAX_LISTING_DELAY_MS + 1, 1500.0, NOW),
    ],
)
def test_only_a_plausible_age_is_used(age_ms: float, unlisted_ms: float, started: float) -> None:
    assert StartTimes().local_start("s", REPORTED, age_ms, NOW, unlisted_ms) == started


def test_a_start_is_computed_once_and_any_other_reported_time_is_another_start() -> None:
    starts = StartTimes()
    first = starts.local_start("s", REPORTED, 100.0, NOW, 1000.0)
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + 5000.0, 1000.0) == first
    assert starts.local_start("s", REPORTED - HOUR_MS, 0.0, NOW + 6000.0, 1000.0) == NOW + 6000.0
    assert starts.local_start("t", 0.0, 0.0, NOW, 1000.0) == 0.0


def test_an_endpoint_listed_again_keeps_its_start_and_the_retained_starts_are_bounded() -> None:
    starts = StartTimes()
    first = starts.local_start("s", REPORTED, 100.0, NOW, 1000.0)
    starts.trim({})
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + 20_000.0, 1000.0) == first
    for number in range(2 * MAX_UNLISTED_STARTS):
        starts.local_start(number, REPORTED, 0.0, NOW, 1000.0)
        starts.trim({})
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + 30_000.0, 1000.0) == NOW + 30_000.0


def test_a_listed_endpoint_keeps_its_start_however_many_others_are_listed_and_removed() -> None:
    """Without its start it would count as started just now, and go through a slow start, at the next full list."""
    starts = StartTimes()
    first = starts.local_start("s", REPORTED, 100.0, NOW, math.inf)
    for number in range(3 * MAX_UNLISTED_STARTS):
        starts.local_start(number, REPORTED, 0.0, NOW, 1000.0)
        starts.trim({"s": 1, number: 2})
    assert starts.local_start("s", REPORTED, HOUR_MS, NOW + HOUR_MS, 1000.0) == first
