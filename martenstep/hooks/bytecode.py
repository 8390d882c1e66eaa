"""Compiles a checked hook to code for the machine, and reads such code back from bytes that nobody vouches for.

A function is a row of instructions of three small whole numbers: what, and two arguments.  The machine has a stack and
numbered slots.  Code from bytes is verified before it runs: every jump lands in its function, every stack is as high
as each instruction needs and the same on all ways to it, every index is one that is there.
"""

from __future__ import annotations

import math
from enum import IntEnum, auto

import msgspec

from martenstep.hooks import syntax_tree as syn
from martenstep.hooks.syntax_tree import Expr
from martenstep.hooks.type_checker import MOST_SLOTS, check
from martenstep.hooks.types import BUILT_IN, BUILT_INS, DURATION, POINTS, RECORDS, TEXT, ZERO, Type

FORMAT = 1  # raised with each change of what the bytes mean
MOST_CODE = 20_000  # instructions of one function
MOST_FUNCTIONS = 500
RECORD_LIST = tuple(RECORDS)
Constant = float | str | bool


class Op(IntEnum):
    """What one instruction does; a and b are its arguments."""

    CONST = 0  # push constant a
    LOAD = auto()  # push slot a
    STORE = auto()  # pop into slot a
    JUMP = auto()  # go to a
    JUMP_FALSE = auto()  # pop; go to a if it is false
    NEG = auto()
    NOT = auto()
    ADD = auto()  # of numbers
    SUB = auto()
    MUL = auto()
    DIV = auto()
    MOD = auto()
    CONCAT = auto()  # two texts
    EXTEND = auto()  # two lists
    LESS = auto()
    LESS_EQUAL = auto()
    EQUAL = auto()
    IN_TEXT = auto()
    IN_LIST = auto()
    FIELD = auto()  # field a of the record on top
    INDEX = auto()
    MAKE = auto()  # record kind a from its fields
    LIST = auto()  # of the a on top
    TEXT = auto()  # join the a texts on top
    SHOW = auto()  # a number, bool or duration as text; a: 1 for a duration
    CALL = auto()  # function a of the program with b values
    BUILT_IN = auto()  # a with b values
    NEXT = auto()  # slots a (list) and a + 1 (place): push the next item, or go to b
    RETURN = auto()


TAKES = {
    Op.CONST: 0,
    Op.LOAD: 0,
    Op.STORE: 1,
    Op.JUMP: 0,
    Op.JUMP_FALSE: 1,
    Op.NEG: 1,
    Op.NOT: 1,
    Op.FIELD: 1,
    Op.SHOW: 1,
    Op.NEXT: 0,
    Op.RETURN: 1,
}
GIVES_NOTHING = (Op.STORE, Op.JUMP, Op.JUMP_FALSE, Op.RETURN)


class CodeError(Exception):
    """Bytes that are no program."""


class Function(msgspec.Struct, frozen=True, array_like=True):
    """One function's code."""

    name: str
    params: int
    slots: int
    code: list[tuple[int, int, int]]


class Program(msgspec.Struct, frozen=True, array_like=True):
    """A whole file: functions, and which of them stand at which point or are tests."""

    format: int
    constants: list[Constant]
    functions: list[Function]
    points: dict[str, int]
    tests: list[tuple[str, int]]


