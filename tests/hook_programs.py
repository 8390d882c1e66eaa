"""Programs that are right by their types, drawn at random; and a plain interpreter of the tree to compare with."""

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
WORDS = st.text('ab "\\\n${}é', max_size=6)
NUMBERS = st.sampled_from((0.0, 1.0, 2.0, 7.0, 0.5, 100.0, 1e9))


@st.composite
def value(draw: Any, kind: Type, names: dict[str, Type], depth: int) -> tree.Expression:
    """A part of a type, out of the names that are there."""
    known = [name for name, got in names.items() if got == kind]
    ways = ["plain"] + ["name"] * (2 if known else 0)
    if depth > 0:
        ways += ["if", "match", "for", "block", "made", "made", "made", "index", "field"]
    way = draw(st.sampled_from(ways))

    def part(wanted: Type, more: dict[str, Type] | None = None) -> tree.Expression:
        made: tree.Expression = draw(value(wanted, names if more is None else more, depth - 1))
        return made

    def block(more: dict[str, Type] | None = None) -> tree.Block:
        inner = dict(names if more is None else more)
        lets = []
        for number in range(draw(st.integers(0, 1))):
            of = draw(st.sampled_from(TYPES))
            name = f"v{depth}{number}"
            lets.append((name, part(of, inner)))
            inner[name] = of
        return tree.Block(lets, part(kind, inner), location=LOCATION)

    if way == "name":
        return tree.NameReference(draw(st.sampled_from(known)), location=LOCATION)
    if way in ("if", "block"):
        return tree.Conditional(part(BOOL), block(), block(), location=LOCATION)
    if way == "match":
        of = draw(st.sampled_from(SCALARS))
        arms = [
            tree.MatchArm([_plain(draw, of)], part(kind), location=LOCATION),
            tree.MatchArm([], part(kind), location=LOCATION),
        ]
        return tree.Match(part(of), arms, location=LOCATION)
    if way == "for":
        item = draw(st.sampled_from((NUMBER, TEXT)))
        return tree.Fold(
            "it", part(list_of(item)), "acc", part(kind), block({**names, "it": item, "acc": kind}), location=LOCATION
        )
    if way == "index":
        return (
            tree.IndexAccess(part(list_of(kind)), part(NUMBER), location=LOCATION)
            if kind in (NUMBER, TEXT)
            else _plain(draw, kind)
        )
    if way == "field" and kind in SCALARS and kind != BOOL:
        field = {NUMBER: "status", TEXT: "reason", DURATION: "retry_after"}[kind]
        return tree.FieldAccess(part(REJECTION), field, location=LOCATION)
    if way == "made":
        made: tree.Expression = _made(draw, kind, part)
        return made
    return _plain(draw, kind)


def _plain(draw: Any, kind: Type) -> tree.Expression:
    if kind in (NUMBER, DURATION):
        return tree.NumberLiteral(draw(NUMBERS), kind == DURATION, location=LOCATION)
    if kind == TEXT:
        return tree.TextLiteral([draw(WORDS)], location=LOCATION)
    if kind == BOOL:
        return tree.BoolLiteral(draw(st.booleans()), location=LOCATION)
    if kind.name == "list":
        assert kind.item_type is not None
        return tree.ListLiteral(
            [_plain(draw, kind.item_type) for _ in range(draw(st.integers(1, 3)))], location=LOCATION
        )
    return tree.RecordLiteral(kind.name, [], location=LOCATION)


def _made(draw: Any, kind: Type, part: Any) -> Any:
    def call(name: str, *kinds: Type) -> tree.Expression:
        return tree.Call(name, [part(of) for of in kinds], location=LOCATION)

    def two(sign: str, left: Type, right: Type) -> tree.Expression:
        return tree.BinaryOperation(sign, part(left), part(right), location=LOCATION)

    if kind == NUMBER:
        return draw(
            st.sampled_from(
                (
                    lambda: two(draw(st.sampled_from("+-*/%")), NUMBER, NUMBER),
                    lambda: two("/", DURATION, DURATION),
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
                    lambda: two("+", TEXT, TEXT),
                    lambda: call("upper", TEXT),
                    lambda: call("replace", TEXT, TEXT, TEXT),
                    lambda: call("join", list_of(TEXT), TEXT),
                    lambda: call("part", TEXT, NUMBER, NUMBER),
                    lambda: call("text", draw(st.sampled_from(SCALARS))),
                    lambda: tree.TextLiteral(
                        ["x", part(draw(st.sampled_from(SCALARS))), draw(WORDS) + "y"], location=LOCATION
                    ),
                )
            )
        )()
    if kind == BOOL:
        of = draw(st.sampled_from((NUMBER, TEXT, DURATION)))
        return draw(
            st.sampled_from(
                (
                    lambda: two(draw(st.sampled_from(("<", "<=", ">", ">=", "==", "!="))), of, of),
                    lambda: two(draw(st.sampled_from(("and", "or"))), BOOL, BOOL),
                    lambda: two("==", REJECTION, REJECTION),
                    lambda: tree.UnaryOperation("not", part(BOOL), location=LOCATION),
                    lambda: two("in", TEXT, TEXT),
                    lambda: two("in", NUMBER, list_of(NUMBER)),
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
                    lambda: two("+", DURATION, DURATION),
                    lambda: two("*", DURATION, NUMBER),
                    lambda: tree.UnaryOperation("-", part(DURATION), location=LOCATION),
                )
            )
        )()
    if kind == list_of(NUMBER):
        return draw(st.sampled_from((lambda: two("+", kind, kind), lambda: call("range", NUMBER))))()
    if kind == list_of(TEXT):
        return draw(st.sampled_from((lambda: two("+", kind, kind), lambda: call("split", TEXT, TEXT))))()
    return tree.RecordLiteral("Refusal", [("reason", part(TEXT)), ("status", part(NUMBER))], location=LOCATION)


