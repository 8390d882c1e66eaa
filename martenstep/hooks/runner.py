"""Runs the hooks of one release at their extension points, and isolates requests from their failures.

No I/O, no clock.

When a hook fails (budget exceeded, deadline exceeded, result not accepted), its request continues with the default.
The failure is counted and, up to MAX_LOGGED_FAILURES in a window, logged.  After MAX_FAILURES in a window, a circuit
breaker stops the hook for OPEN_MS.  The health of the whole release is checked as well: see `HealthLimits`.
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

MAX_FAILURES = 10  # of a hook within a window; the circuit breaker opens at the last of them
FAILURE_WINDOW_MS = 10_000.0
OPEN_MS = 30_000.0  # the circuit breaker stays open; then one run tests the hook (half-open)
MAX_LOGGED_FAILURES = 3  # of a hook within a window
MAX_OPENINGS = 3  # of a circuit breaker without a successful run in between; then a full release is unhealthy
MAX_ERROR_CHARACTERS = 300  # in a log line
INVALID_RESULT_KIND = "border"  # its name in metrics

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class HealthLimits:
    """The failures and the cost of all runs within a window above which a release is unhealthy."""

    max_failure_share: float = 0.05
    max_mean_steps: float = 400.0
    min_runs: int = 100  # fewer are too small a sample to judge a release
    window_ms: float = 60_000.0


@dataclass(slots=True)
class RunnerContext:
    """The functions and counts that a gateway gives to its runners.

    `begin_deadline` starts the deadline of a run and returns a check whether the run is overdue; `on_unhealthy` is
    called once for each runner, with the release and the reason.
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
    success_count_key: str  # the name in the counts of its successful runs
    window_start: float = 0.0
    failures: int = 0  # within the window
    open_until: float = 0.0
    is_half_open: bool = False
    consecutive_openings: int = 0  # of the circuit breaker, without a successful run in between

    def begin_window(self, now: float) -> None:
        self.window_start = now
        self.failures = 0


@dataclass(slots=True)
class _WindowTotals:
    """The runs of all hooks of the release within one window."""

    start: float = 0.0
    runs: int = 0
    failures: int = 0
    steps: int = 0


class Runner:
    """Runs the hooks of one release; a request keeps the runner that it began with."""

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
        """Successful runs, failures by kind, skipped runs and openings of circuit breakers, by extension point."""
        return self._counts

    def has(self, point: str) -> bool:
        """Whether the release has a hook at an extension point."""
        return point in self._hooks_by_point

    def call(  # noqa: PLR0913  # called for each request and point: avoids allocating an object for its arguments
        self,
        now: float,
        point: str,
        customer: str,
        plan: str,
        make_arguments: Callable[[], tuple[Any, ...]],
        accept: Callable[[Any], Result],
        default: Result,
    ) -> Result:
        """Run the hook for a customer; returns its result converted by `accept`, which may raise InvalidResultError.

        Returns the default if no hook applies, its circuit breaker is open, or it fails.  Times are in milliseconds.
        """
        for installed in self._hooks_by_point.get(point, ()):
            if installed.applies_to_all or installed.hook.applies_to(customer, plan):
                break
        else:
            return default
        if installed.open_until > now:
            self._counts[f"{point} left alone"] += 1
            return default
        if now - installed.window_start >= FAILURE_WINDOW_MS:
            installed.begin_window(now)
        if now - self._totals.start >= self.limits.window_ms:
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
            installed.consecutive_openings = 0
            self._counts[installed.success_count_key] += 1
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
        installed.consecutive_openings += 1
        self._counts[f"{hook.point} breaks"] += 1
        self._context.log_event("hook left alone", {**self._log_fields(hook), "for_ms": OPEN_MS})
        if self.release.is_canary or installed.consecutive_openings >= MAX_OPENINGS:
            self._set_unhealthy(f"{hook.name}: {error}"[:MAX_ERROR_CHARACTERS])

    def _log_fields(self, hook: Hook) -> dict[str, Any]:
        return {"version": self.release.version, "point": hook.point, "hook": hook.name}

    def _check_health(self) -> None:
        limits = self.limits
        totals = self._totals
        if totals.failures > limits.max_failure_share * totals.runs:
            self._set_unhealthy(
                f"{totals.failures} of {totals.runs} runs failed, the allowed share is {limits.max_failure_share:g}"
            )
        elif totals.steps > limits.max_mean_steps * totals.runs:
            mean_steps = totals.steps / totals.runs
            self._set_unhealthy(
                f"a run takes {mean_steps:.0f} steps on average, the allowed mean is {limits.max_mean_steps:g}"
            )

    def _set_unhealthy(self, reason: str) -> None:
        if not self._is_unhealthy:
            self._is_unhealthy = True
            self._context.on_unhealthy(self.release, reason)
