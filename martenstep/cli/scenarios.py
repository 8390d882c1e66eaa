"""`martenstep day`: scenarios with real processes on loopback, run and checked."""

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


@click.group("day")
def scenarios() -> None:
    """Days: a fleet on loopback, its traffic and its troubles, judged from the traffic."""


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
    """Run the scenario in FILE and check it; exit 3 where an invariant is violated."""
    from martenstep.lab.day import load_scenario
    from martenstep.lab.play import ScenarioRunError, run_scenario

    try:
        loaded = load_scenario(file)
    except SettingsError as error:
        exit_with_problems(error)
    bar = _ProgressBar(loaded.name)
    # Told to end, it tears all down as when interrupted; SIGINT is ignored where a shell starts it in the background.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    try:
        asyncio.run(run_scenario(loaded, out, bar.move))
    except (ScenarioRunError, OSError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        click.echo(f"{file}: interrupted; all processes are ended", err=True)
        sys.exit(1)
    finally:
        bar.close()
    _check(out)


@scenarios.command("check", epilog=example("martenstep day check out/first"))
@click.argument("folder", type=FILE)
def check(folder: Path) -> None:
    """Check the traces in FOLDER again, alone; exit 3 where an invariant is violated."""
    _check(folder)


@scenarios.command("from-tap", epilog=example("martenstep day from-tap tap.txt --rate 40 > days/mine.txtpb"))
@click.argument("tap", type=FILE)
@click.option("--rate", type=click.FloatRange(min=0.1), default=60.0, help="Requests a second that this machine bears.")
@click.option("--servers", type=click.IntRange(1, 100), default=10, help="Servers that it bears.")
@click.option("--doors", "gateways", type=click.IntRange(1, 32), default=3, help="Doors that it bears.")
def from_recording(tap: Path, rate: float, servers: int, gateways: int) -> None:
    """Turn a bench run's tap into a day of the same kinds of trouble, scaled down; writes it to standard output."""
    from google.protobuf import text_format

    from martenstep.lab.tap import TapError, scenario_from_tap

    try:
        with tap.open(encoding="utf-8") as lines:
            made = scenario_from_tap(lines, tap.stem, rate, servers, gateways)
    except (OSError, TapError, UnicodeDecodeError) as error:
        click.echo(f"{tap}: {error}", err=True)
        sys.exit(EXIT_USAGE)
    click.echo(text_format.MessageToString(made), nl=False)


class _ProgressBar:
    """A progress bar on a terminal; nothing elsewhere."""

    def __init__(self, name: str) -> None:
        self._bar = None
        if sys.stderr.isatty():
            self._bar = click.progressbar(length=1000, label=name, file=sys.stderr)
            self._at = 0

    def move(self, part: float, what: str) -> None:
        """Show the part of the scenario that has been run, and what is under way."""
        if self._bar is not None:
            self._bar.label = what
            self._bar.update(int(part * 1000) - self._at)
            self._at = int(part * 1000)

    def close(self) -> None:
        """End its line."""
        if self._bar is not None:
            self._bar.render_finish()
