"""Compiles the source of hooks to a program of the virtual machine."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.bytecode import FORMAT, RECORD_TYPES, Constant, Function, Instruction, Opcode, Program
from martenstep.hooks.parser import parse
from martenstep.hooks.type_checker import check_types
from martenstep.hooks.types import BUILT_INS, DEFAULT_VALUES, DURATION, RECORDS, TEXT, Type

BUILT_IN_NAMES = tuple(BUILT_INS)
# The instructions of each operator; the two tables below replace some of them for texts and lists.
# > and >= compile to the negation of <= and <: operands are totally ordered, since numbers are always finite.
OPERATOR_INSTRUCTIONS: dict[str, tuple[Opcode, ...]] = {
    "+": (Opcode.ADD,),
    "-": (Opcode.SUBTRACT,),
    "*": (Opcode.MULTIPLY,),
    "/": (Opcode.DIVIDE,),
    "%": (Opcode.MODULO,),
    "<": (Opcode.LESS,),
    "<=": (Opcode.LESS_EQUAL,),
    ">": (Opcode.LESS_EQUAL, Opcode.NOT),
    ">=": (Opcode.LESS, Opcode.NOT),
    "==": (Opcode.EQUAL,),
    "!=": (Opcode.EQUAL, Opcode.NOT),
    "in": (Opcode.IN_LIST,),
}
TEXT_OPERATOR_INSTRUCTIONS = OPERATOR_INSTRUCTIONS | {
    "+": (Opcode.CONCATENATE_TEXTS,),
    "in": (Opcode.IN_TEXT,),
}
LIST_OPERATOR_INSTRUCTIONS = OPERATOR_INSTRUCTIONS | {"+": (Opcode.CONCATENATE_LISTS,)}
Locals = dict[str, int]


class _Compiler:
    """Compiles one file."""

    def __init__(self, file: tree.SourceFile) -> None:
        self._file = file
        self._types = check_types(file)
        self._constants: list[Constant] = []
        self._constant_numbers: dict[tuple[type, Constant], int] = {}
        self._function_numbers = {function.name: number for number, function in enumerate(file.functions)}
        self._instructions: list[Instruction] = []
        self._local_count = 0
        self._rules: dict[type, Callable[[Any, Locals], object]] = {
            tree.NumberLiteral: lambda node, names: self._load_constant(node.value),
            tree.BoolLiteral: lambda node, names: self._load_constant(node.value),
            tree.TextLiteral: self._text,
            tree.NameReference: lambda node, names: self._emit(Opcode.LOAD_LOCAL, names[node.name]),
            tree.ListLiteral: self._list,
            tree.RecordLiteral: self._record,
            tree.FieldAccess: self._field,
            tree.IndexAccess: self._index,
            tree.UnaryOperation: self._unary,
            tree.BinaryOperation: self._binary,
            tree.Block: self._block,
            tree.Conditional: self._conditional,
            tree.Match: self._match,
            tree.Fold: self._fold,
            tree.Call: self._call,
        }

    def program(self) -> Program:
        """Compile the file."""
        functions = [
            self._function(function.name, [name for name, _ in function.parameters], function.body)
            for function in self._file.functions
        ]
        points = {}
        for hook in self._file.hooks:
            points[hook.point] = len(functions)
            functions.append(self._function(f"on {hook.point}", hook.parameters, hook.body))
        tests = []
        for test in self._file.tests:
            tests.append((test.title, len(functions)))
            functions.append(self._function(f"test {test.title}", [], test.body))
        return Program(FORMAT, self._constants, functions, points, tests)

    def _function(self, name: str, parameters: Sequence[str], body: tree.Block) -> Function:
        self._instructions = []
        self._local_count = len(parameters)
        self._expression(body, {parameter: number for number, parameter in enumerate(parameters)})
        self._emit(Opcode.RETURN)
        return Function(name, len(parameters), self._local_count, self._instructions)

    # Instructions -------------------------------------------------------------------------------------------

    def _emit(self, opcode: Opcode, a: int = 0, b: int = 0) -> int:
        """Append an instruction; returns its position."""
        self._instructions.append((int(opcode), a, b))
        return len(self._instructions) - 1

    def _set_target(self, position: int) -> None:
        """Make the jump at `position` lead to the next instruction to be emitted."""
        opcode, a, b = self._instructions[position]
        target = len(self._instructions)
        self._instructions[position] = (opcode, a, target) if opcode == Opcode.FOR_NEXT else (opcode, target, b)

    def _new_local(self) -> int:
        self._local_count += 1
        return self._local_count - 1

    def _load_constant(self, value: Constant) -> None:
        key = (type(value), value)
        if key not in self._constant_numbers:
            self._constant_numbers[key] = len(self._constants)
            self._constants.append(value)
        self._emit(Opcode.LOAD_CONSTANT, self._constant_numbers[key])

    def _load_default(self, field_type: Type) -> None:
        """Load the value of an omitted field."""
        if field_type.is_list:
            self._emit(Opcode.BUILD_LIST, 0)
        else:
            self._load_constant(DEFAULT_VALUES[field_type.name])

    def _format_as_text(self, value_type: Type) -> None:
        if value_type != TEXT:
            self._emit(Opcode.FORMAT_VALUE, int(value_type == DURATION))

    # Expressions --------------------------------------------------------------------------------------------

    def _type_of(self, expression: tree.Expression) -> Type:
        return self._types[id(expression)]

    def _expression(self, expression: tree.Expression, names: Locals) -> None:
        self._rules[type(expression)](expression, names)

    def _text(self, text: tree.TextLiteral, names: Locals) -> None:
        for part in text.parts:
            if isinstance(part, str):
                self._load_constant(part)
            else:
                self._expression(part, names)
                self._format_as_text(self._type_of(part))
        if len(text.parts) != 1:
            self._emit(Opcode.JOIN_TEXTS, len(text.parts))

    def _list(self, literal: tree.ListLiteral, names: Locals) -> None:
        for item in literal.items:
            self._expression(item, names)
        self._emit(Opcode.BUILD_LIST, len(literal.items))

    def _record(self, literal: tree.RecordLiteral, names: Locals) -> None:
        given = dict(literal.fields)
        record = self._type_of(literal)
        for name, field_type in RECORDS[record]:
            if name in given:
                self._expression(given[name], names)
            else:
                self._load_default(field_type)
        self._emit(Opcode.BUILD_RECORD, RECORD_TYPES.index(record))

    def _field(self, access: tree.FieldAccess, names: Locals) -> None:
        self._expression(access.record, names)
        field_names = [name for name, _ in RECORDS[self._type_of(access.record)]]
        self._emit(Opcode.LOAD_FIELD, field_names.index(access.field_name))

    def _index(self, access: tree.IndexAccess, names: Locals) -> None:
        self._expression(access.list_value, names)
        self._expression(access.index, names)
        self._emit(Opcode.LOAD_ITEM)

    def _unary(self, operation: tree.UnaryOperation, names: Locals) -> None:
        self._expression(operation.operand, names)
        self._emit(Opcode.NOT if operation.operator == "not" else Opcode.NEGATE)

    def _binary(self, operation: tree.BinaryOperation, names: Locals) -> None:
        self._expression(operation.left, names)
        if operation.operator in ("and", "or"):
            self._short_circuit(operation, names)
            return
        self._expression(operation.right, names)
        operand = self._type_of(operation.right if operation.operator == "in" else operation.left)
        if operand == TEXT:
            instructions = TEXT_OPERATOR_INSTRUCTIONS
        elif operand.is_list:
            instructions = LIST_OPERATOR_INSTRUCTIONS
        else:
            instructions = OPERATOR_INSTRUCTIONS
        for opcode in instructions[operation.operator]:
            self._emit(opcode)

    def _short_circuit(self, operation: tree.BinaryOperation, names: Locals) -> None:
        """Compile the rest of `and` or `or` after the left operand, whose value is on the stack."""
        jump_if_false = self._emit(Opcode.JUMP_IF_FALSE)
        if operation.operator == "and":
            self._expression(operation.right, names)
        else:
            self._load_constant(True)
        jump_to_end = self._emit(Opcode.JUMP)
        self._set_target(jump_if_false)
        if operation.operator == "and":
            self._load_constant(False)
        else:
            self._expression(operation.right, names)
        self._set_target(jump_to_end)

    def _block(self, block: tree.Block, names: Locals) -> None:
        inner = dict(names)
        for name, value in block.bindings:
            self._expression(value, inner)
            inner[name] = self._new_local()
            self._emit(Opcode.STORE_LOCAL, inner[name])
        self._expression(block.result, inner)

    def _conditional(self, conditional: tree.Conditional, names: Locals) -> None:
        self._expression(conditional.condition, names)
        jump_to_else = self._emit(Opcode.JUMP_IF_FALSE)
        self._expression(conditional.then_branch, names)
        jump_to_end = self._emit(Opcode.JUMP)
        self._set_target(jump_to_else)
        self._expression(conditional.else_branch, names)
        self._set_target(jump_to_end)

    def _match(self, match: tree.Match, names: Locals) -> None:
        self._expression(match.subject, names)
        subject = self._new_local()
        self._emit(Opcode.STORE_LOCAL, subject)
        jumps_to_end = []
        for arm in match.arms[:-1]:
            jump_to_next_arm = self._match_literals(arm, subject, names)
            self._expression(arm.result, names)
            jumps_to_end.append(self._emit(Opcode.JUMP))
            self._set_target(jump_to_next_arm)
        self._expression(match.arms[-1].result, names)
        for jump in jumps_to_end:
            self._set_target(jump)

    def _match_literals(self, arm: tree.MatchArm, subject: int, names: Locals) -> int:
        """Continue if the subject equals one of an arm's literals; returns the position of the jump taken otherwise."""
        jumps_to_result = []
        for literal in arm.literals[:-1]:
            self._compare_with(subject, literal, names)
            self._emit(Opcode.NOT)
            jumps_to_result.append(self._emit(Opcode.JUMP_IF_FALSE))
        self._compare_with(subject, arm.literals[-1], names)
        jump_to_next_arm = self._emit(Opcode.JUMP_IF_FALSE)
        for jump in jumps_to_result:
            self._set_target(jump)
        return jump_to_next_arm

    def _compare_with(self, subject: int, literal: tree.Expression, names: Locals) -> None:
        self._emit(Opcode.LOAD_LOCAL, subject)
        self._expression(literal, names)
        self._emit(Opcode.EQUAL)

    def _fold(self, fold: tree.Fold, names: Locals) -> None:
        self._expression(fold.items, names)
        items = self._new_local()
        position = self._new_local()  # FOR_NEXT expects the position in the local after the list
        self._emit(Opcode.STORE_LOCAL, items)
        self._load_constant(0.0)
        self._emit(Opcode.STORE_LOCAL, position)
        accumulator = self._new_local()
        item = self._new_local()
        self._expression(fold.initial, names)
        self._emit(Opcode.STORE_LOCAL, accumulator)
        for_next = self._emit(Opcode.FOR_NEXT, items)
        self._emit(Opcode.STORE_LOCAL, item)
        self._expression(fold.body, {**names, fold.item_name: item, fold.accumulator_name: accumulator})
        self._emit(Opcode.STORE_LOCAL, accumulator)
        self._emit(Opcode.JUMP, for_next)
        self._set_target(for_next)
        self._emit(Opcode.LOAD_LOCAL, accumulator)

    def _call(self, call: tree.Call, names: Locals) -> None:
        for argument in call.arguments:
            self._expression(argument, names)
        if call.function_name in self._function_numbers:
            self._emit(Opcode.CALL, self._function_numbers[call.function_name], len(call.arguments))
        elif call.function_name == "text":
            self._format_as_text(self._type_of(call.arguments[0]))
        else:
            number = BUILT_IN_NAMES.index(call.function_name)
            self._emit(Opcode.CALL_BUILT_IN, number, len(call.arguments))


def compile_file(file: tree.SourceFile) -> Program:
    """Check the types of a file and compile it; raises HookSourceError."""
    return _Compiler(file).program()


def compile_source(source: str) -> Program:
    """Parse, check and compile a source; raises HookSourceError."""
    return compile_file(parse(source))
