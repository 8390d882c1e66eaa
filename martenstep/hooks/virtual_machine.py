"""The machine that runs hooks: metered to the step and to the byte, without I/O and without a clock of its own.

Every instruction costs a step, and one that walks over a text or a list costs more by its length, so that steps bound
the time.  What a hook builds is counted in bytes as it is built and never given back.  `late` is asked now and then and
ends the run: the host's backstop by its clock.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from types import SimpleNamespace
from typing import Any

from martenstep.hooks.bytecode import RECORD_LIST, Op, Program
from martenstep.hooks.regex import Pattern, PatternError
from martenstep.hooks.types import BUILT_INS, RECORDS

OP = SimpleNamespace(**{op.name: int(op) for op in Op})  # plain numbers: an enum's comparisons cost most of a step
STEPS = 1200  # of one run: 0.6 to 1.0 ms where measured (bench.hooks); a typical hook takes 35
BYTES = 64 * 1024  # built in one run
MOST_CALLS = 64  # in one another
LATE_EVERY = 128  # steps between two looks at the backstop
SIGNS_A_STEP = 128  # of a text that is walked over
ITEMS_A_STEP = 8
ITEM_BYTES = 16
MOST_COUNTERS = 100
FIELDS = tuple(len(RECORDS[kind]) for kind in RECORD_LIST)
NEVER: Callable[[], bool] = lambda: False  # noqa: E731


class HookError(Exception):
    """A run that gave nothing: why, in one word, and how."""

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(f"{kind}: {text}")
        self.kind = kind


@dataclass
class Counters:
    """The one thing that outlives a run: so many named counters, no more."""

    values: dict[str, float] = field(default_factory=dict)

    def count(self, name: str) -> float:
        """One more; raises HookError past the bound."""
        if name not in self.values and len(self.values) >= MOST_COUNTERS:
            raise HookError("counters", f"more than {MOST_COUNTERS}")
        self.values[name] = value = min(self.values.get(name, 0.0) + 1.0, 2.0**53)
        return value


@lru_cache(maxsize=1000)
def _pattern(text: str) -> Pattern:
    return Pattern(text)


def shown(value: Any, duration: bool) -> str:
    """A plain value as a text."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return value
    if duration:
        return f"{value / 1000:.15g}s" if abs(value) >= 1000 else f"{value:.15g}ms"
    return f"{value:.15g}"


