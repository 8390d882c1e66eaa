"""What all commands share: the example of their help, exit codes, addresses, and how faults are told."""

from __future__ import annotations

import sys
from typing import NoReturn

import click

from martenstep.config.address import parse_host_port
from martenstep.config.text_format import SettingsError

USAGE, BROKEN = 2, 3  # exit codes: bad usage or input; a rule was broken


def example(text: str) -> str:
    """An example below the help, on a line of its own."""
    return f"\b\nExample:\n  {text}"


def faults_told(error: SettingsError) -> NoReturn:
    """Tell all that is wrong with a file, and exit."""
    for fault in error.problems:
        click.echo(fault.describe(error.file), err=True)
    sys.exit(USAGE)


def address_of(option: str, text: str) -> tuple[str, int]:
    """An option's HOST:PORT; raises UsageError."""
    address = parse_host_port(text)
    if address is None:
        raise click.UsageError(f"{option}: expected HOST:PORT, got {text!r}")
    return address
