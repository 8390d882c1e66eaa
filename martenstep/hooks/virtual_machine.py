"""The virtual machine that runs hooks within a budget of steps and bytes.  No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from martenstep.hooks.built_ins import BUILT_IN_FUNCTIONS
from martenstep.hooks.bytecode import RECORD_TYPES, Instruction, Opcode, Program
from martenstep.hooks.operators import OPERATORS, format_value
from martenstep.hooks.regex import PatternError
from martenstep.hooks.run_context import (
    DEFAULT_BUDGET,
    ITEM_BYTES,
    ITEMS_PER_STEP,
    MAX_CALL_DEPTH,
    Budget,
    Counters,
    HookRunError,
    RunContext,
    never_overdue,
)
from martenstep.hooks.types import RECORDS

FIELD_COUNTS = tuple(len(RECORDS[record]) for record in RECORD_TYPES)
# Plain integers, because a comparison with members of an enum would take most of the time of a step.
LOAD_CONSTANT = int(Opcode.LOAD_CONSTANT)
LOAD_LOCAL = int(Opcode.LOAD_LOCAL)
STORE_LOCAL = int(Opcode.STORE_LOCAL)
JUMP = int(Opcode.JUMP)
JUMP_IF_FALSE = int(Opcode.JUMP_IF_FALSE)
LOAD_FIELD = int(Opcode.LOAD_FIELD)
EQUAL = int(Opcode.EQUAL)
NOT = int(Opcode.NOT)
FOR_NEXT = int(Opcode.FOR_NEXT)
CALL = int(Opcode.CALL)
RETURN = int(Opcode.RETURN)

TranslatedFunctions = Sequence[Callable[..., Any] | None]


def _pop_values(stack: list[Any], count: int) -> list[Any]:
    """Pop `count` values; returns them in the order in which they were pushed."""
    values = stack[len(stack) - count :]
    del stack[len(stack) - count :]
    return values


def _join_texts(context: RunContext, count: int, _b: int, stack: list[Any]) -> None:
    parts = _pop_values(stack, count)
    context.charge_text(sum(map(len, parts)))
    stack.append("".join(parts))


def _format_value(context: RunContext, is_duration: int, _b: int, stack: list[Any]) -> None:
    text = format_value(stack[-1], bool(is_duration))
    context.charge_text(len(text))
    stack[-1] = text


def _build_record(context: RunContext, record: int, _b: int, stack: list[Any]) -> None:
    context.charge_bytes(ITEM_BYTES * FIELD_COUNTS[record])
    stack.append(tuple(_pop_values(stack, FIELD_COUNTS[record])))


def _build_list(context: RunContext, count: int, _b: int, stack: list[Any]) -> None:
    context.charge_list(count)
    stack.append(_pop_values(stack, count))


def _call_built_in(context: RunContext, number: int, argument_count: int, stack: list[Any]) -> None:
    stack.append(BUILT_IN_FUNCTIONS[number](context, _pop_values(stack, argument_count)))


def _negate(_context: RunContext, _a: int, _b: int, stack: list[Any]) -> None:
    stack[-1] = -stack[-1]


# The instructions that replace any number of values on the stack by one value; called with `a`, `b` and the stack.
BUILDERS: dict[int, Callable[[RunContext, int, int, list[Any]], None]] = {
    int(Opcode.JOIN_TEXTS): _join_texts,
    int(Opcode.FORMAT_VALUE): _format_value,
    int(Opcode.BUILD_RECORD): _build_record,
    int(Opcode.BUILD_LIST): _build_list,
    int(Opcode.CALL_BUILT_IN): _call_built_in,
    int(Opcode.NEGATE): _negate,
}


class _Frame(NamedTuple):
    """The state of a caller, restored at the return."""

    instructions: list[Instruction]
    position: int
    local_values: list[Any]


class VirtualMachine(RunContext):
    """Runs the functions of one program, one run at a time."""

    __slots__ = ("_program", "_translated")

    def __init__(
        self,
        program: Program,
        counters: Counters | None = None,
        *,
        budget: Budget = DEFAULT_BUDGET,
        is_overdue: Callable[[], bool] = never_overdue,
        translated: TranslatedFunctions | None = None,
    ) -> None:
        """`translated` has the functions that `translation` made, and None for those to be interpreted."""
        super().__init__(counters if counters is not None else Counters(), budget, is_overdue)
        self._program = program
        self._translated = translated

    def run(self, function: int, arguments: tuple[Any, ...]) -> Any:  # noqa: ANN401  # a value of the language
        """Run a function; raises no other error than HookRunError, whatever the program and the arguments are."""
        try:
            translated = self._translated[function] if self._translated is not None else None
            return self._interpret(function, arguments) if translated is None else translated(self, *arguments)
        except HookRunError:
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
            # Only a program that was verified but not type-checked can cause these errors.
            raise HookRunError("ill-typed", f"{type(error).__name__}: {error}") from None

    def call(self, function: int, arguments: tuple[Any, ...]) -> Any:  # noqa: ANN401  # a value of the language
        """Call a function from a translated one; raises HookRunError."""
        if self.call_depth >= MAX_CALL_DEPTH:
            raise HookRunError("calls", f"nested deeper than {MAX_CALL_DEPTH} levels")
        self.charge_steps(self._program.functions[function].local_count // ITEMS_PER_STEP)
        self.call_depth += 1
        translated = self._translated[function] if self._translated is not None else None
        result = self._interpret(function, arguments) if translated is None else translated(self, *arguments)
        self.call_depth -= 1  # not restored on an error, which ends the run
        return result

    def _interpret(self, number: int, arguments: tuple[Any, ...]) -> Any:  # noqa: ANN401, C901, PLR0912, PLR0915
        """Interpret a function.

        The loop is a flat table of the frequent instructions: a call for each would cost more than most of them do.
        """
        functions = self._program.functions
        constants = self._program.constants
        function = functions[number]
        local_values: list[Any] = [*arguments, *([0.0] * (function.local_count - len(arguments)))]
        frames: list[_Frame] = []
        stack: list[Any] = []
        instructions = function.instructions
        position = 0
        while True:
            opcode, a, b = instructions[position]
            position += 1
            self.remaining_steps -= 1
            if self.remaining_steps <= self.next_check:
                self.charge_steps(0)
            if opcode == LOAD_CONSTANT:
                stack.append(constants[a])
            elif opcode == LOAD_LOCAL:
                stack.append(local_values[a])
            elif opcode == STORE_LOCAL:
                local_values[a] = stack.pop()
            elif opcode == JUMP:
                position = a
            elif opcode == JUMP_IF_FALSE:
                if not stack.pop():
                    position = a
            elif opcode == LOAD_FIELD:
                stack[-1] = stack[-1][a]
            elif opcode == EQUAL:
                right = stack.pop()
                self.charge_comparison(right)
                stack[-1] = stack[-1] == right
            elif opcode == NOT:
                stack[-1] = not stack[-1]
            elif opcode == FOR_NEXT:
                item = int(local_values[a + 1])
                if item < len(local_values[a]):
                    local_values[a + 1] = item + 1.0
                    stack.append(local_values[a][item])
                else:
                    position = b
            elif opcode == CALL:
                if len(frames) + self.call_depth >= MAX_CALL_DEPTH:
                    raise HookRunError("calls", f"nested deeper than {MAX_CALL_DEPTH} levels")
                frames.append(_Frame(instructions, position, local_values))
                function = functions[a]
                local_values = [*_pop_values(stack, b), *([0.0] * (function.local_count - b))]
                self.charge_steps(function.local_count // ITEMS_PER_STEP)
                instructions = function.instructions
                position = 0
            elif opcode == RETURN:
                if not frames:
                    return stack.pop()
                instructions, position, local_values = frames.pop()
            elif opcode in OPERATORS:
                right = stack.pop()
                stack[-1] = OPERATORS[opcode](self, stack[-1], right)
            else:
                BUILDERS[opcode](self, a, b, stack)