class Machine:
    """One run of one function."""

    __slots__ = ("_counters", "_depth", "_fast", "_late", "_program", "bytes", "look", "steps")

    def __init__(
        self,
        program: Program,
        counters: Counters | None = None,
        *,
        steps: int = STEPS,
        bytes_: int = BYTES,
        late: Callable[[], bool] = NEVER,
        fast: Sequence[Callable[..., Any] | None] | None = None,
    ) -> None:
        """`fast` are the program's functions as hooks.fast makes them; without them all is interpreted."""
        self._program, self._counters = program, counters if counters is not None else Counters()
        self.steps, self.bytes = steps, bytes_
        self._late, self._fast, self._depth = late, fast, 0
        self.look = max(steps - LATE_EVERY, -1)  # the steps at which the budget and the backstop are looked at

    def run(self, function: int, given: tuple[Any, ...]) -> Any:
        """The function's value; raises HookError, whatever the code and the values are."""
        try:
            ready = self._fast[function] if self._fast is not None else None
            return self._run(function, given) if ready is None else ready(self, *given)
        except HookError:
            raise
        except (
            TypeError,
            AttributeError,
            LookupError,
            ValueError,
            ArithmeticError,
            RecursionError,
            PatternError,
        ) as error:
            # No checked source comes here; code from elsewhere may.
            raise HookError("ill-typed", f"{type(error).__name__}: {error}") from None

    def again(self, steps: int, bytes_: int, late: Callable[[], bool]) -> None:
        """Ready for another run: cheaper than a new machine."""
        self.steps, self.bytes, self._late, self._depth = steps, bytes_, late, 0
        self.look = max(steps - LATE_EVERY, -1)

    def call(self, number: int, values: tuple[Any, ...]) -> Any:
        """A call within a run, by code that is not interpreted."""
        if self._depth >= MOST_CALLS:
            raise HookError("calls", f"more than {MOST_CALLS} in one another")
        self._cost(self._program.functions[number].slots // ITEMS_A_STEP)
        self._depth += 1
        ready = self._fast[number] if self._fast is not None else None
        made = self._run(number, values) if ready is None else ready(self, *values)
        self._depth -= 1  # a run that fails is over: no need to count back
        return made

    def _cost(self, steps: int) -> None:
        self.steps -= steps
        if self.steps < 0:
            raise HookError("steps", "the budget of steps is used up")
        if self.steps <= self.look:
            self.look = max(self.steps - LATE_EVERY, -1)
            if self._late():
                raise HookError("late", "it took too long")

    def _built(self, size: int) -> None:
        self.bytes -= size
        if self.bytes < 0:
            raise HookError("bytes", "the budget of bytes is used up")

    def _room(self, signs: int) -> None:
        """A text of so many characters is about to be built."""
        self._cost(signs // SIGNS_A_STEP)
        self._built(signs + ITEM_BYTES)

    def _items(self, count: int) -> None:
        self._cost(count // ITEMS_A_STEP)
        self._built(ITEM_BYTES * (count + 1))

    @staticmethod
    def _finite(value: float) -> float:
        if not math.isfinite(value):
            raise HookError("number", "not a finite number")
        return value

    def _run(self, number: int, given: tuple[Any, ...]) -> Any:
        functions, constants = self._program.functions, self._program.constants
        function = functions[number]
        slots: list[Any] = [*given, *([0.0] * (function.slots - len(given)))]
        frames: list[tuple[Any, list[Any], int]] = []
        stack: list[Any] = []
        code, at = function.code, 0
        while True:
            op, one, other = code[at]
            at += 1
            self.steps -= 1
            if self.steps <= self.look:
                self._cost(0)
            if op == OP.CONST:
                stack.append(constants[one])
            elif op == OP.LOAD:
                stack.append(slots[one])
            elif op == OP.STORE:
                slots[one] = stack.pop()
            elif op == OP.JUMP:
                at = one
            elif op == OP.JUMP_FALSE:
                if not stack.pop():
                    at = one
            elif op == OP.FIELD:
                stack[-1] = stack[-1][one]
            elif op == OP.EQUAL:
                right = stack.pop()
                self._cost(self._size(right))
                stack[-1] = stack[-1] == right
            elif op == OP.NOT:
                stack[-1] = not stack[-1]
            elif op == OP.NEXT:
                place = int(slots[one + 1])
                if place < len(slots[one]):
                    slots[one + 1] = place + 1.0
                    stack.append(slots[one][place])
                else:
                    at = other
            elif op == OP.CALL:
                if len(frames) + self._depth >= MOST_CALLS:
                    raise HookError("calls", f"more than {MOST_CALLS} in one another")
                frames.append((code, slots, at))
                function = functions[one]
                values = stack[len(stack) - other :]
                del stack[len(stack) - other :]
                slots = [*values, *([0.0] * (function.slots - other))]
                self._cost(function.slots // ITEMS_A_STEP)
                code, at = function.code, 0
            elif op == OP.RETURN:
                if not frames:
                    return stack.pop()
                code, slots, at = frames.pop()
            else:
                self._value(op, one, other, stack)

    @staticmethod
    def _size(value: Any) -> int:
        """What it costs to compare a value, in steps."""
        if isinstance(value, str):
            return len(value) // SIGNS_A_STEP
        if isinstance(value, tuple | list):
            return sum(1 + Machine._size(item) for item in value)
        return 0

    def _value(self, op: int, one: int, other: int, stack: list[Any]) -> None:
        """The instructions that make a value of those on the stack."""
        if op == OP.TEXT:
            parts = self._top(stack, one)
            self._room(sum(map(len, parts)))
            stack.append("".join(parts))
        elif op == OP.SHOW:
            stack[-1] = shown(stack[-1], bool(one))
            self._room(len(stack[-1]))
        elif op == OP.MAKE:
            self._built(ITEM_BYTES * FIELDS[one])
            stack.append(tuple(self._top(stack, FIELDS[one])))
        elif op == OP.LIST:
            self._items(one)
            stack.append(self._top(stack, one))
        elif op == OP.BUILT_IN:
            stack.append(self._built_in(BUILT_INS[one], self._top(stack, other)))
        elif op == OP.NEG:
            stack[-1] = -stack[-1]
        else:
            right = stack.pop()
            stack[-1] = self._two(op, stack[-1], right)

    @staticmethod
    def _top(stack: list[Any], count: int) -> list[Any]:
        """The last so many values, taken off."""
        found = stack[len(stack) - count :]
        del stack[len(stack) - count :]
        return found

    def _two(self, op: int, left: Any, right: Any) -> Any:
        match op:
            case OP.ADD:
                return self._finite(left + right)
            case OP.SUB:
                return self._finite(left - right)
            case OP.MUL:
                return self._finite(left * right)
            case OP.DIV | OP.MOD:
                if not right:
                    raise HookError("number", "divided by nothing")
                return self._finite(left / right if op == OP.DIV else math.fmod(left, right))
            case OP.CONCAT:
                self._room(len(left) + len(right))
                return left + right
            case OP.EXTEND:
                self._items(len(left) + len(right))
                return left + right
            case OP.LESS | OP.LESS_EQUAL:
                self._cost(self._size(right))
                return left < right if op == OP.LESS else left <= right
            case OP.IN_TEXT:
                self._cost(len(right) * (1 + len(left) // SIGNS_A_STEP) // SIGNS_A_STEP)
                return left in right
            case OP.IN_LIST:
                self._cost(self._size(right))
                return left in right
            case OP.INDEX:
                if not 0 <= right < len(left):
                    raise HookError("index", f"no item {shown(right, False)} of {len(left)}")
                return left[int(right)]
        raise HookError("ill-typed", f"no instruction {op}")

    def _built_in(self, name: str, args: list[Any]) -> Any:
        first = args[0]
        match name:
            case "len":
                return float(len(first))
            case "number":
                self._cost(len(first) // SIGNS_A_STEP)
                try:
                    value = float(first) if len(first) <= 40 and first.isascii() and "_" not in first else math.nan
                except ValueError:
                    value = math.nan
                return value if math.isfinite(value) else args[1]
            case "lower" | "upper" | "trim":
                self._room(3 * len(first))  # a character may become three
                return first.lower() if name == "lower" else first.upper() if name == "upper" else first.strip()
            case "starts_with" | "ends_with":
                self._cost(len(args[1]) // SIGNS_A_STEP)
                return first.startswith(args[1]) if name == "starts_with" else first.endswith(args[1])
            case "replace":
                self._cost(len(first) * (1 + len(args[1]) // SIGNS_A_STEP) // SIGNS_A_STEP)
                found = first.count(args[1]) if args[1] else 0
                self._room(len(first) + found * max(len(args[2]) - len(args[1]), 0))
                return first.replace(args[1], args[2]) if args[1] else first
            case "split":
                self._cost(len(first) * (1 + len(args[1]) // SIGNS_A_STEP) // SIGNS_A_STEP)
                count = 1 + (first.count(args[1]) if args[1] else 0)
                self._items(count)
                self._room(len(first))
                return first.split(args[1]) if args[1] else [first]
            case "join":
                self._items(len(first))
                self._room(sum(map(len, first)) + len(args[1]) * max(len(first) - 1, 0))
                return args[1].join(first)
            case "part":
                begin, end = (int(min(max(value, 0.0), len(first))) for value in args[1:])
                self._room(max(end - begin, 0))
                return first[begin : max(begin, end)]
            case "matches":
                pattern = _pattern(args[1])
                self._cost((len(first) + 1) * pattern.states // 4)
                return pattern.search(first)
            case "hash":
                self._cost(2 + len(first) // SIGNS_A_STEP)
                digest = hashlib.blake2b(first.encode("utf-8", "surrogatepass"), digest_size=6).digest()
                return int.from_bytes(digest, "big") / 2.0**48
            case "header":
                self._cost(len(first))
                wanted = args[1].lower()
                return next((value for key, value in first if key.lower() == wanted), "")
            case "round" | "floor":
                return float(math.floor(first + 0.5 if name == "round" else first))
            case "abs":
                return abs(first)
            case "min" | "max":
                return min(args) if name == "min" else max(args)
            case "range":
                count = int(min(max(first, 0.0), 1e9))
                self._items(count)
                return [float(value) for value in range(count)]
            case "seconds":
                return first / 1000.0
            case "count":
                return self._counters.count(first)
        raise HookError("ill-typed", f"nothing built in is named {name}")
