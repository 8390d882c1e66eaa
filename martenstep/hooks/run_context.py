"""What one run of a hook may use: steps, bytes, time, nested calls, and the counters that outlive it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

MAX_STEPS = 1200  # of one run
MAX_BYTES = 64 * 1024  # built in one run
DEADLINE_CHECK_STEPS = 128  # between two looks at the clock
CHARACTERS_PER_STEP = 128  # of a text that is walked over
ITEMS_PER_STEP = 8
ITEM_BYTES = 16
MAX_CALL_DEPTH = 64
MAX_COUNTERS = 100
MAX_COUNT = 2.0**53  # the last whole number that one can be added to


def never_overdue() -> bool:
    """The deadline of a run that has none."""
    return False


class HookRunError(Exception):
    """A run without a result; `kind` is what metrics and log lines call the cause."""

    def __init__(self, kind: str, message: str) -> None:
        """`kind` is one word, such as steps, bytes, late or index."""
        super().__init__(f"{kind}: {message}")
        self.kind = kind


@dataclass(slots=True)
class Counters:
    """The only state that outlives a run: a bounded number of named counters."""

    values: dict[str, float] = field(default_factory=dict)

    def increment(self, name: str) -> float:
        """Add one and return the new value; raises HookRunError beyond MAX_COUNTERS names."""
        if name not in self.values and len(self.values) >= MAX_COUNTERS:
            raise HookRunError("counters", f"more than {MAX_COUNTERS}")
        self.values[name] = value = min(self.values.get(name, 0.0) + 1.0, MAX_COUNT)
        return value


class Budget(NamedTuple):
    """What one run may use at most."""

    steps: int = MAX_STEPS
    bytes: int = MAX_BYTES


DEFAULT_BUDGET = Budget()


class RunContext:
    """Charges a run for what it does.

    Every instruction costs a step, and one that walks over a text or a list costs more by its length, so that the steps
    bound the time.  Bytes are charged as values are built and never given back.
    """

    __slots__ = (
        "_first_check",
        "_is_overdue",
        "_max_bytes",
        "_max_steps",
        "call_depth",
        "counters",
        "next_check",
        "remaining_bytes",
        "remaining_steps",
    )

    def __init__(self, counters: Counters, budget: Budget, is_overdue: Callable[[], bool]) -> None:
        """`is_overdue` is asked every DEADLINE_CHECK_STEPS whether the run has taken too long."""
        self.counters = counters
        self._max_steps = budget.steps
        self._max_bytes = budget.bytes
        self._first_check = max(budget.steps - DEADLINE_CHECK_STEPS, -1)
        self.begin(is_overdue)

    def begin(self, is_overdue: Callable[[], bool]) -> None:
        """Begin a run with the whole budget."""
        self._is_overdue = is_overdue
        self.remaining_steps = self._max_steps
        self.remaining_bytes = self._max_bytes
        self.call_depth = 0
        self.next_check = self._first_check  # remaining steps at which to look at the clock

    @property
    def used_steps(self) -> int:
        """The steps that the run has used, at most its budget."""
        return self._max_steps - max(self.remaining_steps, 0)

    def charge_steps(self, steps: int) -> None:
        """Charge steps; raises HookRunError when they are used up, or the run is overdue."""
        self.remaining_steps -= steps
        if self.remaining_steps < 0:
            raise HookRunError("steps", "the budget of steps is used up")
        if self.remaining_steps <= self.next_check:
            self.next_check = max(self.remaining_steps - DEADLINE_CHECK_STEPS, -1)
            if self._is_overdue():
                raise HookRunError("late", "it took too long")

    def charge_bytes(self, size: int) -> None:
        """Charge bytes; raises HookRunError when they are used up."""
        self.remaining_bytes -= size
        if self.remaining_bytes < 0:
            raise HookRunError("bytes", "the budget of bytes is used up")

    def charge_text(self, length: int) -> None:
        """Charge for a text of so many characters before it is built; raises HookRunError."""
        if length >= CHARACTERS_PER_STEP:
            self.charge_steps(length // CHARACTERS_PER_STEP)
        self.charge_bytes(length + ITEM_BYTES)

    def charge_list(self, length: int) -> None:
        """Charge for a list of so many items before it is built; raises HookRunError."""
        if length >= ITEMS_PER_STEP:
            self.charge_steps(length // ITEMS_PER_STEP)
        self.charge_bytes(ITEM_BYTES * (length + 1))

    def charge_scan(self, text: str) -> None:
        """Charge for walking over a text once; raises HookRunError."""
        self.charge_steps(len(text) // CHARACTERS_PER_STEP)

    def charge_search(self, text: str, searched: str) -> None:
        """Charge for looking for a text in another; raises HookRunError."""
        self.charge_steps(len(text) * (1 + len(searched) // CHARACTERS_PER_STEP) // CHARACTERS_PER_STEP)

    def charge_comparison(self, value: Any) -> None:  # noqa: ANN401  # a value of the hook language
        """Charge for comparing with a value; raises HookRunError."""
        self.charge_steps(comparison_steps(value))


def comparison_steps(value: Any) -> int:  # noqa: ANN401  # a value of the hook language
    """What it costs to compare with a value."""
    if isinstance(value, str):
        return len(value) // CHARACTERS_PER_STEP
    if isinstance(value, tuple | list):
        return sum(1 + comparison_steps(item) for item in value)
    return 0
