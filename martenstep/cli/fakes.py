"""`martenstep standin`: fakes of external systems, each of which runs as a process."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TypeVar

import click
import msgspec

from martenstep.cli.common import example

FILE = click.Path(path_type=Path)


@click.group("standin")
def standin() -> None:
    """Fakes of external systems; each is controlled over a port that it prints when it is ready."""


TRACE = click.option("--trace", type=FILE, default=None, help="File to which the fake writes its trace.")
PORT = click.option(
    "--port", type=click.IntRange(0, 65535), default=0, help="Port to listen on; 0 means any free port."
)
StructT = TypeVar("StructT", bound=msgspec.Struct)


def _decode_option(text: str, kind: type[StructT], option: str) -> StructT:
    try:
        return msgspec.json.decode(text, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{option}: {error}") from None


@standin.command("photo-server", epilog=example("martenstep standin photo-server --config '{\"cores\": 4}'"))
@click.option("--config", "settings", default="{}", help="Settings of the fake as JSON.")
@TRACE
def photo_server(settings: str, trace: Path | None) -> None:
    """Run a fake photo server."""
    from martenstep.standins import photo

    config = _decode_option(settings, photo.PhotoConfig, "--config")
    asyncio.run(photo.run(config, trace))


@standin.command("redis", epilog=example("martenstep standin redis --port 6390"))
@PORT
@click.option(
    "--kind",
    type=click.Choice(["alone", "sentinel", "cluster"]),
    default="alone",
    show_default=True,
    help="alone: one server; sentinel: a primary, a replica, three sentinels; cluster: primaries with a replica each.",
)
@click.option(
    "--shards", type=click.IntRange(1, 64), default=3, show_default=True, help="Number of primaries of a cluster."
)
@click.option(
    "--lag-ms",
    type=click.FloatRange(min=0),
    default=100.0,
    show_default=True,
    help="Delay of the replication to replicas.",
)
@TRACE
def redis(port: int, kind: str, shards: int, lag_ms: float, trace: Path | None) -> None:
    """Run a fake Redis that supports the commands that a gateway uses.

    --port applies only to --kind alone; the other kinds choose free ports.
    """
    from martenstep.standins.redis import fleet

    asyncio.run(fleet.run(port, trace, kind, shards, lag_ms))


@standin.command("feed", epilog=example("martenstep standin feed --lag-ms 300"))
@PORT
@click.option(
    "--lag-ms",
    type=click.FloatRange(min=0),
    default=0.0,
    help="Delay until a change of the endpoint list is published.",
)
@TRACE
def feed(port: int, lag_ms: float, trace: Path | None) -> None:
    """Run a fake service that serves the endpoint list."""
    from martenstep.standins import feed as fake

    asyncio.run(fake.run(port, lag_ms, trace))


@standin.command("auth", epilog=example("martenstep standin auth --max-age-s 5"))
@PORT
@click.option(
    "--max-age-s", type=click.IntRange(min=0), default=0, help="How long responses that allow a request may be cached."
)
@TRACE
def auth(port: int, max_age_s: int, trace: Path | None) -> None:
    """Run a fake authentication service."""
    from martenstep.standins import auth as fake

    asyncio.run(fake.run(port, max_age_s, trace))


@standin.command("clients", epilog=example("martenstep standin clients plan.jsonl --manners '{\"ports\": [8080]}'"))
@click.argument("schedule", type=click.Path(path_type=Path, exists=True))
@click.option("--manners", "behaviour", required=True, help="Behaviour of the clients as JSON.")
@TRACE
def clients(schedule: Path, behaviour: str, trace: Path | None) -> None:
    """Run clients that send the requests of SCHEDULE at their times, whether or not earlier ones were answered."""
    from martenstep.standins import clients as fake

    manners = _decode_option(behaviour, fake.ClientBehavior, "--manners")
    asyncio.run(fake.run(schedule, manners, trace))
