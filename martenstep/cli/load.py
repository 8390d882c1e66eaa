"""`martenstep load`: open-loop load, sent to a running gateway whether or not earlier requests were answered."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

import click

from martenstep.cli.common import example

if TYPE_CHECKING:
    from martenstep.lab.load import LoadResult

MAX_STEPS = 20  # of a search


@click.command("load", epilog=example("martenstep load 8080 --path /read/1 --rate 500 --seconds 10"))
@click.argument("port", type=click.IntRange(1, 65535))
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--anywhere", is_flag=True, help="Allow a host other than this machine; you must be entitled to load it.")
@click.option(
    "--path",
    "paths",
    multiple=True,
    default=("/",),
    help="Path of the requests; one is chosen at random if several are given.",
)
@click.option("--header", "headers", multiple=True, help="Request header as 'name: value'.")
@click.option(
    "--customers",
    type=click.IntRange(min=0),
    default=100,
    show_default=True,
    help="Number of customers, chosen at random for the header x-customer; 0 leaves the header out.",
)
@click.option(
    "--rate", type=float, default=100.0, show_default=True, help="Requests per second; in a search, the first rate."
)
@click.option("--seconds", type=float, default=5.0, show_default=True, help="Duration of each step.")
@click.option("--processes", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option(
    "--until-p99", type=float, default=None, help="Search the highest rate at which p99 stays below this many ms."
)
@click.option(
    "--most", "max_rate", type=float, default=20_000.0, show_default=True, help="Highest rate that a search tries."
)
@click.option(
    "--failures",
    type=click.FloatRange(0, 1),
    default=0.001,
    show_default=True,
    help="Highest share of failed requests at which a step of a search succeeds.",
)
def load(
    port: int,
    host: str,
    anywhere: bool,
    paths: tuple[str, ...],
    headers: tuple[str, ...],
    customers: int,
    rate: float,
    seconds: float,
    processes: int,
    until_p99: float | None,
    max_rate: float,
    failures: float,
) -> None:
    """Load the gateway at PORT; latencies count from the time at which each request was due.

    Exits with 1 if a request failed.
    """
    from martenstep.lab import load as loading

    target = loading.LoadTarget(host, port, paths, _parse_headers(headers), customers)
    try:
        loading.check_host(host, anywhere)
        loading.check_bounds(max_rate if until_p99 else rate, seconds)
        if until_p99 is None:
            steps = [(rate, True, loading.load(target, rate, seconds, processes))]
        else:
            steps = loading.find_highest_rate(
                lambda at: loading.load(target, at, seconds, processes), rate, max_rate, until_p99, failures, MAX_STEPS
            )
    except loading.LoadError as error:
        raise click.UsageError(str(error)) from None
    _print_steps(steps)
    if until_p99 is not None:
        best = max((step_rate for step_rate, sustained, _ in steps if sustained), default=0.0)
        click.echo(f"\nhighest with p99 below {until_p99:g} ms: {best:.0f} a second")
        sys.exit(0 if best else 1)
    result = steps[0][2]
    sys.exit(0 if result.successes == sum(result.answers.values()) else 1)


def _parse_headers(headers: tuple[str, ...]) -> tuple[tuple[str, str], ...]:
    """Parse headers given as `name: value`; raises UsageError."""
    pairs = []
    for header in headers:
        name, colon, value = header.partition(":")
        if not colon or not name.strip():
            raise click.UsageError(f"--header {header!r}: expected 'name: value'")
        pairs.append((name.strip(), value.strip()))
    return tuple(pairs)


def _print_steps(steps: Sequence[tuple[float, bool, LoadResult]]) -> None:
    """Print a table with a row for each rate: the rate, whether it was sustained, latencies and results."""
    click.echo(
        "| requests a second | p50 | p90 | p99 | p99.9 | longest | sent late by | answers |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    for rate, sustained, result in steps:
        answers = ", ".join(f"{what} {count}" for what, count in sorted(result.answers.items()))
        cells = " | ".join(f"{result.percentile_ms(part):.1f}" for part in (50, 90, 99, 99.9, 100))
        click.echo(f"| {rate:.0f}{'' if sustained else ' (too much)'} | {cells} | {result.late_ms:.1f} | {answers} |")
