"""Reads a log without serving it: verify, rebuild, history, export, totals, and a repair that must be asked for."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from martenstep.counter.commit_pipeline import rebuild_state
from martenstep.counter.state import (
    ENTRY_ATTEMPT,
    ENTRY_GATEWAY,
    AttemptEntry,
    CounterLimits,
    CounterState,
    decode_attempt,
    decode_gateway,
)
from martenstep.storage.files import Disk
from martenstep.storage.log import HEADER, LogError, open_log, read_snapshot, scan, segments, snapshots


@dataclass(frozen=True, slots=True)
class LogSummary:
    """What a log holds, all of it read."""

    segments: int
    snapshots: int
    records: int
    torn_bytes: int  # bytes that a start would cut


def verify(directory: Path) -> LogSummary:
    """Read everything, old segments too; raises LogError at the first damage."""
    with Disk(directory) as disk:
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
        return LogSummary(len(found), len(kept), records, torn)


def repair(directory: Path, file: str, offset: int) -> int:
    """Cut a segment at an offset that a person gives, and remove what comes after it; gives the bytes lost.  Nothing
    calls this by itself: what is cut may have been acknowledged."""
    with Disk(directory) as disk:
        found = segments(disk)
        names = [segment.name for segment in found]
        if file not in names:
            raise LogError(file, offset, "there is no such segment")
        size = len(disk.read(file))
        if not HEADER.size <= offset <= size:
            raise LogError(file, offset, f"expected an offset from {HEADER.size} to {size}")
        lost = size - offset
        place = names.index(file)
        for later in found[place + 1 :]:
            lost += len(disk.read(later.name))
            disk.remove(later.name)
        disk.append(file, offset).close()
        reached = found[place].first + len(scan(disk, found[place], True).entries)
        for name, records in snapshots(disk):
            if records > reached:  # it knows of what is cut
                disk.remove(name)
        return lost


def rebuild_from_log(directory: Path, limits: CounterLimits) -> CounterState:
    """The state that the log tells; raises LogError."""
    with Disk(directory) as disk:
        return rebuild_state(open_log(disk), limits)


def iterate_attempts(
    directory: Path, customer: str | None = None, since_ms: float = float("-inf"), until_ms: float = float("inf")
) -> Iterator[tuple[str, AttemptEntry]]:
    """Every recorded try that is kept, old segments too, in the order of the log, with its door's name: once each."""
    doors: dict[int, str] = {}
    with Disk(directory) as disk:
        found = segments(disk)
        for index, segment in enumerate(found):
            for entry in scan(disk, segment, index == len(found) - 1).entries:
                if entry[0] == ENTRY_GATEWAY:
                    _, number, _, name = decode_gateway(entry)
                    doors[number] = name
                elif entry[0] == ENTRY_ATTEMPT:
                    told = decode_attempt(entry)
                    if not told.duplicate and customer in (None, told.customer) and since_ms <= told.time_ms < until_ms:
                        yield doors.get(told.gateway_number, f"door number {told.gateway_number}"), told
