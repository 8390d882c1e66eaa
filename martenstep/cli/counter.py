"""`martenstep counter`: the counter service, and its log read back."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections.abc import Iterator
from pathlib import Path

import click
import msgspec

from martenstep.cli.common import example, exit_with_problems, parse_address
from martenstep.config.text_format import SettingsError

FILE = click.Path(path_type=Path)


@click.group("counter")
def counter() -> None:
    """The project's own counter service, and its log read back."""


DIRECTORY = click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))


@contextlib.contextmanager
def _log_faults() -> Iterator[None]:
    """What can be wrong with a log, or with what serves it, is told in a line; exit 1."""
    from martenstep.config.tls import TlsError
    from martenstep.counter.follower import LeaderRejectedError
    from martenstep.counter.replica_process import ReplicaError
    from martenstep.storage.files import LockedError
    from martenstep.storage.log import LogError

    try:
        yield
    except (ReplicaError, LogError, LockedError, LeaderRejectedError, TlsError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@counter.command("serve", epilog=example("martenstep counter serve deploy/counter.example.txtpb"))
@click.argument("file", type=FILE)
def counter_serve(file: Path) -> None:
    """Run a counter service with the settings in FILE until SIGTERM."""
    from martenstep.counter import service
    from martenstep.counter.settings import load_service

    try:
        settings = load_service(file)
    except SettingsError as error:
        exit_with_problems(error)
    with _log_faults():
        if settings.HasField("copies"):
            from martenstep.counter import replica_process

            sys.exit(asyncio.run(replica_process.serve(settings, lambda: load_service(file))))
        sys.exit(asyncio.run(service.serve(settings)))


@counter.command(
    "identity",
    epilog=example("martenstep counter identity /var/lib/martenstep/counter --witness /run/martenstep/counter"),
)
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option(
    "--witness",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="The copy's witness directory, as in its settings.",
)
def counter_identity(directory: Path, witness: Path) -> None:
    """Print which copy's disk DIRECTORY is; an empty one becomes a new copy's."""
    from martenstep.counter.replica_process import read_identity

    with _log_faults():
        click.echo(read_identity(directory, witness))


@counter.command("follow", epilog=example("martenstep counter follow /var/lib/martenstep/copy --leader 10.0.0.5:6400"))
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option("--leader", required=True, help="HOST:PORT of the service.")
def counter_follow(directory: Path, leader: str) -> None:
    """Keep a copy of a service's log in DIRECTORY until SIGTERM."""
    from martenstep.counter import follower as follow

    address = parse_address("--leader", leader)
    with _log_faults(), contextlib.suppress(KeyboardInterrupt), contextlib.closing(follow.Follower(directory)) as made:
        click.echo(msgspec.json.encode({"ready": {"records": made.record_count, "term": made.term}}))
        asyncio.run(made.run(*address))


@counter.command("promote", epilog=example("martenstep counter promote /var/lib/martenstep/copy"))
@DIRECTORY
def counter_promote(directory: Path) -> None:
    """Begin a new term in a follower's log.  Serve it then, and point the gateways at it: the old leader is fenced."""
    from martenstep.counter import follower as follow

    with _log_faults():
        term = follow.promote(directory)
    click.echo(f"term {term} has begun")


@counter.command("verify", epilog=example("martenstep counter verify /var/lib/martenstep/counter"))
@DIRECTORY
def counter_verify(directory: Path) -> None:
    """Read all of a log; exit 1 at the first damage, with file and offset."""
    from martenstep.counter import log_inspection as read

    with _log_faults():
        found = read.verify(directory)
    click.echo(
        f"{found.records} records in {found.segments} segments, {found.snapshots} snapshots, all whole; "
        f"{found.torn_bytes} bytes of a torn tail"
    )


@counter.command(
    "repair",
    epilog=example(
        "martenstep counter repair /var/lib/martenstep/counter --file seg-0000000000000000.log --upto 123456"
    ),
)
@DIRECTORY
@click.option("--file", "name", required=True, help="The segment that verify names.")
@click.option("--upto", type=int, required=True, help="Offset that it is cut at.")
def counter_repair(directory: Path, name: str, upto: int) -> None:
    """Cut a damaged log.  What is cut may have been acknowledged: only with a backup at hand."""
    from martenstep.counter import log_inspection as read

    with _log_faults():
        lost = read.repair(directory, name, upto)
    click.echo(f"{lost} bytes are cut")


PERIOD = click.option("--period-ms", type=float, default=3_600_000.0, help="As the service's settings have it.")


@counter.command("rebuild", epilog=example("martenstep counter rebuild /var/lib/martenstep/counter"))
@DIRECTORY
@PERIOD
def counter_rebuild(directory: Path, period_ms: float) -> None:
    """Rebuild the state from the log, and print the totals by customer, plan and period as JSON lines."""
    from martenstep.counter import log_inspection as read
    from martenstep.counter.state import CounterLimits

    with _log_faults():
        made = read.rebuild_from_log(directory, CounterLimits(period_ms=period_ms))
    for (customer, plan, period), use in sorted(made.usage().items()):
        click.echo(
            msgspec.json.encode(
                {
                    "customer": customer,
                    "plan": plan,
                    "from_ms": period * period_ms,
                    "tries": use.attempts,
                    "units": use.units,
                    "beyond": use.over_quota_units,
                }
            )
        )
    click.echo(msgspec.json.encode(made.sizes), err=True)


def _export(directory: Path, customer: str | None, since: float | None, until: float | None) -> None:
    from martenstep.counter import log_inspection as read

    with _log_faults():
        for gateway, attempt in read.iterate_attempts(
            directory, customer, float("-inf") if since is None else since, float("inf") if until is None else until
        ):
            click.echo(
                msgspec.json.encode(
                    {
                        "time_ms": attempt.time_ms,
                        "request": attempt.request_id,
                        "customer": attempt.customer,
                        "plan": attempt.plan,
                        "class": attempt.request_class,
                        "units": attempt.units,
                        "beyond": attempt.over_quota,
                        "door": gateway,
                    }
                )
            )


SINCE = click.option("--from", "since", type=float, default=None, help="Unix ms.")
UNTIL = click.option("--to", "until", type=float, default=None, help="Unix ms.")


@counter.command("history", epilog=example("martenstep counter history /var/lib/martenstep/counter ada --from 1.7e12"))
@DIRECTORY
@click.argument("customer")
@SINCE
@UNTIL
def counter_history(directory: Path, customer: str, since: float | None, until: float | None) -> None:
    """Print the recorded attempts of CUSTOMER as JSON lines."""
    _export(directory, customer, since, until)


@counter.command("export", epilog=example("martenstep counter export /var/lib/martenstep/counter > tries.jsonl"))
@DIRECTORY
@SINCE
@UNTIL
def counter_export(directory: Path, since: float | None, until: float | None) -> None:
    """Print all recorded attempts that the log keeps as JSON lines."""
    _export(directory, None, since, until)