class _Compiler:
    def __init__(self, file: syn.File) -> None:
        self._file, self._checked = file, check(file)
        self._constants: list[Constant] = []
        self._places: dict[tuple[type, Constant], int] = {}
        self._numbers = {function.name: number for number, function in enumerate(file.functions)}
        self._code: list[tuple[int, int, int]] = []
        self._slots = 0

    def program(self) -> Program:
        functions = [
            self._function(one.name, [name for name, _ in one.params], one.body) for one in self._file.functions
        ]
        points = {}
        for hook in self._file.hooks:
            points[hook.point] = len(functions)
            functions.append(self._function(f"on {hook.point}", hook.params, hook.body))
        tests = []
        for test in self._file.tests:
            tests.append((test.title, len(functions)))
            functions.append(self._function(f"test {test.title}", [], test.body))
        return Program(FORMAT, self._constants, functions, points, tests)

    def _function(self, name: str, params: list[str], body: syn.Block) -> Function:
        self._code, self._slots = [], len(params)
        self._expr(body, {param: number for number, param in enumerate(params)})
        self._put(Op.RETURN)
        return Function(name, len(params), self._slots, self._code)

    def _put(self, op: Op, one: int = 0, other: int = 0) -> int:
        self._code.append((int(op), one, other))
        return len(self._code) - 1

    def _land(self, at: int) -> None:
        """A jump lands here."""
        op, one, other = self._code[at]
        here = len(self._code)
        self._code[at] = (op, one, here) if op == Op.NEXT else (op, here, other)

    def _slot(self) -> int:
        self._slots += 1
        return self._slots - 1

    def _const(self, value: Constant) -> None:
        key = (type(value), value)
        if key not in self._places:
            self._places[key] = len(self._constants)
            self._constants.append(value)
        self._put(Op.CONST, self._places[key])

    def _type(self, made: Expr) -> Type:
        return self._checked.types[id(made)]

    def _nothing(self, kind: Type) -> None:
        """The value of a field that was not given."""
        if kind.name == "list":
            self._put(Op.LIST, 0)
        else:
            self._const(ZERO[kind.name])

    def _expr(self, made: Expr, names: dict[str, int]) -> None:
        match made:
            case syn.Number() | syn.Bool():
                self._const(made.value)
            case syn.Text():
                for part in made.parts:
                    if isinstance(part, str):
                        self._const(part)
                    else:
                        self._expr(part, names)
                        if self._type(part) != TEXT:
                            self._put(Op.SHOW, int(self._type(part) == DURATION))
                if len(made.parts) != 1:
                    self._put(Op.TEXT, len(made.parts))
            case syn.Name():
                self._put(Op.LOAD, names[made.name])
            case syn.Items():
                for item in made.items:
                    self._expr(item, names)
                self._put(Op.LIST, len(made.items))
            case syn.Make():
                given = dict(made.fields)
                kind = self._type(made)
                for name, of in RECORDS[kind]:
                    if name in given:
                        self._expr(given[name], names)
                    else:
                        self._nothing(of)
                self._put(Op.MAKE, RECORD_LIST.index(kind))
            case syn.Field():
                self._expr(made.of, names)
                fields = [name for name, _ in RECORDS[self._type(made.of)]]
                self._put(Op.FIELD, fields.index(made.name))
            case syn.Index():
                self._expr(made.of, names)
                self._expr(made.at, names)
                self._put(Op.INDEX)
            case syn.Unary():
                self._expr(made.of, names)
                self._put(Op.NOT if made.sign == "not" else Op.NEG)
            case syn.Binary():
                self._binary(made, names)
            case syn.Block():
                inner = dict(names)
                for name, value in made.lets:
                    self._expr(value, inner)
                    inner[name] = self._slot()
                    self._put(Op.STORE, inner[name])
                self._expr(made.value, inner)
            case syn.If():
                self._expr(made.test, names)
                self._ways(made.then, made.other, names)
            case syn.Match():
                self._match(made, names)
            case syn.For():
                self._for(made, names)
            case syn.Call():
                for arg in made.args:
                    self._expr(arg, names)
                if made.name in self._numbers:
                    self._put(Op.CALL, self._numbers[made.name], len(made.args))
                elif made.name == "text":
                    kind = self._type(made.args[0])
                    if kind != TEXT:
                        self._put(Op.SHOW, int(kind == DURATION))
                else:
                    self._put(Op.BUILT_IN, BUILT_INS.index(made.name), len(made.args))

    def _ways(self, then: Expr, other: Expr, names: dict[str, int]) -> None:
        leap = self._put(Op.JUMP_FALSE)
        self._expr(then, names)
        out = self._put(Op.JUMP)
        self._land(leap)
        self._expr(other, names)
        self._land(out)

    def _binary(self, made: syn.Binary, names: dict[str, int]) -> None:
        self._expr(made.left, names)
        if made.sign in ("and", "or"):
            leap = self._put(Op.JUMP_FALSE)
            if made.sign == "and":
                self._expr(made.right, names)
            else:
                self._const(True)
            out = self._put(Op.JUMP)
            self._land(leap)
            if made.sign == "and":
                self._const(False)
            else:
                self._expr(made.right, names)
            self._land(out)
            return
        self._expr(made.right, names)
        left = self._type(made.left)
        match made.sign:
            case "+":
                self._put({"text": Op.CONCAT, "list": Op.EXTEND}.get(left.name, Op.ADD))
            case "-" | "*" | "/" | "%":
                self._put({"-": Op.SUB, "*": Op.MUL, "/": Op.DIV, "%": Op.MOD}[made.sign])
            case "<" | "<=":
                self._put(Op.LESS if made.sign == "<" else Op.LESS_EQUAL)
            case ">" | ">=":  # not the other way round: both sides are plain and ordered
                self._put(Op.LESS_EQUAL if made.sign == ">" else Op.LESS)
                self._put(Op.NOT)
            case "==" | "!=":
                self._put(Op.EQUAL)
                if made.sign == "!=":
                    self._put(Op.NOT)
            case "in":
                self._put(Op.IN_TEXT if self._type(made.right) == TEXT else Op.IN_LIST)

    def _match(self, made: syn.Match, names: dict[str, int]) -> None:
        self._expr(made.of, names)
        slot = self._slot()
        self._put(Op.STORE, slot)
        outs = []
        for arm in made.arms[:-1]:
            hits = []
            for number, value in enumerate(arm.values):
                self._put(Op.LOAD, slot)
                self._expr(value, names)
                self._put(Op.EQUAL)
                if number < len(arm.values) - 1:
                    self._put(Op.NOT)
                    hits.append(self._put(Op.JUMP_FALSE))
                else:
                    past = self._put(Op.JUMP_FALSE)
            for hit in hits:
                self._land(hit)
            self._expr(arm.then, names)
            outs.append(self._put(Op.JUMP))
            self._land(past)
        self._expr(made.arms[-1].then, names)
        for out in outs:
            self._land(out)

    def _for(self, made: syn.For, names: dict[str, int]) -> None:
        self._expr(made.over, names)
        over = self._slot()
        place = self._slot()
        self._put(Op.STORE, over)
        self._const(0.0)
        self._put(Op.STORE, place)
        carried, item = self._slot(), self._slot()
        self._expr(made.start, names)
        self._put(Op.STORE, carried)
        begin = self._put(Op.NEXT, over)
        self._put(Op.STORE, item)
        self._expr(made.body, {**names, made.item: item, made.carried: carried})
        self._put(Op.STORE, carried)
        self._put(Op.JUMP, begin)
        self._land(begin)
        self._put(Op.LOAD, carried)


