"""`martenstep`: serve a door, check settings, play stand-ins, play and judge days.

Exit codes: 0 well; 1 could not run; 2 bad usage or bad input; 3 a rule was broken.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NoReturn, TypeVar

import click
import msgspec

from martenstep.cli.copies import copies
from martenstep.cli.hooks import hook
from martenstep.cli.lab import lab
from martenstep.cli.load import load
from martenstep.cli.maintenance import maintenance
from martenstep.cli.members import members
from martenstep.cli.words import BROKEN, USAGE, address_of, faults_told
from martenstep.cli.words import example as _example
from martenstep.config import door_pb2 as pb
from martenstep.config.loading import load_door
from martenstep.config.text_format import SettingsError

FILE = click.Path(path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="martenstep")
def cli() -> None:
    """An API gateway that keeps each customer of a shared back end to its plan."""


@cli.command(epilog=_example("martenstep serve door.txtpb"))
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=None, help="Seed of the module's choices, to repeat a run.")
@click.option("--uvloop", is_flag=True, help="Run on uvloop, where it is installed.")
@click.option("--workers", type=click.IntRange(1, 256), default=None, help="In place of the settings' workers.count.")
def serve(file: Path, seed: int | None, uvloop: bool, workers: int | None) -> None:
    """Run a door with the settings in FILE until SIGTERM; SIGHUP takes up what changed in it."""

    def load() -> pb.Door:
        made = load_door(file)
        if workers is not None:
            made.workers.count = workers
        return made

    try:
        door = load()
    except SettingsError as error:
        faults_told(error)
    from martenstep.supervise.service import run

    if uvloop:
        try:
            import uvloop as loops
        except ImportError:
            raise click.UsageError("uvloop is not installed: pip install 'martenstep[uvloop]'") from None
        asyncio.set_event_loop_policy(loops.EventLoopPolicy())
    sys.exit(run(door, load, seed))


@cli.command(hidden=True, epilog=_example("martenstep worker < frames"))
def worker() -> None:
    """Run one worker of a supervisor, which steers it over standard input."""
    from martenstep.supervise.worker import work

    sys.exit(asyncio.run(work()))


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
        except SettingsError as error:
            wrong = True
            for fault in error.problems:
                click.echo(fault.describe(error.file), err=True)
        else:
            click.echo(f"{file}: well")
    sys.exit(USAGE if wrong else 0)


@cli.group()
def standin() -> None:
    """Stand-ins of outside systems, each steered over a control port told when it is ready."""


TRACE = click.option("--trace", type=FILE, default=None, help="File that its trace is written to.")
PORT = click.option("--port", type=click.IntRange(0, 65535), default=0, help="0: any that is free.")


S = TypeVar("S", bound=msgspec.Struct)


def _json(text: str, kind: type[S], what: str) -> S:
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
    asyncio.run(photo.run(made, trace))


@standin.command("redis", epilog=_example("martenstep standin redis --port 6390"))
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
    """A Redis, as far as a door needs one.  --port is for one server alone; others take ports that are free."""
    from martenstep.standins.redis import fleet

    asyncio.run(fleet.run(port, trace, kind, shards, lag_ms))


@standin.command("feed", epilog=_example("martenstep standin feed --lag-ms 300"))
@PORT
@click.option("--lag-ms", type=click.FloatRange(min=0), default=0.0, help="Changes are told about so late.")
@TRACE
def feed(port: int, lag_ms: float, trace: Path | None) -> None:
    """A members feed."""
    from martenstep.standins import feed as stand_in

    asyncio.run(stand_in.run(port, lag_ms, trace))


@standin.command("auth", epilog=_example("martenstep standin auth --max-age-s 5"))
@PORT
@click.option("--max-age-s", type=click.IntRange(min=0), default=0, help="How long its good answers may be kept.")
@TRACE
def auth(port: int, max_age_s: int, trace: Path | None) -> None:
    """An authentication service."""
    from martenstep.standins import auth as stand_in

    asyncio.run(stand_in.run(port, max_age_s, trace))


@standin.command("clients", epilog=_example("martenstep standin clients plan.jsonl --manners '{\"ports\": [8080]}'"))
@click.argument("schedule", type=click.Path(path_type=Path, exists=True))
@click.option("--manners", required=True, help="How they behave, as JSON.")
@TRACE
def clients(schedule: Path, manners: str, trace: Path | None) -> None:
    """Clients that play a schedule, open loop."""
    from martenstep.standins import clients as stand_in

    made = _json(manners, stand_in.Manners, "--manners")
    asyncio.run(stand_in.run(schedule, made, trace))


@cli.group()
def day() -> None:
    """Days: a fleet on loopback, its traffic and its troubles, judged from the traffic."""


def _judge(folder: Path) -> NoReturn:
    from martenstep.lab import report

    try:
        result = report.judge_folder(folder)
    except report.TraceError as error:
        click.echo(str(error), err=True)
        sys.exit(USAGE)
    report.write_result(folder, result)
    click.echo(report.table(result))
    sys.exit(0 if result["kept"] else BROKEN)


@day.command("run", epilog=_example("martenstep day run days/first.txtpb --out out/first"))
@click.argument("file", type=FILE)
@click.option("--out", type=FILE, required=True, help="Folder for traces, logs and result.json.")
def day_run(file: Path, out: Path) -> None:
    """Play the day in FILE and judge it; exit 3 where a rule was broken."""
    from martenstep.lab.day import load_day
    from martenstep.lab.play import PlayError, play_day

    try:
        loaded = load_day(file)
    except SettingsError as error:
        faults_told(error)
    bar = _Bar(loaded.name)
    # Told to end, it tears all down as when interrupted; SIGINT is ignored where a shell starts it in the background.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    try:
        asyncio.run(play_day(loaded, out, bar.move))
    except (PlayError, OSError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        click.echo(f"{file}: interrupted; all processes are ended", err=True)
        sys.exit(1)
    finally:
        bar.close()
    _judge(out)


@day.command("check", epilog=_example("martenstep day check out/first"))
@click.argument("folder", type=FILE)
def day_check(folder: Path) -> None:
    """Judge the traces in FOLDER again, alone; exit 3 where a rule was broken."""
    _judge(folder)


@day.command("from-tap", epilog=_example("martenstep day from-tap tap.txt --rate 40 > days/mine.txtpb"))
@click.argument("tap", type=FILE)
@click.option("--rate", type=click.FloatRange(min=0.1), default=60.0, help="Requests a second that this machine bears.")
@click.option("--servers", type=click.IntRange(1, 100), default=10, help="Servers that it bears.")
@click.option("--doors", type=click.IntRange(1, 32), default=3, help="Doors that it bears.")
def day_from_tap(tap: Path, rate: float, servers: int, doors: int) -> None:
    """Turn a bench run's tap into a day of the same kinds of trouble, scaled down; writes it to standard output."""
    from google.protobuf import text_format

    from martenstep.lab.tap import TapError, day_from

    try:
        with tap.open(encoding="utf-8") as lines:
            made = day_from(lines, tap.stem, rate, servers, doors)
    except (OSError, TapError, UnicodeDecodeError) as error:
        click.echo(f"{tap}: {error}", err=True)
        sys.exit(USAGE)
    click.echo(text_format.MessageToString(made), nl=False)


