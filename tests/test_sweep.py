"""Sweeps: generated scenarios are valid and reproducible; violations are found, shrunk, saved and reported."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from google.protobuf import text_format

from martenstep.cli.main import cli
from martenstep.config.text_format import SettingsError
from martenstep.lab import day_pb2 as pb
from martenstep.lab import plan_pb2
from martenstep.lab.day import parse_scenario
from martenstep.lab.emulate.doors import EmulatedGateway, UpstreamConnection
from martenstep.lab.experiment import sweep
from martenstep.lab.rules import ANSWERED, CEILINGS, CHECKED, COLD, DOUBLE, DRAINS, INVENTED
from martenstep.policy import request_lifecycle
from martenstep.policy.ceiling import CeilingLimiter
from martenstep.policy.gcra import Gcra
from martenstep.standins.photo import OverloadDetector

ROOT = Path(__file__).resolve().parent.parent
SMALL = 'name: "small" days: 6 doors_most: 4 tries_most: 60 troubles_most: 2'


def plan(text: str = SMALL) -> plan_pb2.Sweep:
    return sweep.parse_sweep(text, "sweep.txtpb")


def test_every_generated_scenario_is_valid_and_reproducible() -> None:
    repository_plan = sweep.load_sweep(ROOT / "plans" / "sweep.txtpb")
    seen: set[int] = set()
    for number in range(150):
        scenario = sweep.generate_scenario(repository_plan, number)
        assert (
            parse_scenario(text_format.MessageToString(scenario), "day.txtpb")
            == scenario
            == sweep.generate_scenario(repository_plan, number)
        )
        seen |= {event.trouble for event in scenario.event}
    assert seen >= set(sweep.FAULT_KINDS)  # each fault is generated


def test_an_invalid_plan_is_refused() -> None:
    with pytest.raises(SettingsError, match="doors_most: expected from 1 to 512"):
        plan('name: "a" doors_most: 0')
    with pytest.raises(SettingsError, match="a sweep does not generate COUNTER_KILLED"):
        plan('name: "a" trouble: COUNTER_KILLED')


def test_an_interrupted_sweep_resumes_and_prints_the_same_summary(tmp_path: Path) -> None:
    file, out = tmp_path / "sweep.txtpb", tmp_path / "out"
    file.write_text(SMALL)
    arguments = ["lab", "sweep", str(file), "--out", str(out), "--workers", "2"]
    first = CliRunner().invoke(cli, arguments)
    assert first.exit_code == 0 and "6 days drawn from seed 1, 0 of them broke a rule." in first.output, first.output
    lines = (out / sweep.JOURNAL).read_text().splitlines()
    assert sorted(json.loads(line)["number"] for line in lines[1:]) == list(range(6))
    (out / sweep.JOURNAL).write_text("\n".join([*lines[:4], lines[4][:20]]))  # as if killed during a write
    resumed = CliRunner().invoke(cli, arguments)
    assert resumed.exit_code == 0 and resumed.output == first.output
    file.write_text(SMALL + " seed: 2")
    other = CliRunner().invoke(cli, arguments)
    assert other.exit_code == 2 and "another plan or revision" in other.output


def test_a_violation_is_found_shrunk_and_reproduced(monkeypatch: pytest.MonkeyPatch) -> None:
    reply = EmulatedGateway._send_local_reply
    monkeypatch.setattr(
        EmulatedGateway, "_send_local_reply", lambda self, action: reply(self, action) if action.status != 429 else None
    )
    swept_plan = plan(SMALL + " trouble: STORE_SLOW trouble: STORE_PAUSED")
    rows = [sweep.run_scenario(swept_plan.SerializeToString(), number) for number in range(6)]
    broken = [row for row in rows if row["broken"]]
    assert broken and all(row["broken"] == [ANSWERED] and "no final answer" in row["told"] for row in broken)
    scenario = sweep.generate_scenario(swept_plan, broken[0]["number"])
    smallest = sweep.shrink_scenario(scenario, [ANSWERED], 12)
    assert sweep.find_violations(smallest)[0] == [ANSWERED]
    assert len(smallest.event) <= len(scenario.event) and sum(p.rate for p in smallest.phase) < sum(
        p.rate for p in scenario.phase
    )
    text = sweep.summary(swept_plan, rows)
    assert f"{len(broken)} of them broke a rule; answered: {len(broken)}" in text


def _break_rule(rule: str, patch: pytest.MonkeyPatch) -> str:
    """Patch the gateway or the models so that they violate a rule; returns plan fields whose faults expose it."""
    if rule == CEILINGS:
        patch.setattr(CeilingLimiter, "limiter_for", lambda self, now, units: Gcra(1.0, 1.0, now))
        patch.setattr(Gcra, "wait_ms", lambda self, now, units: 0.0)
        return "troubles_most: 0"
    if rule == DOUBLE:
        patch.setattr(request_lifecycle, "may_execute_again", lambda request_class, execution, now: True)
        patch.setattr(request_lifecycle, "retry_filter", lambda request_class, execution: None)
        return "trouble: SERVER_RESETS"
    if rule == DRAINS:
        receive = EmulatedGateway.receive_endpoint_list
        patch.setattr(
            EmulatedGateway,
            "receive_endpoint_list",
            lambda self, body: receive(self, body.replace(b'"draining"', b'"up"')),
        )
        return "trouble: SERVER_DRAINED"
    if rule == COLD:
        offer = OverloadDetector.offer
        patch.setattr(OverloadDetector, "offer", lambda self, now, ms, age: offer(self, now, ms * 100, age))
        return "trouble: SERVER_RESTARTED"
    if rule == INVENTED:
        request_arrived = UpstreamConnection.request_arrived
        patch.setattr(
            UpstreamConnection,
            "request_arrived",
            lambda self, trace_fields, *more: request_arrived(
                self, {**trace_fields, "rid": trace_fields["rid"] + "x"}, *more
            ),
        )
        return "troubles_most: 0"
    verdict = EmulatedGateway._auth_check_replied
    patch.setattr(
        EmulatedGateway,
        "_auth_check_replied",
        lambda self, action, status, headers, body: verdict(
            self, action, 200, [(b"x-auth-customer", b"p0-0-0"), (b"x-auth-plan", b"p0")], b""
        ),
    )
    return "troubles_most: 0"


@pytest.mark.parametrize("rule", [CEILINGS, DOUBLE, DRAINS, COLD, INVENTED, CHECKED])
def test_a_violation_of_each_rule_is_found_within_60_scenarios(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    more = _break_rule(rule, monkeypatch)
    swept_plan = plan(f'name: "flaw" doors_most: 4 tries_most: 300 {more}').SerializeToString()
    found = next(row for number in range(60) if rule in (row := sweep.run_scenario(swept_plan, number))["broken"])
    assert found["told"] and (rule != CEILINGS or "beyond both" in found["told"])


def test_a_scenario_that_raises_an_exception_counts_as_broken() -> None:
    def crash(scenario: pb.Day) -> dict[str, Any]:
        raise ZeroDivisionError("in a gateway")

    broken, text = sweep.find_violations(sweep.generate_scenario(plan(), 0), crash)
    assert broken == [sweep.CRASHED] and "ZeroDivisionError: in a gateway" in text


def test_workers_end_with_a_killed_sweep(tmp_path: Path) -> None:
    (tmp_path / "sweep.txtpb").write_text('name: "long" days: 100000 tries_most: 300')
    arguments = ["lab", "sweep", str(tmp_path / "sweep.txtpb"), "--out", str(tmp_path / "out"), "--workers", "2"]
    sweeper = subprocess.Popen([sys.executable, "-m", "martenstep", *arguments], stdout=subprocess.DEVNULL)
    try:
        while (
            not (tmp_path / "out" / sweep.JOURNAL).exists()
            or b"seconds" not in (tmp_path / "out" / sweep.JOURNAL).read_bytes()
        ):
            time.sleep(0.05)
        workers = [int(pid) for pid in Path(f"/proc/{sweeper.pid}/task/{sweeper.pid}/children").read_text().split()]
        assert len(workers) >= 2
    finally:
        sweeper.kill()
        sweeper.wait()
    while any(_is_running(pid) for pid in workers):
        time.sleep(0.05)


def _is_running(pid: int) -> bool:
    """Whether a process is running, and not a zombie whose exit status has not been collected."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False
