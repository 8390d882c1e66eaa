"""Experiments: plans and faults, common chance over arms, resuming after a kill, intervals, charts, the search."""

from __future__ import annotations

import json
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from martenstep.cli.main import cli
from martenstep.config.text_format import SettingsError
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import load_scenario, parse_scenario, schedule
from martenstep.lab.experiment import run as running
from martenstep.lab.experiment.compare import arms, difference, interval, metrics, table
from martenstep.lab.experiment.plan import arms_of, load_plan, parse_plan, runs_of
from martenstep.lab.experiment.report import write
from martenstep.lab.experiment.search import Found, search, shrink
from martenstep.lab.measures import quota_use
from martenstep.lab.rules import ClientTry, ServerAttempt, Traffic
from tests.test_emulate import SMALL

PLANS = Path(__file__).resolve().parent.parent / "plans"
TINY = SMALL.replace("for_ms: 5000 rate: 40", "for_ms: 1500 rate: 30")
PLAN = """
name: "tiny" day: "day.txtpb" repetitions: 2 baseline: "2/none"
factor { name: "doors" level { name: "2" }
         level { name: "4" set: "fleet { doors: 4 }" rate_times: 2 customers_times: 2 } }
factor { name: "trouble" level { name: "none" }
         level { name: "silent" set: "event { at_ms: 300 trouble: SERVER_SILENT for_ms: 500 }" customer_doors: 9 } }
metric: "requests_served"
"""


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A plan and its day."""
    (tmp_path / "day.txtpb").write_text(TINY)
    (tmp_path / "plan.txtpb").write_text(PLAN)
    return tmp_path


def test_every_plan_of_the_repository_makes_days() -> None:
    for path in sorted(PLANS.glob("*.txtpb")):
        if path.stem not in ("base", "sweep"):  # a day, and a plan of another kind (tests/test_sweep.py)
            plan = load_plan(path)
            assert plan.name == path.stem and len(runs_of(plan, PLANS)) >= 10
            assert plan.baseline in {arm.name for arm in arms_of(plan)}


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ("repetitions: 2", "repetitions: 0", "repetitions: expected from 1 to 1000, got 0"),
        ('level { name: "none" }', 'level { name: "a/b" }', "factor[1].level[0].name: may not hold '/'"),
        ('set: "fleet { doors: 4 }"', 'set: "fleet { dors: 4 }"', "factor[0].level[1].set"),
        ("rate_times: 2", "rate_times: 0", "rate_times: expected above 0"),
        ("repetitions: 2", "repetitions: 1000 factor { name: 'x' level { name: '1' } level { name: '2' } }", "at most"),
    ],
)
def test_a_plan_with_a_fault_is_told_by_its_field(old: str, new: str, told: str) -> None:
    assert old in PLAN
    with pytest.raises(SettingsError) as error:
        parse_plan(PLAN.replace(old, new), "plan.txtpb")
    assert told in str(error.value)


def test_levels_that_make_a_day_that_cannot_be_are_told(folder: Path) -> None:
    plan = parse_plan(PLAN.replace("doors: 4", "doors: 0"), "plan.txtpb")
    with pytest.raises(SettingsError, match=r"arm 4/none.*fleet\.doors"):
        runs_of(plan, folder)


def test_arms_share_their_chance_and_levels_their_meaning(folder: Path) -> None:
    runs = runs_of(load_plan(folder / "plan.txtpb"), folder)
    assert [run.arm.name for run in runs[:4]] == ["2/none", "2/silent", "4/none", "4/silent"] and len(runs) == 8
    days = []
    for run in runs:
        day = pb.Day()
        day.ParseFromString(run.day)
        days.append(day)
    assert [planned.at_ms for planned in schedule(days[0])] == [planned.at_ms for planned in schedule(days[1])]
    assert days[0].seed == days[3].seed != days[4].seed
    assert (days[2].phase[0].rate, days[2].customers[0].number) == (60, 24) and len(days[1].event) == 1
    assert days[3].customers[0].doors == 4


def test_a_plan_is_run_kept_resumed_and_drawn(folder: Path) -> None:
    call = ["lab", "run", str(folder / "plan.txtpb"), "--out", str(folder / "out"), "--workers", "2"]
    done = CliRunner().invoke(cli, call)
    assert done.exit_code == 0 and "8 runs, 0 of them" in done.output, done.output
    rows, held = running.load_result(folder / "out")
    assert held["name"] == "tiny" and held["plan"] == PLAN and arms(rows)[0] == "2/none" and len(rows) == 8
    # A kill in the middle of a line: what is whole is not run again, the rest is, to the same figures.
    journal = folder / "out" / running.JOURNAL
    lines = journal.read_bytes().splitlines(keepends=True)
    journal.write_bytes(b"".join(lines[:5]) + lines[5][:40])
    assert CliRunner().invoke(cli, call).exit_code == 0
    again, _ = running.load_result(folder / "out")
    kept = {json.loads(line)["seconds"] for line in lines[1:5]}
    assert kept <= {row["seconds"] for row in again}
    for one, other in zip(rows, again, strict=True):
        assert {**one, "seconds": 0} == {**other, "seconds": 0}
    (folder / "plan.txtpb").write_text(PLAN.replace("repetitions: 2", "repetitions: 3"))
    changed = CliRunner().invoke(cli, call)
    assert changed.exit_code == 2 and "another plan or revision" in changed.output
    report = CliRunner().invoke(cli, ["lab", "report", str(folder / "out"), "--out", str(folder / "drawn")])
    assert report.exit_code == 0 and {path.name for path in (folder / "drawn").iterdir()} == {
        "requests_served.svg",
        "requests_served.png",
        "table.md",
        "report.html",
    }
    page = (folder / "drawn" / "report.html").read_text()
    assert "data:image/png;base64," in page and "http" not in page.replace("http://www.w3.org", "")
    words = ["lab", "compare", str(folder / "out"), "--baseline", "2/none", "--metric", "p99_ms"]
    told = CliRunner().invoke(cli, words)
    assert told.exit_code == 0 and "| 4/silent |" in told.output
    for odd in (["--baseline", "nope"], ["--metric", "nope"]):
        assert CliRunner().invoke(cli, ["lab", "compare", str(folder / "out"), *odd]).exit_code == 2
    assert CliRunner().invoke(cli, ["lab", "compare", str(folder / "nowhere")]).exit_code == 2


def rows_of(arm: str, values: list[float]) -> list[dict[str, object]]:
    """Rows as a run leaves them."""
    return [{"arm": arm, "repetition": number, "broken": [], "figure": value} for number, value in enumerate(values)]


def test_an_interval_holds_the_mean_in_about_95_of_100_cases() -> None:
    rng = np.random.default_rng(1)
    held = sum(
        found.low <= 10 <= found.high
        for found in (interval(rng.normal(10, 3, 30).tolist(), str(number)) for number in range(300))
    )
    assert 0.89 <= held / 300 <= 0.98


def test_a_paired_difference_sees_what_the_means_hide() -> None:
    """Seeds differ by 10, arms by 0.5: only run by run it shows."""
    seeds = [float(number * 10) for number in range(10)]
    rows = rows_of("a", seeds) + rows_of("b", [seed + 0.5 for seed in seeds])
    one, other = interval(seeds, "f"), interval([seed + 0.5 for seed in seeds], "f")
    assert one.low < other.mean < one.high
    less = difference(rows, "b", "a", "figure")
    assert less.differs and less.mean == pytest.approx(0.5) and less.runs == 10
    assert not difference(rows, "a", "a", "figure").differs
    assert metrics(rows) == ["figure"] and "(+0.5*)" in table(rows, ["figure"], "a")


def test_a_broken_rule_stands_in_the_table_and_the_page(tmp_path: Path) -> None:
    rows = rows_of("a", [1.0, 2.0])
    rows[1]["broken"] = ["ceilings"]
    assert "BROKEN: ceilings" in table(rows, ["figure"])
    assert write(rows, {"name": "n"}, ["figure"], "", tmp_path)[-1].name == "report.html"


# Measures and search ------------------------------------------------------------------------------------


def test_units_beyond_one_bucket_are_counted_once() -> None:
    day = parse_scenario(SMALL.replace("rate: 4 burst: 8", "rate: 1 burst: 2"), "day.txtpb")
    traffic = Traffic()

    def tried(rid: str, at: float, sent: bool) -> None:
        made = traffic.tries[rid] = ClientTry(rid, 0, "basic-0-1", "read", 1.0, at, 1000.0)
        if sent:
            made.attempts.append(ServerAttempt(rid, 0, 1, "door-0", "", at))
        else:
            made.ends.append({"what": "answer", "t": at, "status": 429, "reason": "quota"})

    for number in range(4):
        tried(f"a{number}", 1000.0, True)  # two in the bucket, two beyond
    tried("b", 1500.0, False)  # half a unit is there: no room
    tried("c", 4000.0, False)  # full again
    use = quota_use(day, traffic)
    assert (use.forwarded, use.excess, use.refused, use.refused_with_headroom) == (4.0, 2.0, 2.0, 1.0)


def test_the_search_finds_the_worst_and_shrinks_it_to_what_matters() -> None:
    base = parse_scenario(SMALL, "day.txtpb")

    def badness(day: pb.Day) -> float:
        down = sum(event.for_ms >= 200 for event in day.event if event.trouble == pb.STORE_DOWN)
        return down + 0.001 * len(day.event)

    def breaks(day: pb.Day) -> float:
        return float("inf") if len(day.event) > 1 else 0.0

    found = search(base, badness, 60, 1)
    assert found.badness >= 1 and found.tried == 60
    small = shrink(found, badness, 400)
    assert small.badness >= 0.9 * found.badness and sum(e.for_ms for e in small.day.event) < sum(
        e.for_ms for e in found.day.event
    )
    assert {event.trouble for event in small.day.event} == {pb.STORE_DOWN}
    broken = search(base, breaks, 60, 1)
    assert broken.badness == float("inf") and len(shrink(broken, breaks, 100).day.event) == 2
    assert isinstance(small, Found)


def test_a_day_that_is_found_replays(tmp_path: Path) -> None:
    (tmp_path / "day.txtpb").write_text(TINY)
    out = tmp_path / "worst.txtpb"
    words = ["lab", "search", str(tmp_path / "day.txtpb"), "--runs", "6", "--shrink-runs", "4", "--out", str(out)]
    done = CliRunner().invoke(cli, words)
    assert done.exit_code == 0 and "over_share" in done.output, done.output
    told = float(done.output.split("over_share ")[1].split(",")[0])
    day = load_scenario(out)
    assert day.name == "worst" and running.measure(day)["over_share"] == pytest.approx(told, rel=1e-3)
    assert CliRunner().invoke(cli, [*words, "--metric", "nope"]).exit_code == 2
