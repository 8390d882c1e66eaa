"""A deterministic trace of the decisions: seeded simulations drive a gateway, and every action must stay the same.

Each action is written as a line with the `repr` of its floats.  Each hundred events give one digest of these lines,
which is compared with `formats/decisions/trace_digests.json`, so that a failure names the first hundred events that
differ.  The digests depend on the order of random draws and of float arithmetic.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest

from martenstep.policy import messages as api
from tests.decision_world import BLOCK, CLASSES, Scenario, World

DIGESTS = Path(__file__).parent / "formats" / "decisions" / "trace_digests.json"
FREE = api.Plan("free")
SMALL = api.Plan("small", rate=6.0, burst=12.0, priority_weight=1.5)
FEW = api.Plan("few", rate=20.0, burst=40.0, concurrency_limit=2)
OPEN = api.Plan(
    "open", rate=20.0, burst=40.0, concurrency_limit=3, priority_weight=2.0, over_quota_value=0.9, over_quota_cost=0.2
)
COSTLY = api.Plan("costly", rate=10.0, burst=20.0, over_quota_value=0.0, over_quota_cost=1.3)
CAPPED = api.Plan("capped", 6.0, 12.0, 0, 1.0, 0.0, 0.5, 9.0, 15.0, 3.0)
CAPPED_OVER = api.Plan("capped-over", 20.0, 10.0, 0, 1.0, 1.0, 0.5, 30.0, 16.0, 2.0)
SETTINGS = api.Settings(
    instance=1,
    instances=3,
    zone="a",
    tick_ms=2.0,
    classes=CLASSES,
    plans=(FREE, SMALL, FEW, OPEN, COSTLY, CAPPED, CAPPED_OVER),
    has_counter=True,
    counter_timeout_ms=50.0,
    max_units=4.0,
    max_attempts=3,
    can_cancel=True,
    sends_retry_after=True,
    answer_slack_ms=8.0,
    slow_start_initial_share=0.25,
    slow_start_window_ms=6000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
)


SCENARIOS = (
    Scenario("quotas", 11, SETTINGS, ("free", "small", "open", "costly"), 14, 120.0, 12, 60.0, 0.08, 700.0),
    Scenario("cold start", 12, SETTINGS, ("free",), 10, 200.0, 5, 40.0, 0.05, 300.0),
    Scenario(
        "ceilings", 13, SETTINGS, ("capped", "capped-over"), 8, 90.0, 5, 50.0, 0.03, 2000.0, 6.0, 0.1, 2500.0, 3000
    ),
    Scenario(
        "crowded counter",
        14,
        SETTINGS,
        ("small", "open", "costly", "capped"),
        12,
        250.0,
        60,
        50.0,
        0.02,
        900.0,
        35.0,
        0.3,
    ),
    Scenario("counter down", 15, SETTINGS, ("small", "costly", "capped"), 12, 150.0, 30, 50.0, 0.02, 900.0, 3.0, 0.95),
    Scenario("overload", 16, SETTINGS, ("free", "small", "open"), 6, 400.0, 20, 450.0, 0.3, 1500.0),
    Scenario(
        "large fleet",
        17,
        replace(SETTINGS, instances=200, instance=77, must_subscribe=True, has_capacity_weights=True),
        ("free", "small"),
        140,
        30.0,
        200,
        80.0,
        0.15,
        400.0,
        events=2500,
    ),
    Scenario(
        "no counter",
        18,
        replace(SETTINGS, has_counter=False, can_cancel=False, max_attempts=2),
        ("small", "capped", "open"),
        5,
        80.0,
        9,
        70.0,
        0.2,
        1000.0,
    ),
    Scenario(
        "silence",
        19,
        replace(SETTINGS, instances=2),
        ("free", "capped-over"),
        9,
        60.0,
        4,
        30.0,
        0.5,
        5000.0,
        events=2000,
    ),
    Scenario(
        "near overload",
        21,
        replace(SETTINGS, instances=2, has_counter=False),
        ("small", "open", "costly", "free"),
        6,
        40.0,
        40,
        150.0,
        0.05,
        4000.0,
        events=3000,
    ),
    Scenario("quiet", 22, SETTINGS, ("free", "small"), 5, 0.4, 3, 60.0, 0.1, 1500.0, events=600),
    Scenario("steady", 20, SETTINGS, ("free", "few", "small"), 14, 60.0, 8, 45.0, 0.02, 1e6, events=3500, strays=True),
)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_decision_is_unchanged_to_the_last_digit(scenario: Scenario) -> None:
    expected = json.loads(DIGESTS.read_text())[scenario.name]
    found = World(scenario).run()
    assert len(found) == len(expected) == scenario.events // BLOCK
    differ = [number for number, digests in enumerate(zip(found, expected, strict=True)) if len(set(digests)) > 1]
    assert not differ, (
        f"{scenario.name}: the decisions on events {differ[0] * BLOCK} to {differ[0] * BLOCK + 99} differ"
    )
