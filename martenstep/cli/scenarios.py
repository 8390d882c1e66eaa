"""`martenstep day`: runs and checks scenarios with real processes on loopback."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import NoReturn

import click

from martenstep.cli.common import EXIT_USAGE, EXIT_VIOLATION, example, exit_with_problems
from martenstep.config.text_format import SettingsError

FILE = click.Path(path_type=Path)
PROGRESS_STEPS = 1000  # of a whole scenario


@click.group("day")
def scenarios() -> None:
    """Scenarios (days): a fleet on loopback with traffic and injected faults, checked by traces of the traffic."""


def _check(folder: Path) -> NoReturn:
    from martenstep.lab import report

    try:
        result = report.check_folder(folder)
    except report.TraceError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_USAGE)
    report.write_result(folder, result)
    click.echo(report.format_table(result))
    sys.exit(0 if result["kept"] else EXIT_VIOLATION)


@scenarios.command("run", epilog=example("martenstep day run days/first.txtpb --out out/first"))
@click.argument("file", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder for traces, logs and result.json.")
def run(file: Path, out: Path) -> None:
    """Run the scenario in FILE and check it; exits with 3 if an invariant is violated."""
    from martenstep.lab.day import load_scenario
    from martenstep.lab.play import ScenarioRunError, run_scenario

    try:
        loaded = load_scenario(file)
    except SettingsError as error:
        exit_with_problems(error)
    bar = _ProgressBar(loaded.name)
    # SIGTERM raises KeyboardInterrupt too, so that all processes are stopped.  SIGINT is set explicitly because it is
    # ignored in a program that a shell starts in the background.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    try:
        asyncio.run(run_scenario(loaded, out, bar.move))
    except (ScenarioRunError, OSError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        click.echo(f"{file}: interrupted; all processes were stopped", err=True)
        sys.exit(1)
    finally:
        bar.close()
    _check(out)


@scenarios.command("check", epilog=example("martenstep day check out/first"))
@click.argument("folder", type=FILE)
def check(folder: Path) -> None:
    """Check the traces of an earlier run in FOLDER again; exits with 3 if an invariant is violated."""
    _check(folder)


@scenarios.command("from-tap", epilog=example("martenstep day from-tap tap.txt --rate 40 > days/mine.txtpb"))
@click.argument("tap", type=FILE)
@click.option(
    "--rate",
    type=click.FloatRange(min=0.1),
    default=60.0,
    help="Requests per second of the scenario, as many as this machine can handle.",
)
@click.option(
    "--servers", type=click.IntRange(1, 100), default=10, help="Number of servers, as many as this machine can run."
)
@click.option(
    "--doors",
    "gateways",
    type=click.IntRange(1, 32),
    default=3,
    help="Number of gateways, as many as this machine can run.",
)
def from_recording(tap: Path, rate: float, servers: int, gateways: int) -> None:
    """Convert TAP, the recording of a benchmark run, to a smaller scenario with the same kinds of faults; print it."""
    from google.protobuf import text_format

    from martenstep.lab.tap import TapError, scenario_from_tap

    try:
        with tap.open(encoding="utf-8") as lines:
            scenario = scenario_from_tap(lines, tap.stem, rate, servers, gateways)
    except (OSError, TapError, UnicodeDecodeError) as error:
        click.echo(f"{tap}: {error}", err=True)
        sys.exit(EXIT_USAGE)
    click.echo(text_format.MessageToString(scenario), nl=False)


class _ProgressBar:
    """A progress bar on a terminal; prints nothing if standard error is not a terminal."""

    def __init__(self, name: str) -> None:
        self._bar = None
        if sys.stderr.isatty():
            self._bar = click.progressbar(length=PROGRESS_STEPS, label=name, file=sys.stderr)
            self._position = 0

    def move(self, share: float, step: str) -> None:
        """Show which share of the scenario has been run, and the current step."""
        if self._bar is not None:
            self._bar.label = step
            self._bar.update(int(share * PROGRESS_STEPS) - self._position)
            self._position = int(share * PROGRESS_STEPS)

    def close(self) -> None:
        """End the line of the progress bar."""
        if self._bar is not None:
            self._bar.render_finish()
