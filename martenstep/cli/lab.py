"""`martenstep lab`: days in virtual time."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import click
import msgspec

from martenstep.cli.words import example
from martenstep.config.text import Faults

FILE = click.Path(path_type=Path)
USAGE, BROKEN = 2, 3


@click.group("lab")
def lab() -> None:
    """Days and experiments in virtual time, on models of all that a door rests on."""


@lab.command("emulate", epilog=example("martenstep lab emulate days/first.txtpb"))
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--seed", type=int, default=None, help="Of the models' chance; the day's own otherwise.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole result, a line for each day.")
def emulate(files: tuple[Path, ...], seed: int | None, as_json: bool) -> None:
    """Play the days of FILES in virtual time and judge them; exit 3 where a rule is broken."""
    from martenstep.lab import report
    from martenstep.lab.day import load_day
    from martenstep.lab.emulate import judged
    from martenstep.lab.emulate.world import NotEmulatedError
    kept = True
    for file in files:
        begin = time.perf_counter()
        try:
            result = judged.emulate(load_day(file), seed)
        except Faults as error:
            for fault in error.faults:
                click.echo(fault.told(error.file), err=True)
            sys.exit(USAGE)
        except NotEmulatedError as error:
            click.echo(f"{file}: {error}", err=True)
            sys.exit(USAGE)
        kept = kept and result["kept"]
        if as_json:
            click.echo(msgspec.json.encode(result))
        else:
            click.echo(report.table(result))
            click.echo(f"emulated in {time.perf_counter() - begin:.1f} s, {result['events']} events\n")
    sys.exit(0 if kept else BROKEN)
