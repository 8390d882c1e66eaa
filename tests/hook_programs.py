"""Random well-typed programs, and a reference interpreter of the syntax tree to compare results with."""

from __future__ import annotations

import hashlib
import math
from typing import Any

from hypothesis import strategies as st

from martenstep.hooks import syntax_tree as tree
from martenstep.hooks.operators import format_value
from martenstep.hooks.regex import Pattern
from martenstep.hooks.source import SourceLocation
from martenstep.hooks.types import BOOL, DURATION, NUMBER, RECORDS, REJECTION, REQUEST, TEXT, Type, list_of

LOCATION = SourceLocation(1, 1)
SCALARS = (NUMBER, TEXT, BOOL, DURATION)
TYPES = (*SCALARS, list_of(NUMBER), list_of(TEXT), REJECTION)
TEXTS = st.text('ab "\\\n${}é', max_size=6)
NUMBERS = st.sampled_from((0.0, 1.0, 2.0, 7.0, 0.5, 100.0, 1e9))


@st.composite
def expressions(draw: Any, kind: Type, scope: dict[str, Type], depth: int) -> tree.Expression:
    """An expression of a type that uses the names of a scope and is nested up to `depth`."""
    candidates = [name for name, name_type in scope.items() if name_type == kind]
    forms = ["constant"] + ["name"] * (2 if candidates else 0)
    if depth > 0:
        forms += ["if", "match", "for", "block", "operation", "operation", "operation", "index", "field"]
    form = draw(st.sampled_from(forms))

    def part(part_type: Type, inner_scope: dict[str, Type] | None = None) -> tree.Expression:
        expression: tree.Expression = draw(
            expressions(part_type, scope if inner_scope is None else inner_scope, depth - 1)
        )
        return expression

    def block(inner_scope: dict[str, Type] | None = None) -> tree.Block:
        block_scope = dict(scope if inner_scope is None else inner_scope)
        bindings = []
        for number in range(draw(st.integers(0, 1))):
            binding_type = draw(st.sampled_from(TYPES))
            name = f"v{depth}{number}"
            bindings.append((name, part(binding_type, block_scope)))
            block_scope[name] = binding_type
        return tree.Block(bindings, part(kind, block_scope), location=LOCATION)

    if form == "name":
        return tree.NameReference(draw(st.sampled_from(candidates)), location=LOCATION)
    if form in ("if", "block"):
        return tree.Conditional(part(BOOL), block(), block(), location=LOCATION)
    if form == "match":
        subject_type = draw(st.sampled_from(SCALARS))
        arms = [
            tree.MatchArm([_constant(draw, subject_type)], part(kind), location=LOCATION),
            tree.MatchArm([], part(kind), location=LOCATION),
        ]
        return tree.Match(part(subject_type), arms, location=LOCATION)
    if form == "for":
        item_type = draw(st.sampled_from((NUMBER, TEXT)))
        return tree.Fold(
            "it",
            part(list_of(item_type)),
            "acc",
            part(kind),
            block({**scope, "it": item_type, "acc": kind}),
            location=LOCATION,
        )
    if form == "index":
        return (
            tree.IndexAccess(part(list_of(kind)), part(NUMBER), location=LOCATION)
            if kind in (NUMBER, TEXT)
            else _constant(draw, kind)
        )
    if form == "field" and kind in SCALARS and kind != BOOL:
        field = {NUMBER: "status", TEXT: "reason", DURATION: "retry_after"}[kind]
        return tree.FieldAccess(part(REJECTION), field, location=LOCATION)
    if form == "operation":
        operation: tree.Expression = _operation(draw, kind, part)
        return operation
    return _constant(draw, kind)


def _constant(draw: Any, kind: Type) -> tree.Expression:
    """An expression of a type without names and operations."""
    if kind in (NUMBER, DURATION):
        return tree.NumberLiteral(draw(NUMBERS), kind == DURATION, location=LOCATION)
    if kind == TEXT:
        return tree.TextLiteral([draw(TEXTS)], location=LOCATION)
    if kind == BOOL:
        return tree.BoolLiteral(draw(st.booleans()), location=LOCATION)
    if kind.name == "list":
        assert kind.item_type is not None
        return tree.ListLiteral(
            [_constant(draw, kind.item_type) for _ in range(draw(st.integers(1, 3)))], location=LOCATION
        )
    return tree.RecordLiteral(kind.name, [], location=LOCATION)


