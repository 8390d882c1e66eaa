"""Offline tools for a log: verify, rebuild, history, export, totals, and a repair that a person must request."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from martenstep.counter.commit_pipeline import rebuild_state
from martenstep.counter.log_entries import (
    ENTRY_ATTEMPT,
    ENTRY_GATEWAY,
    AttemptEntry,
    decode_attempt,
    decode_gateway,
)
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.storage.files import Disk
from martenstep.storage.log import HEADER, LogError, open_log, read_snapshot, scan, segments, snapshots


@dataclass(frozen=True, slots=True)
class LogSummary:
    """The content of a log that was read completely."""

    segments: int
    snapshots: int
    records: int
    torn_bytes: int  # the size of the torn tail that a start would remove


def verify(directory: Path) -> LogSummary:
    """Read all segments and snapshots, including old ones; raises LogError at the first damage."""
    with Disk(directory) as disk:
        found = segments(disk)
        records = 0
        torn_bytes = 0
        for position, segment in enumerate(found):
            is_last = position == len(found) - 1
            read = scan(disk, segment, is_last)
            records += len(read.entries)
            torn_bytes += len(disk.read(segment.name)) - read.end if read.torn else 0
            if not is_last and found[position + 1].first != segment.first + len(read.entries):
                raise LogError(segment.name, read.end, f"the next segment begins at {found[position + 1].first}")
        stored_snapshots = snapshots(disk)
        for name, _ in stored_snapshots:
            read_snapshot(disk, name)
        open_log(disk)
        return LogSummary(len(found), len(stored_snapshots), records, torn_bytes)


def repair(directory: Path, file: str, offset: int) -> int:
    """Truncate a segment at an offset, and remove all later segments; returns the number of bytes lost.

    Only a person may request this, because the removed records may have been acknowledged.  Raises LogError.
    """
    with Disk(directory) as disk:
        found = segments(disk)
        names = [segment.name for segment in found]
        if file not in names:
            raise LogError(file, offset, f"no such segment, expected one of {', '.join(names)}")
        size = len(disk.read(file))
        if not HEADER.size <= offset <= size:
            raise LogError(file, offset, f"expected an offset from {HEADER.size} to {size}")
        lost_bytes = size - offset
        position = names.index(file)
        for later in found[position + 1 :]:
            lost_bytes += len(disk.read(later.name))
            disk.remove(later.name)
        disk.append(file, offset).close()
        remaining = found[position].first + len(scan(disk, found[position], True).entries)
        for name, records in snapshots(disk):
            if records > remaining:  # the snapshot covers records that are removed
                disk.remove(name)
        return lost_bytes


def rebuild_from_log(directory: Path, limits: CounterLimits) -> CounterState:
    """Rebuild the state from the log; raises LogError."""
    with Disk(directory) as disk:
        return rebuild_state(open_log(disk), limits)


def iterate_attempts(
    directory: Path, customer: str | None = None, since_ms: float = float("-inf"), until_ms: float = float("inf")
) -> Iterator[tuple[str, AttemptEntry]]:
    """Yield each retained attempt once, with its gateway's name, in the log's order and including old segments."""
    gateways: dict[int, str] = {}
    with Disk(directory) as disk:
        found = segments(disk)
        for position, segment in enumerate(found):
            for entry in scan(disk, segment, position == len(found) - 1).entries:
                if entry[0] == ENTRY_GATEWAY:
                    gateway = decode_gateway(entry)
                    gateways[gateway.number] = gateway.name
                elif entry[0] == ENTRY_ATTEMPT:
                    attempt = decode_attempt(entry)
                    wanted = customer in (None, attempt.customer) and since_ms <= attempt.time_ms < until_ms
                    if wanted and not attempt.duplicate:
                        number = attempt.gateway_number
                        yield gateways.get(number, f"door number {number}"), attempt
