"""`martenstep lab`: days in virtual time."""

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
    """Days and experiments in virtual time, on models of all that a gateway rests on."""


@lab.command("emulate", epilog=example("martenstep lab emulate days/first.txtpb"))
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--seed", type=int, default=None, help="Of the models' chance; the day's own otherwise.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole result, a line for each day.")
def emulate(files: tuple[Path, ...], seed: int | None, as_json: bool) -> None:
    """Run the scenarios of FILES in virtual time and check them; exit 3 where an invariant is violated."""
    from martenstep.lab import report
    from martenstep.lab.day import load_scenario
    from martenstep.lab.emulate import judged
    from martenstep.lab.emulate.world import NotEmulatedError

    kept = True
    for file in files:
        begin = time.perf_counter()
        try:
            result = judged.emulate(load_scenario(file), seed)
        except SettingsError as error:
            exit_with_problems(error)
        except NotEmulatedError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(EXIT_USAGE)
        kept = kept and result["kept"]
        if as_json:
            click.echo(msgspec.json.encode(result))
        else:
            click.echo(report.format_table(result))
            click.echo(f"emulated in {time.perf_counter() - begin:.1f} s, {result['events']} events\n")
    sys.exit(0 if kept else EXIT_VIOLATION)


class _Progress:
    """Runs done and the time left, on a terminal; nothing elsewhere."""

    def __init__(self) -> None:
        self._on_terminal = sys.stderr.isatty()

    def __call__(self, done: int, total: int, left_s: float) -> None:
        if self._on_terminal:
            click.echo(f"\r{done} of {total} runs, {left_s / 60:.1f} min left ", nl=done == total, err=True)


