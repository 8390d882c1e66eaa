"""Programs of the hooks' virtual machine: instructions, and their encoding as bytes.

The machine has a stack of values and, for each call, numbered local variables.  An instruction is three integers: its
opcode and two arguments, `a` and `b`.
"""

from __future__ import annotations

from enum import IntEnum, auto

import msgspec

from martenstep.hooks.types import RECORDS

FORMAT = 1  # increased whenever the meaning of the bytes changes
MAX_INSTRUCTIONS = 20_000  # of one function
MAX_FUNCTIONS = 500
RECORD_TYPES = tuple(RECORDS)  # an instruction refers to a record type by its index here
Constant = float | str | bool
Instruction = tuple[int, int, int]  # a plain tuple, because the interpreter unpacks it at each step


class Opcode(IntEnum):
    """The kinds of instructions; a comment gives what one does with the arguments `a` and `b`."""

    LOAD_CONSTANT = 0  # push constant a
    LOAD_LOCAL = auto()  # push local a
    STORE_LOCAL = auto()  # pop into local a
    JUMP = auto()  # to position a
    JUMP_IF_FALSE = auto()  # pop a bool; to position a if it is false
    NEGATE = auto()
    NOT = auto()
    ADD = auto()  # this and the next four: pop two numbers, push the result
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
    LOAD_FIELD = auto()  # pop a record, push its field a
    LOAD_ITEM = auto()
    BUILD_RECORD = auto()  # pop the fields of a record of type a, push the record
    BUILD_LIST = auto()  # pop a values, push a list of them
    JOIN_TEXTS = auto()  # pop a texts, push their concatenation
    FORMAT_VALUE = auto()  # pop a number, bool or duration, push it as text; a is 1 for a duration
    CALL = auto()  # call function a of the program with b arguments
    CALL_BUILT_IN = auto()  # call built-in function a with b arguments
    # Push the next item of the list in local a, whose position is in local a + 1; at the end of the list jump to b.
    FOR_NEXT = auto()
    RETURN = auto()


class BytecodeError(Exception):
    """Bytes or instructions that are not a valid program."""


class Function(msgspec.Struct, frozen=True, array_like=True):
    """The instructions of one function."""

    name: str
    parameter_count: int
    local_count: int  # including the parameters
    instructions: list[Instruction]


class Program(msgspec.Struct, frozen=True, array_like=True):
    """A compiled file; `points` and `tests` map extension points and titles to indexes of `functions`."""

    format: int
    constants: list[Constant]
    functions: list[Function]
    points: dict[str, int]
    tests: list[tuple[str, int]]


def encode_program(program: Program) -> bytes:
    """Encode a program as bytes."""
    return msgspec.msgpack.encode(program)


def decode_program(data: bytes) -> Program:
    """Decode a program without verifying it; raises BytecodeError."""
    try:
        return msgspec.msgpack.decode(data, type=Program)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise BytecodeError(str(error)) from None
