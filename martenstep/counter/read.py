"""Reads a log without serving it: verify, rebuild, history, export, totals, and a repair that must be asked for."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from martenstep.counter.files import Disk
from martenstep.counter.keeper import rebuild
from martenstep.counter.log import (
    HEADER,
    LogError,
    Opened,
    open_log,
    read_snapshot,
    scan,
    segments,
    snapshots,
)
from martenstep.counter.state import ENTRY_DOOR, ENTRY_TRY, Counter, Limits, TryEntry, read_door, read_try


@dataclass(frozen=True, slots=True)
class Verified:
    """What a log holds, all of it read."""

    segments: int
    snapshots: int
    records: int
    torn: int  # bytes that a start would cut


def verify(directory: Path) -> Verified:
    """Read everything, old segments too; raises LogError at the first damage."""
    disk = Disk(directory)
    try:
        found = segments(disk)
        records = torn = 0
        for index, segment in enumerate(found):
            read = scan(disk, segment, index == len(found) - 1)
            records += len(read.entries)
            torn += len(disk.read(segment.name)) - read.end if read.torn else 0
            if index + 1 < len(found) and found[index + 1].first != segment.first + len(read.entries):
                raise LogError(segment.name, read.end, f"the next segment begins at {found[index + 1].first}")
        kept = snapshots(disk)
        for name, _ in kept:
            read_snapshot(disk, name)
        open_log(disk)
        return Verified(len(found), len(kept), records, torn)
    finally:
        disk.close()


def repair(directory: Path, file: str, offset: int) -> int:
    """Cut a segment at an offset that a person gives, and remove what comes after it; gives the bytes lost.  Nothing
    calls this by itself: what is cut may have been acknowledged."""
    disk = Disk(directory)
    try:
        found = segments(disk)
        names = [segment.name for segment in found]
        if file not in names:
            raise LogError(file, offset, "there is no such segment")
        size = len(disk.read(file))
        if not HEADER.size <= offset <= size:
            raise LogError(file, offset, f"expected an offset from {HEADER.size} to {size}")
        lost = size - offset
        cut = found[names.index(file)]
        for later in found[names.index(file) + 1:]:
            lost += len(disk.read(later.name))
            disk.remove(later.name)
        disk.append(file, offset).close()
        reached = cut.first + len(scan(disk, cut, True).entries)
        for name, records in snapshots(disk):
            if records > reached:  # it knows of what is cut
                disk.remove(name)
        return lost
    finally:
        disk.close()


def opened(directory: Path, whole: bool) -> tuple[Disk, Opened]:
    """A log for reading; whole: every record that is kept, not only those after the snapshot."""
    disk = Disk(directory)
    try:
        if not whole:
            return disk, open_log(disk)
        found = segments(disk)

        def entries() -> Iterator[bytes]:
            for index, segment in enumerate(found):
                yield from scan(disk, segment, index == len(found) - 1).entries

        return disk, Opened(None, found[0].first if found else 0, entries(), 0, None, 0)
    except BaseException:
        disk.close()
        raise


def rebuilt(directory: Path, limits: Limits) -> Counter:
    """The state that the log tells; raises LogError."""
    disk, log = opened(directory, whole=False)
    try:
        return rebuild(log, limits)
    finally:
        disk.close()


def each_try(directory: Path, customer: str | None = None, since_ms: float = float("-inf"),
             until_ms: float = float("inf")) -> Iterator[tuple[str, TryEntry]]:
    """Every recorded try that is kept, in the order of the log, with its door's name: once each."""
    disk, log = opened(directory, whole=True)
    doors: dict[int, str] = {}
    try:
        for entry in log.entries:
            if entry[0] == ENTRY_DOOR:
                _, number, _, name = read_door(entry)
                doors[number] = name
            elif entry[0] == ENTRY_TRY:
                told = read_try(entry)
                if (not told.known and customer in (None, told.customer) and since_ms <= told.time_ms < until_ms):
                    yield doors.get(told.door, f"door number {told.door}"), told
    finally:
        disk.close()
