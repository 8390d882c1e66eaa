"""The virtual machine that runs hooks: without I/O, and within a budget of steps and bytes."""

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
# Plain numbers: comparing with members of an enum would cost most of a step.
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
    """Take the last values off the stack."""
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


# The instructions that make one value of any number on the stack, with their arguments and the stack.
BUILDERS: dict[int, Callable[[RunContext, int, int, list[Any]], None]] = {
    int(Opcode.JOIN_TEXTS): _join_texts,
    int(Opcode.FORMAT_VALUE): _format_value,
    int(Opcode.BUILD_RECORD): _build_record,
    int(Opcode.BUILD_LIST): _build_list,
    int(Opcode.CALL_BUILT_IN): _call_built_in,
    int(Opcode.NEGATE): _negate,
}


class _Frame(NamedTuple):
    """Where a caller goes on."""

    instructions: list[Instruction]
    position: int
    local_values: list[Any]


class VirtualMachine(RunContext):
    """Runs the functions of one program, one run after the other."""

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
        """`translated` has the program's functions as `translation` makes them; all others are interpreted."""
        super().__init__(counters if counters is not None else Counters(), budget, is_overdue)
        self._program = program
        self._translated = translated

    def run(self, function: int, arguments: tuple[Any, ...]) -> Any:  # noqa: ANN401  # a value of the language
        """The result of a function; raises HookRunError, whatever the program and the arguments are."""
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
            # A program that was type-checked does not come here; one that was only verified may.
            raise HookRunError("ill-typed", f"{type(error).__name__}: {error}") from None

    def call(self, function: int, arguments: tuple[Any, ...]) -> Any:  # noqa: ANN401  # a value of the language
        """A call from a translated function; raises HookRunError."""
        if self.call_depth >= MAX_CALL_DEPTH:
            raise HookRunError("calls", f"more than {MAX_CALL_DEPTH} in one another")
        self.charge_steps(self._program.functions[function].local_count // ITEMS_PER_STEP)
        self.call_depth += 1
        translated = self._translated[function] if self._translated is not None else None
        result = self._interpret(function, arguments) if translated is None else translated(self, *arguments)
        self.call_depth -= 1  # a run that fails is over: its depth does not matter
        return result

    def _interpret(self, number: int, arguments: tuple[Any, ...]) -> Any:  # noqa: ANN401, C901, PLR0912, PLR0915
        """Interpret a function.

        The loop is a flat table of the instructions: a call for each would cost more than what most of them do.
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
                    raise HookRunError("calls", f"more than {MAX_CALL_DEPTH} in one another")
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
