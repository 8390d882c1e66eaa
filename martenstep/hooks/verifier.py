"""Verifies that a program from any source can run on the virtual machine.

Every jump stays in its function, the stack has the same height on all paths to an instruction and as many values as the
instruction needs, and every argument refers to something that exists.  Types are not verified.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from martenstep.hooks.bytecode import (
    FORMAT,
    MAX_FUNCTIONS,
    MAX_INSTRUCTIONS,
    RECORD_TYPES,
    BytecodeError,
    Function,
    Opcode,
    Program,
    decode_program,
)
from martenstep.hooks.type_checker import MAX_LOCALS
from martenstep.hooks.types import BUILT_INS, EXTENSION_POINTS, RECORDS

MAX_LOCAL_COUNT = 4 * MAX_LOCALS  # a fold needs four locals
MAX_FIELDS = 32
BUILT_IN_SIGNATURES = tuple(BUILT_INS.values())
POPPED_VALUES = {
    Opcode.LOAD_CONSTANT: 0,
    Opcode.LOAD_LOCAL: 0,
    Opcode.STORE_LOCAL: 1,
    Opcode.JUMP: 0,
    Opcode.JUMP_IF_FALSE: 1,
    Opcode.NEGATE: 1,
    Opcode.NOT: 1,
    Opcode.LOAD_FIELD: 1,
    Opcode.FORMAT_VALUE: 1,
    Opcode.FOR_NEXT: 0,
    Opcode.RETURN: 1,
}
POPPED_BY_OPERATORS = 2
PUSH_NOTHING = (Opcode.STORE_LOCAL, Opcode.JUMP, Opcode.JUMP_IF_FALSE, Opcode.RETURN)


def verify_program(program: Program) -> None:
    """Verify the whole program; raises BytecodeError."""
    if program.format != FORMAT:
        raise BytecodeError(f"bytecode format {program.format}, expected {FORMAT}")
    if len(program.functions) > MAX_FUNCTIONS:
        raise BytecodeError(f"expected at most {MAX_FUNCTIONS} functions, got {len(program.functions)}")
    if any(isinstance(value, float) and not math.isfinite(value) for value in program.constants):
        raise BytecodeError("a constant is not a finite number")
    for point, number in program.points.items():
        if point not in EXTENSION_POINTS or not 0 <= number < len(program.functions):
            raise BytecodeError(f"extension point {point!r}: unknown, or its function {number} does not exist")
        expected, actual = len(EXTENSION_POINTS[point].parameters), program.functions[number].parameter_count
        if actual != expected:
            raise BytecodeError(
                f"extension point {point!r}: its function takes {actual} parameters, expected {expected}"
            )
    for _, number in program.tests:
        if not 0 <= number < len(program.functions) or program.functions[number].parameter_count:
            raise BytecodeError("a test refers to a missing function, or to one with parameters")
    for function in program.functions:
        stack_heights(program, function)


def decode_verified(data: bytes) -> Program:
    """Decode and verify a program; raises BytecodeError."""
    program = decode_program(data)
    verify_program(program)
    return program


def stack_heights(program: Program, function: Function) -> dict[int, int]:
    """The height of the stack before each reachable instruction, by its position; raises BytecodeError."""
    return _FunctionVerifier(program, function).heights()


class _FunctionVerifier:
    """Follows all paths through one function."""

    def __init__(self, program: Program, function: Function) -> None:
        self._program = program
        self._function = function
        self._argument_checks: dict[Opcode, Callable[[Opcode, int, int], int]] = {
            Opcode.LOAD_CONSTANT: self._check_constant,
            Opcode.LOAD_LOCAL: self._check_local,
            Opcode.STORE_LOCAL: self._check_local,
            Opcode.FOR_NEXT: self._check_for_next,
            Opcode.LOAD_FIELD: self._check_field,
            Opcode.BUILD_RECORD: self._check_record,
            Opcode.BUILD_LIST: self._check_item_count,
            Opcode.JOIN_TEXTS: self._check_item_count,
            Opcode.CALL: self._check_call,
            Opcode.CALL_BUILT_IN: self._check_built_in,
        }

    def heights(self) -> dict[int, int]:
        function = self._function
        sizes_fit = 0 < len(function.instructions) <= MAX_INSTRUCTIONS
        if not sizes_fit or not 0 <= function.parameter_count <= function.local_count <= MAX_LOCAL_COUNT:
            raise self._error("number of instructions, parameters or locals out of bounds")
        heights: dict[int, int] = {}
        pending = [(0, 0)]
        while pending:
            position, height = pending.pop()
            if not 0 <= position < len(function.instructions):
                raise self._error(f"position {position} is reached, but is not in the function")
            if position not in heights:
                heights[position] = height
                pending += self._successors(position, height)
            elif heights[position] != height:
                raise self._error(
                    f"the instruction at {position} is reached with {heights[position]} and with {height} values"
                )
        return heights

    def _successors(self, position: int, height: int) -> list[tuple[int, int]]:
        """The positions that may follow an instruction, each with the height of the stack there."""
        number, a, b = self._function.instructions[position]
        try:
            opcode = Opcode(number)
        except ValueError:
            raise self._error(f"unknown opcode {number} at {position}") from None
        popped = self._popped_values(opcode, a, b)
        if popped > height:
            raise self._error(f"{opcode.name} at {position} needs {popped} values, the stack has {height}")
        height_after = height - popped + (opcode not in PUSH_NOTHING)
        match opcode:
            case Opcode.RETURN:
                return []
            case Opcode.JUMP:
                return [(a, height_after)]
            case Opcode.JUMP_IF_FALSE:
                return [(a, height_after), (position + 1, height_after)]
            case Opcode.FOR_NEXT:
                return [(b, height), (position + 1, height_after)]
        return [(position + 1, height_after)]

    def _popped_values(self, opcode: Opcode, a: int, b: int) -> int:
        """Check the arguments of an instruction; returns how many values it pops."""
        check = self._argument_checks.get(opcode)
        if check is not None:
            return check(opcode, a, b)
        return POPPED_VALUES.get(opcode, POPPED_BY_OPERATORS)

    def _error(self, message: str) -> BytecodeError:
        return BytecodeError(f"{self._function.name}: {message}")

    def _require_below(self, bound: int, opcode: Opcode, value: int) -> None:
        if not 0 <= value < bound:
            raise self._error(f"{opcode.name}: expected an argument from 0 and below {bound}, got {value}")

    def _check_constant(self, opcode: Opcode, a: int, _b: int) -> int:
        self._require_below(len(self._program.constants), opcode, a)
        return POPPED_VALUES[opcode]

    def _check_local(self, opcode: Opcode, a: int, _b: int) -> int:
        self._require_below(self._function.local_count, opcode, a)
        return POPPED_VALUES[opcode]

    def _check_for_next(self, opcode: Opcode, a: int, _b: int) -> int:
        self._require_below(self._function.local_count - 1, opcode, a)
        return POPPED_VALUES[opcode]

    def _check_field(self, opcode: Opcode, a: int, _b: int) -> int:
        self._require_below(MAX_FIELDS, opcode, a)
        return POPPED_VALUES[opcode]

    def _check_record(self, opcode: Opcode, a: int, _b: int) -> int:
        self._require_below(len(RECORD_TYPES), opcode, a)
        return len(RECORDS[RECORD_TYPES[a]])

    def _check_item_count(self, opcode: Opcode, a: int, _b: int) -> int:
        self._require_below(MAX_INSTRUCTIONS, opcode, a)
        return a

    def _check_call(self, opcode: Opcode, a: int, b: int) -> int:
        self._require_below(len(self._program.functions), opcode, a)
        return self._require_arguments(self._program.functions[a].parameter_count, b)

    def _check_built_in(self, opcode: Opcode, a: int, b: int) -> int:
        self._require_below(len(BUILT_IN_SIGNATURES), opcode, a)
        return self._require_arguments(len(BUILT_IN_SIGNATURES[a].parameters), b)

    def _require_arguments(self, expected: int, actual: int) -> int:
        if expected != actual:
            raise self._error(f"a call passes {actual} arguments, expected {expected}")
        return actual
