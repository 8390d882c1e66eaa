"""Loads a fault schedule, reports all its errors, and expands it into steps ordered by time."""

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

MAX_MEMBERS = 400
MAX_DURATION_MS = 4 * 3_600_000.0
LINK_FAULTS = (pb.CUT, pb.LOSS, pb.DELAY, pb.DUPLICATE, pb.REORDER, pb.CORRUPT, pb.STALL, pb.BANDWIDTH, pb.REPLAY)
FAULTS_WITH_SHARE = (pb.LOSS, pb.DUPLICATE, pb.REORDER, pb.CORRUPT, pb.REPLAY)
FAULTS_WITH_MS = (pb.DELAY, pb.REORDER, pb.REPLAY, pb.LATE, pb.SYNC_SLOW)
DISK_FAULTS = (pb.DISK_FULL, pb.SYNC_FAILS, pb.SYNC_SLOW)
FAULTS_WITH_DURATION = (pb.PAUSE, pb.TWIN, pb.SQUAT)


def member_name(number: int) -> str:
    """Return the name of the member with a number."""
    return f"d{number:03d}"


def zone_name(number: int) -> str:
    """Return the name of the zone with a number."""
    return f"zone-{chr(ord('a') + number % 26)}"


@dataclass(frozen=True, slots=True)
class Member:
    """One gateway of a schedule."""

    name: str
    zone: str


def members_of(schedule: pb.Schedule) -> list[Member]:
    """Return all members; zones are assigned in turn, so that consecutive members are in different zones."""
    return [Member(member_name(number), zone_name(number % schedule.zones)) for number in range(schedule.members)]


def matching_members(patterns: str, members: Iterable[Member]) -> list[str]:
    """Return the names of the members whose name or zone matches one of the comma-separated patterns."""
    each = [pattern.strip() for pattern in patterns.split(",")]
    return [
        member.name
        for member in members
        if any(fnmatchcase(member.name, one) or fnmatchcase(member.zone, one) for one in each)
    ]


def _check_fault(check: SettingsChecker, entry: pb.Break, node: FieldPosition, schedule: pb.Schedule) -> None:
    what, members = entry.what, members_of(schedule)
    if what == pb.NONE:
        check.report(node.at("what"), "missing")
        return
    check.require_range(entry, node, "at_ms", 0, schedule.length_ms)
    check.require_range(entry, node, "for_ms", 0, MAX_DURATION_MS)
    check.require_range(entry, node, "share", 0, 1)
    check.require_range(entry, node, "ms", 0, MAX_DURATION_MS)
    check.require_range(entry, node, "jitter_ms", 0, 60_000)
    check.require_range(entry, node, "every_ms", 0, MAX_DURATION_MS)
    check.require_range(entry, node, "within_ms", 0, MAX_DURATION_MS)
    check.require_range(entry, node, "per_s", 0, 10_000)
    if not 0 < entry.part <= 1:
        check.report(node.at("part"), f"expected above 0 and at most 1, got {entry.part:g}")
    if what in LINK_FAULTS:
        for name in ("source", "sink"):
            if not matching_members(getattr(entry, name), members):
                check.report(node.at(name), "matches no member and no zone")
        if entry.who:
            check.report(
                node.at("who"), "applies only to faults of members; a fault of links is selected by source and sink"
            )
    elif what != pb.FORGE and not matching_members(entry.who, members):
        check.report(node.at("who"), "matches no member and no zone")
    if what in FAULTS_WITH_SHARE and not entry.share:
        check.report(node.at("share"), "missing, expected above 0")
    if what in FAULTS_WITH_MS and not entry.ms:
        check.report(node.at("ms"), "missing")
    if what in FAULTS_WITH_DURATION and not entry.for_ms:
        check.report(node.at("for_ms"), "missing, expected above 0")
    if what == pb.BANDWIDTH:
        check.require_positive(entry, node, "bytes_per_s")
    if what == pb.FORGE:
        check.require_positive(entry, node, "per_s")


def check_schedule(check: SettingsChecker, schedule: pb.Schedule, root: FieldPosition) -> None:
    """Report every error in a schedule."""
    check.require_present(schedule, root, "name")
    check.require_range(schedule, root, "members", 2, MAX_MEMBERS)
    check.require_range(schedule, root, "zones", 1, 26)
    check.require_range(schedule, root, "seeds", 1, max(schedule.members, 1))
    check.require_range(schedule, root, "length_ms", 1, MAX_DURATION_MS)
    check.require_range(schedule, root, "settle_ms", 0, MAX_DURATION_MS)
    check.require_range(schedule, root, "period_ms", 20, 60_000)
    check.require_range(schedule, root, "suspect_least_ms", 100, 600_000)
    check.require_range(schedule, root, "reclaim_ms", 1000, MAX_DURATION_MS)
    for entry, node in zip(schedule.trouble, root.all("trouble"), strict=True):
        _check_fault(check, entry, node, schedule)


def parse_schedule(text: str, file: str) -> pb.Schedule:
    """Parse and check the text of a schedule; raises SettingsError."""
    return parse_checked(text, pb.Schedule(), file, check_schedule)


def load_schedule(path: Path) -> pb.Schedule:
    """Load and check a schedule file; raises SettingsError."""
    return parse_schedule(read_text(path), str(path))


@dataclass(frozen=True, slots=True)
class Step:
    """The begin or the end of one fault."""

    at_ms: float
    begins: bool  # False: the fault ends
    number: int  # of the fault in the schedule
    entry: pb.Break
    members: tuple[str, ...]  # that the fault affects; empty for a fault of links


def steps_of(schedule: pb.Schedule, seed: int) -> list[Step]:
    """Return all steps ordered by time; random choices depend only on the seed."""
    members, steps = members_of(schedule), []
    end = schedule.length_ms
    for number, entry in enumerate(schedule.trouble):
        rng = random.Random(f"{seed} {number}")
        who = matching_members(entry.who, members) if entry.who else []
        if entry.part < 1:
            who = sorted(rng.sample(who, max(1, round(entry.part * len(who)))))
        starts = [(entry.at_ms, tuple(who))]
        if entry.within_ms:
            starts = [(entry.at_ms + rng.uniform(0, entry.within_ms), (name,)) for name in who]
        for at_ms, names in starts:
            until = at_ms + entry.for_ms if entry.for_ms else (end if entry.what in LINK_FAULTS + DISK_FAULTS else 0.0)
            if entry.every_ms:
                begin_ms, stop = at_ms, until or end
                while begin_ms < stop:
                    steps.append(Step(begin_ms, True, number, entry, names))
                    steps.append(Step(min(begin_ms + entry.every_ms / 2, stop), False, number, entry, names))
                    begin_ms += entry.every_ms
                continue
            steps.append(Step(at_ms, True, number, entry, names))
            if until:
                steps.append(Step(until, False, number, entry, names))
    return sorted(steps, key=lambda step: (step.at_ms, step.begins, step.number))
