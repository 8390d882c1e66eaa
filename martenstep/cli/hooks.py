"""`martenstep hook`: check, format, run, test and measure hooks."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from martenstep.cli.common import example
from martenstep.hooks.bounded_files import ReleaseError
from martenstep.hooks.bytecode import Program
from martenstep.hooks.compiler import compile_source
from martenstep.hooks.formatter import format_file
from martenstep.hooks.parser import parse
from martenstep.hooks.release_files import Rollout, read_directory
from martenstep.hooks.release_files import publish as publish_release
from martenstep.hooks.release_history import ReleaseHistory
from martenstep.hooks.release_manager import select_releases
from martenstep.hooks.run_context import MAX_BYTES, MAX_STEPS, HookRunError
from martenstep.hooks.signing import create_private_key, load_private_key, parse_public_key
from martenstep.hooks.source import HookSourceError
from martenstep.hooks.translation import translate
from martenstep.hooks.types import DEFAULT_VALUES, EXTENSION_POINTS, RECORDS, Type
from martenstep.hooks.virtual_machine import VirtualMachine

FILE = click.Path(path_type=Path)
BENCH_RUNS = 2000  # runs that `hook bench` measures


def _source(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise click.UsageError(f"{file}: {getattr(error, 'strerror', None) or error}") from None


def _compiled(file: Path) -> Program:
    source = _source(file)
    try:
        return compile_source(source)
    except HookSourceError as fault:
        click.echo(fault.format_with_source(source, str(file)), err=True)
        sys.exit(2)


def decode_value(kind: Type, given: Any, where: str) -> Any:
    """Convert a JSON value to a value of a hook type; missing fields get default values.  Raises ValueError."""
    if kind.name == "list":
        if not isinstance(given, list):
            raise ValueError(f"{where}: expected a list, got {given!r}")
        assert kind.item_type is not None
        return [decode_value(kind.item_type, one, f"{where}[{number}]") for number, one in enumerate(given)]
    if kind in RECORDS:
        if not isinstance(given, dict):
            raise ValueError(f"{where}: expected an object with fields, got {given!r}")
        unknown = given.keys() - {name for name, _ in RECORDS[kind]}
        if unknown:
            raise ValueError(f"{where}: no field {sorted(unknown)[0]!r}")
        return tuple(
            decode_value(
                of, given.get(name, [] if of.name == "list" else DEFAULT_VALUES.get(of.name)), f"{where}.{name}"
            )
            for name, of in RECORDS[kind]
        )
    wanted = {"text": str, "bool": bool}.get(kind.name, float)
    if wanted is float and isinstance(given, int) and not isinstance(given, bool):
        given = float(given)
    if not isinstance(given, wanted):
        raise ValueError(f"{where}: expected a {kind}, got {given!r}")
    return given


def encode_value(kind: Type, value: Any) -> Any:
    """Convert a value of a hook type to one that can be encoded as JSON."""
    if kind.name == "list":
        assert kind.item_type is not None
        return [encode_value(kind.item_type, one) for one in value]
    if kind in RECORDS:
        return {name: encode_value(of, one) for (name, of), one in zip(RECORDS[kind], value, strict=True)}
    return value


def _point(program: Program, point: str, file: Path) -> str:
    found = [point] if point else list(program.points)
    if len(found) != 1 or found[0] not in program.points:
        listed = ", ".join(program.points) or "none"
        raise click.UsageError(f"{file}: name one point with --point (there are: {listed})")
    return found[0]


def _given(point: str, file: Path | None) -> tuple[Any, ...]:
    """Read the parameters of an extension point from a JSON object, whose fields are the types' names in lower case."""
    kinds = EXTENSION_POINTS[point].parameters
    document: Any = {}
    try:
        if file is not None:
            document = msgspec.json.decode(file.read_bytes())
        if not isinstance(document, dict):
            raise ValueError(f"expected an object, got {document!r}")
        unknown = document.keys() - {kind.name.lower() for kind in kinds}
        if unknown:
            raise ValueError(f"no value {sorted(unknown)[0]!r} (there are: {', '.join(k.name.lower() for k in kinds)})")
        return tuple(decode_value(kind, document.get(kind.name.lower(), {}), kind.name.lower()) for kind in kinds)
    except OSError as error:
        raise click.UsageError(f"{file}: {error.strerror}") from None
    except (ValueError, msgspec.DecodeError) as error:
        raise click.UsageError(f"{file}: {error}") from None


@click.group("hook")
def hook() -> None:
    """Hooks: check, format, run, test and measure them."""


