"""The rule on the store's counts, on made traces: kept where it is, and found on each seeded breach."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from martenstep.lab.rules import COUNTED, Traffic, counted

Line = dict[str, Any]


def stated(
    t: float,
    door: str,
    version: int,
    own: float,
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
        "sum": own,
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


def good() -> list[Line]:
    return [
        stated(1, "door-0", 1, 2.0, 2.0),
        stated(2, "door-1", 1, 3.0, 5.0),
        stated(3, "door-0", 2, 4.0, 7.0),
        held("7", door_0="2 4", door_1="1 3"),
    ]


def texts(lines: list[Line], traffic: Traffic | None = None) -> list[str]:
    found = list(counted(traffic or Traffic(), lines, 60.0))
    assert all(breach.rule == COUNTED for breach in found)
    return [breach.text for breach in found]


def test_sums_that_add_up_are_no_breach() -> None:
    assert texts(good()) == []


def test_a_store_that_was_emptied_and_told_again_is_no_breach() -> None:
    lines = [
        *good()[:3],
        {"t": 4, "what": "control", "do": "restart"},
        stated(5, "door-0", 2, 4.0, 4.0),
        stated(6, "door-1", 1, 3.0, 7.0),
        good()[3],
    ]
    assert texts(lines) == []


def test_a_name_that_expired_begins_anew() -> None:
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


def test_what_a_killed_door_had_added_may_be_lost() -> None:
    traffic = Traffic()
    traffic.down[1].append((2.0, 9.0))
    lines = [*good()[:3], held("4", door_0="2 4")]
    assert texts(lines, traffic) == [] and len(texts(lines)) == 1


def _twice(lines: list[Line]) -> None:
    lines[2]["total"] = 9.0


def _wrong_end(lines: list[Line]) -> None:
    lines[3]["fields"]["t"] = "9"


def _lost(lines: list[Line]) -> None:
    del lines[3]["fields"]["door-1:1"]
    lines[3]["fields"]["t"] = "4"


def _older(lines: list[Line]) -> None:
    lines[3]["fields"] |= {"door-0:1": "1 2", "t": "5"}


def _gone(lines: list[Line]) -> None:
    del lines[3]
    lines.append({"t": 1000, "what": "control", "do": "state"})


@pytest.mark.parametrize(
    ("breach", "told"),
    [
        (_twice, ["k holds 9, and its doors stated 7"]),
        (_wrong_end, ["at the end k holds 9, and its doors' sums are 7"]),
        (_lost, ["door-1:1 stated 3 for k, and at the end it holds 0"]),
        (_older, ["door-0:1 stated 4 for k, and at the end it holds 2"]),
        (
            _gone,
            [
                "door-0:1 stated 4 for k, and at the end it holds 0",
                "door-1:1 stated 3 for k, and at the end it holds 0",
            ],
        ),
    ],
)
def test_each_breach_is_found(breach: Callable[[list[Line]], None], told: list[str]) -> None:
    lines = good()
    breach(lines)
    assert sorted(texts(lines)) == told