def _operation(draw: Any, kind: Type, part: Any) -> Any:
    """An operation or a call of a built-in function whose result has a type; `part` draws the operands."""

    def call(name: str, *parameter_types: Type) -> tree.Expression:
        return tree.Call(name, [part(parameter_type) for parameter_type in parameter_types], location=LOCATION)

    def binary(operator: str, left: Type, right: Type) -> tree.Expression:
        return tree.BinaryOperation(operator, part(left), part(right), location=LOCATION)

    if kind == NUMBER:
        return draw(
            st.sampled_from(
                (
                    lambda: binary(draw(st.sampled_from("+-*/%")), NUMBER, NUMBER),
                    lambda: binary("/", DURATION, DURATION),
                    lambda: tree.UnaryOperation("-", part(NUMBER), location=LOCATION),
                    lambda: call("len", TEXT),
                    lambda: call("len", list_of(TEXT)),
                    lambda: call("number", TEXT, NUMBER),
                    lambda: call("hash", TEXT),
                    lambda: call("max", NUMBER, NUMBER),
                    lambda: call("floor", NUMBER),
                    lambda: call("seconds", DURATION),
                )
            )
        )()
    if kind == TEXT:
        return draw(
            st.sampled_from(
                (
                    lambda: binary("+", TEXT, TEXT),
                    lambda: call("upper", TEXT),
                    lambda: call("replace", TEXT, TEXT, TEXT),
                    lambda: call("join", list_of(TEXT), TEXT),
                    lambda: call("part", TEXT, NUMBER, NUMBER),
                    lambda: call("text", draw(st.sampled_from(SCALARS))),
                    lambda: tree.TextLiteral(
                        ["x", part(draw(st.sampled_from(SCALARS))), draw(TEXTS) + "y"], location=LOCATION
                    ),
                )
            )
        )()
    if kind == BOOL:
        operand_type = draw(st.sampled_from((NUMBER, TEXT, DURATION)))
        return draw(
            st.sampled_from(
                (
                    lambda: binary(
                        draw(st.sampled_from(("<", "<=", ">", ">=", "==", "!="))), operand_type, operand_type
                    ),
                    lambda: binary(draw(st.sampled_from(("and", "or"))), BOOL, BOOL),
                    lambda: binary("==", REJECTION, REJECTION),
                    lambda: tree.UnaryOperation("not", part(BOOL), location=LOCATION),
                    lambda: binary("in", TEXT, TEXT),
                    lambda: binary("in", NUMBER, list_of(NUMBER)),
                    lambda: call("starts_with", TEXT, TEXT),
                    lambda: tree.Call(
                        "matches", [part(TEXT), tree.TextLiteral(["^a*(b|é)?.$"], location=LOCATION)], location=LOCATION
                    ),
                )
            )
        )()
    if kind == DURATION:
        return draw(
            st.sampled_from(
                (
                    lambda: binary("+", DURATION, DURATION),
                    lambda: binary("*", DURATION, NUMBER),
                    lambda: tree.UnaryOperation("-", part(DURATION), location=LOCATION),
                )
            )
        )()
    if kind == list_of(NUMBER):
        return draw(st.sampled_from((lambda: binary("+", kind, kind), lambda: call("range", NUMBER))))()
    if kind == list_of(TEXT):
        return draw(st.sampled_from((lambda: binary("+", kind, kind), lambda: call("split", TEXT, TEXT))))()
    return tree.RecordLiteral("Refusal", [("reason", part(TEXT)), ("status", part(NUMBER))], location=LOCATION)


@st.composite
def files(draw: Any) -> tree.SourceFile:
    """A file with one function and one test; the test does not call the function."""
    kind = draw(st.sampled_from(TYPES))
    parameters = {"a": NUMBER, "b": TEXT, "r": REQUEST}
    body = tree.Block([], draw(expressions(kind, parameters, 3)), location=LOCATION)

    def reference(to: Type) -> tree.TypeReference:
        item_type = reference(to.item_type) if to.item_type is not None else None
        return tree.TypeReference(to.name, item_type, location=LOCATION)

    function = tree.FunctionDefinition(
        "f",
        [(name, reference(parameter_type)) for name, parameter_type in parameters.items()],
        reference(kind),
        body,
        location=LOCATION,
    )
    test = tree.TestDefinition(
        "t", tree.Block([], draw(expressions(BOOL, {}, 3)), location=LOCATION), location=LOCATION
    )
    return tree.SourceFile([function], [], [test])


class UndefinedResultError(Exception):
    """An expression without a result: a missing item, a number that is not finite, or a division by zero."""


def require_finite(value: float) -> float:
    if not math.isfinite(value):
        raise UndefinedResultError
    return value


