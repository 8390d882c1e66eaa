"""Selects the releases of hooks in service for each customer, and rolls back unhealthy ones.  No I/O, no clock.

The newest full release is in service for all customers except those of a newer canary release.  A hash of the customer
alone decides whether a customer that the release does not list belongs to a canary, so that all gateways agree without
messages, and a wider canary includes these customers of a narrower one.

A release that fails or costs too much is rolled back at this gateway: a canary when the circuit breaker of one hook
opens, a full release when that happens MAX_OPENINGS times in a row, and either when its share of failures or its mean
steps exceed a limit.  It stays rolled back; a release of a higher version replaces it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from martenstep.event_log import EventLog
from martenstep.hooks.release import Release
from martenstep.hooks.run_context import never_overdue
from martenstep.hooks.runner import HealthLimits, Runner, RunnerContext


class SelectedReleases(NamedTuple):
    """The full release and the canary that should be in service."""

    full: Release | None
    canary: Release | None


def select_releases(releases: Iterable[Release], rolled_back: Collection[int]) -> SelectedReleases:
    """The releases that should be in service, without the versions in `rolled_back`."""
    candidates = sorted(
        (release for release in releases if release.version not in rolled_back), key=lambda release: release.version
    )
    full = next((release for release in reversed(candidates) if not release.is_canary), None)
    newest = candidates[-1] if candidates else None
    return SelectedReleases(full, newest if newest is not None and newest.is_canary else None)


@dataclass(frozen=True, slots=True)
class ActiveReleases:
    """The runners in service at one moment; a request keeps the object that it began with."""

    full: Runner | None = None
    canary: Runner | None = None

    def runner(self, customer: str) -> Runner | None:
        """The runner of the release that is in service for a customer."""
        canary = self.canary
        return canary if canary is not None and canary.release.includes(customer) else self.full


class ReleaseManager:
    """The releases of one gateway, and the runners of those in service."""

    def __init__(
        self,
        limits: HealthLimits,
        log_event: EventLog,
        *,
        rolled_back: Iterable[int] = (),
        begin_deadline: Callable[[], Callable[[], bool]] = lambda: never_overdue,
    ) -> None:
        """`rolled_back` has the versions rolled back before; `begin_deadline` starts the deadline of a run."""
        self._limits = limits
        self._log_event = log_event
        self._known: dict[int, Release] = {}
        self._runners: dict[int, Runner] = {}
        self.rolled_back = set(rolled_back)
        self.active = ActiveReleases()
        self.counts: Counter[str] = Counter()  # of all releases
        self._runner_context = RunnerContext(log_event, self.counts, begin_deadline, self._roll_back)

    @property
    def active_versions(self) -> dict[str, int]:
        """The versions in service under their names in metrics and log lines; 0 where none is in service."""
        full, canary = self.active.full, self.active.canary
        return {
            "whole": full.release.version if full else 0,
            "trial": canary.release.version if canary else 0,
        }

    def set_limits(self, limits: HealthLimits) -> None:
        """Replace the limits, also for the releases in service."""
        self._limits = limits
        for runner in self._runners.values():
            runner.limits = limits

    def replace_releases(self, releases: Sequence[Release]) -> None:
        """Replace the known releases; a version that was known before keeps the contents that it had."""
        found: dict[int, Release] = {}
        for release in releases:
            known = self._known.get(release.version)
            if known is not None and known.digest != release.digest:
                self._log_event("hooks changed under a known version", {"version": release.version})
                found[release.version] = known
            else:
                found[release.version] = release
        self._known = found
        self._activate("loaded")

    def _activate(self, cause: str) -> None:
        """Put the selected releases into service, and log a change."""
        full, canary = select_releases(self._known.values(), self.rolled_back)
        selected = [release for release in (full, canary) if release is not None]
        self._runners = {release.version: self._runner_of(release) for release in selected}
        active = ActiveReleases(
            self._runners[full.version] if full else None, self._runners[canary.version] if canary else None
        )
        if active != self.active:
            self.active = active
            share = canary.share if canary else 0.0
            self._log_event("hooks", {"why": cause, "share": share, **self.active_versions})

    def _runner_of(self, release: Release) -> Runner:
        known = self._runners.get(release.version)
        return known if known is not None else Runner(release, self._limits, self._runner_context)

    def _roll_back(self, release: Release, reason: str) -> None:
        """Take an unhealthy release out of service, and put the previous one into service."""
        if release.version in self.rolled_back:
            return
        self.rolled_back.add(release.version)
        self.counts["withdrawn"] += 1
        self._log_event("hooks withdrawn", {"version": release.version, "reason": reason})
        self._activate("withdrawn")
