"""Sweeps: drawn days are days, the same everywhere; what breaks a rule is found, shrunk, saved and told."""

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
from martenstep.lab.emulate.doors import Connection, EmuDoor
from martenstep.lab.experiment import sweep
from martenstep.lab.rules import ANSWERED, CEILINGS, CHECKED, COLD, DOUBLE, DRAINS, INVENTED
from martenstep.policy import request_lifecycle
from martenstep.policy.ceiling import CeilingLimiter
from martenstep.policy.gcra import Gcra
from martenstep.standins.photo import Fall

ROOT = Path(__file__).resolve().parent.parent
SMALL = 'name: "small" days: 6 doors_most: 4 tries_most: 60 troubles_most: 2'


def plan(text: str = SMALL) -> plan_pb2.Sweep:
    return sweep.parse_sweep(text, "sweep.txtpb")


def test_every_drawn_day_passes_the_checks_of_days_and_is_the_same_again() -> None:
    kept = sweep.load_sweep(ROOT / "plans" / "sweep.txtpb")
    seen: set[int] = set()
    for number in range(150):
        day = sweep.drawn(kept, number)
        assert parse_scenario(text_format.MessageToString(day), "day.txtpb") == day == sweep.drawn(kept, number)
        seen |= {event.trouble for event in day.event}
    assert seen >= set(sweep.KINDS)  # each trouble is drawn


def test_the_plan_is_checked() -> None:
    with pytest.raises(SettingsError, match="doors_most: expected from 1 to 512"):
        plan('name: "a" doors_most: 0')
    with pytest.raises(SettingsError, match="COUNTER_KILLED is not drawn"):
        plan('name: "a" trouble: COUNTER_KILLED')


def test_a_sweep_goes_on_where_it_was_and_tells_what_it_did(tmp_path: Path) -> None:
    file, out = tmp_path / "sweep.txtpb", tmp_path / "out"
    file.write_text(SMALL)
    words = ["lab", "sweep", str(file), "--out", str(out), "--workers", "2"]
    first = CliRunner().invoke(cli, words)
    assert first.exit_code == 0 and "6 days drawn from seed 1, 0 of them broke a rule." in first.output, first.output
    lines = (out / sweep.JOURNAL).read_text().splitlines()
    assert sorted(json.loads(line)["number"] for line in lines[1:]) == list(range(6))
    (out / sweep.JOURNAL).write_text("\n".join([*lines[:4], lines[4][:20]]))  # killed while it wrote
    again = CliRunner().invoke(cli, words)
    assert again.exit_code == 0 and again.output == first.output
    file.write_text(SMALL + " seed: 2")
    other = CliRunner().invoke(cli, words)
    assert other.exit_code == 2 and "another plan or revision" in other.output


def test_a_broken_rule_is_found_shrunk_and_replays(monkeypatch: pytest.MonkeyPatch) -> None:
    reply = EmuDoor._reply
    monkeypatch.setattr(EmuDoor, "_reply", lambda self, action: reply(self, action) if action.status != 429 else None)
    made = plan(SMALL + " trouble: STORE_SLOW trouble: STORE_PAUSED")
    rows = [sweep.one(made.SerializeToString(), number) for number in range(6)]
    broken = [row for row in rows if row["broken"]]
    assert broken and all(row["broken"] == [ANSWERED] and "no final answer" in row["told"] for row in broken)
    day = sweep.drawn(made, broken[0]["number"])
    small = sweep.smallest(day, [ANSWERED], 12)
    assert sweep.broken_in(small)[0] == [ANSWERED]
    assert len(small.event) <= len(day.event) and sum(p.rate for p in small.phase) < sum(p.rate for p in day.phase)
    told = sweep.summary(made, rows)
    assert f"{len(broken)} of them broke a rule; answered: {len(broken)}" in told


def _flawed(rule: str, patch: pytest.MonkeyPatch) -> str:
    """Break a rule in the program or the models on purpose; gives the troubles that may show it."""
    if rule == CEILINGS:
        patch.setattr(CeilingLimiter, "limiter_for", lambda self, now, units: Gcra(1.0, 1.0, now))
        patch.setattr(Gcra, "wait_ms", lambda self, now, units: 0.0)
        return "troubles_most: 0"
    if rule == DOUBLE:
        patch.setattr(request_lifecycle, "may_execute_again", lambda request_class, execution, now: True)
        patch.setattr(request_lifecycle, "retry_filter", lambda request_class, execution: None)
        return "trouble: SERVER_RESETS"
    if rule == DRAINS:
        told = EmuDoor.told
        patch.setattr(EmuDoor, "told", lambda self, body: told(self, body.replace(b'"draining"', b'"up"')))
        return "trouble: SERVER_DRAINED"
    if rule == COLD:
        offer = Fall.offer
        patch.setattr(Fall, "offer", lambda self, now, ms, age: offer(self, now, ms * 100, age))
        return "trouble: SERVER_RESTARTED"
    if rule == INVENTED:
        came = Connection.came
        patch.setattr(
            Connection, "came", lambda self, told, *more: came(self, {**told, "rid": told["rid"] + "x"}, *more)
        )
        return "troubles_most: 0"
    verdict = EmuDoor._verdict
    patch.setattr(
        EmuDoor,
        "_verdict",
        lambda self, action, status, headers, body: verdict(
            self, action, 200, [(b"x-auth-customer", b"p0-0-0"), (b"x-auth-plan", b"p0")], b""
        ),
    )
    return "troubles_most: 0"


@pytest.mark.parametrize("rule", [CEILINGS, DOUBLE, DRAINS, COLD, INVENTED, CHECKED])
def test_a_flaw_of_each_rule_is_found_in_few_days(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    more = _flawed(rule, monkeypatch)
    made = plan(f'name: "flaw" doors_most: 4 tries_most: 300 {more}').SerializeToString()
    found = next(row for number in range(60) if rule in (row := sweep.one(made, number))["broken"])
    assert found["told"] and (rule != CEILINGS or "beyond both" in found["told"])


def test_a_day_that_brings_the_program_down_is_a_broken_one() -> None:
    def dies(day: pb.Day) -> dict[str, Any]:
        raise ZeroDivisionError("of a door")

    broken, told = sweep.broken_in(sweep.drawn(plan(), 0), dies)
    assert broken == [sweep.CRASHED] and "ZeroDivisionError: of a door" in told


def test_workers_end_with_a_killed_sweep(tmp_path: Path) -> None:
    (tmp_path / "sweep.txtpb").write_text('name: "long" days: 100000 tries_most: 300')
    words = ["lab", "sweep", str(tmp_path / "sweep.txtpb"), "--out", str(tmp_path / "out"), "--workers", "2"]
    sweeper = subprocess.Popen([sys.executable, "-m", "martenstep", *words], stdout=subprocess.DEVNULL)
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
    while any(_runs(pid) for pid in workers):
        time.sleep(0.05)


def _runs(pid: int) -> bool:
    """Whether a process is there, and not only its entry, which nobody has asked for yet."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False