def evaluate(expression: tree.Expression, names: dict[str, Any], types: dict[int, Type]) -> Any:
    """The value of an expression, without a budget; raises UndefinedResultError."""

    def value_of(part: tree.Expression, inner_names: dict[str, Any] | None = None) -> Any:
        return evaluate(part, names if inner_names is None else inner_names, types)

    match expression:
        case tree.NumberLiteral() | tree.BoolLiteral():
            return expression.value
        case tree.TextLiteral():
            return "".join(
                part if isinstance(part, str) else format_value(value_of(part), types[id(part)] == DURATION)
                for part in expression.parts
            )
        case tree.NameReference():
            return names[expression.name]
        case tree.ListLiteral():
            return [value_of(item) for item in expression.items]
        case tree.RecordLiteral():
            given = dict(expression.fields)
            defaults: dict[str, Any] = {"text": "", "bool": False, "list": []}
            return tuple(
                value_of(given[name]) if name in given else defaults.get(kind.name, 0.0)
                for name, kind in RECORDS[types[id(expression)]]
            )
        case tree.FieldAccess():
            fields = [name for name, _ in RECORDS[types[id(expression.record)]]]
            return value_of(expression.record)[fields.index(expression.field_name)]
        case tree.IndexAccess():
            items, index = value_of(expression.list_value), value_of(expression.index)
            if not 0 <= index < len(items):
                raise UndefinedResultError
            return items[int(index)]
        case tree.UnaryOperation():
            return not value_of(expression.operand) if expression.operator == "not" else -value_of(expression.operand)
        case tree.BinaryOperation():
            if expression.operator in ("and", "or"):
                left = value_of(expression.left)
                return value_of(expression.right) if left == (expression.operator == "and") else left
            left, right = value_of(expression.left), value_of(expression.right)
            match expression.operator:
                case "+":
                    return require_finite(left + right) if isinstance(left, float) else left + right
                case "-":
                    return require_finite(left - right)
                case "*":
                    return require_finite(left * right)
                case "/" | "%":
                    if not right:
                        raise UndefinedResultError
                    return require_finite(left / right if expression.operator == "/" else math.fmod(left, right))
                case "in":
                    return left in right
            return {
                "==": lambda: left == right,
                "!=": lambda: left != right,
                "<": lambda: left < right,
                "<=": lambda: left <= right,
                ">": lambda: left > right,
                ">=": lambda: left >= right,
            }[expression.operator]()
        case tree.Block():
            inner = dict(names)
            for name, part in expression.bindings:
                inner[name] = value_of(part, inner)
            return value_of(expression.result, inner)
        case tree.Conditional():
            return value_of(expression.then_branch if value_of(expression.condition) else expression.else_branch)
        case tree.Match():
            subject = value_of(expression.subject)
            arm = next(a for a in expression.arms if not a.literals or any(value_of(v) == subject for v in a.literals))
            return value_of(arm.result)
        case tree.Fold():
            accumulator = value_of(expression.initial)
            for item in value_of(expression.items):
                accumulator = value_of(
                    expression.body, {**names, expression.item_name: item, expression.accumulator_name: accumulator}
                )
            return accumulator
        case tree.Call():
            return _call(expression, [value_of(argument) for argument in expression.arguments], types)


def _call(call: tree.Call, arguments: list[Any], types: dict[int, Type]) -> Any:
    match call.function_name, arguments:
        case "len", [value]:
            return float(len(value))
        case "number", [text, default]:
            try:
                number = float(text) if len(text) <= 40 and text.isascii() and "_" not in text else math.nan
            except ValueError:
                return default
            return number if math.isfinite(number) else default
        case "hash", [text]:
            return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big") / 2**48
        case "max", [first, second]:
            return max(first, second)
        case "floor", [number]:
            return float(math.floor(number))
        case "seconds", [duration]:
            return duration / 1000
        case "upper", [text]:
            return text.upper()
        case "replace", [text, old, new]:
            return text.replace(old, new) if old else text
        case "join", [texts, separator]:
            return separator.join(texts)
        case "part", [text, begin, end]:
            low, high = (int(min(max(position, 0), len(text))) for position in (begin, end))
            return text[low : max(low, high)]
        case "text", [value]:
            return format_value(value, types[id(call.arguments[0])] == DURATION)
        case "starts_with", [text, prefix]:
            return text.startswith(prefix)
        case "matches", [text, pattern]:
            return Pattern(pattern).search(text)
        case "range", [number]:
            if number > 1e5:
                raise UndefinedResultError
            return [float(n) for n in range(int(max(number, 0)))]
        case "split", [text, separator]:
            return text.split(separator) if separator else [text]
    raise AssertionError(call.function_name)
