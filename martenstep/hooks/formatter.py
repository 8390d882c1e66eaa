"""Writes a syntax tree in the one usual form, which parses to the same tree.

Comments between functions, hooks and tests are kept; one inside of them has no place in the form and is an error.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.lexer import DURATION_UNITS_MS
from martenstep.hooks.source import HookSourceError

MAX_ONE_LINE_BLOCK = 70  # characters of a block that stands on one line, with its indent
INDENT = "  "
ESCAPES = {"\n": "\\n", "\t": "\\t", '"': '\\"', "\\": "\\\\"}
# How strongly an expression binds: what binds weaker than its place asks for needs parentheses.
NEEDS_PARENTHESES = -1
ANY_PRECEDENCE = 0
NOT_PRECEDENCE = 3
COMPARISON_PRECEDENCE = 4
MINUS_PRECEDENCE = 7
PRIMARY_PRECEDENCE = 8
OPERATOR_PRECEDENCE = {
    "or": 1,
    "and": 2,
    "==": COMPARISON_PRECEDENCE,
    "!=": COMPARISON_PRECEDENCE,
    "<": COMPARISON_PRECEDENCE,
    "<=": COMPARISON_PRECEDENCE,
    ">": COMPARISON_PRECEDENCE,
    ">=": COMPARISON_PRECEDENCE,
    "in": COMPARISON_PRECEDENCE,
    "+": 5,
    "-": 5,
    "*": 6,
    "/": 6,
    "%": 6,
}


class _Written(NamedTuple):
    text: str
    precedence: int


class _Position(NamedTuple):
    """Where an expression stands; in the head of if, match or for a record needs parentheses."""

    depth: int  # of indentation
    in_head: bool = False


def format_number(literal: tree.NumberLiteral) -> str:
    """A number or duration that is not negative."""
    value = literal.value
    if not literal.is_duration:
        return f"{value:.17g}" if value != int(value) else f"{value:.0f}"
    for unit in ("h", "m", "s"):
        if value and value % DURATION_UNITS_MS[unit] == 0:
            return f"{value / DURATION_UNITS_MS[unit]:.0f}{unit}"
    milliseconds = f"{value:.0f}" if value == int(value) else f"{value:.17g}"
    return milliseconds + "ms"


def escape_text(text: str) -> str:
    """The inside of a text."""
    return "".join(ESCAPES.get(character, character) for character in text).replace("${", "\\${")


def format_type(reference: tree.TypeReference) -> str:
    """A type."""
    if reference.item_type is None:
        return reference.name
    return f"{reference.name}<{format_type(reference.item_type)}>"


class _ExpressionWriter:
    """Writes blocks and expressions."""

    def __init__(self) -> None:
        self._rules: dict[type, Callable[[Any, _Position], _Written]] = {
            tree.NumberLiteral: self._number,
            tree.BoolLiteral: lambda node, _: _Written("true" if node.value else "false", PRIMARY_PRECEDENCE),
            tree.TextLiteral: self._text,
            tree.NameReference: lambda node, _: _Written(node.name, PRIMARY_PRECEDENCE),
            tree.Call: self._call,
            tree.RecordLiteral: self._record,
            tree.ListLiteral: self._list,
            tree.FieldAccess: self._field,
            tree.IndexAccess: self._index,
            tree.UnaryOperation: self._unary,
            tree.BinaryOperation: self._binary,
            tree.Conditional: self._conditional,
            tree.Match: self._match,
            tree.Fold: self._fold,
            tree.Block: lambda node, position: _Written(self.block(node, position.depth), PRIMARY_PRECEDENCE),
        }

    def block(self, block: tree.Block, depth: int) -> str:
        """A block: on one line where it is short and has no bindings."""
        result = self._anywhere(block.result, depth + 1)
        is_short = "\n" not in result and len(result) + len(INDENT) * depth < MAX_ONE_LINE_BLOCK
        if depth and is_short and not block.bindings:
            return f"{{ {result} }}"
        indent = INDENT * (depth + 1)
        bindings = "".join(
            f"{indent}let {name} = {self._anywhere(value, depth + 1)};\n" for name, value in block.bindings
        )
        return f"{{\n{bindings}{indent}{result}\n{INDENT * depth}}}"

    def _write(self, expression: tree.Expression, position: _Position, min_precedence: int) -> str:
        """An expression, in parentheses where it binds weaker than `min_precedence`."""
        text, precedence = self._rules[type(expression)](expression, position)
        return f"({text})" if precedence < min_precedence else text

    def _anywhere(self, expression: tree.Expression, depth: int) -> str:
        """An expression where none needs parentheses."""
        return self._write(expression, _Position(depth), ANY_PRECEDENCE)

    def _head(self, expression: tree.Expression, depth: int) -> str:
        return self._write(expression, _Position(depth, in_head=True), ANY_PRECEDENCE)

    def _row(self, expressions: list[tree.Expression], depth: int) -> str:
        return ", ".join(self._anywhere(expression, depth) for expression in expressions)

    def _number(self, literal: tree.NumberLiteral, _position: _Position) -> _Written:
        if literal.value >= 0:
            return _Written(format_number(literal), PRIMARY_PRECEDENCE)
        positive = tree.NumberLiteral(-literal.value, literal.is_duration, location=literal.location)
        return _Written(f"-{format_number(positive)}", MINUS_PRECEDENCE)

    def _text(self, literal: tree.TextLiteral, _position: _Position) -> _Written:
        parts = [
            escape_text(part) if isinstance(part, str) else "${" + self._anywhere(part, 0) + "}"
            for part in literal.parts
        ]
        return _Written('"' + "".join(parts) + '"', PRIMARY_PRECEDENCE)

    def _call(self, call: tree.Call, position: _Position) -> _Written:
        arguments = self._row(call.arguments, position.depth)
        return _Written(f"{call.function_name}({arguments})", PRIMARY_PRECEDENCE)

    def _record(self, literal: tree.RecordLiteral, position: _Position) -> _Written:
        fields = ", ".join(f"{name}: {self._anywhere(value, position.depth + 1)}" for name, value in literal.fields)
        text = f"{literal.type_name} {{ {fields} }}" if fields else f"{literal.type_name} {{}}"
        return _Written(text, NEEDS_PARENTHESES if position.in_head else PRIMARY_PRECEDENCE)

    def _list(self, literal: tree.ListLiteral, position: _Position) -> _Written:
        return _Written(f"[{self._row(literal.items, position.depth)}]", PRIMARY_PRECEDENCE)

    def _field(self, access: tree.FieldAccess, position: _Position) -> _Written:
        record = self._write(access.record, position, PRIMARY_PRECEDENCE)
        return _Written(f"{record}.{access.field_name}", PRIMARY_PRECEDENCE)

    def _index(self, access: tree.IndexAccess, position: _Position) -> _Written:
        list_value = self._write(access.list_value, position, PRIMARY_PRECEDENCE)
        return _Written(f"{list_value}[{self._anywhere(access.index, position.depth)}]", PRIMARY_PRECEDENCE)

    def _unary(self, operation: tree.UnaryOperation, position: _Position) -> _Written:
        if operation.operator == "not":
            return _Written(f"not {self._write(operation.operand, position, NOT_PRECEDENCE)}", NOT_PRECEDENCE)
        return _Written(f"-{self._write(operation.operand, position, MINUS_PRECEDENCE)}", MINUS_PRECEDENCE)

    def _binary(self, operation: tree.BinaryOperation, position: _Position) -> _Written:
        precedence = OPERATOR_PRECEDENCE[operation.operator]
        is_comparison = precedence == COMPARISON_PRECEDENCE  # does not chain
        left = self._write(operation.left, position, precedence + is_comparison)
        right = self._write(operation.right, position, precedence + 1)
        return _Written(f"{left} {operation.operator} {right}", precedence)

    def _conditional(self, conditional: tree.Conditional, position: _Position) -> _Written:
        depth = position.depth
        condition = self._head(conditional.condition, depth)
        head = f"if {condition} {self.block(conditional.then_branch, depth)} else "
        other = conditional.else_branch
        if not other.bindings and isinstance(other.result, tree.Conditional):
            return _Written(head + self._conditional(other.result, position).text, PRIMARY_PRECEDENCE)
        return _Written(head + self.block(other, depth), PRIMARY_PRECEDENCE)

    def _match(self, match: tree.Match, position: _Position) -> _Written:
        depth = position.depth
        arms = "".join(self._match_arm(arm, depth) for arm in match.arms)
        text = f"match {self._head(match.subject, depth)} {{\n{arms}{INDENT * depth}}}"
        return _Written(text, PRIMARY_PRECEDENCE)

    def _match_arm(self, arm: tree.MatchArm, depth: int) -> str:
        literals = " | ".join(self._anywhere(literal, depth) for literal in arm.literals) or "_"
        return f"{INDENT * (depth + 1)}{literals} -> {self._anywhere(arm.result, depth + 1)},\n"

    def _fold(self, fold: tree.Fold, position: _Position) -> _Written:
        items = self._head(fold.items, position.depth)
        initial = self._head(fold.initial, position.depth)
        head = f"for {fold.item_name} in {items}, {fold.accumulator_name} = {initial}"
        return _Written(f"{head} {self.block(fold.body, position.depth)}", PRIMARY_PRECEDENCE)


def format_file(file: tree.SourceFile) -> str:
    """A whole file in its order; raises HookSourceError on a comment that would be lost."""
    unordered: list[tree.Definition] = [*file.functions, *file.hooks, *file.tests]
    definitions = file.definitions or [(each, each.location) for each in unordered]  # a tree that was not parsed
    comments = list(file.comments)
    parts = []
    for definition, end in definitions:
        comments_above = ""
        while comments and comments[0][0] < definition.location:
            comments_above += comments.pop(0)[1] + "\n"
        if comments and comments[0][0] < end:
            message = "a comment inside a block: put it above the function, hook or test"
            raise HookSourceError(comments[0][0], message)
        parts.append(comments_above + _format_definition(definition))
    if comments:
        parts.append("".join(comment + "\n" for _, comment in comments))
    return "\n".join(parts)


def _format_definition(definition: tree.Definition) -> str:
    body = _ExpressionWriter().block(definition.body, 0)
    match definition:
        case tree.FunctionDefinition():
            parameters = ", ".join(f"{name}: {format_type(kind)}" for name, kind in definition.parameters)
            return f"fn {definition.name}({parameters}) -> {format_type(definition.result_type)} {body}\n"
        case tree.HookDefinition():
            return f"on {definition.point}({', '.join(definition.parameters)}) {body}\n"
        case tree.TestDefinition():
            return f'test "{escape_text(definition.title)}" {body}\n'