@hook.command("check", epilog=example("martenstep hook check hooks/*.hook"))
@click.argument("files", type=FILE, nargs=-1, required=True)
def check(files: tuple[Path, ...]) -> None:
    """Check FILES: print the errors, or the extension points and tests of each file."""
    for file in files:
        program = _compiled(file)
        click.echo(f"{file}: good; points: {', '.join(program.points) or 'none'}; {len(program.tests)} tests")


@hook.command("fmt", epilog=example("martenstep hook fmt --check hooks/*.hook"))
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--check", "only", is_flag=True, help="Change no file; exit with 1 if a file would change.")
def fmt(files: tuple[Path, ...], only: bool) -> None:
    """Format FILES in the standard style."""
    changed = False
    for file in files:
        source = _source(file)
        try:
            made = format_file(parse(source))
        except HookSourceError as fault:
            click.echo(fault.format_with_source(source, str(file)), err=True)
            sys.exit(2)
        if made != source:
            changed = True
            click.echo(f"{file}: {'would change' if only else 'written'}")
            if not only:
                aside = file.with_name(file.name + ".new")
                aside.write_text(made, encoding="utf-8")
                aside.replace(file)
    sys.exit(1 if only and changed else 0)


@hook.command("run", epilog=example("martenstep hook run words.hook --request example.json"))
@click.argument("file", type=FILE)
@click.option("--point", default="", help="Extension point of the hook; required if the file contains several.")
@click.option(
    "--request", "request", type=FILE, default=None, help="JSON file with the parameters of the extension point."
)
def run(file: Path, point: str, request: Path | None) -> None:
    """Run one hook of FILE on an example and print its result, and the steps and bytes that it used."""
    program = _compiled(file)
    point = _point(program, point, file)
    machine = VirtualMachine(program, translated=translate(program))
    try:
        made = machine.run(program.points[point], _given(point, request))
    except HookRunError as error:
        click.echo(f"{file}: {point}: {error}", err=True)
        sys.exit(1)
    click.echo(
        msgspec.json.format(msgspec.json.encode(encode_value(EXTENSION_POINTS[point].result, made)), indent=2).decode()
    )
    click.echo(
        f"{machine.used_steps} of {MAX_STEPS} steps, {MAX_BYTES - machine.remaining_bytes} of {MAX_BYTES} bytes",
        err=True,
    )


@hook.command("test", epilog=example("martenstep hook test hooks/*.hook"))
@click.argument("files", type=FILE, nargs=-1, required=True)
def test(files: tuple[Path, ...]) -> None:
    """Run the tests in FILES."""
    failed = count = 0
    for file in files:
        program = _compiled(file)
        fast = translate(program)
        for title, number in program.tests:
            count += 1
            try:
                good, why = VirtualMachine(program, translated=fast).run(number, ()) is True, "false"
            except HookRunError as error:
                good, why = False, str(error)
            if not good:
                failed += 1
                click.echo(f"{file}: test {title!r}: {why}")
    click.echo(f"{count - failed} held, {failed} did not")
    sys.exit(1 if failed or not count else 0)


KEY = click.option(
    "--key",
    "keys",
    multiple=True,
    help="Public key in hex; if given, releases not signed by one of the keys are refused.",
)


@hook.command("key", epilog=example("martenstep hook key signing.pem"))
@click.argument("file", type=FILE)
def key(file: Path) -> None:
    """Write a new signing key to FILE and print its public key, for trusted_key in the gateway's settings."""
    try:
        click.echo(create_private_key(file))
    except OSError as error:
        raise click.UsageError(f"{file}: {error.strerror}") from None


@hook.command("publish", epilog=example("martenstep hook publish drafts/ /srv/hooks --version 8 --share 0.1"))
@click.argument("source", type=FILE)
@click.argument("directory", type=FILE)
@click.option(
    "--version",
    type=click.IntRange(min=1),
    required=True,
    help="Version number; must be higher than those of all other releases.",
)
@click.option(
    "--share",
    type=click.FloatRange(0, 1, min_open=True),
    default=1.0,
    show_default=True,
    help="Share of the customers that the release applies to; below 1 it is a canary.",
)
@click.option("--trial-customer", "customers", multiple=True, help="Customer that the canary always includes.")
@click.option("--about", default="", help="Description of the release, one line.")
@click.option("--sign", "signing", type=FILE, default=None, help="File with the private key, as written by `hook key`.")
def publish(
    source: Path,
    directory: Path,
    version: int,
    share: float,
    customers: tuple[str, ...],
    about: str,
    signing: Path | None,
) -> None:
    """Publish the hooks in SOURCE, all or those that its manifest names, in DIRECTORY as one release."""
    try:
        made = publish_release(
            source,
            directory,
            version,
            Rollout(share, customers, about),
            key=load_private_key(signing) if signing is not None else None,
        )
    except ReleaseError as error:
        raise click.UsageError(str(error)) from None
    except OSError as error:
        raise click.UsageError(f"{error.filename or directory}: {error.strerror}") from None
    click.echo(f"{made}: version {version}, share {share:g}; send SIGHUP to the gateways to load it")


