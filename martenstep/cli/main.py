"""`martenstep`: serve a door, check settings, play stand-ins, play and judge days.

Exit codes: 0 well; 1 could not run; 2 bad usage or bad input; 3 a rule was broken.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import NoReturn

import click
import msgspec

from martenstep.config.settings import load_door
from martenstep.config.text import Faults

USAGE = 2
FILE = click.Path(path_type=Path)


def _told(error: Faults) -> NoReturn:
    for fault in error.faults:
        click.echo(fault.told(error.file), err=True)
    sys.exit(USAGE)


def _example(text: str) -> str:
    return f"\b\nExample:\n  {text}"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="martenstep")
def cli() -> None:
    """An API gateway that keeps each customer of a shared back end to its plan."""


@cli.command(epilog=_example("martenstep serve door.txtpb"))
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=None, help="Seed of the module's choices, to repeat a run.")
@click.option("--uvloop", is_flag=True, help="Run on uvloop, where it is installed.")
def serve(file: Path, seed: int | None, uvloop: bool) -> None:
    """Run a door with the settings in FILE until SIGTERM."""
    try:
        door = load_door(file)
    except Faults as error:
        _told(error)
    from martenstep.door.daemon import run
    if uvloop:
        try:
            import uvloop as loops
        except ImportError:
            raise click.UsageError("uvloop is not installed: pip install 'martenstep[uvloop]'") from None
        asyncio.set_event_loop_policy(loops.EventLoopPolicy())
    sys.exit(run(door, seed))


@cli.group()
def config() -> None:
    """Settings."""


@config.command("check", epilog=_example("martenstep config check door.txtpb"))
@click.argument("files", type=FILE, nargs=-1, required=True)
def config_check(files: tuple[Path, ...]) -> None:
    """Tell all that is wrong with each of FILES: file, line, column, field."""
    wrong = False
    for file in files:
        try:
            load_door(file)
        except Faults as error:
            wrong = True
            for fault in error.faults:
                click.echo(fault.told(error.file), err=True)
        else:
            click.echo(f"{file}: well")
    sys.exit(USAGE if wrong else 0)


@cli.group()
def standin() -> None:
    """Stand-ins of outside systems, each steered over a control port told when it is ready."""


TRACE = click.option("--trace", type=FILE, default=None, help="File that its trace is written to.")
PORT = click.option("--port", type=click.IntRange(0, 65535), default=0, help="0: any that is free.")


def _json(text: str, kind: type[msgspec.Struct], what: str) -> msgspec.Struct:
    try:
        return msgspec.json.decode(text, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{what}: {error}") from None


@standin.command("photo-server", epilog=_example("martenstep standin photo-server --config '{\"cores\": 4}'"))
@click.option("--config", "settings", default="{}", help="Its settings as JSON.")
@TRACE
def photo_server(settings: str, trace: Path | None) -> None:
    """A photo server."""
    from martenstep.standins import photo
    made = _json(settings, photo.PhotoConfig, "--config")
    assert isinstance(made, photo.PhotoConfig)
    asyncio.run(photo.run(made, trace))


@standin.command("redis", epilog=_example("martenstep standin redis --port 6390"))
@PORT
@TRACE
def redis(port: int, trace: Path | None) -> None:
    """A Redis, as far as a door needs one."""
    from martenstep.standins import redis as stand_in
    asyncio.run(stand_in.run(port, trace))


@standin.command("feed", epilog=_example("martenstep standin feed --lag-ms 300"))
@PORT
@click.option("--lag-ms", type=click.FloatRange(min=0), default=0.0, help="Changes are told about so late.")
@TRACE
def feed(port: int, lag_ms: float, trace: Path | None) -> None:
    """A members feed."""
    from martenstep.standins import feed as stand_in
    asyncio.run(stand_in.run(port, lag_ms, trace))


@standin.command("clients", epilog=_example("martenstep standin clients plan.jsonl --manners '{\"ports\": [8080]}'"))
@click.argument("schedule", type=click.Path(path_type=Path, exists=True))
@click.option("--manners", required=True, help="How they behave, as JSON.")
@TRACE
def clients(schedule: Path, manners: str, trace: Path | None) -> None:
    """Clients that play a schedule, open loop."""
    from martenstep.standins import clients as stand_in
    made = _json(manners, stand_in.Manners, "--manners")
    assert isinstance(made, stand_in.Manners)
    asyncio.run(stand_in.run(schedule, made, trace))


def main() -> None:
    """Entry point."""
    cli(prog_name="martenstep")
