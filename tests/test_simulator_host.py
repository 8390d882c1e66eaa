"""The simulator's host, by hand-written lines of its protocol."""

from __future__ import annotations

import io
import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

from martenstep.simulator.host import serve
from martenstep.simulator.line_format import ProtocolError

ROOT = Path(__file__).resolve().parent.parent
PARAMS = {
    "instances": 2,
    "me": 0,
    "zone": "a",
    "tick_ms": 2.0,
    "some_new_key": [1],
    "classes": [{"name": "read", "slo_ms": 1000.0, "deadline_ms": 4000.0, "idempotency": "idempotent"}],
    "contracts": [{"name": "plain", "units_per_s": 1.0, "most_at_once": 4.0}],
    "family_info": {"has_counter": True, "counter_timeout_ms": 50.0},
    "policy_limits": {"try_limit": 3},
    "rules": {"answer_slack_ms": 8.0},
}


def up(door: str, seed: int = 1) -> list[str]:
    return [
        f"UP door={door} init_seed={seed} params={json.dumps(PARAMS)}",
        "TABLE roster_id=0 entries=2",
        "BACKEND backend=11 zone=a kind=std cohort=0 condition=U size=1",
        "BACKEND backend=22 zone=b kind=std cohort=0 condition=U size=1.5 born_ms=10.0 novelty=5",
        f"UPDATE door={door} scope=warm_copy index=4 roster_id=0",
    ]


def query(door: str, rid: str, customer: int = 5) -> str:
    return (
        f"QUERY caller={customer} door={door} rid={rid} cls=read grade_of_service=plain "
        "remaining_ms=900.0 cost_units=1 spread=2 from_no=0"
    )


def play(*batches: list[str]) -> list[list[str]]:
    text = "".join(
        "\n".join([f"BATCH t_ms={9000 + 5 * n}", *lines, "YOUR_TURN", ""]) + "\n" for n, lines in enumerate(batches)
    )
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    return [part.strip().splitlines() for part in sink.getvalue().split("READY\n")[:-1]]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    sink = io.StringIO()
    serve(io.StringIO("BATCH t_ms=8412.25\nYOUR_TURN\n"), sink)
    assert sink.getvalue() == "READY\n"


def test_a_request_is_counted_then_handed_off() -> None:
    first = play([*up("door/0"), query("door/0", "00ff00ff00ff00ff")])[0]
    names = [re.search(r"cname=(\d+)", line) for line in first]
    assert [line.split()[0] for line in first] == ["POST_AMOUNT"]
    totals = [
        f"TOTAL door=door/0 cname={m.group(1)} result_value={n} rtt_ms=2.15 verdict=Ok"
        for n, m in enumerate(names)
        if m
    ]
    second = play([*up("door/0"), query("door/0", "00ff00ff00ff00ff")], totals)[1]
    assert second[0].startswith("HAND_OFF door=door/0 rid=00ff00ff00ff00ff timeout_ms=")
    assert second[0].endswith(("backend=11", "backend=22"))


@pytest.mark.parametrize(
    ("line", "told"),
    [
        ("QUERY door=door/0 rid=aa cls=read", "grade_of_service"),
        ("TICK_DUE door=door/0 name=x1", "whole number"),
        ("NONSENSE door=door/0", "NONSENSE"),
        ("COMPLETED door=door/0 rid=aa hop=0 backend=1 verdict=Odd rtt_ms=1", "one of Ok"),
        ("LAPSED", "door"),
        ("UPDATE door=door/0 scope=total index=1 roster_id=9", "roster_id"),
    ],
)
def test_a_malformed_line_is_named(line: str, told: str) -> None:
    with pytest.raises(ProtocolError, match="line 7: ") as caught:
        play([*up("door/0"), line])
    assert told in str(caught.value)


def test_an_exception_in_the_module_becomes_die() -> None:
    bad = query("door/0", "aa").replace("cls=read", "cls=video")
    [reply] = play([*up("door/0"), bad])
    assert len(reply) == 1 and reply[0].startswith("DIE door=door/0 text=ValueError: class 'video'")


def test_missing_settings_are_named() -> None:
    line = 'UP door=door/0 init_seed=1 params={"me": 0}'
    [reply] = play([line])
    assert reply == ["DIE door=door/0 text=ValueError: setting policy_limits: missing"]


def test_a_detached_instance_is_forgotten() -> None:
    assert play([*up("door/0"), "DETACH door=door/0", query("door/0", "aa")]) == [[]]


def test_the_process_ends_plainly() -> None:
    good = subprocess.run(
        [sys.executable, "-m", "martenstep.simulator"],
        input="BATCH t_ms=1\nYOUR_TURN\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert (good.returncode, good.stdout, good.stderr) == (0, "READY\n", "")
    bad = subprocess.run(
        [sys.executable, "-m", "martenstep.simulator"],
        input="BATCH t_ms=soon\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert bad.returncode != 0
    assert bad.stderr.strip() == "martenstep: line 1: field t_ms: expected a number, got 'soon'"


def test_one_process_acts_as_three() -> None:
    doors = [f"door/{n}" for n in range(3)]
    setup = [line for n, door in enumerate(doors) for line in up(door, seed=n)]
    batches = [setup] + [[query(door, f"{n:016x}", customer=n % 4) for door in doors] for n in range(40)]
    together = play(*batches)
    for door in doors:
        alone = play(
            *[[line for line in batch if "door=" not in line or f"door={door} " in f"{line} "] for batch in batches]
        )
        assert alone == [[line for line in reply if f"door={door} " in line] for reply in together]
    assert sum(map(len, together)) > 10