@st.composite
def files(draw: Any) -> tree.SourceFile:
    """A function and a few checks that use it."""
    kind = draw(st.sampled_from(TYPES))
    params = {"a": NUMBER, "b": TEXT, "r": REQUEST}
    body = tree.Block([], draw(value(kind, params, 3)), location=LOCATION)

    def name(of: Type) -> tree.TypeReference:
        return tree.TypeReference(of.name, name(of.item_type) if of.item_type is not None else None, location=LOCATION)

    function = tree.FunctionDefinition(
        "f", [(param, name(of)) for param, of in params.items()], name(kind), body, location=LOCATION
    )
    test = tree.TestDefinition("t", tree.Block([], draw(value(BOOL, {}, 3)), location=LOCATION), location=LOCATION)
    return tree.SourceFile([function], [], [test])


class Undefined(Exception):
    """What gives nothing: no such item, no finite number, divided by nothing."""


def finite(made: float) -> float:
    if not math.isfinite(made):
        raise Undefined
    return made


def evaluate(made: tree.Expression, names: dict[str, Any], types: dict[int, Type]) -> Any:
    """The tree's value, plainly."""

    def of(part: tree.Expression, more: dict[str, Any] | None = None) -> Any:
        return evaluate(part, names if more is None else more, types)

    match made:
        case tree.NumberLiteral() | tree.BoolLiteral():
            return made.value
        case tree.TextLiteral():
            return "".join(
                part if isinstance(part, str) else format_value(of(part), types[id(part)] == DURATION)
                for part in made.parts
            )
        case tree.NameReference():
            return names[made.name]
        case tree.ListLiteral():
            return [of(item) for item in made.items]
        case tree.RecordLiteral():
            given = dict(made.fields)
            zero: dict[str, Any] = {"text": "", "bool": False, "list": []}
            return tuple(
                of(given[name]) if name in given else zero.get(kind.name, 0.0)
                for name, kind in RECORDS[types[id(made)]]
            )
        case tree.FieldAccess():
            fields = [name for name, _ in RECORDS[types[id(made.record)]]]
            return of(made.record)[fields.index(made.field_name)]
        case tree.IndexAccess():
            held, at = of(made.list_value), of(made.index)
            if not 0 <= at < len(held):
                raise Undefined
            return held[int(at)]
        case tree.UnaryOperation():
            return not of(made.operand) if made.operator == "not" else -of(made.operand)
        case tree.BinaryOperation():
            if made.operator in ("and", "or"):
                left = of(made.left)
                return of(made.right) if left == (made.operator == "and") else left
            left, right = of(made.left), of(made.right)
            match made.operator:
                case "+":
                    return finite(left + right) if isinstance(left, float) else left + right
                case "-":
                    return finite(left - right)
                case "*":
                    return finite(left * right)
                case "/" | "%":
                    if not right:
                        raise Undefined
                    return finite(left / right if made.operator == "/" else math.fmod(left, right))
                case "in":
                    return left in right
            return {
                "==": lambda: left == right,
                "!=": lambda: left != right,
                "<": lambda: left < right,
                "<=": lambda: left <= right,
                ">": lambda: left > right,
                ">=": lambda: left >= right,
            }[made.operator]()
        case tree.Block():
            inner = dict(names)
            for name, part in made.bindings:
                inner[name] = of(part, inner)
            return of(made.result, inner)
        case tree.Conditional():
            return of(made.then_branch if of(made.condition) else made.else_branch)
        case tree.Match():
            subject = of(made.subject)
            arm = next(a for a in made.arms if not a.literals or any(of(v) == subject for v in a.literals))
            return of(arm.result)
        case tree.Fold():
            accumulator = of(made.initial)
            for item in of(made.items):
                accumulator = of(made.body, {**names, made.item_name: item, made.accumulator_name: accumulator})
            return accumulator
        case tree.Call():
            return _call(made, [of(argument) for argument in made.arguments], types)


def _call(made: tree.Call, args: list[Any], types: dict[int, Type]) -> Any:
    match made.function_name, args:
        case "len", [held]:
            return float(len(held))
        case "number", [text, other]:
            try:
                found = float(text) if len(text) <= 40 and text.isascii() and "_" not in text else math.nan
            except ValueError:
                return other
            return found if math.isfinite(found) else other
        case "hash", [text]:
            return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=6).digest(), "big") / 2**48
        case "max", [one, other]:
            return max(one, other)
        case "floor", [number]:
            return float(math.floor(number))
        case "seconds", [duration]:
            return duration / 1000
        case "upper", [text]:
            return text.upper()
        case "replace", [text, old, new]:
            return text.replace(old, new) if old else text
        case "join", [texts, sign]:
            return sign.join(texts)
        case "part", [text, begin, end]:
            low, high = (int(min(max(at, 0), len(text))) for at in (begin, end))
            return text[low : max(low, high)]
        case "text", [plain]:
            return format_value(plain, types[id(made.arguments[0])] == DURATION)
        case "starts_with", [text, other]:
            return text.startswith(other)
        case "matches", [text, pattern]:
            return Pattern(pattern).search(text)
        case "range", [number]:
            if number > 1e5:
                raise Undefined
            return [float(n) for n in range(int(max(number, 0)))]
        case "split", [text, sign]:
            return text.split(sign) if sign else [text]
    raise AssertionError(made.function_name)
