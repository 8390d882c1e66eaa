"""Runs the hooks of one version at their points, and keeps what goes wrong in them from the requests.

No I/O, no clock.

A hook that fails in any way (its budget, its time, its values, the border) costs its request nothing but the default;
it is counted, told of within a bound, and left alone for a while once it has failed too often.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from martenstep.hooks.border import BorderError
from martenstep.hooks.code import Program
from martenstep.hooks.vm import BYTES, NEVER, STEPS, Counters, HookError, Machine

FAILURES = 10  # within a window: the hook is left alone
WINDOW_MS = 10_000.0
ALONE_MS = 30_000.0  # then one run is its trial
NOTES = 3  # told of a hook within a window; the rest are counted

T = TypeVar("T")
Note = Callable[[str, dict[str, object]], None]


@dataclass(slots=True)
class _Hook:
    """What is known of one hook."""

    program: Program
    counters: Counters = field(default_factory=Counters)
    window: float = 0.0  # when the present one began
    failures: int = 0
    alone_until: float = 0.0
    trial: bool = False


class Runner:
    """The hooks of one version; a request keeps the runner that it began with."""

    def __init__(self, programs: dict[str, Program], note: Note, *, steps: int = STEPS, bytes_: int = BYTES,
                 late: Callable[[], Callable[[], bool]] = lambda: NEVER) -> None:
        """`late` is asked for a backstop at the begin of each run."""
        self._hooks = {point: _Hook(program) for point, program in programs.items()}
        self._note, self._steps, self._bytes, self._late = note, steps, bytes_, late
        self.counts: Counter[str] = Counter()
        self.steps_used = 0

    def has(self, point: str) -> bool:
        """Whether a hook stands at a point."""
        return point in self._hooks

    def call(self, now: float, point: str, given: tuple[Any, ...], take: Callable[[Any], T], default: T) -> T:
        """What the hook at a point gives, taken in by the border; the default where there is none, or it fails."""
        hook = self._hooks.get(point)
        if hook is None:
            return default
        if hook.alone_until > now:
            self.counts[f"{point} left alone"] += 1
            return default
        if now - hook.window >= WINDOW_MS:
            hook.window, hook.failures = now, 0
        machine = Machine(hook.program, hook.counters, steps=self._steps, bytes_=self._bytes, late=self._late())
        try:
            made = take(machine.run(hook.program.points[point], given))
        except (HookError, BorderError, TypeError, ValueError, AttributeError) as error:
            self._failed(now, point, hook, error)
            return default
        finally:
            self.steps_used += self._steps - max(machine.steps, 0)
        hook.trial = False
        self.counts[f"{point} good"] += 1
        return made

    def _failed(self, now: float, point: str, hook: _Hook, error: Exception) -> None:
        kind = error.kind if isinstance(error, HookError) else "border"
        self.counts[f"{point} {kind}"] += 1
        hook.failures += 1
        if hook.failures <= NOTES:
            self._note("hook failed", {"point": point, "error": str(error)[:300]})
        if hook.trial or hook.failures >= FAILURES:
            hook.alone_until, hook.trial, hook.failures = now + ALONE_MS, True, 0
            self.counts[f"{point} breaks"] += 1
            self._note("hook left alone", {"point": point, "for_ms": ALONE_MS})
