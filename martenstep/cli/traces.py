"""`martenstep trace`: prints traces of single requests."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from martenstep.cli.common import EXIT_USAGE, example

FILE = click.Path(path_type=Path)


@click.group("trace")
def trace() -> None:
    """Traces of single requests."""


@trace.command("show", epilog=example("martenstep trace show traces.jsonl r17.0"))
@click.argument("file", type=FILE)
@click.argument("request")
def trace_show(file: Path, request: str) -> None:
    """Print the time line of REQUEST."""
    from martenstep.lab.timeline import TimelineError, timeline

    try:
        with file.open("rb") as lines:
            click.echo(timeline(lines, request))
    except (OSError, TimelineError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(EXIT_USAGE)
