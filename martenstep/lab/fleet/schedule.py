"""Loads a schedule, tells all that is wrong with it, and turns it into steps on a time line."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from fnmatch import fnmatchcase
from pathlib import Path

from martenstep.config.checker import SettingsChecker
from martenstep.config.loading import parse_checked, read_text
from martenstep.config.text_format import FieldPosition
from martenstep.lab.fleet import fleet_pb2 as pb

MOST_MEMBERS = 400
LONGEST_MS = 4 * 3_600_000.0
WIRE = (pb.CUT, pb.LOSS, pb.DELAY, pb.DUPLICATE, pb.REORDER, pb.CORRUPT, pb.STALL, pb.BANDWIDTH, pb.REPLAY)
SHARES = (pb.LOSS, pb.DUPLICATE, pb.REORDER, pb.CORRUPT, pb.REPLAY)
WITH_MS = (pb.DELAY, pb.REORDER, pb.REPLAY, pb.LATE, pb.SYNC_SLOW)
DISK = (pb.DISK_FULL, pb.SYNC_FAILS, pb.SYNC_SLOW)
WITH_END = (pb.PAUSE, pb.TWIN, pb.SQUAT)


def member_name(number: int) -> str:
    """Members by number."""
    return f"d{number:03d}"


def zone_name(number: int) -> str:
    """Zones by number."""
    return f"zone-{chr(ord('a') + number % 26)}"


@dataclass(frozen=True, slots=True)
class Member:
    """One door of a schedule."""

    name: str
    zone: str


def members_of(schedule: pb.Schedule) -> list[Member]:
    """All of them; neighbours by number are in different zones."""
    return [Member(member_name(number), zone_name(number % schedule.zones)) for number in range(schedule.members)]


def fitting(patterns: str, members: Iterable[Member]) -> list[str]:
    """The names that fit, by name or by zone."""
    each = [pattern.strip() for pattern in patterns.split(",")]
    return [
        member.name
        for member in members
        if any(fnmatchcase(member.name, one) or fnmatchcase(member.zone, one) for one in each)
    ]


def _check_break(check: SettingsChecker, entry: pb.Break, node: FieldPosition, schedule: pb.Schedule) -> None:
    what, members = entry.what, members_of(schedule)
    if what == pb.NONE:
        check.report(node.at("what"), "missing")
        return
    check.require_range(entry, node, "at_ms", 0, schedule.length_ms)
    check.require_range(entry, node, "for_ms", 0, LONGEST_MS)
    check.require_range(entry, node, "share", 0, 1)
    check.require_range(entry, node, "ms", 0, LONGEST_MS)
    check.require_range(entry, node, "jitter_ms", 0, 60_000)
    check.require_range(entry, node, "every_ms", 0, LONGEST_MS)
    check.require_range(entry, node, "within_ms", 0, LONGEST_MS)
    check.require_range(entry, node, "per_s", 0, 10_000)
    if not 0 < entry.part <= 1:
        check.report(node.at("part"), f"expected above 0 and at most 1, got {entry.part:g}")
    if what in WIRE:
        for name in ("source", "sink"):
            if not fitting(getattr(entry, name), members):
                check.report(node.at(name), "fits no member and no zone")
        if entry.who:
            check.report(node.at("who"), "is of use only for what happens to members: see source and sink")
    elif what != pb.FORGE and not fitting(entry.who, members):
        check.report(node.at("who"), "fits no member and no zone")
    if what in SHARES and not entry.share:
        check.report(node.at("share"), "missing, expected above 0")
    if what in WITH_MS and not entry.ms:
        check.report(node.at("ms"), "missing")
    if what in WITH_END and not entry.for_ms:
        check.report(node.at("for_ms"), "missing, expected above 0")
    if what == pb.BANDWIDTH:
        check.require_positive(entry, node, "bytes_per_s")
    if what == pb.FORGE:
        check.require_positive(entry, node, "per_s")


def check_schedule(check: SettingsChecker, schedule: pb.Schedule, root: FieldPosition) -> None:
    """Tell all that is wrong."""
    check.require_present(schedule, root, "name")
    check.require_range(schedule, root, "members", 2, MOST_MEMBERS)
    check.require_range(schedule, root, "zones", 1, 26)
    check.require_range(schedule, root, "seeds", 1, max(schedule.members, 1))
    check.require_range(schedule, root, "length_ms", 1, LONGEST_MS)
    check.require_range(schedule, root, "settle_ms", 0, LONGEST_MS)
    check.require_range(schedule, root, "period_ms", 20, 60_000)
    check.require_range(schedule, root, "suspect_least_ms", 100, 600_000)
    check.require_range(schedule, root, "reclaim_ms", 1000, LONGEST_MS)
    for entry, node in zip(schedule.trouble, root.all("trouble"), strict=True):
        _check_break(check, entry, node, schedule)


def parse_schedule(text: str, file: str) -> pb.Schedule:
    """A schedule from its text; raises SettingsError."""
    return parse_checked(text, pb.Schedule(), file, check_schedule)


def load_schedule(path: Path) -> pb.Schedule:
    """A schedule from its file; raises SettingsError."""
    return parse_schedule(read_text(path), str(path))


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that begins or ends at a moment."""

    at_ms: float
    on: bool
    number: int  # of the break
    entry: pb.Break
    who: tuple[str, ...]  # of what happens to members


def steps_of(schedule: pb.Schedule, seed: int) -> list[Step]:
    """The time line, drawn from a seed; the same seed draws the same."""
    members, made = members_of(schedule), []
    end = schedule.length_ms
    for number, entry in enumerate(schedule.trouble):
        rng = random.Random(f"{seed} {number}")
        who = fitting(entry.who, members) if entry.who else []
        if entry.part < 1:
            who = sorted(rng.sample(who, max(1, round(entry.part * len(who)))))
        starts = [(entry.at_ms, tuple(who))]
        if entry.within_ms:
            starts = [(entry.at_ms + rng.uniform(0, entry.within_ms), (name,)) for name in who]
        for at_ms, those in starts:
            until = at_ms + entry.for_ms if entry.for_ms else (end if entry.what in WIRE + DISK else 0.0)
            if entry.every_ms:
                on, stop = at_ms, until or end
                while on < stop:
                    made.append(Step(on, True, number, entry, those))
                    made.append(Step(min(on + entry.every_ms / 2, stop), False, number, entry, those))
                    on += entry.every_ms
                continue
            made.append(Step(at_ms, True, number, entry, those))
            if until:
                made.append(Step(until, False, number, entry, those))
    return sorted(made, key=lambda step: (step.at_ms, step.on, step.number))