@cli.group()
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


@counter.command("serve", epilog=_example("martenstep counter serve deploy/counter.example.txtpb"))
@click.argument("file", type=FILE)
def counter_serve(file: Path) -> None:
    """Run a counter service with the settings in FILE until SIGTERM."""
    from martenstep.counter import service
    from martenstep.counter.settings import load_service

    try:
        settings = load_service(file)
    except SettingsError as error:
        faults_told(error)
    with _log_faults():
        if settings.HasField("copies"):
            from martenstep.counter import replica_process

            sys.exit(asyncio.run(replica_process.serve(settings, lambda: load_service(file))))
        sys.exit(asyncio.run(service.serve(settings)))


@counter.command(
    "identity",
    epilog=_example("martenstep counter identity /var/lib/martenstep/counter --witness /run/martenstep/counter"),
)
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option(
    "--witness",
    type=click.Path(path_type=Path, file_okay=False),
    required=True,
    help="The copy's witness directory, as in its settings.",
)
def counter_identity(directory: Path, witness: Path) -> None:
    """Tell which copy's disk DIRECTORY is; an empty one becomes a new copy's."""
    from martenstep.counter.replica_process import read_identity

    with _log_faults():
        click.echo(read_identity(directory, witness))


@counter.command("follow", epilog=_example("martenstep counter follow /var/lib/martenstep/copy --leader 10.0.0.5:6400"))
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
@click.option("--leader", required=True, help="HOST:PORT of the service.")
def counter_follow(directory: Path, leader: str) -> None:
    """Keep a copy of a service's log in DIRECTORY until SIGTERM."""
    from martenstep.counter import follower as follow

    address = address_of("--leader", leader)
    with _log_faults(), contextlib.suppress(KeyboardInterrupt), contextlib.closing(follow.Follower(directory)) as made:
        click.echo(msgspec.json.encode({"ready": {"records": made.record_count, "term": made.term}}))
        asyncio.run(made.run(*address))


