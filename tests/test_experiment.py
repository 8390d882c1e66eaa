"""Experiments: plans and their errors, common random numbers, resumed runs, intervals, charts and searches."""

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
from martenstep.lab.experiment.compare import arms, bootstrap_interval, metrics, paired_difference, table
from martenstep.lab.experiment.plan import arms_of, load_plan, parse_plan, runs_of
from martenstep.lab.experiment.report import write_report
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
    """A folder with a plan and its scenario."""
    (tmp_path / "day.txtpb").write_text(TINY)
    (tmp_path / "plan.txtpb").write_text(PLAN)
    return tmp_path


def test_every_plan_of_the_repository_gives_valid_scenarios() -> None:
    for path in sorted(PLANS.glob("*.txtpb")):
        if path.stem not in ("base", "sweep"):  # a scenario, and a plan of a sweep (tests/test_sweep.py)
            plan = load_plan(path)
            assert plan.name == path.stem and len(runs_of(plan, PLANS)) >= 10
            assert plan.baseline in {arm.name for arm in arms_of(plan)}


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("repetitions: 2", "repetitions: 0", "repetitions: expected from 1 to 1000, got 0"),
        ('level { name: "none" }', 'level { name: "a/b" }', "factor[1].level[0].name: must not contain '/'"),
        ('set: "fleet { doors: 4 }"', 'set: "fleet { dors: 4 }"', "factor[0].level[1].set"),
        ("rate_times: 2", "rate_times: 0", "rate_times: expected above 0"),
        (
            "repetitions: 2",
            "repetitions: 1000 factor { name: 'x' level { name: '1' } level { name: '2' } }",
            "at most 200 arms",
        ),
    ],
)
def test_the_error_of_an_invalid_plan_names_the_field(old: str, new: str, message: str) -> None:
    assert old in PLAN
    with pytest.raises(SettingsError) as error:
        parse_plan(PLAN.replace(old, new), "plan.txtpb")
    assert message in str(error.value)


def test_levels_that_make_a_scenario_invalid_are_refused(folder: Path) -> None:
    plan = parse_plan(PLAN.replace("doors: 4", "doors: 0"), "plan.txtpb")
    with pytest.raises(SettingsError, match=r"arm 4/none.*fleet\.doors"):
        runs_of(plan, folder)


def test_arms_share_random_numbers_and_apply_their_levels(folder: Path) -> None:
    runs = runs_of(load_plan(folder / "plan.txtpb"), folder)
    assert [run.arm.name for run in runs[:4]] == ["2/none", "2/silent", "4/none", "4/silent"] and len(runs) == 8
    scenarios = []
    for run in runs:
        scenario = pb.Day()
        scenario.ParseFromString(run.scenario)
        scenarios.append(scenario)
    assert [planned.at_ms for planned in schedule(scenarios[0])] == [
        planned.at_ms for planned in schedule(scenarios[1])
    ]
    assert scenarios[0].seed == scenarios[3].seed != scenarios[4].seed
    assert (scenarios[2].phase[0].rate, scenarios[2].customers[0].number) == (60, 24) and len(scenarios[1].event) == 1
    assert scenarios[3].customers[0].doors == 4


def test_a_plan_is_run_resumed_compared_and_reported(folder: Path) -> None:
    arguments = ["lab", "run", str(folder / "plan.txtpb"), "--out", str(folder / "out"), "--workers", "2"]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0 and "8 runs, 0 of them" in result.output, result.output
    rows, metadata = running.load_result(folder / "out")
    assert metadata["name"] == "tiny" and metadata["plan"] == PLAN and arms(rows)[0] == "2/none" and len(rows) == 8
    # After a kill in the middle of a line, complete runs are kept and the others give the same figures again.
    journal = folder / "out" / running.JOURNAL
    lines = journal.read_bytes().splitlines(keepends=True)
    journal.write_bytes(b"".join(lines[:5]) + lines[5][:40])
    assert CliRunner().invoke(cli, arguments).exit_code == 0
    resumed_rows, _ = running.load_result(folder / "out")
    kept = {json.loads(line)["seconds"] for line in lines[1:5]}
    assert kept <= {row["seconds"] for row in resumed_rows}
    for one, other in zip(rows, resumed_rows, strict=True):
        assert {**one, "seconds": 0} == {**other, "seconds": 0}
    (folder / "plan.txtpb").write_text(PLAN.replace("repetitions: 2", "repetitions: 3"))
    changed = CliRunner().invoke(cli, arguments)
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
    compare = ["lab", "compare", str(folder / "out"), "--baseline", "2/none", "--metric", "p99_ms"]
    compared = CliRunner().invoke(cli, compare)
    assert compared.exit_code == 0 and "| 4/silent |" in compared.output
    for unknown in (["--baseline", "nope"], ["--metric", "nope"]):
        assert CliRunner().invoke(cli, ["lab", "compare", str(folder / "out"), *unknown]).exit_code == 2
    assert CliRunner().invoke(cli, ["lab", "compare", str(folder / "nowhere")]).exit_code == 2