@hook.command("list", epilog=example("martenstep hook list /etc/martenstep/hooks"))
@click.argument("directory", type=FILE)
@KEY
@click.option(
    "--history", type=FILE, default=None, help="History file of a gateway, to mark the releases that it withdrew."
)
@click.option("--customer", default=None, help="Also print which release applies to this customer.")
def list_releases(directory: Path, keys: tuple[str, ...], history: Path | None, customer: str | None) -> None:
    """Print the releases in DIRECTORY and which are active; exits with 1 if one of them cannot be loaded."""
    try:
        for one in keys:
            parse_public_key(one)
        contents = read_directory(directory, keys)
        withdrawn = ReleaseHistory(history, "").rolled_back_versions() if history is not None else set()
    except ValueError as error:
        raise click.UsageError(f"--key: {error}") from None
    except OSError as error:
        raise click.UsageError(f"{error.filename}: {error.strerror}") from None
    acting = select_releases(contents.releases, withdrawn)
    for release in sorted(contents.releases, key=lambda one: one.version):
        state = (
            "withdrawn"
            if release.version in withdrawn
            else "acts"
            if release is acting.full
            else "on trial"
            if release is acting.canary
            else "not acting"
        )
        points = ", ".join(f"{one.point} ({one.name})" for one in release.hooks) or "no hooks"
        signed = f"; signed by {release.signer[:16]}" if release.signer else ""
        click.echo(
            f"{release.version}: {state}; share {release.share:g}; {points}{signed}"
            f"{'; ' + release.about if release.about else ''}"
        )
    for problem in contents.problems:
        click.echo(f"cannot be taken: {problem}", err=True)
    if customer is not None:
        held = next((one for one in reversed(acting) if one is not None and one.includes(customer)), None)
        click.echo(f"{customer}: {held.version if held else 'none'}")
    sys.exit(1 if contents.problems else 0)


@hook.command("history", epilog=example("martenstep hook history /var/lib/martenstep/hooks.jsonl"))
@click.argument("file", type=FILE)
def history(file: Path) -> None:
    """Print the events of releases that a gateway recorded in FILE, the oldest first."""
    if not file.is_file():
        raise click.UsageError(f"{file}: expected an existing file, but there is no such file")
    try:
        lines = ReleaseHistory(file, "").lines()
    except OSError as error:
        raise click.UsageError(f"{file}: {error.strerror}") from None
    for line in lines:
        rest = ", ".join(f"{name} {value}" for name, value in line.items() if name not in ("time", "door", "event"))
        click.echo(f"{line.get('time', '?')} {line.get('door', '?')}: {line.get('event', '?')}: {rest}")


@hook.command("bench", epilog=example("martenstep hook bench words.hook --point refusal"))
@click.argument("file", type=FILE)
@click.option("--point", default="", help="Extension point of the hook; required if the file contains several.")
@click.option(
    "--request", "request", type=FILE, default=None, help="JSON file with the parameters of the extension point."
)
def bench(file: Path, point: str, request: Path | None) -> None:
    """Measure the steps and the duration of one run of a hook on this machine."""
    program = _compiled(file)
    point = _point(program, point, file)
    given = _given(point, request)
    durations_us = []
    steps, fast = 0, translate(program)
    try:
        for _ in range(BENCH_RUNS):
            machine = VirtualMachine(program, translated=fast)
            started_at = time.perf_counter()
            machine.run(program.points[point], given)
            durations_us.append((time.perf_counter() - started_at) * 1e6)
            steps = machine.used_steps
    except HookRunError as error:
        click.echo(f"{file}: {point}: {error}", err=True)
        sys.exit(1)
    durations_us.sort()
    median_us = durations_us[BENCH_RUNS // 2]
    click.echo(
        f"{steps} steps; median {median_us:.1f} us, p99 {durations_us[BENCH_RUNS * 99 // 100]:.1f} us; "
        f"{steps / median_us:.2f} steps a us"
    )
