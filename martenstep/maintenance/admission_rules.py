"""Who may go, and who goes next: pure, and the same at every copy of the book.

A request waits for the first of these that holds; each is told in words to who asks why:

1. it is paused, or its plan is;
2. the fleet is short (machines down, refusals, copies being filled, a cut in sight), or one is not back in time;
3. as many are out as may be: in all, in its zone, or by capacity.  Out are those that were granted or started, and
   those that are not healthy by themselves;
4. a copy of a group that it holds too is out, or that group is not whole;
5. by zone: another zone is not done yet;
6. it leads the book and others wait (by zone: of its zone): it goes last.

Order: urgent ones, then by the time before which they must be done, then by age.  One that cannot go is passed by those
that can.  Once it has waited for `starve_ms`, nobody passes it while it waits for machines that are out by grant; for
its zone, its place at the end, or a group that is not whole, it would wait for ever if the others waited for it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from martenstep.maintenance.queue import Book, Request

BY_GRANT = ("granted", "out", "coming")


def granted(book: Book) -> set[str]:
    """Machines that are out by grant, or may go at any moment."""
    return {held.machine for held in book.requests.values() if held.state in BY_GRANT}


def out(book: Book) -> set[str]:
    """Machines that are out, or may go at any moment, by grant or by themselves."""
    return granted(book) | {one.name for one in book.sight.machines if not one.healthy}


def overdue(book: Book) -> list[str]:
    """Requests whose machine is not back in time."""
    return [held.id for held in book.requests.values() if held.state in ("out", "coming") and book.now > held.due]


def against(book: Book, held: Request) -> str:
    """What speaks against a machine's going, the limits alone and what is out beside it; empty where nothing does."""
    machine, limits = held.machine, book.limits
    seen = {one.name: one for one in book.sight.machines}
    if machine not in seen:
        return f"{machine} is not seen"
    others = out(book) - {machine}
    mine = seen[machine]
    if len(others) + 1 > limits.most_out:
        return f"{limits.most_out} may be out, and {_names(others)} are" if others else "no machine may be out"
    beside = {name for name in others if name in seen and seen[name].zone == mine.zone}
    if len(beside) + 1 > limits.most_out_zone:
        return f"{limits.most_out_zone} may be out in zone {mine.zone or '-'}, and {_names(beside)} are"
    total = sum(one.capacity for one in seen.values())
    going = mine.capacity + sum(seen[name].capacity for name in others if name in seen)
    if total and going > limits.most_share * total:
        return f"{limits.most_share:.0%} of the capacity may be out, this would be {going / total:.0%}"
    for group in book.sight.groups:
        if machine in group.machines:
            beside = others & set(group.machines)
            if beside:
                return f"{_names(beside)} of {group.name} are out, a copy of which it holds"
            if not group.whole and mine.healthy:
                return f"{group.name}, a copy of which it holds, is not whole"
    return ""


def waits_for(book: Book, held: Request) -> str:
    """Why a waiting request is not granted; empty where it may be, but for its place in the order."""
    if book.paused is not None:
        return f"paused: {book.paused}"
    if held.plan in book.plans:
        return f"plan {held.plan} stands: {book.plans[held.plan]}"
    if book.sight.short:
        return f"the fleet is short: {', '.join(book.sight.short)}"
    late = overdue(book)
    if late and book.limits.overdue_holds:
        return f"not back in time: {', '.join(late)}"
    told = against(book, held)
    if told:
        return told
    zones = {one.name: one.zone for one in book.sight.machines}
    if book.limits.by_zone:
        begun = zone_under_way(book, zones)
        if begun is not None and zones[held.machine] != begun:
            return f"zone {begun or '-'} is not done"
    leads = {one.name for one in book.sight.machines if one.leads}
    others = [
        other
        for other in book.requests.values()
        if other.state == "waiting"
        and other.machine not in leads
        # Danger: of all zones, the others would wait for its zone, and it for them.
        and (not book.limits.by_zone or zones.get(other.machine) == zones[held.machine])
    ]
    if held.machine in leads and others:
        return "it leads the book, and goes last"
    return ""


def order(book: Book) -> list[Request]:
    """Those that wait, the first first."""

    def key(held: Request) -> tuple[bool, float, int]:
        return not held.urgent, held.before or math.inf, held.number

    return sorted((held for held in book.requests.values() if held.state == "waiting"), key=key)


def zone_under_way(book: Book, zones: dict[str, str]) -> str | None:
    """Of the last one that was granted, as long as any of that zone is out or waits; None where no zone is."""
    last = max((held for held in book.requests.values() if held.token), key=lambda held: held.token, default=None)
    zone = zones.get(last.machine) if last is not None else None
    busy = {zones.get(held.machine) for held in book.requests.values() if held.state != "ended"}
    return zone if zone in busy else None


def next_up(book: Book) -> Request | None:
    """Who is granted now; None where nobody may go."""
    for held in order(book):
        if not waits_for(book, held):
            return held
        if book.now - held.asked > book.limits.starve_ms and against(book, held) and granted(book):
            return None  # it has waited too long to be passed, and what it waits for comes to an end
    return None


def _names(machines: set[str]) -> str:
    return ", ".join(sorted(machines))
