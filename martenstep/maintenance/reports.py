"""The reports that the queue's leader receives, and the observation that it builds from them.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from martenstep.maintenance.model import Machine, Observation
from martenstep.maintenance.protocol import MachineReport

MAX_REPORT_AGE_MS = 4000.0  # older reports are ignored


class _Received(NamedTuple):
    at_ms: float
    report: MachineReport


class MachineReports:
    """The latest report of each machine, by the leader's monotonic clock (ms)."""

    def __init__(self) -> None:
        """Start without any report."""
        self._received: dict[str, _Received] = {}

    def add(self, now: float, report: MachineReport) -> None:
        """Record a machine's report."""
        self._received[report.machine] = _Received(now, report)

    def drop_outdated(self, now: float) -> None:
        """Drop reports older than MAX_REPORT_AGE_MS."""
        self._received = {
            machine: received
            for machine, received in self._received.items()
            if received.at_ms > now - MAX_REPORT_AGE_MS
        }

    def observe(
        self, now: float, leader: str, previous: Observation, members: Iterable[tuple[str, str]]
    ) -> Observation:
        """Build the leader's observation; a machine without a recent report is not healthy.

        `members` are the names and zones of all machines in the membership's table.
        """
        recent = {
            machine: received.report
            for machine, received in self._received.items()
            if received.at_ms > now - MAX_REPORT_AGE_MS
        }
        zones = previous.zones() | dict(members)
        zones |= {machine: report.zone for machine, report in recent.items()}
        known = previous.by_name()
        machines = tuple(
            _observe_machine(name, zones[name], recent.get(name), known.get(name), leader) for name in sorted(zones)
        )
        groups = {group.name: group for report in recent.values() for group in report.groups}
        for group in previous.groups:
            # No recent report comes from a leader of this group, so it cannot be shown to be complete.
            groups.setdefault(group.name, msgspec.structs.replace(group, complete=False))
        return Observation(machines, tuple(groups[name] for name in sorted(groups)))


def _observe_machine(name: str, zone: str, report: MachineReport | None, known: Machine | None, leader: str) -> Machine:
    if report is not None:
        return Machine(name, zone, report.capacity, report.ready, name == leader)
    capacity = known.capacity if known is not None else 1.0
    return Machine(name, zone, capacity, False, name == leader)