@counter.command("promote", epilog=_example("martenstep counter promote /var/lib/martenstep/copy"))
@DIRECTORY
def counter_promote(directory: Path) -> None:
    """Begin a new term in a follower's log.  Serve it then, and point the doors at it: the old leader is fenced."""
    from martenstep.counter import follower as follow

    with _log_faults():
        term = follow.promote(directory)
    click.echo(f"term {term} has begun")


@counter.command("verify", epilog=_example("martenstep counter verify /var/lib/martenstep/counter"))
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
    epilog=_example(
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


@counter.command("rebuild", epilog=_example("martenstep counter rebuild /var/lib/martenstep/counter"))
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
        for door, told in read.iterate_attempts(
            directory, customer, float("-inf") if since is None else since, float("inf") if until is None else until
        ):
            click.echo(
                msgspec.json.encode(
                    {
                        "time_ms": told.time_ms,
                        "request": told.request_id,
                        "customer": told.customer,
                        "plan": told.plan,
                        "class": told.request_class,
                        "units": told.units,
                        "beyond": told.over_quota,
                        "door": door,
                    }
                )
            )


SINCE = click.option("--from", "since", type=float, default=None, help="Unix ms.")
UNTIL = click.option("--to", "until", type=float, default=None, help="Unix ms.")


@counter.command("history", epilog=_example("martenstep counter history /var/lib/martenstep/counter ada --from 1.7e12"))
@DIRECTORY
@click.argument("customer")
@SINCE
@UNTIL
def counter_history(directory: Path, customer: str, since: float | None, until: float | None) -> None:
    """Print the recorded tries of CUSTOMER as JSON lines."""
    _export(directory, customer, since, until)


@counter.command("export", epilog=_example("martenstep counter export /var/lib/martenstep/counter > tries.jsonl"))
@DIRECTORY
@SINCE
@UNTIL
def counter_export(directory: Path, since: float | None, until: float | None) -> None:
    """Print all recorded tries that the log keeps as JSON lines."""
    _export(directory, None, since, until)


@cli.group()
def trace() -> None:
    """Traces of single requests."""


@trace.command("show", epilog=_example("martenstep trace show traces.jsonl r17.0"))
@click.argument("file", type=FILE)
@click.argument("request")
def trace_show(file: Path, request: str) -> None:
    """Print what became of REQUEST as a time line."""
    from martenstep.lab.timeline import TimelineError, timeline

    try:
        with file.open("rb") as lines:
            click.echo(timeline(lines, request))
    except (OSError, TimelineError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(USAGE)


class _Bar:
    """A progress bar on a terminal; nothing elsewhere."""

    def __init__(self, name: str) -> None:
        self._bar = None
        if sys.stderr.isatty():
            self._bar = click.progressbar(length=1000, label=name, file=sys.stderr)
            self._at = 0

    def move(self, part: float, what: str) -> None:
        """The part of the day that is played."""
        if self._bar is not None:
            self._bar.label = what
            self._bar.update(int(part * 1000) - self._at)
            self._at = int(part * 1000)

    def close(self) -> None:
        """End its line."""
        if self._bar is not None:
            self._bar.render_finish()


cli.add_command(copies)
cli.add_command(hook)
cli.add_command(lab)
cli.add_command(load)
cli.add_command(maintenance)
cli.add_command(members)


def main() -> None:
    """Entry point."""
    cli(prog_name="martenstep")
