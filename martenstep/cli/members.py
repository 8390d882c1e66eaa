"""`martenstep members`: one gateway's view of the membership, read from its admin listener."""

from __future__ import annotations

from typing import Any

import click
import msgspec

from martenstep.cli.admin_client import send_request
from martenstep.cli.common import align_columns, example

LONG_POLL_MS = 20_000  # how long the gateway holds a request of `watch` until its view changes
COLUMNS = ("name", "state", "zone", "address", "incarnation", "for_s", "says", "by")


def format_table(view: dict[str, Any]) -> str:
    """Format a view of the membership as a table."""
    rows = [COLUMNS]
    for one in view["members"]:
        says = " ".join(word for word in ("deaf", "unheard") if one[word])
        rows.append(
            (
                one["name"],
                one["state"],
                one["zone"],
                f"{one['host']}:{one['port']}",
                str(one["incarnation"]),
                f"{one['since_ms'] / 1000:.0f}",
                says or "-",
                one["by"] or "-",
            )
        )
    lines = align_columns(rows)
    own = [word for word in ("deaf", "unheard") if view.get(word)]
    head = f"{view.get('me', '')} is {view['stage']}" + (f", and {' and '.join(own)}" if own else "")
    present = sum(one["state"] in ("alive", "suspect") for one in view["members"])
    return "\n".join([f"{head}; {present} of {len(view['members'])} present, version {view.get('version', 0)}", *lines])


@click.group()
def members() -> None:
    """One gateway's view of the membership."""


ADMIN = click.option("--admin", required=True, help="HOST:PORT of the gateway's admin listener.")


@members.command("show", epilog=example("martenstep members show --admin 127.0.0.1:9080"))
@ADMIN
@click.option("--json", "as_json", is_flag=True, help="Print the whole view as JSON.")
def show(admin: str, as_json: bool) -> None:
    """Print the view once."""
    view = send_request(admin, "GET", "/members")
    click.echo(msgspec.json.encode(view) if as_json else format_table(view))


@members.command("watch", epilog=example("martenstep members watch --admin 127.0.0.1:9080 --times 10"))
@ADMIN
@click.option(
    "--times",
    type=click.IntRange(min=0),
    default=0,
    help="Number of views to print before exiting; 0 means until interrupted.",
)
def watch(admin: str, times: int) -> None:
    """Print the view now and after each change."""
    version, printed = -1, 0
    while not times or printed < times:
        view = send_request(admin, "GET", f"/members?after={version}&wait_ms={LONG_POLL_MS}")
        if view.get("version", 0) != version:
            version = view.get("version", 0)
            click.echo(format_table(view) + "\n")
            printed += 1


@members.command("leave", epilog=example("martenstep members leave --admin 127.0.0.1:9080"))
@ADMIN
def leave(admin: str) -> None:
    """Make the gateway leave the cluster; it continues to serve clients."""
    view = send_request(admin, "POST", "/members/leave")
    click.echo(f"{view['me']} is {view['stage']}")
