"""`martenstep load`: requests for a running gateway, open loop."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

import click

from martenstep.cli.common import example

if TYPE_CHECKING:
    from martenstep.lab.load import LoadResult


@click.command("load", epilog=example("martenstep load 8080 --path /read/1 --rate 500 --seconds 10"))
@click.argument("port", type=click.IntRange(1, 65535))
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--anywhere", is_flag=True, help="The host is not this machine, and is yours to load.")
@click.option("--path", "paths", multiple=True, default=("/",), help="Asked by chance where there are several.")
@click.option("--header", "headers", multiple=True, help="As 'name: value'.")
@click.option(
    "--customers",
    type=click.IntRange(min=0),
    default=100,
    show_default=True,
    help="Of the header x-customer, by chance; 0: without it.",
)
@click.option("--rate", type=float, default=100.0, show_default=True, help="Requests a second; the first of a search.")
@click.option("--seconds", type=float, default=5.0, show_default=True, help="Of each step.")
@click.option("--processes", type=click.IntRange(1, 64), default=2, show_default=True)
@click.option("--until-p99", type=float, default=None, help="Search the highest rate with p99 below so many ms.")
@click.option(
    "--most", "max_rate", type=float, default=20_000.0, show_default=True, help="Rate at which a search ends."
)
@click.option(
    "--failures",
    type=click.FloatRange(0, 1),
    default=0.001,
    show_default=True,
    help="Share of failed requests that a step may have.",
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
    """Load the gateway at PORT and tell times from each request's own moment.  Exit 1 where a request failed."""
    from martenstep.lab import load as loading

    target = loading.LoadTarget(host, port, paths, _parse_headers(headers), customers)
    try:
        loading.check_host(host, anywhere)
        loading.check_bounds(max_rate if until_p99 else rate, seconds)
        if until_p99 is None:
            steps = [(rate, True, loading.load(target, rate, seconds, processes))]
        else:
            steps = loading.find_highest_rate(
                lambda at: loading.load(target, at, seconds, processes), rate, max_rate, until_p99, failures, 20
            )
    except loading.LoadError as error:
        raise click.UsageError(str(error)) from None
    _print_steps(steps)
    if until_p99 is not None:
        best = max((at for at, held, _ in steps if held), default=0.0)
        click.echo(f"\nhighest with p99 below {until_p99:g} ms: {best:.0f} a second")
        sys.exit(0 if best else 1)
    result = steps[0][2]
    sys.exit(0 if result.successes == sum(result.answers.values()) else 1)


def _parse_headers(headers: tuple[str, ...]) -> tuple[tuple[str, str], ...]:
    """Parse headers given as `name: value`; raises UsageError."""
    pairs = []
    for header in headers:
        name, found, value = header.partition(":")
        if not found or not name.strip():
            raise click.UsageError(f"--header {header!r}: expected 'name: value'")
        pairs.append((name.strip(), value.strip()))
    return tuple(pairs)


def _print_steps(steps: Sequence[tuple[float, bool, LoadResult]]) -> None:
    """Print a table with a row for each rate: the rate, whether it was sustained, and its figures."""
    click.echo(
        "| requests a second | p50 | p90 | p99 | p99.9 | longest | sent late by | answers |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- |"
    )
    for at, held, result in steps:
        answers = ", ".join(f"{what} {count}" for what, count in sorted(result.answers.items()))
        cells = " | ".join(f"{result.percentile_ms(part):.1f}" for part in (50, 90, 99, 99.9, 100))
        click.echo(f"| {at:.0f}{'' if held else ' (too much)'} | {cells} | {result.late_ms:.1f} | {answers} |")