def compile_file(file: syn.File) -> Program:
    """Check and compile; raises HookFault."""
    return _Compiler(file).program()


def compile_source(source: str) -> Program:
    """From a source to its program; raises HookFault."""
    return compile_file(syn.parse(source))


def pack(program: Program) -> bytes:
    """A program as bytes."""
    return msgspec.msgpack.encode(program)


def unpack(data: bytes) -> Program:
    """A program from bytes, verified; raises CodeError."""
    try:
        program = msgspec.msgpack.decode(data, type=Program)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError) as error:
        raise CodeError(str(error)) from None
    verify(program)
    return program


def verify(program: Program) -> None:
    """Raises CodeError on code that could not have come from the compiler by its shape."""
    if program.format != FORMAT:
        raise CodeError(f"format {program.format}, known is {FORMAT}")
    if len(program.functions) > MOST_FUNCTIONS:
        raise CodeError("too many functions")
    if any(isinstance(value, float) and not math.isfinite(value) for value in program.constants):
        raise CodeError("a constant that is no finite number")
    for point, number in program.points.items():
        if point not in POINTS or not 0 <= number < len(program.functions):
            raise CodeError(f"point {point!r}: not known, or no such function")
        if program.functions[number].params != len(POINTS[point][0]):
            raise CodeError(f"point {point!r}: a function of other values")
    for _, number in program.tests:
        if not 0 <= number < len(program.functions) or program.functions[number].params:
            raise CodeError("a test that is no function without values")
    for function in program.functions:
        _verify_function(program, function)


def _verify_function(program: Program, function: Function) -> None:
    heights_of(program, function)


def heights_of(program: Program, function: Function) -> dict[int, int]:
    """How high the stack is before each instruction that can be reached; raises CodeError."""
    code = function.code
    if not 0 < len(code) <= MOST_CODE or not 0 <= function.params <= function.slots <= 4 * MOST_SLOTS:
        raise CodeError(f"{function.name}: sizes out of bounds")
    heights: dict[int, int] = {}
    todo = [(0, 0)]
    while todo:
        at, height = todo.pop()
        if not 0 <= at < len(code):
            raise CodeError(f"{function.name}: a way out of the code")
        if at in heights:
            if heights[at] != height:
                raise CodeError(f"{function.name}: two heights at {at}")
            continue
        heights[at] = height
        number, one, other = code[at]
        try:
            op = Op(number)
        except ValueError:
            raise CodeError(f"{function.name}: no instruction {number}") from None
        takes = _takes(program, function, op, one, other)
        if takes > height:
            raise CodeError(f"{function.name}: {op.name} at {at} finds {height} values")
        after = height - takes + (op not in GIVES_NOTHING)
        if op is Op.RETURN:
            continue
        if op is Op.JUMP:
            todo.append((one, after))
            continue
        if op is Op.JUMP_FALSE:
            todo.append((one, after))
        if op is Op.NEXT:
            todo.append((other, height))
        todo.append((at + 1, after))
    return heights


def _takes(program: Program, function: Function, op: Op, one: int, other: int) -> int:
    """How many values an instruction takes; raises CodeError on an argument that is none."""

    def within(value: int, bound: int) -> None:
        if not 0 <= value < bound:
            raise CodeError(f"{function.name}: {op.name} {value} is out of bounds")

    match op:
        case Op.CONST:
            within(one, len(program.constants))
        case Op.LOAD | Op.STORE:
            within(one, function.slots)
        case Op.NEXT:
            within(one, function.slots - 1)
        case Op.FIELD:
            within(one, 32)
        case Op.MAKE:
            within(one, len(RECORD_LIST))
            return len(RECORDS[RECORD_LIST[one]])
        case Op.LIST | Op.TEXT:
            within(one, MOST_CODE)
            return one
        case Op.CALL:
            within(one, len(program.functions))
            if program.functions[one].params != other:
                raise CodeError(f"{function.name}: a call with other values")
            return other
        case Op.BUILT_IN:
            within(one, len(BUILT_INS))
            if len(BUILT_IN[BUILT_INS[one]][0]) != other:
                raise CodeError(f"{function.name}: a call with other values")
            return other
        case _:
            pass
    return TAKES.get(op, 2)
