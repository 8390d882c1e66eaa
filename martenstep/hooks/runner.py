"""Runs the hooks of one release at their points, and keeps what goes wrong in them from the requests.

No I/O, no clock.

A hook that fails in any way (its budget, its time, its values, the border) costs its request nothing but the default;
it is counted, told of within a bound, and left alone for a while once it has failed too often.  The release as a whole
is watched as well: see `Limits`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from martenstep.event_log import EventLog
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.result_validation import BorderError
from martenstep.hooks.virtual_machine import BYTES, NEVER, STEPS, Counters, HookError, Machine

FAILURES = 10  # within a window: the hook is left alone
WINDOW_MS = 10_000.0
ALONE_MS = 30_000.0  # then one run is its trial
NOTES = 3  # told of a hook within a window; the rest are counted
BREAKS = 3  # in a row, with no good run between: a whole release is bad.  A trial is at the first

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Limits:
    """What a release may fail and cost before it is bad, over all its hooks within a window."""

    failure_share: float = 0.05
    mean_steps: float = 400.0
    least_runs: int = 100  # fewer prove nothing
    window_ms: float = 60_000.0


@dataclass(slots=True)
class _Standing:
    """What is known of one hook."""

    hook: Hook
    machine: Machine
    function: int
    for_all: bool
    good: str  # under which its good runs are counted
    window: float = 0.0  # when the present one began
    failures: int = 0
    alone_until: float = 0.0
    trial: bool = False
    breaks: int = 0  # in a row


class Runner:
    """The hooks of one release; a request keeps the runner that it began with."""

    def __init__(
        self,
        release: Release,
        log_event: EventLog,
        limits: Limits | None = None,
        *,
        steps: int = STEPS,
        bytes_: int = BYTES,
        counts: Counter[str] | None = None,
        late: Callable[[], Callable[[], bool]] = lambda: NEVER,
        bad: Callable[[Release, str], None] = lambda release, reason: None,
    ) -> None:
        """`late` is asked for a backstop at the begin of each run; `bad` is told, once, that the release must go."""
        self.release = release
        self._at: dict[str, list[_Standing]] = {}
        for hook in release.hooks:
            self._at.setdefault(hook.point, []).append(
                _Standing(
                    hook,
                    Machine(hook.program, Counters(), fast=hook.fast),
                    hook.program.points[hook.point],
                    not hook.customers and not hook.plans,
                    f"{hook.point} good",
                )
            )
        self.limits = limits or Limits()
        self._log_event, self._steps, self._bytes = log_event, steps, bytes_
        self._late, self._told_bad = late, bad
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.steps_used = 0
        self._window = 0.0  # of the whole release
        self._runs = self._failures = self._window_steps = 0
        self._bad = False

    def has(self, point: str) -> bool:
        """Whether a hook stands at a point."""
        return point in self._at

    def call(
        self,
        now: float,
        point: str,
        customer: str,
        plan: str,
        given: Callable[[], tuple[Any, ...]],
        take: Callable[[Any], T],
        default: T,
    ) -> T:
        """What the hook at a point gives for a customer, taken in by the border; the default where there is none, or
        it fails."""
        for standing in self._at.get(point, ()):
            if standing.for_all or standing.hook.fits(customer, plan):
                break
        else:
            return default
        if standing.alone_until > now:
            self.counts[f"{point} left alone"] += 1
            return default
        if now - standing.window >= WINDOW_MS:
            standing.window, standing.failures = now, 0
        if now - self._window >= self.limits.window_ms:
            self._window = now
            self._runs = self._failures = self._window_steps = 0
        machine = standing.machine
        machine.again(self._steps, self._bytes, self._late())
        self._runs += 1
        try:
            made = take(machine.run(standing.function, given()))
        except (HookError, BorderError, TypeError, ValueError, AttributeError) as error:
            self._failures += 1
            self._failed(now, point, standing, error)
            made = default
        else:
            standing.trial, standing.breaks = False, 0
            self.counts[standing.good] += 1
        used = self._steps - max(machine.steps, 0)
        self.steps_used += used
        self._window_steps += used
        if self._runs >= self.limits.least_runs:
            self._weigh()
        return made

    def _failed(self, now: float, point: str, standing: _Standing, error: Exception) -> None:
        kind = error.kind if isinstance(error, HookError) else "border"
        self.counts[f"{point} {kind}"] += 1
        standing.failures += 1
        told = {"version": self.release.version, "point": point, "hook": standing.hook.name}
        if standing.failures <= NOTES:
            self._log_event("hook failed", {**told, "error": str(error)[:300]})
        if standing.trial or standing.failures >= FAILURES:
            standing.alone_until, standing.trial, standing.failures = now + ALONE_MS, True, 0
            standing.breaks += 1
            self.counts[f"{point} breaks"] += 1
            self._log_event("hook left alone", {**told, "for_ms": ALONE_MS})
            if not self.release.whole or standing.breaks >= BREAKS:
                self._now_bad(f"{standing.hook.name}: {error}"[:300])

    def _weigh(self) -> None:
        """Whether the release as a whole has passed its bounds."""
        limits, runs = self.limits, self._runs
        if self._bad:
            return
        if self._failures > limits.failure_share * runs:
            self._now_bad(f"{self._failures} of {runs} runs failed")
        elif self._window_steps > limits.mean_steps * runs:
            self._now_bad(f"{self._window_steps / runs:.0f} steps a run, at most {limits.mean_steps:g}")

    def _now_bad(self, reason: str) -> None:
        if not self._bad:
            self._bad = True
            self._told_bad(self.release, reason)
