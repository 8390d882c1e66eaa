"""`martenstep lab`: scenarios and experiments in virtual time."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from martenstep.cli.common import EXIT_USAGE, EXIT_VIOLATION, example, exit_with_problems
from martenstep.cli.fleet import fleet
from martenstep.config.text_format import SettingsError

FILE = click.Path(path_type=Path)


@click.group("lab")
def lab() -> None:
    """Scenarios (days) and experiments in virtual time, with models of the systems that a gateway depends on."""


@lab.command("emulate", epilog=example("martenstep lab emulate days/first.txtpb"))
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option(
    "--seed", type=int, default=None, help="Seed of the models' random numbers; by default that of the scenario."
)
@click.option("--json", "as_json", is_flag=True, help="Print the whole result as one line of JSON for each scenario.")
def emulate(files: tuple[Path, ...], seed: int | None, as_json: bool) -> None:
    """Run the scenarios in FILES in virtual time and check them; exits with 3 if an invariant is violated."""
    from martenstep.lab import report
    from martenstep.lab.day import load_scenario
    from martenstep.lab.emulate import judged
    from martenstep.lab.emulate.world import NotEmulatedError

    all_hold = True
    for file in files:
        started_at = time.perf_counter()
        try:
            result = judged.emulate(load_scenario(file), seed)
        except SettingsError as error:
            exit_with_problems(error)
        except NotEmulatedError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(EXIT_USAGE)
        all_hold = all_hold and result["kept"]
        if as_json:
            click.echo(msgspec.json.encode(result))
        else:
            click.echo(report.format_table(result))
            click.echo(f"emulated in {time.perf_counter() - started_at:.1f} s, {result['events']} events\n")
    sys.exit(0 if all_hold else EXIT_VIOLATION)


class _Progress:
    """Shows completed runs and remaining time on a terminal; prints nothing if standard error is not a terminal."""

    def __init__(self) -> None:
        self._on_terminal = sys.stderr.isatty()

    def __call__(self, done: int, total: int, left_s: float) -> None:
        if self._on_terminal:
            click.echo(f"\r{done} of {total} runs, {left_s / 60:.1f} min left ", nl=done == total, err=True)


@lab.command("run", epilog=example("martenstep lab run plans/doors.txtpb --out out/doors"))
@click.argument("plan", type=FILE)
@click.option(
    "--out", type=FILE, required=True, help="Folder for the result; an interrupted experiment in it is continued."
)
@click.option(
    "--workers", type=click.IntRange(1, 256), default=None, help="Number of processes; by default one less than cores."
)
@click.option("--sockets", is_flag=True, help="Run the scenarios with real processes on loopback, one at a time.")
def run(plan: Path, out: Path, workers: int | None, sockets: bool) -> None:
    """Run the experiment described in PLAN; exits with 3 if a run broke a rule."""
    from martenstep.config.loading import read_text
    from martenstep.lab.experiment.plan import load_plan
    from martenstep.lab.experiment.run import RunError, load_result, run_plan
    from martenstep.lab.play import ScenarioRunError

    try:
        loaded = load_plan(plan)
        file = run_plan(
            loaded,
            read_text(plan),
            plan.parent,
            out,
            workers or max((os.cpu_count() or 2) - 1, 1),
            _Progress(),
            sockets,
        )
        rows, _ = load_result(file)
    except SettingsError as error:
        exit_with_problems(error)
    except (RunError, ScenarioRunError, OSError) as error:
        raise click.UsageError(str(error)) from None
    broken = [row for row in rows if row["broken"]]
    click.echo(f"{file}: {len(rows)} runs, {len(broken)} of them broke a rule")
    for row in broken[:10]:
        click.echo(f"{row['arm']}, repetition {row['repetition']}: {', '.join(row['broken'])}")
    sys.exit(EXIT_VIOLATION if broken else 0)


METRICS = click.option("--metric", "names", multiple=True, help="Metric to include; by default all of them.")


def _load_rows(path: Path, names: tuple[str, ...]) -> tuple[list[dict[str, Any]], dict[str, str], list[str]]:
    """Load a result; return its rows, what is stored with them, and the chosen metrics (all if none are named)."""
    from martenstep.lab.experiment.compare import metrics
    from martenstep.lab.experiment.run import RunError, load_result

    try:
        rows, stored = load_result(path)
    except RunError as error:
        raise click.UsageError(str(error)) from None
    known = metrics(rows)
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(f"no metric {unknown[0]!r} (there are: {', '.join(known)})")
    return rows, stored, list(names) or known


def _check_baseline(rows: list[dict[str, Any]], baseline: str) -> str:
    known = {row["arm"] for row in rows}
    if baseline and baseline not in known:
        raise click.UsageError(f"no arm {baseline!r} (there are: {', '.join(sorted(known))})")
    return baseline


@lab.command("compare", epilog=example("martenstep lab compare out/doors --baseline 3 --metric over_share"))
@click.argument("result", type=FILE)
@click.option("--baseline", default="", help="Arm with which the others are compared, seed by seed.")
@METRICS
def compare(result: Path, baseline: str, names: tuple[str, ...]) -> None:
    """Print the means of RESULT with 95% intervals, and paired differences from the baseline."""
    from martenstep.lab.experiment.compare import table

    rows, _, figures = _load_rows(result, names)
    click.echo(table(rows, figures, _check_baseline(rows, baseline)))


@lab.command("report", epilog=example("martenstep lab report out/doors --out docs/studies/doors"))
@click.argument("result", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder for the charts, the table and the page.")
@click.option("--baseline", default="", help="Arm with which the others are compared; by default that of the plan.")
@METRICS
def report_(result: Path, out: Path, baseline: str, names: tuple[str, ...]) -> None:
    """Write a report of RESULT: charts as SVG and PNG, a table, and an HTML page that contains them."""
    from martenstep.lab.experiment.plan import parse_plan
    from martenstep.lab.experiment.report import write_report

    rows, stored, _ = _load_rows(result, names)
    plan = parse_plan(stored["plan"], str(result))
    _, _, figures = _load_rows(result, names or tuple(plan.metric))
    files = write_report(rows, stored, figures, _check_baseline(rows, baseline or plan.baseline), out)
    click.echo(f"{files[-1]}: {len(files)} files")


@lab.command("search", epilog=example("martenstep lab search days/first.txtpb --metric over_share --out worst.txtpb"))
@click.argument("day", type=FILE)
@click.option("--metric", default="over_share", show_default=True, help="Metric for which the worst value is searched.")
@click.option("--low", is_flag=True, help="The lowest value is the worst, not the highest.")
@click.option("--runs", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option("--shrink-runs", type=click.IntRange(0, 10_000), default=60, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=FILE, required=True, help="File for the scenario that is found.")
def search(day: Path, metric: str, low: bool, runs: int, shrink_runs: int, seed: int, out: Path) -> None:
    """Search faults for the scenario DAY that make a metric worst or break a rule, minimize them, and save the result.

    Exits with 3 if a rule was broken.
    """
    from google.protobuf import text_format

    from martenstep.lab import day_pb2
    from martenstep.lab.day import load_scenario
    from martenstep.lab.experiment import search as searching
    from martenstep.lab.experiment.run import measure

    try:
        base = load_scenario(day)
    except SettingsError as error:
        exit_with_problems(error)

    def badness(candidate: day_pb2.Day) -> float:
        figures = measure(candidate)
        if metric not in figures:
            raise click.UsageError(f"no metric {metric!r} (there are: {', '.join(figures)})")
        return float("inf") if figures["broken"] else -figures[metric] if low else figures[metric]

    found = searching.search(base, badness, runs, seed, progress=lambda count, worst: _Progress()(count, runs, 0.0))
    minimized = searching.shrink(found, badness, shrink_runs)
    minimized.scenario.name = out.stem
    out.write_text(text_format.MessageToString(minimized.scenario), encoding="utf-8")
    breaks_rule = minimized.badness == float("inf")
    click.echo(
        f"{out}: {'a rule breaks' if breaks_rule else f'{metric} {abs(minimized.badness):.4g}'}, "
        f"{len(minimized.scenario.event)} troubles; {minimized.tried} days tried"
    )
    sys.exit(EXIT_VIOLATION if breaks_rule else 0)


@lab.command("sweep", epilog=example("martenstep lab sweep plans/sweep.txtpb --out out/sweep"))
@click.argument("plan", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder for the result; an interrupted sweep in it is continued.")
@click.option(
    "--days", type=click.IntRange(1, 1_000_000), default=None, help="Number of scenarios; by default that of the plan."
)
@click.option(
    "--workers", type=click.IntRange(1, 256), default=None, help="Number of processes; by default one less than cores."
)
def sweep(plan: Path, out: Path, days: int | None, workers: int | None) -> None:
    """Generate random scenarios according to PLAN, check each against every rule, and save those that break one.

    Scenarios that break a rule are minimized first.  Exits with 3 if there are any.
    """
    from martenstep.lab.experiment import sweep as sweeping
    from martenstep.lab.experiment.run import RunError

    try:
        loaded = sweeping.load_sweep(plan)
        loaded.days = days or loaded.days
        rows = sweeping.run_sweep(loaded, out, workers or max((os.cpu_count() or 2) - 1, 1), _Progress())
    except SettingsError as error:
        exit_with_problems(error)
    except (RunError, OSError) as error:
        raise click.UsageError(str(error)) from None
    click.echo(sweeping.summary(loaded, rows))
    sys.exit(EXIT_VIOLATION if any(row["broken"] for row in rows) else 0)


@lab.command("match", epilog=example("martenstep lab match out/first"))
@click.argument("folders", type=FILE, nargs=-1, required=True)
def match(folders: tuple[Path, ...]) -> None:
    """Compare the scenario runs in FOLDERS with their emulation; exits with 1 if a difference exceeds its tolerance."""
    from martenstep.lab.emulate.match import TOLERANCES
    from martenstep.lab.emulate.match import match as matched
    from martenstep.lab.emulate.world import NotEmulatedError
    from martenstep.lab.report import TraceError

    any_apart = False
    click.echo("| day | " + " | ".join(TOLERANCES) + " |\n| --- |" + " --- |" * len(TOLERANCES))
    for folder in folders:
        try:
            pairs = matched(folder)
        except SettingsError as error:
            exit_with_problems(error)
        except (TraceError, NotEmulatedError) as error:
            raise click.UsageError(str(error)) from None
        any_apart = any_apart or not all(pair.within for pair in pairs)
        cells = [f"{pair.played:.4g}, {pair.emulated:.4g}{'' if pair.within else ' APART'}" for pair in pairs]
        click.echo(f"| {folder.name} | {' | '.join(cells)} |")
    click.echo("\nplayed, emulated")
    sys.exit(1 if any_apart else 0)


lab.add_command(fleet)
