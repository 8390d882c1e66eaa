"""Formats a syntax tree as source in the standard layout, which parses to the same tree.

Comments between functions, hooks and tests are kept.  The syntax tree has no place for a comment inside one of them, so
such a comment is an error.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.lexer import DURATION_UNITS_MS
from martenstep.hooks.source import HookSourceError

MAX_ONE_LINE_BLOCK = 70  # characters of a block on one line, including its indent
INDENT = "  "
ESCAPES = {"\n": "\\n", "\t": "\\t", '"': '\\"', "\\": "\\\\"}
# The precedence of expressions: one of a lower precedence than its context requires needs parentheses.
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


class _Formatted(NamedTuple):
    text: str
    precedence: int


class _Context(NamedTuple):
    """The context of an expression; in the head of if, match or for, a record needs parentheses."""

    depth: int  # of indentation
    in_head: bool = False


def format_number(literal: tree.NumberLiteral) -> str:
    """Format a number or duration that is not negative."""
    value = literal.value
    if not literal.is_duration:
        return f"{value:.17g}" if value != int(value) else f"{value:.0f}"
    for unit in ("h", "m", "s"):
        if value and value % DURATION_UNITS_MS[unit] == 0:
            return f"{value / DURATION_UNITS_MS[unit]:.0f}{unit}"
    milliseconds = f"{value:.0f}" if value == int(value) else f"{value:.17g}"
    return milliseconds + "ms"


def escape_text(text: str) -> str:
    """Escape a piece of a text for use between quotes."""
    return "".join(ESCAPES.get(character, character) for character in text).replace("${", "\\${")


def format_type(reference: tree.TypeReference) -> str:
    """Format a type."""
    if reference.item_type is None:
        return reference.name
    return f"{reference.name}<{format_type(reference.item_type)}>"


class _ExpressionFormatter:
    """Formats blocks and expressions."""

    def __init__(self) -> None:
        self._rules: dict[type, Callable[[Any, _Context], _Formatted]] = {
            tree.NumberLiteral: self._number,
            tree.BoolLiteral: lambda node, _: _Formatted("true" if node.value else "false", PRIMARY_PRECEDENCE),
            tree.TextLiteral: self._text,
            tree.NameReference: lambda node, _: _Formatted(node.name, PRIMARY_PRECEDENCE),
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
            tree.Block: lambda node, context: _Formatted(self.block(node, context.depth), PRIMARY_PRECEDENCE),
        }

    def block(self, block: tree.Block, depth: int) -> str:
        """Format a block, on one line if it is short and has no bindings."""
        result = self._format_unparenthesized(block.result, depth + 1)
        is_short = "\n" not in result and len(result) + len(INDENT) * depth < MAX_ONE_LINE_BLOCK
        if depth and is_short and not block.bindings:
            return f"{{ {result} }}"
        indent = INDENT * (depth + 1)
        bindings = "".join(
            f"{indent}let {name} = {self._format_unparenthesized(value, depth + 1)};\n"
            for name, value in block.bindings
        )
        return f"{{\n{bindings}{indent}{result}\n{INDENT * depth}}}"

    def _format(self, expression: tree.Expression, context: _Context, min_precedence: int) -> str:
        """Format an expression, in parentheses if its precedence is below `min_precedence`."""
        text, precedence = self._rules[type(expression)](expression, context)
        return f"({text})" if precedence < min_precedence else text

    def _format_unparenthesized(self, expression: tree.Expression, depth: int) -> str:
        """Format an expression where no precedence needs parentheses."""
        return self._format(expression, _Context(depth), ANY_PRECEDENCE)

    def _format_head(self, expression: tree.Expression, depth: int) -> str:
        return self._format(expression, _Context(depth, in_head=True), ANY_PRECEDENCE)

    def _comma_separated(self, expressions: list[tree.Expression], depth: int) -> str:
        return ", ".join(self._format_unparenthesized(expression, depth) for expression in expressions)

    def _number(self, literal: tree.NumberLiteral, _context: _Context) -> _Formatted:
        if literal.value >= 0:
            return _Formatted(format_number(literal), PRIMARY_PRECEDENCE)
        positive = tree.NumberLiteral(-literal.value, literal.is_duration, location=literal.location)
        return _Formatted(f"-{format_number(positive)}", MINUS_PRECEDENCE)

    def _text(self, literal: tree.TextLiteral, _context: _Context) -> _Formatted:
        parts = [
            escape_text(part) if isinstance(part, str) else "${" + self._format_unparenthesized(part, 0) + "}"
            for part in literal.parts
        ]
        return _Formatted('"' + "".join(parts) + '"', PRIMARY_PRECEDENCE)

    def _call(self, call: tree.Call, context: _Context) -> _Formatted:
        arguments = self._comma_separated(call.arguments, context.depth)
        return _Formatted(f"{call.function_name}({arguments})", PRIMARY_PRECEDENCE)

    def _record(self, literal: tree.RecordLiteral, context: _Context) -> _Formatted:
        fields = ", ".join(
            f"{name}: {self._format_unparenthesized(value, context.depth + 1)}" for name, value in literal.fields
        )
        text = f"{literal.type_name} {{ {fields} }}" if fields else f"{literal.type_name} {{}}"
        return _Formatted(text, NEEDS_PARENTHESES if context.in_head else PRIMARY_PRECEDENCE)

    def _list(self, literal: tree.ListLiteral, context: _Context) -> _Formatted:
        return _Formatted(f"[{self._comma_separated(literal.items, context.depth)}]", PRIMARY_PRECEDENCE)

    def _field(self, access: tree.FieldAccess, context: _Context) -> _Formatted:
        record = self._format(access.record, context, PRIMARY_PRECEDENCE)
        return _Formatted(f"{record}.{access.field_name}", PRIMARY_PRECEDENCE)

    def _index(self, access: tree.IndexAccess, context: _Context) -> _Formatted:
        list_value = self._format(access.list_value, context, PRIMARY_PRECEDENCE)
        return _Formatted(
            f"{list_value}[{self._format_unparenthesized(access.index, context.depth)}]", PRIMARY_PRECEDENCE
        )

    def _unary(self, operation: tree.UnaryOperation, context: _Context) -> _Formatted:
        if operation.operator == "not":
            return _Formatted(f"not {self._format(operation.operand, context, NOT_PRECEDENCE)}", NOT_PRECEDENCE)
        return _Formatted(f"-{self._format(operation.operand, context, MINUS_PRECEDENCE)}", MINUS_PRECEDENCE)

    def _binary(self, operation: tree.BinaryOperation, context: _Context) -> _Formatted:
        precedence = OPERATOR_PRECEDENCE[operation.operator]
        is_comparison = precedence == COMPARISON_PRECEDENCE  # does not chain: its operands may not be comparisons
        left = self._format(operation.left, context, precedence + is_comparison)
        right = self._format(operation.right, context, precedence + 1)
        return _Formatted(f"{left} {operation.operator} {right}", precedence)

    def _conditional(self, conditional: tree.Conditional, context: _Context) -> _Formatted:
        depth = context.depth
        condition = self._format_head(conditional.condition, depth)
        head = f"if {condition} {self.block(conditional.then_branch, depth)} else "
        other = conditional.else_branch
        if not other.bindings and isinstance(other.result, tree.Conditional):
            return _Formatted(head + self._conditional(other.result, context).text, PRIMARY_PRECEDENCE)
        return _Formatted(head + self.block(other, depth), PRIMARY_PRECEDENCE)

    def _match(self, match: tree.Match, context: _Context) -> _Formatted:
        depth = context.depth
        arms = "".join(self._match_arm(arm, depth) for arm in match.arms)
        text = f"match {self._format_head(match.subject, depth)} {{\n{arms}{INDENT * depth}}}"
        return _Formatted(text, PRIMARY_PRECEDENCE)

    def _match_arm(self, arm: tree.MatchArm, depth: int) -> str:
        literals = " | ".join(self._format_unparenthesized(literal, depth) for literal in arm.literals) or "_"
        return f"{INDENT * (depth + 1)}{literals} -> {self._format_unparenthesized(arm.result, depth + 1)},\n"

    def _fold(self, fold: tree.Fold, context: _Context) -> _Formatted:
        items = self._format_head(fold.items, context.depth)
        initial = self._format_head(fold.initial, context.depth)
        head = f"for {fold.item_name} in {items}, {fold.accumulator_name} = {initial}"
        return _Formatted(f"{head} {self.block(fold.body, context.depth)}", PRIMARY_PRECEDENCE)


def format_file(file: tree.SourceFile) -> str:
    """Format a whole file in its order; raises HookSourceError for a comment that would be lost."""
    unordered: list[tree.Definition] = [*file.functions, *file.hooks, *file.tests]
    definitions = file.definitions or [(each, each.location) for each in unordered]  # built without the parser
    comments = list(file.comments)
    parts = []
    for definition, end in definitions:
        comments_above = ""
        while comments and comments[0][0] < definition.location:
            comments_above += comments.pop(0)[1] + "\n"
        if comments and comments[0][0] < end:
            message = "comment inside a function, hook or test: move it above, the formatter cannot keep it"
            raise HookSourceError(comments[0][0], message)
        parts.append(comments_above + _format_definition(definition))
    if comments:
        parts.append("".join(comment + "\n" for _, comment in comments))
    return "\n".join(parts)


def _format_definition(definition: tree.Definition) -> str:
    body = _ExpressionFormatter().block(definition.body, 0)
    match definition:
        case tree.FunctionDefinition():
            parameters = ", ".join(f"{name}: {format_type(kind)}" for name, kind in definition.parameters)
            return f"fn {definition.name}({parameters}) -> {format_type(definition.result_type)} {body}\n"
        case tree.HookDefinition():
            return f"on {definition.point}({', '.join(definition.parameters)}) {body}\n"
        case tree.TestDefinition():
            return f'test "{escape_text(definition.title)}" {body}\n'
