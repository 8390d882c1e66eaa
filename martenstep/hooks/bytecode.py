"""Programs of the hooks' virtual machine: instructions, and their form as bytes.

The machine has a stack and, for each function, numbered local variables.  An instruction is three whole numbers: its
opcode and two arguments, `a` and `b`.
"""

from __future__ import annotations

from enum import IntEnum, auto

import msgspec

from martenstep.hooks.types import RECORDS

FORMAT = 1  # raised with each change of what the bytes mean
MAX_INSTRUCTIONS = 20_000  # of one function
MAX_FUNCTIONS = 500
RECORD_TYPES = tuple(RECORDS)  # an instruction names a record by its place here
Constant = float | str | bool
Instruction = tuple[int, int, int]  # a plain tuple: the interpreter takes it apart at each step


class Opcode(IntEnum):
    """What an instruction does."""

    LOAD_CONSTANT = 0  # push constant a
    LOAD_LOCAL = auto()  # push local a
    STORE_LOCAL = auto()  # pop into local a
    JUMP = auto()  # to a
    JUMP_IF_FALSE = auto()  # pop; to a if it is false
    NEGATE = auto()
    NOT = auto()
    ADD = auto()  # of numbers, as the four that follow
    SUBTRACT = auto()
    MULTIPLY = auto()
    DIVIDE = auto()
    MODULO = auto()
    CONCATENATE_TEXTS = auto()
    CONCATENATE_LISTS = auto()
    LESS = auto()
    LESS_EQUAL = auto()
    EQUAL = auto()
    IN_TEXT = auto()
    IN_LIST = auto()
    LOAD_FIELD = auto()  # field a of the record on top
    LOAD_ITEM = auto()
    BUILD_RECORD = auto()  # of type a, from its fields
    BUILD_LIST = auto()  # of the a values on top
    JOIN_TEXTS = auto()  # the a texts on top
    FORMAT_VALUE = auto()  # a number, bool or duration as text; a: 1 for a duration
    CALL = auto()  # function a of the program with b arguments
    CALL_BUILT_IN = auto()  # built-in function a with b arguments
    FOR_NEXT = auto()  # local a is a list, local a + 1 a position in it: push the next item, or jump to b
    RETURN = auto()


class BytecodeError(Exception):
    """Bytes or instructions that are no program of the machine."""


class Function(msgspec.Struct, frozen=True, array_like=True):
    """The instructions of one function."""

    name: str
    parameter_count: int
    local_count: int  # with the parameters
    instructions: list[Instruction]


class Program(msgspec.Struct, frozen=True, array_like=True):
    """A compiled file; hooks by their extension point, and tests by their titles, name functions by their number."""

    format: int
    constants: list[Constant]
    functions: list[Function]
    points: dict[str, int]
    tests: list[tuple[str, int]]


def encode_program(program: Program) -> bytes:
    """A program as bytes."""
    return msgspec.msgpack.encode(program)


def decode_program(data: bytes) -> Program:
    """A program from bytes, not verified; raises BytecodeError."""
    try:
        return msgspec.msgpack.decode(data, type=Program)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise BytecodeError(str(error)) from None