def rows_of(arm: str, values: list[float]) -> list[dict[str, object]]:
    """Rows in the form that a run writes."""
    return [{"arm": arm, "repetition": number, "broken": [], "figure": value} for number, value in enumerate(values)]


def test_an_interval_contains_the_true_mean_in_about_95_of_100_cases() -> None:
    rng = np.random.default_rng(1)
    covered = sum(
        found.low <= 10 <= found.high
        for found in (bootstrap_interval(rng.normal(10, 3, 30).tolist(), str(number)) for number in range(300))
    )
    assert 0.89 <= covered / 300 <= 0.98


def test_a_paired_difference_shows_an_effect_that_the_means_hide() -> None:
    """Seeds differ by 10 and arms by 0.5, so that only the difference of runs with one seed shows the effect."""
    seeds = [float(number * 10) for number in range(10)]
    rows = rows_of("a", seeds) + rows_of("b", [seed + 0.5 for seed in seeds])
    one, other = bootstrap_interval(seeds, "f"), bootstrap_interval([seed + 0.5 for seed in seeds], "f")
    assert one.low < other.mean < one.high
    paired = paired_difference(rows, "b", "a", "figure")
    assert paired.excludes_zero and paired.mean == pytest.approx(0.5) and paired.runs == 10
    assert not paired_difference(rows, "a", "a", "figure").excludes_zero
    assert metrics(rows) == ["figure"] and "(+0.5*)" in table(rows, ["figure"], "a")


def test_a_violated_rule_is_named_in_the_table(tmp_path: Path) -> None:
    rows = rows_of("a", [1.0, 2.0])
    rows[1]["broken"] = ["ceilings"]
    assert "BROKEN: ceilings" in table(rows, ["figure"])
    assert write_report(rows, {"name": "n"}, ["figure"], "", tmp_path)[-1].name == "report.html"


# Measures and search ------------------------------------------------------------------------------------


def test_units_over_the_quota_are_counted_once() -> None:
    scenario = parse_scenario(SMALL.replace("rate: 4 burst: 8", "rate: 1 burst: 2"), "day.txtpb")
    traffic = Traffic()

    def add_try(rid: str, at: float, sent: bool) -> None:
        client_try = traffic.tries[rid] = ClientTry(rid, 0, "basic-0-1", "read", 1.0, at, 1000.0)
        if sent:
            client_try.attempts.append(ServerAttempt(rid, 0, 1, "door-0", "", at))
        else:
            client_try.ends.append({"what": "answer", "t": at, "status": 429, "reason": "quota"})

    for number in range(4):
        add_try(f"a{number}", 1000.0, True)  # two within the burst, two over it
    add_try("b", 1500.0, False)  # half a unit is available: no room
    add_try("c", 4000.0, False)  # the bucket is full again
    use = quota_use(scenario, traffic)
    assert (use.forwarded, use.excess, use.refused, use.refused_with_headroom) == (4.0, 2.0, 2.0, 1.0)


def test_the_search_finds_the_worst_scenario_and_shrinks_it_to_the_faults_that_matter() -> None:
    base = parse_scenario(SMALL, "day.txtpb")

    def badness(scenario: pb.Day) -> float:
        down = sum(event.for_ms >= 200 for event in scenario.event if event.trouble == pb.STORE_DOWN)
        return down + 0.001 * len(scenario.event)

    def rule_violation(scenario: pb.Day) -> float:
        return float("inf") if len(scenario.event) > 1 else 0.0

    found = search(base, badness, 60, 1)
    assert found.badness >= 1 and found.tried == 60
    shrunk = shrink(found, badness, 400)
    assert shrunk.badness >= 0.9 * found.badness and sum(e.for_ms for e in shrunk.scenario.event) < sum(
        e.for_ms for e in found.scenario.event
    )
    assert {event.trouble for event in shrunk.scenario.event} == {pb.STORE_DOWN}
    broken = search(base, rule_violation, 60, 1)
    assert broken.badness == float("inf") and len(shrink(broken, rule_violation, 100).scenario.event) == 2
    assert isinstance(shrunk, Found)


def test_a_scenario_found_by_a_search_reproduces_its_figure(tmp_path: Path) -> None:
    (tmp_path / "day.txtpb").write_text(TINY)
    out = tmp_path / "worst.txtpb"
    arguments = ["lab", "search", str(tmp_path / "day.txtpb"), "--runs", "6", "--shrink-runs", "4", "--out", str(out)]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0 and "over_share" in result.output, result.output
    over_share = float(result.output.split("over_share ")[1].split(",")[0])
    scenario = load_scenario(out)
    assert scenario.name == "worst" and running.measure(scenario)["over_share"] == pytest.approx(over_share, rel=1e-3)
    assert CliRunner().invoke(cli, [*arguments, "--metric", "nope"]).exit_code == 2
