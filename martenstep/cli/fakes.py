"""`martenstep standin`: fakes of outside systems, each as a process."""

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
    """Fakes of outside systems, each steered over a control port printed when it is ready."""


TRACE = click.option("--trace", type=FILE, default=None, help="File that its trace is written to.")
PORT = click.option("--port", type=click.IntRange(0, 65535), default=0, help="0: any that is free.")
StructT = TypeVar("StructT", bound=msgspec.Struct)


def _decode_option(text: str, kind: type[StructT], what: str) -> StructT:
    try:
        return msgspec.json.decode(text, type=kind, strict=False)
    except msgspec.DecodeError as error:
        raise click.UsageError(f"{what}: {error}") from None


@standin.command("photo-server", epilog=example("martenstep standin photo-server --config '{\"cores\": 4}'"))
@click.option("--config", "settings", default="{}", help="Its settings as JSON.")
@TRACE
def photo_server(settings: str, trace: Path | None) -> None:
    """A photo server."""
    from martenstep.standins import photo

    made = _decode_option(settings, photo.PhotoConfig, "--config")
    asyncio.run(photo.run(made, trace))


@standin.command("redis", epilog=example("martenstep standin redis --port 6390"))
@PORT
@click.option(
    "--kind",
    type=click.Choice(["alone", "sentinel", "cluster"]),
    default="alone",
    show_default=True,
    help="One server; a primary with a replica and three sentinels; primaries with a replica each.",
)
@click.option("--shards", type=click.IntRange(1, 64), default=3, show_default=True, help="Primaries of a cluster.")
@click.option(
    "--lag-ms", type=click.FloatRange(min=0), default=100.0, show_default=True, help="Replicas are so far behind."
)
@TRACE
def redis(port: int, kind: str, shards: int, lag_ms: float, trace: Path | None) -> None:
    """A Redis, as far as a gateway needs one.  --port is for one server alone; others take ports that are free."""
    from martenstep.standins.redis import fleet

    asyncio.run(fleet.run(port, trace, kind, shards, lag_ms))


@standin.command("feed", epilog=example("martenstep standin feed --lag-ms 300"))
@PORT
@click.option("--lag-ms", type=click.FloatRange(min=0), default=0.0, help="Delay of changes.")
@TRACE
def feed(port: int, lag_ms: float, trace: Path | None) -> None:
    """A members feed."""
    from martenstep.standins import feed as stand_in

    asyncio.run(stand_in.run(port, lag_ms, trace))


@standin.command("auth", epilog=example("martenstep standin auth --max-age-s 5"))
@PORT
@click.option("--max-age-s", type=click.IntRange(min=0), default=0, help="How long its good answers may be kept.")
@TRACE
def auth(port: int, max_age_s: int, trace: Path | None) -> None:
    """An authentication service."""
    from martenstep.standins import auth as stand_in

    asyncio.run(stand_in.run(port, max_age_s, trace))


@standin.command("clients", epilog=example("martenstep standin clients plan.jsonl --manners '{\"ports\": [8080]}'"))
@click.argument("schedule", type=click.Path(path_type=Path, exists=True))
@click.option("--manners", "behaviour", required=True, help="How they behave, as JSON.")
@TRACE
def clients(schedule: Path, behaviour: str, trace: Path | None) -> None:
    """Clients that play a schedule, open loop."""
    from martenstep.standins import clients as stand_in

    made = _decode_option(behaviour, stand_in.ClientBehavior, "--manners")
    asyncio.run(stand_in.run(schedule, made, trace))
