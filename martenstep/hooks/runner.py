"""Runs the hooks of one release at their extension points, and keeps their failures from the requests.

No I/O, no clock.

A hook that fails in any way (its budget, its deadline, its result) costs its request nothing but the default.  The
failure is counted and, within a bound, logged; a circuit breaker stops the hook for a while once it has failed too
often.  The health of the release as a whole is watched as well: see `HealthLimits`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from martenstep.event_log import EventLog
from martenstep.hooks.release import Hook, Release
from martenstep.hooks.result_validation import InvalidResultError
from martenstep.hooks.run_context import HookRunError, never_overdue
from martenstep.hooks.virtual_machine import VirtualMachine

MAX_FAILURES = 10  # within a window, then the circuit breaker opens
FAILURE_WINDOW_MS = 10_000.0
OPEN_MS = 30_000.0  # of the circuit breaker; then one run is a trial
MAX_LOGGED_FAILURES = 3  # of a hook within a window
MAX_OPENINGS = 3  # in a row, without a good run between, of a full release
MAX_ERROR_CHARACTERS = 300  # in a log line
INVALID_RESULT_KIND = "border"  # in metrics and log lines

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """What all runs of a release may fail and cost within a window before it is unhealthy."""

    max_failure_share: float = 0.05
    max_mean_steps: float = 400.0
    min_runs: int = 100  # fewer prove nothing
    window_ms: float = 60_000.0


@dataclass(slots=True)
class RunnerContext:
    """What a runner is given by its gateway.

    `begin_deadline` begins the deadline of a run, `on_unhealthy` is called once with the release and the reason.
    """

    log_event: EventLog
    counts: Counter[str] = field(default_factory=Counter)
    begin_deadline: Callable[[], Callable[[], bool]] = lambda: never_overdue
    on_unhealthy: Callable[[Release, str], None] = lambda release, reason: None


@dataclass(slots=True)
class _InstalledHook:
    """A hook with its machine and its circuit breaker."""

    hook: Hook
    machine: VirtualMachine
    function: int
    applies_to_all: bool
    good_runs_key: str  # of the counts
    window_began: float = 0.0
    failures: int = 0  # within the window
    open_until: float = 0.0
    is_half_open: bool = False
    openings: int = 0  # in a row

    def begin_window(self, now: float) -> None:
        self.window_began = now
        self.failures = 0


@dataclass(slots=True)
class _WindowTotals:
    """Of all hooks of the release, within one window."""

    began: float = 0.0
    runs: int = 0
    failures: int = 0
    steps: int = 0


class Runner:
    """The hooks of one release; a request keeps the runner that it began with."""

    def __init__(self, release: Release, limits: HealthLimits, context: RunnerContext) -> None:
        """`limits` may be replaced at any time."""
        self.release = release
        self.limits = limits
        self.steps_used = 0
        self._context = context
        self._counts = context.counts
        self._totals = _WindowTotals()
        self._is_unhealthy = False
        self._hooks_by_point: dict[str, list[_InstalledHook]] = {}
        for hook in release.hooks:
            installed = _InstalledHook(
                hook,
                VirtualMachine(hook.program, translated=hook.translated),
                hook.program.points[hook.point],
                hook.applies_to_all,
                f"{hook.point} good",
            )
            self._hooks_by_point.setdefault(hook.point, []).append(installed)

    @property
    def counts(self) -> Counter[str]:
        """Runs, failures and openings, by extension point."""
        return self._counts

    def has(self, point: str) -> bool:
        """Whether there is a hook at an extension point."""
        return point in self._hooks_by_point

    def call(  # noqa: PLR0913  # once for each request and point: no object is made for its arguments
        self,
        now: float,
        point: str,
        customer: str,
        plan: str,
        make_arguments: Callable[[], tuple[Any, ...]],
        accept: Callable[[Any], Result],
        default: Result,
    ) -> Result:
        """What `accept` makes of the result of the hook for a customer; the default where there is none, or it fails.

        `accept` raises InvalidResultError; times are in milliseconds.
        """
        for installed in self._hooks_by_point.get(point, ()):
            if installed.applies_to_all or installed.hook.applies_to(customer, plan):
                break
        else:
            return default
        if installed.open_until > now:
            self._counts[f"{point} left alone"] += 1
            return default
        if now - installed.window_began >= FAILURE_WINDOW_MS:
            installed.begin_window(now)
        if now - self._totals.began >= self.limits.window_ms:
            self._totals = _WindowTotals(now)
        machine = installed.machine
        machine.begin(self._context.begin_deadline())
        self._totals.runs += 1
        try:
            result = accept(machine.run(installed.function, make_arguments()))
        except (HookRunError, InvalidResultError, TypeError, ValueError, AttributeError) as error:
            self._record_failure(now, installed, error)
            result = default
        else:
            installed.is_half_open = False
            installed.openings = 0
            self._counts[installed.good_runs_key] += 1
        self._record_cost(machine.used_steps)
        return result

    def _record_cost(self, steps: int) -> None:
        self.steps_used += steps
        self._totals.steps += steps
        if self._totals.runs >= self.limits.min_runs:
            self._check_health()

    def _record_failure(self, now: float, installed: _InstalledHook, error: Exception) -> None:
        hook = installed.hook
        kind = error.kind if isinstance(error, HookRunError) else INVALID_RESULT_KIND
        self._totals.failures += 1
        self._counts[f"{hook.point} {kind}"] += 1
        installed.failures += 1
        message = str(error)[:MAX_ERROR_CHARACTERS]
        if installed.failures <= MAX_LOGGED_FAILURES:
            self._context.log_event("hook failed", {**self._log_fields(hook), "error": message})
        if installed.is_half_open or installed.failures >= MAX_FAILURES:
            self._open_circuit(now, installed, error)

    def _open_circuit(self, now: float, installed: _InstalledHook, error: Exception) -> None:
        hook = installed.hook
        installed.open_until = now + OPEN_MS
        installed.is_half_open = True
        installed.failures = 0
        installed.openings += 1
        self._counts[f"{hook.point} breaks"] += 1
        self._context.log_event("hook left alone", {**self._log_fields(hook), "for_ms": OPEN_MS})
        if self.release.is_canary or installed.openings >= MAX_OPENINGS:
            self._set_unhealthy(f"{hook.name}: {error}"[:MAX_ERROR_CHARACTERS])

    def _log_fields(self, hook: Hook) -> dict[str, Any]:
        return {"version": self.release.version, "point": hook.point, "hook": hook.name}

    def _check_health(self) -> None:
        limits = self.limits
        totals = self._totals
        if totals.failures > limits.max_failure_share * totals.runs:
            self._set_unhealthy(f"{totals.failures} of {totals.runs} runs failed")
        elif totals.steps > limits.max_mean_steps * totals.runs:
            mean_steps = totals.steps / totals.runs
            self._set_unhealthy(f"{mean_steps:.0f} steps a run, at most {limits.max_mean_steps:g}")

    def _set_unhealthy(self, reason: str) -> None:
        if not self._is_unhealthy:
            self._is_unhealthy = True
            self._context.on_unhealthy(self.release, reason)
