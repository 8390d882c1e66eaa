"""The budget of one run of a hook (steps, bytes, time, nested calls), and the counters that persist between runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

MAX_STEPS = 1200  # of one run
MAX_BYTES = 64 * 1024  # built in one run
DEADLINE_CHECK_STEPS = 128  # between two checks of the deadline
CHARACTERS_PER_STEP = 128  # of a text that is scanned
ITEMS_PER_STEP = 8  # of a list that is built
ITEM_BYTES = 16
MAX_CALL_DEPTH = 64
MAX_COUNTERS = 100
MAX_COUNT = 2.0**53  # counting stops here: adding 1 to this float does not change it


def never_overdue() -> bool:
    """The deadline check of a run without a deadline."""
    return False


class HookRunError(Exception):
    """A run that failed; `kind` is the name of the cause in metrics and log lines."""

    def __init__(self, kind: str, message: str) -> None:
        """`kind` is one word, such as steps, bytes, late or index."""
        super().__init__(f"{kind}: {message}")
        self.kind = kind


@dataclass(slots=True)
class Counters:
    """A bounded number of named counters, the only state that persists between runs."""

    values: dict[str, float] = field(default_factory=dict)

    def increment(self, name: str) -> float:
        """Add one and return the new value; raises HookRunError beyond MAX_COUNTERS names."""
        if name not in self.values and len(self.values) >= MAX_COUNTERS:
            raise HookRunError("counters", f"another name would exceed the limit of {MAX_COUNTERS} counters")
        self.values[name] = value = min(self.values.get(name, 0.0) + 1.0, MAX_COUNT)
        return value


class Budget(NamedTuple):
    """The steps and bytes that one run may use at most."""

    steps: int = MAX_STEPS
    bytes: int = MAX_BYTES


DEFAULT_BUDGET = Budget()


class RunContext:
    """Charges the steps and bytes of a run to its budget.

    Every instruction costs a step.  One that scans a text or a list costs additional steps in proportion to the length,
    so that the steps bound the time.  Bytes are charged when a value is built and never refunded.
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
        """`is_overdue` is called every DEADLINE_CHECK_STEPS steps; it returns whether the deadline has passed."""
        self.counters = counters
        self._max_steps = budget.steps
        self._max_bytes = budget.bytes
        self._first_check = max(budget.steps - DEADLINE_CHECK_STEPS, -1)
        self.begin(is_overdue)

    def begin(self, is_overdue: Callable[[], bool]) -> None:
        """Start a run with the whole budget."""
        self._is_overdue = is_overdue
        self.remaining_steps = self._max_steps
        self.remaining_bytes = self._max_bytes
        self.call_depth = 0
        self.next_check = self._first_check  # the remaining steps at which the deadline is checked next

    @property
    def used_steps(self) -> int:
        """The steps that the run has used, limited to its budget."""
        return self._max_steps - max(self.remaining_steps, 0)

    def charge_steps(self, steps: int) -> None:
        """Charge steps; raises HookRunError when the budget is exceeded or the run is overdue."""
        self.remaining_steps -= steps
        if self.remaining_steps < 0:
            raise HookRunError("steps", f"the run needs more than its budget of {self._max_steps} steps")
        if self.remaining_steps <= self.next_check:
            self.next_check = max(self.remaining_steps - DEADLINE_CHECK_STEPS, -1)
            if self._is_overdue():
                raise HookRunError("late", "the run exceeded its deadline")

    def charge_bytes(self, size: int) -> None:
        """Charge bytes; raises HookRunError when the budget is exceeded."""
        self.remaining_bytes -= size
        if self.remaining_bytes < 0:
            raise HookRunError("bytes", f"the run needs more than its budget of {self._max_bytes} bytes")

    def charge_text(self, length: int) -> None:
        """Charge for a text before it is built; `length` is in characters.  Raises HookRunError."""
        if length >= CHARACTERS_PER_STEP:
            self.charge_steps(length // CHARACTERS_PER_STEP)
        self.charge_bytes(length + ITEM_BYTES)

    def charge_list(self, length: int) -> None:
        """Charge for a list before it is built; `length` is its number of items.  Raises HookRunError."""
        if length >= ITEMS_PER_STEP:
            self.charge_steps(length // ITEMS_PER_STEP)
        self.charge_bytes(ITEM_BYTES * (length + 1))

    def charge_scan(self, text: str) -> None:
        """Charge for scanning a text once; raises HookRunError."""
        self.charge_steps(len(text) // CHARACTERS_PER_STEP)

    def charge_search(self, text: str, substring: str) -> None:
        """Charge for searching a text for a substring; raises HookRunError."""
        self.charge_steps(len(text) * (1 + len(substring) // CHARACTERS_PER_STEP) // CHARACTERS_PER_STEP)

    def charge_comparison(self, value: Any) -> None:  # noqa: ANN401  # a value of the hook language
        """Charge for comparing with a value; raises HookRunError."""
        self.charge_steps(comparison_steps(value))


def comparison_steps(value: Any) -> int:  # noqa: ANN401  # a value of the hook language
    """The steps that a comparison with a value costs."""
    if isinstance(value, str):
        return len(value) // CHARACTERS_PER_STEP
    if isinstance(value, tuple | list):
        return sum(1 + comparison_steps(item) for item in value)
    return 0
