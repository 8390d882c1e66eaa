"""`martenstep lab fleet`: runs schedules of faults between gateways, with real processes or in virtual time."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import click
import msgspec

from martenstep.cli.common import EXIT_USAGE, EXIT_VIOLATION, example, exit_with_problems
from martenstep.config.text_format import SettingsError

if TYPE_CHECKING:
    from martenstep.lab.fleet.plays import RunResult

FILE = click.Path(path_type=Path)
MAX_PRINTED_VIOLATIONS = 10  # for each run
PRINTED_FIGURES = ("false_deaths", "suspicions", "kills", "kills_known_to_all", "sent_a_second", "sent_bytes_a_second")
PRINTED_DISTRIBUTIONS = ("first_detection_ms", "known_to_all_ms", "healed_ms")


@click.group("fleet")
def fleet() -> None:
    """Fleets of gateways with injected faults, checked against what each gateway recorded of the membership."""


def _summary(name: str, breaches: list[str], figures: dict[str, Any]) -> str:
    parts = [f"{key} {figures[key]:g}" for key in PRINTED_FIGURES if key in figures]
    parts += [
        f"{key} {figures[key]['median']:.0f} (most {figures[key]['most']:.0f})"
        for key in PRINTED_DISTRIBUTIONS
        if key in figures
    ]
    lines = [f"{name}: {'kept' if not breaches else f'{len(breaches)} breaches'}; {', '.join(parts)}"]
    lines += [f"  {breach}" for breach in breaches[:MAX_PRINTED_VIOLATIONS]]
    if len(breaches) > MAX_PRINTED_VIOLATIONS:
        lines.append(f"  and {len(breaches) - MAX_PRINTED_VIOLATIONS} more")
    return "\n".join(lines)


def _exit_with_result(folder: Path, name: str, breaches: list[str], figures: dict[str, Any]) -> NoReturn:
    (folder / "result.json").write_bytes(msgspec.json.encode({"breaches": breaches, "figures": figures}) + b"\n")
    click.echo(_summary(name, breaches, figures))
    sys.exit(EXIT_VIOLATION if breaches else 0)


@fleet.command("run", epilog=example("martenstep lab fleet run days/fleet/halves.txtpb --out out/halves"))
@click.argument("file", type=FILE)
@click.option(
    "--out", type=FILE, required=True, help="Folder for records, logs and disks; an earlier run in it is deleted."
)
@click.option("--seed", type=int, default=1, show_default=True)
def run(file: Path, out: Path, seed: int) -> None:
    """Run the schedule in FILE with real gateways on loopback; exits with 3 if an invariant is violated."""
    from martenstep.lab.fleet.judge import judge
    from martenstep.lab.fleet.rig import run_rig
    from martenstep.lab.fleet.schedule import load_schedule
    from martenstep.lab.play import ScenarioRunError

    try:
        schedule = load_schedule(file)
    except SettingsError as error:
        exit_with_problems(error)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.default_int_handler)
    try:
        records, ready_s = asyncio.run(run_rig(schedule, seed, out))
    except (ScenarioRunError, OSError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(1)
    except KeyboardInterrupt:
        click.echo(f"{file}: interrupted; all processes were stopped", err=True)
        sys.exit(1)
    verdict = judge(schedule, records)
    _exit_with_result(out, schedule.name, verdict.violations, {**verdict.figures, "ready_s": round(ready_s, 2)})


@fleet.command("check", epilog=example("martenstep lab fleet check out/halves"))
@click.argument("folder", type=FILE)
def check(folder: Path) -> None:
    """Check the records of an earlier run in FOLDER again; exits with 3 if an invariant is violated."""
    from martenstep.lab.fleet.judge import judge
    from martenstep.lab.fleet.records import RecordError, read_records
    from martenstep.lab.fleet.schedule import load_schedule

    try:
        schedule = load_schedule(folder / "schedule.txtpb")
        verdict = judge(schedule, list(read_records(folder / "records.jsonl")))
    except SettingsError as error:
        exit_with_problems(error)
    except RecordError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_USAGE)
    _exit_with_result(folder, schedule.name, verdict.violations, verdict.figures)


@fleet.command("emulate", epilog=example("martenstep lab fleet emulate days/fleet/*.txtpb --seeds 20"))
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option(
    "--seeds", type=click.IntRange(1, 100_000), default=1, show_default=True, help="Number of runs of each schedule."
)
@click.option(
    "--first", type=int, default=1, show_default=True, help="Seed of the first run; later runs use the next numbers."
)
@click.option(
    "--members", type=click.IntRange(2, 400), default=None, help="Number of members; by default that of each schedule."
)
@click.option(
    "--workers", type=click.IntRange(1, 256), default=None, help="Number of processes; by default one for each core."
)
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON for each run.")
def emulate(
    files: tuple[Path, ...], seeds: int, first: int, members: int | None, workers: int | None, as_json: bool
) -> None:
    """Run the schedules in FILES in virtual time with several seeds; exits with 3 if an invariant is violated."""
    from martenstep.lab.fleet.plays import run_schedules

    texts = [(_schedule_text(file, members), str(file)) for file in files]
    all_hold = True
    try:
        for played in run_schedules(texts, range(first, first + seeds), workers or 0):
            all_hold = all_hold and not played.violations
            click.echo(_to_json(played) if as_json else _describe(played))
    except SettingsError as error:
        exit_with_problems(error)
    sys.exit(0 if all_hold else EXIT_VIOLATION)


def _schedule_text(file: Path, members: int | None) -> str:
    """Load a schedule and return its text, with its number of members replaced if `members` is given."""
    from google.protobuf import text_format

    from martenstep.lab.fleet.schedule import load_schedule

    try:
        schedule = load_schedule(file)
    except SettingsError as error:
        exit_with_problems(error)
    if members is not None:
        schedule.members = members
        schedule.seeds = min(schedule.seeds, members)
    return text_format.MessageToString(schedule)


def _to_json(played: RunResult) -> bytes:
    return msgspec.json.encode(
        {
            "name": played.name,
            "members": played.members,
            "seed": played.seed,
            "breaches": played.violations,
            "figures": played.figures,
        }
    )


def _describe(played: RunResult) -> str:
    title = f"{played.name} ({played.members} doors, seed {played.seed})"
    return _summary(title, played.violations, played.figures)
