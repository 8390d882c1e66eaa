"""`martenstep maintenance`: takes machines out of service in an order that the gateways agree on.

Each command talks to the admin listener of one gateway, which may be any of them.
"""

from __future__ import annotations

import re
import sys
import time
from urllib.parse import quote

import click
import msgspec

from martenstep.cli.admin_client import exit_with_error, send_request
from martenstep.cli.common import align_columns, example
from martenstep.maintenance.commands import (
    AbandonRequest,
    CancelRequest,
    Command,
    CommandResult,
    ExtendMaintenance,
    FinishMaintenance,
    SetLimits,
    SetPaused,
    SubmitRequest,
)
from martenstep.maintenance.model import MaintenanceLimits, RequestState
from martenstep.maintenance.protocol import QueueView

ADMIN = click.option("--admin", required=True, help="HOST:PORT of any gateway's admin listener.")
MS_PER_UNIT = {"s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
COLUMNS = ("id", "machine", "state", "token", "for", "plan", "reason", "waits for / end")


class Duration(click.ParamType[float]):
    """A duration such as 90s, 20m or 2h, converted to milliseconds."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Convert a duration; raises click.BadParameter."""
        found = re.fullmatch(r"(\d+(?:\.\d+)?)([smh])", str(value))
        if found is None:
            self.fail(f"expected a duration such as 90s, 20m or 2h, got {value!r}", param, ctx)
        return float(found[1]) * MS_PER_UNIT[found[2]]


def submit(admin: str, what: Command) -> CommandResult:
    """Submit a command to the queue; exits with 1 if it is refused."""
    decoded = send_request(admin, "POST", "/maintenance?what=" + quote(msgspec.json.encode(what)))
    answer = msgspec.convert(decoded, CommandResult)
    if not answer.ok:
        exit_with_error(answer.message)
    return answer


def fetch_queue(admin: str) -> QueueView:
    """Fetch the leader's view of the queue."""
    return msgspec.convert(send_request(admin, "GET", "/maintenance"), QueueView)


def _token(view: QueueView, request: str) -> int:
    held = next((one for one in view.requests if one.request_id == request), None)
    if held is None:
        exit_with_error(f"no request {request}")
    return held.token


def format_table(view: QueueView, ended: bool) -> str:
    """Format the queue as a table for operators."""
    rows = [COLUMNS]
    position = {request: number for number, request in enumerate(view.waiting_order)}
    held = [one for one in view.requests if ended or one.state is not RequestState.ENDED]
    for one in sorted(
        held, key=lambda one: (one.state is RequestState.WAITING, position.get(one.request_id, -1), one.number)
    ):
        rows.append(
            (
                one.request_id,
                one.machine,
                one.state.value,
                str(one.token or "-"),
                f"{one.duration_ms / 60_000:g}m",
                one.plan or "-",
                one.reason or "-",
                one.outcome or view.waiting_reasons.get(one.request_id, "-"),
            )
        )
    limits = view.limits
    head = (
        f"{view.leader} leads the book; {limits.max_out} may be out, {limits.max_out_per_zone} in a zone, "
        f"{limits.max_capacity_share:.0%} of the capacity" + (", zone by zone" if limits.zone_by_zone else "")
    )
    notes = [f"paused: {view.paused}"] if view.paused is not None else []
    notes += [f"plan {plan} stands: {why}" for plan, why in sorted(view.paused_plans.items())]
    unhealthy = [one.name for one in view.machines if not one.healthy]
    notes += [f"not healthy: {', '.join(unhealthy)}"] if unhealthy else []
    return "\n".join(
        [
            head,
            *notes,
            *align_columns(rows),
        ]
    )


@click.group()
def maintenance() -> None:
    """The queue of machines that are taken out of service for maintenance, on which the gateways agree."""


@maintenance.command(
    "ask", epilog=example("martenstep maintenance ask --machine d004 --for 20m --reason kernel --admin 127.0.0.1:9080")
)
@click.option("--machine", multiple=True, help="Name of a gateway; may be given several times.")
@click.option("--all", "every", is_flag=True, help="All gateways, as one plan.")
@click.option("--zone", help="With --all: only the gateways of this zone.")
@click.option(
    "--for", "for_ms", type=Duration(), required=True, help="How long a machine will be out of service, such as 20m."
)
@click.option("--reason", default="")
@click.option("--before", type=float, default=0.0, help="Unix time in ms before which the work must be done.")
@click.option(
    "--urgent", is_flag=True, help="Goes before all requests that are not urgent; for example for a failing disk."
)
@click.option(
    "--id",
    "given",
    help="Id of the request, so that a repeated command adds no second one; with several machines, name of the plan.",
)
@ADMIN
def ask(
    machine: tuple[str, ...],
    every: bool,
    zone: str | None,
    for_ms: float,
    reason: str,
    before: float,
    urgent: bool,
    given: str | None,
    admin: str,
) -> None:
    """Request that machines be taken out of service.  If only part of a plan was submitted, repeat the command."""
    if bool(machine) == every:
        raise click.UsageError("expected either --machine or --all")
    names = list(machine) or [one.name for one in fetch_queue(admin).machines if zone in (None, one.zone)]
    base = given or f"{'roll' if len(names) != 1 else names[0]}-{int(time.time())}"
    several = len(names) != 1
    for name in names:
        answer = submit(
            admin,
            SubmitRequest(
                f"{base}-{name}" if several else base, name, for_ms, reason, urgent, before, base if several else ""
            ),
        )
        if answer.request is not None:
            click.echo(f"{answer.request.request_id}: {answer.request.state.value}")


@maintenance.command("list", epilog=example("martenstep maintenance list --admin 127.0.0.1:9080"))
@click.option("--ended", is_flag=True, help="Include requests that have ended.")
@click.option("--json", "as_json", is_flag=True)
@ADMIN
def list_(ended: bool, as_json: bool, admin: str) -> None:
    """Print the queue: machines that are out, the next machines, and what each request waits for."""
    view = fetch_queue(admin)
    click.echo(msgspec.json.encode(view) if as_json else format_table(view, ended))


@maintenance.command("show", epilog=example("martenstep maintenance show kernel-d004 --admin 127.0.0.1:9080"))
@click.argument("request")
@ADMIN
def show(request: str, admin: str) -> None:
    """Print one request and what it waits for."""
    view = fetch_queue(admin)
    held = next((one for one in view.requests if one.request_id == request), None)
    if held is None:
        exit_with_error(f"no request {request}")
    shown = {**msgspec.to_builtins(held), "waits_for": view.waiting_reasons.get(request, "")}
    click.echo(msgspec.json.format(msgspec.json.encode(shown)))


@maintenance.command("ready", epilog=example("martenstep maintenance ready d004 --admin 127.0.0.1:9080"))
@click.argument("machine")
@ADMIN
def ready(machine: str, admin: str) -> None:
    """Check whether work on MACHINE may begin: the queue has taken it out of service, and it has left.

    Exits with 0 if so, otherwise prints the reason and exits with 1.
    """
    view = fetch_queue(admin)
    held = next((one for one in view.requests if one.machine == machine and one.state is not RequestState.ENDED), None)
    if held is None or held.state is not RequestState.OUT:
        exit_with_error(f"{machine} is not out: " + (held.state.value if held is not None else "no request"))
    if any(one.name == machine and one.healthy for one in view.machines):
        exit_with_error(f"{machine} is on its way out")
    click.echo(f"{machine} may be touched, by {held.request_id}, token {held.token}")


@maintenance.command("cancel", epilog=example("martenstep maintenance cancel kernel-d004 --admin 127.0.0.1:9080"))
@click.argument("request")
@ADMIN
def cancel(request: str, admin: str) -> None:
    """Cancel a request that has not started."""
    submit(admin, CancelRequest(request))


@maintenance.command("done", epilog=example("martenstep maintenance done kernel-d004 --admin 127.0.0.1:9080"))
@click.argument("request")
@click.option("--failed", "why", help="The work failed, for this reason; the rest of its plan is paused.")
@ADMIN
def done(request: str, why: str | None, admin: str) -> None:
    """Report that the work is done.  A gateway that is started again reports this automatically."""
    submit(admin, FinishMaintenance(request, _token(fetch_queue(admin), request), why is None, why or ""))


@maintenance.command(
    "extend", epilog=example("martenstep maintenance extend kernel-d004 --for 30m --admin 127.0.0.1:9080")
)
@click.argument("request")
@click.option("--for", "for_ms", type=Duration(), required=True, help="New duration, counted from now.")
@ADMIN
def extend(request: str, for_ms: float, admin: str) -> None:
    """Extend the time that a machine may stay out of service."""
    submit(admin, ExtendMaintenance(request, _token(fetch_queue(admin), request), for_ms))


@maintenance.command("give-up", epilog=example("martenstep maintenance give-up kernel-d004 --admin 127.0.0.1:9080"))
@click.argument("request")
@ADMIN
def give_up(request: str, admin: str) -> None:
    """End a request whose machine will not return to service."""
    submit(admin, AbandonRequest(request))


@maintenance.command("pause", epilog=example("martenstep maintenance pause --why night --admin 127.0.0.1:9080"))
@click.option("--plan", default="")
@click.option("--why", default="")
@ADMIN
def pause(plan: str, why: str, admin: str) -> None:
    """Stop granting requests, of all machines or of one plan; machines that are out stay out."""
    submit(admin, SetPaused(True, why, plan))


@maintenance.command("resume", epilog=example("martenstep maintenance resume --admin 127.0.0.1:9080"))
@click.option("--plan", default="")
@ADMIN
def resume(plan: str, admin: str) -> None:
    """Resume granting requests, of all machines or of one plan."""
    submit(admin, SetPaused(False, "", plan))


@maintenance.command("limits", epilog=example("martenstep maintenance limits --most-out 2 --admin 127.0.0.1:9080"))
@click.option("--most-out", "max_out", type=click.IntRange(min=0))
@click.option("--most-out-zone", "max_out_per_zone", type=click.IntRange(min=0))
@click.option("--most-share", "max_capacity_share", type=click.FloatRange(0, 1))
@click.option("--by-zone/--spread", "zone_by_zone", default=None)
@click.option("--overdue-holds/--overdue-goes-on", "overdue_blocks", default=None)
@click.option("--lease", "lease_ms", type=Duration())
@click.option("--grace", "grace_ms", type=Duration())
@click.option("--starve", "starvation_ms", type=Duration())
@ADMIN
def limits(admin: str, **given: object) -> None:
    """Change limits; those that are not given keep their values."""
    held: MaintenanceLimits = fetch_queue(admin).limits
    submit(
        admin,
        SetLimits(msgspec.structs.replace(held, **{name: value for name, value in given.items() if value is not None})),
    )


@maintenance.command("watch", epilog=example("martenstep maintenance watch --admin 127.0.0.1:9080"))
@click.option(
    "--times",
    type=click.IntRange(min=0),
    default=0,
    help="Number of tables to print before exiting; 0 means until interrupted.",
)
@ADMIN
def watch(times: int, admin: str) -> None:
    """Print the queue now and after each change."""
    before, printed = "", 0
    while not times or printed < times:
        now = format_table(fetch_queue(admin), False)
        if now != before:
            click.echo(now + "\n")
            sys.stdout.flush()
            before, printed = now, printed + 1
        time.sleep(0.5)
