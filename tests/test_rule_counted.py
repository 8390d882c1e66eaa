"""The checker of the store's totals reports each seeded violation and reports nothing on traces without one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from martenstep.lab.rules import COUNTED, Traffic, check_counted

Line = dict[str, Any]


def stated(
    t: float,
    door: str,
    version: int,
    gateway_sum: float,
    total: float,
    key: str = "k",
    until: float = 90_000.0,
    node: str = "n",
) -> Line:
    return {
        "t": t,
        "what": "stated",
        "key": key,
        "door": f"{door}:1",
        "version": version,
        "sum": gateway_sum,
        "total": total,
        "until": until,
        "node": node,
    }


def held(total: str, t: float = 1000.0, **sums: str) -> Line:
    return {
        "t": t,
        "what": "held",
        "key": "k",
        "node": "n",
        "fields": {"t": total, **{f"{door.replace('_', '-')}:1": value for door, value in sums.items()}},
    }


def valid_lines() -> list[Line]:
    return [
        stated(1, "door-0", 1, 2.0, 2.0),
        stated(2, "door-1", 1, 3.0, 5.0),
        stated(3, "door-0", 2, 4.0, 7.0),
        held("7", door_0="2 4", door_1="1 3"),
    ]


def texts(lines: list[Line], traffic: Traffic | None = None) -> list[str]:
    found = list(check_counted(traffic or Traffic(), lines, 60.0))
    assert all(violation.rule == COUNTED for violation in found)
    return [violation.text for violation in found]


def test_totals_that_match_the_sums_are_accepted() -> None:
    assert texts(valid_lines()) == []


def test_a_store_that_was_emptied_and_refilled_is_accepted() -> None:
    lines = [
        *valid_lines()[:3],
        {"t": 4, "what": "control", "do": "restart"},
        stated(5, "door-0", 2, 4.0, 4.0),
        stated(6, "door-1", 1, 3.0, 7.0),
        valid_lines()[3],
    ]
    assert texts(lines) == []


def test_a_key_that_expired_starts_at_zero() -> None:
    assert (
        texts(
            [
                stated(1, "door-0", 1, 2.0, 2.0, until=50.0),
                stated(60, "door-1", 1, 1.0, 1.0, until=70.0),
                {"t": 500, "what": "control", "do": "state"},
            ]
        )
        == []
    )


def test_units_added_by_a_killed_gateway_may_be_lost() -> None:
    traffic = Traffic()
    traffic.kills[1].append((2.0, 9.0))
    lines = [*valid_lines()[:3], held("4", door_0="2 4")]
    assert texts(lines, traffic) == [] and len(texts(lines)) == 1


def _total_counts_twice(lines: list[Line]) -> None:
    lines[2]["total"] = 9.0


def _wrong_final_total(lines: list[Line]) -> None:
    lines[3]["fields"]["t"] = "9"


def _sum_missing(lines: list[Line]) -> None:
    del lines[3]["fields"]["door-1:1"]
    lines[3]["fields"]["t"] = "4"


def _older_version(lines: list[Line]) -> None:
    lines[3]["fields"] |= {"door-0:1": "1 2", "t": "5"}


def _key_missing(lines: list[Line]) -> None:
    del lines[3]
    lines.append({"t": 1000, "what": "control", "do": "state"})


@pytest.mark.parametrize(
    ("seed_violation", "expected"),
    [
        (_total_counts_twice, ["k holds 9, and its gateways wrote 7"]),
        (_wrong_final_total, ["at the end k holds 9, and its gateways' sums are 7"]),
        (_sum_missing, ["door-1:1 wrote 3 for k, and at the end it holds 0"]),
        (_older_version, ["door-0:1 wrote 4 for k, and at the end it holds 2"]),
        (
            _key_missing,
            [
                "door-0:1 wrote 4 for k, and at the end it holds 0",
                "door-1:1 wrote 3 for k, and at the end it holds 0",
            ],
        ),
    ],
)
def test_each_violation_is_reported(seed_violation: Callable[[list[Line]], None], expected: list[str]) -> None:
    lines = valid_lines()
    seed_violation(lines)
    assert sorted(texts(lines)) == expected
