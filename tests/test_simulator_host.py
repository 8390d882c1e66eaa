"""The simulator's host, tested with hand-written lines of its protocol."""

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


def start_lines(door: str, seed: int = 1) -> list[str]:
    return [
        f"UP door={door} init_seed={seed} params={json.dumps(PARAMS)}",
        "TABLE roster_id=0 entries=2",
        "BACKEND backend=11 zone=a kind=std cohort=0 condition=U size=1",
        "BACKEND backend=22 zone=b kind=std cohort=0 condition=U size=1.5 born_ms=10.0 novelty=5",
        f"UPDATE door={door} scope=warm_copy index=4 roster_id=0",
    ]


def query_line(door: str, rid: str, customer: int = 5) -> str:
    return (
        f"QUERY caller={customer} door={door} rid={rid} cls=read grade_of_service=plain "
        "remaining_ms=900.0 cost_units=1 spread=2 from_no=0"
    )


def serve_batches(*batches: list[str]) -> list[list[str]]:
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


def test_a_request_is_counted_and_then_forwarded() -> None:
    first = serve_batches([*start_lines("door/0"), query_line("door/0", "00ff00ff00ff00ff")])[0]
    names = [re.search(r"cname=(\d+)", line) for line in first]
    assert [line.split()[0] for line in first] == ["POST_AMOUNT"]
    totals = [
        f"TOTAL door=door/0 cname={m.group(1)} result_value={n} rtt_ms=2.15 verdict=Ok"
        for n, m in enumerate(names)
        if m
    ]
    second = serve_batches([*start_lines("door/0"), query_line("door/0", "00ff00ff00ff00ff")], totals)[1]
    assert second[0].startswith("HAND_OFF door=door/0 rid=00ff00ff00ff00ff timeout_ms=")
    assert second[0].endswith(("backend=11", "backend=22"))


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("QUERY door=door/0 rid=aa cls=read", "grade_of_service"),
        ("TICK_DUE door=door/0 name=x1", "whole number"),
        ("NONSENSE door=door/0", "NONSENSE"),
        ("COMPLETED door=door/0 rid=aa hop=0 backend=1 verdict=Odd rtt_ms=1", "one of Ok"),
        ("LAPSED", "door"),
        ("UPDATE door=door/0 scope=total index=1 roster_id=9", "roster_id"),
    ],
)
def test_an_error_names_the_malformed_line_and_the_field(line: str, expected: str) -> None:
    with pytest.raises(ProtocolError, match="line 7: ") as caught:
        serve_batches([*start_lines("door/0"), line])
    assert expected in str(caught.value)


def test_an_exception_in_the_decisions_is_reported_with_die() -> None:
    bad = query_line("door/0", "aa").replace("cls=read", "cls=video")
    [reply] = serve_batches([*start_lines("door/0"), bad])
    assert len(reply) == 1 and reply[0].startswith("DIE door=door/0 text=ValueError: class 'video'")


def test_missing_settings_are_named() -> None:
    line = 'UP door=door/0 init_seed=1 params={"me": 0}'
    [reply] = serve_batches([line])
    assert reply == ["DIE door=door/0 text=ValueError: setting policy_limits: missing"]


def test_a_detached_instance_gives_no_actions() -> None:
    assert serve_batches([*start_lines("door/0"), "DETACH door=door/0", query_line("door/0", "aa")]) == [[]]


def test_the_process_exits_with_0_at_the_end_of_input_and_with_an_error_on_a_malformed_line() -> None:
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


def test_three_instances_in_one_process_act_as_three_processes() -> None:
    doors = [f"door/{n}" for n in range(3)]
    setup = [line for n, door in enumerate(doors) for line in start_lines(door, seed=n)]
    batches = [setup] + [[query_line(door, f"{n:016x}", customer=n % 4) for door in doors] for n in range(40)]
    together = serve_batches(*batches)
    for door in doors:
        alone = serve_batches(
            *[[line for line in batch if "door=" not in line or f"door={door} " in f"{line} "] for batch in batches]
        )
        assert alone == [[line for line in reply if f"door={door} " in line] for reply in together]
    assert sum(map(len, together)) > 10
