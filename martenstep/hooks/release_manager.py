"""Which release of hooks acts for whom, and when one is taken back.

No I/O, no clock.

The newest whole release acts for all customers but those of the newest trial beyond it.  Who belongs to a trial is
told by a hash of the customer alone, so that all doors agree without a word between them, and a wider trial keeps the
customers of the narrower one.  A release that fails or costs too much is withdrawn at this door: a trial at the first
hook that has to be left alone, a whole one once a hook has failed at each of its trials in a row, and either by its
share of failures or its steps a run.  What was withdrawn stays so until a release of a higher version comes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass

from martenstep.event_log import EventLog
from martenstep.hooks.release import Release
from martenstep.hooks.runner import Limits, Runner
from martenstep.hooks.virtual_machine import NEVER


def choose(releases: Iterable[Release], withdrawn: Collection[int]) -> tuple[Release | None, Release | None]:
    """The whole release that acts, and the trial beside it."""
    left = sorted((one for one in releases if one.version not in withdrawn), key=lambda one: one.version)
    whole = next((one for one in reversed(left) if one.whole), None)
    newest = left[-1] if left else None
    return whole, newest if newest is not None and not newest.whole else None


@dataclass(frozen=True, slots=True)
class Edition:
    """What acts at one moment; a request keeps the one that it began with."""

    whole: Runner | None = None
    trial: Runner | None = None

    def runner(self, customer: str) -> Runner | None:
        """The release that acts for a customer."""
        trial = self.trial
        return trial if trial is not None and trial.release.holds(customer) else self.whole


EMPTY = Edition()


class Shelf:
    """The releases that one door knows."""

    def __init__(
        self,
        limits: Limits,
        log_event: EventLog,
        *,
        withdrawn: Iterable[int] = (),
        late: Callable[[], Callable[[], bool]] = lambda: NEVER,
    ) -> None:
        """`log_event` is told of each change, `late` asked for a backstop at the begin of each run."""
        self._limits, self._log_event, self._late = limits, log_event, late
        self._known: dict[int, Release] = {}
        self._runners: dict[int, Runner] = {}
        self.withdrawn = set(withdrawn)
        self.edition = EMPTY
        self.counts: Counter[str] = Counter()  # over all releases

    @property
    def acting(self) -> dict[str, int]:
        """The versions that act, for metrics; 0 where none does."""
        made = self.edition
        return {
            "whole": made.whole.release.version if made.whole else 0,
            "trial": made.trial.release.version if made.trial else 0,
        }

    def limit(self, limits: Limits) -> None:
        """Other bounds on what a release may fail and cost."""
        self._limits = limits
        for runner in self._runners.values():
            runner.limits = limits

    def stock(self, releases: Sequence[Release]) -> None:
        """Take up what there is now, at one stroke.  A version keeps the contents under which it is known."""
        found: dict[int, Release] = {}
        for release in releases:
            known = self._known.get(release.version)
            if known is not None and known.digest != release.digest:
                self._log_event("hooks changed under a known version", {"version": release.version})
                release = known
            found[release.version] = release
        self._known = found
        self._choose("loaded")

    def _choose(self, why: str) -> None:
        whole, trial = choose(self._known.values(), self.withdrawn)
        before = self.edition
        acting = [one for one in (whole, trial) if one is not None]
        self._runners = {one.version: self._runners.get(one.version) or self._runner(one) for one in acting}
        made = Edition(self._runners[whole.version] if whole else None, self._runners[trial.version] if trial else None)
        if made != before:
            self.edition = made
            self._log_event("hooks", {"why": why, "share": trial.share if trial else 0.0, **self.acting})

    def _runner(self, release: Release) -> Runner:
        return Runner(release, self._log_event, self._limits, counts=self.counts, late=self._late, bad=self._bad)

    def _bad(self, release: Release, reason: str) -> None:
        """A release has passed a bound: it goes, and what was before it acts again."""
        if release.version in self.withdrawn:
            return
        self.withdrawn.add(release.version)
        self.counts["withdrawn"] += 1
        self._log_event("hooks withdrawn", {"version": release.version, "reason": reason})
        self._choose("withdrawn")
