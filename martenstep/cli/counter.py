"""`martenstep counter`: runs the counter service, replicates its log, and reads logs."""

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
    """The project's own counter service, and commands that read or repair its log."""


DIRECTORY = click.argument("directory", type=click.Path(path_type=Path, exists=True, file_okay=False))


@contextlib.contextmanager
def _exit_on_error() -> Iterator[None]:
    """Print an expected error of a log, a replica or a service in one line and exit with 1."""
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
    with _exit_on_error():
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
    help="Witness directory of the replica, as in its settings.",
)
def counter_identity(directory: Path, witness: Path) -> None:
    """Print the identity of the replica whose disk is DIRECTORY; an empty directory becomes that of a new replica."""
    from martenstep.counter.replica_process import read_identity

    with _exit_on_error():
        click.echo(read_identity(directory, witness))


@counter.command("follow", epilog=example("martenstep counter follow /var/lib/martenstep/copy --leader 10.0.0.5:6400"))
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option("--leader", required=True, help="HOST:PORT of the service that is the leader.")
def counter_follow(directory: Path, leader: str) -> None:
    """Replicate a service's log to DIRECTORY until SIGTERM."""
    from martenstep.counter.follower import Follower

    address = parse_address("--leader", leader)
    with _exit_on_error(), contextlib.suppress(KeyboardInterrupt), contextlib.closing(Follower(directory)) as follower:
        click.echo(msgspec.json.encode({"ready": {"records": follower.record_count, "term": follower.term}}))
        asyncio.run(follower.run(*address))


@counter.command("promote", epilog=example("martenstep counter promote /var/lib/martenstep/copy"))
@DIRECTORY
def counter_promote(directory: Path) -> None:
    """Begin a new term in a follower's log.

    Afterwards run a service on this log and configure the gateways to use it; the old leader is then fenced.
    """
    from martenstep.counter import follower

    with _exit_on_error():
        term = follower.promote(directory)
    click.echo(f"term {term} has begun")


@counter.command("verify", epilog=example("martenstep counter verify /var/lib/martenstep/counter"))
@DIRECTORY
def counter_verify(directory: Path) -> None:
    """Read a whole log; at the first damage print its file and offset and exit with 1."""
    from martenstep.counter import log_inspection

    with _exit_on_error():
        summary = log_inspection.verify(directory)
    click.echo(
        f"{summary.records} records in {summary.segments} segments, {summary.snapshots} snapshots, all whole; "
        f"{summary.torn_bytes} bytes of a torn tail"
    )


@counter.command(
    "repair",
    epilog=example(
        "martenstep counter repair /var/lib/martenstep/counter --file seg-0000000000000000.log --upto 123456"
    ),
)
@DIRECTORY
@click.option("--file", "name", required=True, help="Name of the damaged segment, as printed by verify.")
@click.option("--upto", type=int, required=True, help="Byte offset at which the segment is truncated.")
def counter_repair(directory: Path, name: str, upto: int) -> None:
    """Truncate a damaged log.  The removed records may have been acknowledged, so make a backup first."""
    from martenstep.counter import log_inspection

    with _exit_on_error():
        removed_bytes = log_inspection.repair(directory, name, upto)
    click.echo(f"{removed_bytes} bytes were removed")


PERIOD = click.option(
    "--period-ms", type=float, default=3_600_000.0, help="Length of a period, as in the service's settings."
)


@counter.command("rebuild", epilog=example("martenstep counter rebuild /var/lib/martenstep/counter"))
@DIRECTORY
@PERIOD
def counter_rebuild(directory: Path, period_ms: float) -> None:
    """Rebuild the state from a log and print the totals by customer, plan and period as JSON lines."""
    from martenstep.counter import log_inspection
    from martenstep.counter.state import CounterLimits

    with _exit_on_error():
        state = log_inspection.rebuild_from_log(directory, CounterLimits(period_ms=period_ms))
    for (customer, plan, period), use in sorted(state.usage().items()):
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
    click.echo(msgspec.json.encode(state.sizes), err=True)


def _print_attempts(directory: Path, customer: str | None, since: float | None, until: float | None) -> None:
    from martenstep.counter import log_inspection

    with _exit_on_error():
        for gateway, attempt in log_inspection.iterate_attempts(
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


SINCE = click.option("--from", "since", type=float, default=None, help="Start of the time range in Unix ms.")
UNTIL = click.option("--to", "until", type=float, default=None, help="End of the time range in Unix ms.")


@counter.command("history", epilog=example("martenstep counter history /var/lib/martenstep/counter ada --from 1.7e12"))
@DIRECTORY
@click.argument("customer")
@SINCE
@UNTIL
def counter_history(directory: Path, customer: str, since: float | None, until: float | None) -> None:
    """Print the attempts of CUSTOMER that the log contains as JSON lines."""
    _print_attempts(directory, customer, since, until)


@counter.command("export", epilog=example("martenstep counter export /var/lib/martenstep/counter > tries.jsonl"))
@DIRECTORY
@SINCE
@UNTIL
def counter_export(directory: Path, since: float | None, until: float | None) -> None:
    """Print all attempts that the log contains as JSON lines."""
    _print_attempts(directory, None, since, until)
