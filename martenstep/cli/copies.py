"""`martenstep copies`: the replicas that gateways hold for each other, from an admin listener or read from disk."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import click
import msgspec

from martenstep.cli.admin_client import exit_with_error, send_request
from martenstep.cli.common import align_columns, example

COLUMNS = ("group", "role", "term", "commit", "leader", "copies", "behind", "notes")
ADMIN = click.option("--admin", required=True, help="HOST:PORT of the gateway's admin listener.")


def describe_state(group: dict[str, Any], count: int) -> str:
    """Summarize the problems and pending changes of a replica group; `-` if there are none."""
    remarks = []
    if not group["proven"]:
        remarks.append("not proven")
    if group["leader"] is None:
        remarks.append("no leader")
    present = sum(one["present"] and one["counts"] for one in group["at"])
    counting = sum(one["counts"] for one in group["at"])
    if present <= counting // 2:
        remarks.append("MAJORITY LOST")
    elif present < count:
        remarks.append("under strength")
    if any(not one["counts"] for one in group["at"]):
        remarks.append("filling")
    if sorted(group["wanted"]) != sorted(one["place"] for one in group["at"] if one["counts"]):
        remarks.append("to move to " + " ".join(sorted(group["wanted"])))
    return ", ".join(remarks) or "-"


def format_table(view: dict[str, Any]) -> str:
    """Format the view of the admin page as a table."""
    rows = [COLUMNS]
    for group in view["groups"]:
        locations = [
            one["place"] + ("" if one["counts"] else "(learns)") + ("" if one["present"] else "(away)")
            for one in group["at"]
        ]
        behind = [one["behind"] for one in group["at"] if one["behind"] is not None]
        rows.append(
            (
                group["group"],
                group["role"],
                str(group["term"]),
                str(group["commit"]),
                group["leader"] or "-",
                " ".join(locations),
                str(max(behind)) if behind else "-",
                describe_state(group, view["copies"]),
            )
        )
    lines = align_columns(rows)
    led = sum(group["role"] == "leader" for group in view["groups"])
    head = f"{view['me']} holds {len(view['groups'])} copies on disk {view['disk']} and leads {led}"
    return "\n".join([head, *lines])


@click.group()
def copies() -> None:
    """The replicas that the gateways hold for each other."""


@copies.command("identity", epilog=example("martenstep copies identity /var/lib/martenstep/copies"))
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False))
def identity(directory: Path) -> None:
    """Print the identity number of the disk at DIRECTORY, for `founder` in the settings; a new disk gets one."""
    import contextlib

    from martenstep.replication.errors import ReplicaManagerError
    from martenstep.replication.node_disk import load_disk_identity
    from martenstep.storage.files import Disk, LockedError

    try:
        with contextlib.closing(Disk(directory)) as disk:
            click.echo(load_disk_identity(disk).id)
    except (ReplicaManagerError, LockedError, OSError) as error:
        exit_with_error(str(error))


@copies.command("show", epilog=example("martenstep copies show --admin 127.0.0.1:9080"))
@ADMIN
@click.option("--json", "as_json", is_flag=True, help="Print the whole view as JSON.")
def show(admin: str, as_json: bool) -> None:
    """Print the replicas that a gateway holds."""
    view = send_request(admin, "GET", "/copies")
    click.echo(msgspec.json.encode(view) if as_json else format_table(view))


@copies.command("move", epilog=example("martenstep copies move counter-3 --to d002 --admin 127.0.0.1:9080"))
@click.argument("group")
@click.option("--to", required=True, help="Name of the gateway that becomes the leader.")
@ADMIN
def move(group: str, to: str, admin: str) -> None:
    """Transfer the leadership of GROUP to another gateway.  The gateway at --admin must be its leader."""
    send_request(admin, "POST", "/copies/move?" + urlencode({"group": group, "to": to}))
    click.echo(f"{group}: leadership is transferred to {to}")


@copies.command("verify", epilog=example("martenstep copies verify /var/lib/martenstep/copies"))
@click.argument("directory", type=click.Path(path_type=Path, file_okay=False, exists=True), nargs=-1, required=True)
def verify(directory: tuple[Path, ...]) -> None:
    """Compare the stored replicas of gateways that are stopped.

    Exits with 1 if a replica is damaged or two replicas of the same group differ.
    """
    from martenstep.replication.verify import find_differences, read_folder
    from martenstep.storage.files import LockedError

    try:
        found = [one for each in directory for one in read_folder(each)]
    except (LockedError, OSError) as error:
        exit_with_error(str(error))
    for one in found:
        click.echo(
            f"{one.folder}: " + (one.error or f"copy {one.replica}, term {one.state.term}, entries to {one.last_index}")
        )
    differences = find_differences(found)
    for line in differences:
        click.echo(line)
    if differences or any(one.error for one in found):
        sys.exit(1)
