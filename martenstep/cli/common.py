"""Shared by all commands: the example in the help, exit codes, parsing of addresses, tables and error output."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import NoReturn

import click

from martenstep.config.address import parse_host_port
from martenstep.config.text_format import SettingsError

EXIT_USAGE = 2  # bad usage or input
EXIT_VIOLATION = 3  # an invariant was violated


def example(text: str) -> str:
    """Format an example as the end of a command's help, on a separate line that click does not wrap."""
    return f"\b\nExample:\n  {text}"


def exit_with_problems(error: SettingsError) -> NoReturn:
    """Print all problems of a settings file and exit with EXIT_USAGE."""
    for problem in error.problems:
        click.echo(problem.describe(error.file), err=True)
    sys.exit(EXIT_USAGE)


def parse_address(option: str, text: str) -> tuple[str, int]:
    """Parse the HOST:PORT of an option; raises click.UsageError."""
    address = parse_host_port(text)
    if address is None:
        raise click.UsageError(f"{option}: expected HOST:PORT, got {text!r}")
    return address


def align_columns(rows: Sequence[Sequence[str]]) -> list[str]:
    """Format rows of cells as lines whose columns are aligned; the first row is the header."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows]
