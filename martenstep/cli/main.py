"""`martenstep`: the command line, with a module for each group of commands.

Exit codes: 0 success; 1 the command failed; 2 invalid usage or invalid input; 3 an invariant was violated.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from martenstep.cli.common import EXIT_USAGE, example, exit_with_problems
from martenstep.cli.copies import copies
from martenstep.cli.counter import counter
from martenstep.cli.fakes import standin
from martenstep.cli.hooks import hook
from martenstep.cli.lab import lab
from martenstep.cli.load import load
from martenstep.cli.maintenance import maintenance
from martenstep.cli.members import members
from martenstep.cli.scenarios import scenarios
from martenstep.cli.traces import trace
from martenstep.config import door_pb2 as pb
from martenstep.config.loading import load_door
from martenstep.config.text_format import SettingsError

FILE = click.Path(path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="martenstep")
def cli() -> None:
    """An API gateway that keeps each customer of a shared back end to its plan."""


@cli.command(epilog=example("martenstep serve door.txtpb"))
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=None, help="Seed of the policy's random choices, to repeat a run.")
@click.option("--uvloop", is_flag=True, help="Use uvloop as the event loop; it must be installed.")
@click.option(
    "--workers",
    type=click.IntRange(1, 256),
    default=None,
    help="Number of workers, in place of the settings' workers.count.",
)
def serve(file: Path, seed: int | None, uvloop: bool, workers: int | None) -> None:
    """Run a gateway with the settings in FILE until SIGTERM; SIGHUP applies changes of FILE."""

    def load() -> pb.Door:
        loaded = load_door(file)
        if workers is not None:
            loaded.workers.count = workers
        return loaded

    try:
        settings = load()
    except SettingsError as error:
        exit_with_problems(error)
    from martenstep.supervise.service import run

    if uvloop:
        try:
            import uvloop as loops
        except ImportError:
            raise click.UsageError("uvloop is not installed: pip install 'martenstep[uvloop]'") from None
        asyncio.set_event_loop_policy(loops.EventLoopPolicy())
    sys.exit(run(settings, load, seed, has_loop_policy=uvloop))


@cli.command(hidden=True, epilog=example("martenstep worker < frames"))
def worker() -> None:
    """Run one worker of a supervisor, which controls it over standard input."""
    from martenstep.exit_signals import ending_quietly
    from martenstep.proxy.loop_lag import run_with_clock
    from martenstep.supervise.worker import run_worker

    sys.exit(run_with_clock(lambda clock: ending_quietly(run_worker(clock))))


@cli.group()
def config() -> None:
    """Commands for settings files."""


@config.command("check", epilog=example("martenstep config check door.txtpb"))
@click.argument("files", type=FILE, nargs=-1, required=True)
def config_check(files: tuple[Path, ...]) -> None:
    """Check the settings in FILES and print each problem with its file, line, column and field."""
    any_invalid = False
    for file in files:
        try:
            load_door(file)
        except SettingsError as error:
            any_invalid = True
            for problem in error.problems:
                click.echo(problem.describe(error.file), err=True)
        else:
            click.echo(f"{file}: valid")
    sys.exit(EXIT_USAGE if any_invalid else 0)


cli.add_command(copies)
cli.add_command(counter)
cli.add_command(scenarios)
cli.add_command(hook)
cli.add_command(lab)
cli.add_command(load)
cli.add_command(maintenance)
cli.add_command(members)
cli.add_command(standin)
cli.add_command(trace)


def main() -> None:
    """Run the command line; the entry point of the installed program."""
    cli(prog_name="martenstep")