@lab.command("run", epilog=example("martenstep lab run plans/doors.txtpb --out out/doors"))
@click.argument("plan", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder of the result; an interrupted run goes on there.")
@click.option("--workers", type=click.IntRange(1, 256), default=None, help="Processes; all cores but one otherwise.")
@click.option("--sockets", is_flag=True, help="Play the days on loopback sockets, one at a time.")
def run(plan: Path, out: Path, workers: int | None, sockets: bool) -> None:
    """Run the experiment of PLAN; exit 3 where a run broke a rule."""
    from martenstep.config.loading import read_text
    from martenstep.lab.experiment.plan import load_plan
    from martenstep.lab.experiment.run import RunError, load_result, run_plan
    from martenstep.lab.play import ScenarioRunError

    try:
        made = load_plan(plan)
        file = run_plan(
            made, read_text(plan), plan.parent, out, workers or max((os.cpu_count() or 2) - 1, 1), _Progress(), sockets
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


METRICS = click.option("--metric", "names", multiple=True, help="Only these.")


def _result(path: Path, names: tuple[str, ...]) -> tuple[list[dict[str, Any]], dict[str, str], list[str]]:
    from martenstep.lab.experiment.compare import metrics
    from martenstep.lab.experiment.run import RunError, load_result

    try:
        rows, held = load_result(path)
    except RunError as error:
        raise click.UsageError(str(error)) from None
    known = metrics(rows)
    odd = [name for name in names if name not in known]
    if odd:
        raise click.UsageError(f"no metric {odd[0]!r} (there are: {', '.join(known)})")
    return rows, held, list(names) or known


def _baseline(rows: list[dict[str, Any]], baseline: str) -> str:
    known = {row["arm"] for row in rows}
    if baseline and baseline not in known:
        raise click.UsageError(f"no arm {baseline!r} (there are: {', '.join(sorted(known))})")
    return baseline


@lab.command("compare", epilog=example("martenstep lab compare out/doors --baseline 3 --metric over_share"))
@click.argument("result", type=FILE)
@click.option("--baseline", default="", help="An arm that the others are held against, seed by seed.")
@METRICS
def compare(result: Path, baseline: str, names: tuple[str, ...]) -> None:
    """Print means with 95% intervals, and paired differences, of RESULT."""
    from martenstep.lab.experiment.compare import table

    rows, _, figures = _result(result, names)
    click.echo(table(rows, figures, _baseline(rows, baseline)))


@lab.command("report", epilog=example("martenstep lab report out/doors --out docs/studies/doors"))
@click.argument("result", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder of the charts, the table and the page.")
@click.option("--baseline", default="", help="An arm that the others are held against; the plan's otherwise.")
@METRICS
def report_(result: Path, out: Path, baseline: str, names: tuple[str, ...]) -> None:
    """Draw RESULT: charts as SVG and PNG, a table, one HTML page with all of it."""
    from martenstep.lab.experiment.plan import parse_plan
    from martenstep.lab.experiment.report import write

    rows, held, _ = _result(result, names)
    plan = parse_plan(held["plan"], str(result))
    _, _, figures = _result(result, names or tuple(plan.metric))
    made = write(rows, held, figures, _baseline(rows, baseline or plan.baseline), out)
    click.echo(f"{made[-1]}: {len(made)} files")


@lab.command("search", epilog=example("martenstep lab search days/first.txtpb --metric over_share --out worst.txtpb"))
@click.argument("day", type=FILE)
@click.option("--metric", default="over_share", show_default=True, help="The figure that is to be worst.")
@click.option("--low", is_flag=True, help="The lowest is the worst.")
@click.option("--runs", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option("--shrink-runs", type=click.IntRange(0, 10_000), default=60, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=FILE, required=True, help="File of the day that is found.")
def search(day: Path, metric: str, low: bool, runs: int, shrink_runs: int, seed: int, out: Path) -> None:
    """Find troubles for DAY that make a figure worst or break a rule, shrink them, and save the day.

    Exit 3 where a rule broke.
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

    def badness(made: day_pb2.Day) -> float:
        found = measure(made)
        if metric not in found:
            raise click.UsageError(f"no metric {metric!r} (there are: {', '.join(found)})")
        return float("inf") if found["broken"] else -found[metric] if low else found[metric]

    found = searching.search(base, badness, runs, seed, told=lambda count, worst: _Progress()(count, runs, 0.0))
    small = searching.shrink(found, badness, shrink_runs)
    small.day.name = out.stem
    out.write_text(text_format.MessageToString(small.day), encoding="utf-8")
    rule = small.badness == float("inf")
    click.echo(
        f"{out}: {'a rule breaks' if rule else f'{metric} {abs(small.badness):.4g}'}, {len(small.day.event)} "
        f"troubles; {small.tried} days tried"
    )
    sys.exit(EXIT_VIOLATION if rule else 0)


@lab.command("sweep", epilog=example("martenstep lab sweep plans/sweep.txtpb --out out/sweep"))
@click.argument("plan", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder of the result; an interrupted sweep goes on there.")
@click.option("--days", type=click.IntRange(1, 1_000_000), default=None, help="So many days; the plan's otherwise.")
@click.option("--workers", type=click.IntRange(1, 256), default=None, help="Processes; all cores but one otherwise.")
def sweep(plan: Path, out: Path, days: int | None, workers: int | None) -> None:
    """Draw days of many shapes as PLAN says, judge each by every rule, shrink and save those that break one.

    Exit 3 where a rule broke.
    """
    from martenstep.lab.experiment import sweep as sweeping
    from martenstep.lab.experiment.run import RunError

    try:
        made = sweeping.load_sweep(plan)
        made.days = days or made.days
        rows = sweeping.run_sweep(made, out, workers or max((os.cpu_count() or 2) - 1, 1), _Progress())
    except SettingsError as error:
        exit_with_problems(error)
    except (RunError, OSError) as error:
        raise click.UsageError(str(error)) from None
    click.echo(sweeping.summary(made, rows))
    sys.exit(EXIT_VIOLATION if any(row["broken"] for row in rows) else 0)


@lab.command("match", epilog=example("martenstep lab match out/first"))
@click.argument("folders", type=FILE, nargs=-1, required=True)
def match(folders: tuple[Path, ...]) -> None:
    """Hold the emulation of played days against what their FOLDERS hold; exit 1 where they part by more than stated."""
    from martenstep.lab.emulate.match import TOLERANCES
    from martenstep.lab.emulate.match import match as matched
    from martenstep.lab.emulate.world import NotEmulatedError
    from martenstep.lab.report import TraceError

    apart = False
    click.echo("| day | " + " | ".join(TOLERANCES) + " |\n| --- |" + " --- |" * len(TOLERANCES))
    for folder in folders:
        try:
            pairs = matched(folder)
        except SettingsError as error:
            exit_with_problems(error)
        except (TraceError, NotEmulatedError) as error:
            raise click.UsageError(str(error)) from None
        apart = apart or not all(pair.within for pair in pairs)
        cells = [f"{pair.played:.4g}, {pair.emulated:.4g}{'' if pair.within else ' APART'}" for pair in pairs]
        click.echo(f"| {folder.name} | {' | '.join(cells)} |")
    click.echo("\nplayed, emulated")
    sys.exit(1 if apart else 0)


lab.add_command(fleet)
