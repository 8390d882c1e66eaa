"""Programs that are right by their types, drawn at random; and a plain interpreter of the tree to compare with."""

from __future__ import annotations

import hashlib
import math
from typing import Any

from hypothesis import strategies as st

from martenstep.hooks import syntax_tree as syn
from martenstep.hooks.regex import Pattern
from martenstep.hooks.types import BOOL, DURATION, NUMBER, RECORDS, REFUSAL, REQUEST, TEXT, Type, list_of
from martenstep.hooks.virtual_machine import shown

P = syn.Place(1, 1)
PLAIN = (NUMBER, TEXT, BOOL, DURATION)
KINDS = (*PLAIN, list_of(NUMBER), list_of(TEXT), REFUSAL)
WORDS = st.text('ab "\\\n${}é', max_size=6)
NUMBERS = st.sampled_from((0.0, 1.0, 2.0, 7.0, 0.5, 100.0, 1e9))


@st.composite
def value(draw: Any, kind: Type, names: dict[str, Type], depth: int) -> syn.Expr:
    """A part of a type, out of the names that are there."""
    known = [name for name, got in names.items() if got == kind]
    ways = ["plain"] + ["name"] * (2 if known else 0)
    if depth > 0:
        ways += ["if", "match", "for", "block", "made", "made", "made", "index", "field"]
    way = draw(st.sampled_from(ways))

    def part(wanted: Type, more: dict[str, Type] | None = None) -> syn.Expr:
        made: syn.Expr = draw(value(wanted, names if more is None else more, depth - 1))
        return made

    def block(more: dict[str, Type] | None = None) -> syn.Block:
        inner = dict(names if more is None else more)
        lets = []
        for number in range(draw(st.integers(0, 1))):
            of = draw(st.sampled_from(KINDS))
            name = f"v{depth}{number}"
            lets.append((name, part(of, inner)))
            inner[name] = of
        return syn.Block(lets, part(kind, inner), place=P)

    if way == "name":
        return syn.Name(draw(st.sampled_from(known)), place=P)
    if way in ("if", "block"):
        return syn.If(part(BOOL), block(), block(), place=P)
    if way == "match":
        of = draw(st.sampled_from(PLAIN))
        arms = [syn.Arm([_plain(draw, of)], part(kind), place=P), syn.Arm([], part(kind), place=P)]
        return syn.Match(part(of), arms, place=P)
    if way == "for":
        item = draw(st.sampled_from((NUMBER, TEXT)))
        return syn.For("it", part(list_of(item)), "acc", part(kind), block({**names, "it": item, "acc": kind}), place=P)
    if way == "index":
        return syn.Index(part(list_of(kind)), part(NUMBER), place=P) if kind in (NUMBER, TEXT) else _plain(draw, kind)
    if way == "field" and kind in PLAIN and kind != BOOL:
        field = {NUMBER: "status", TEXT: "reason", DURATION: "retry_after"}[kind]
        return syn.Field(part(REFUSAL), field, place=P)
    if way == "made":
        made: syn.Expr = _made(draw, kind, part)
        return made
    return _plain(draw, kind)


def _plain(draw: Any, kind: Type) -> syn.Expr:
    if kind in (NUMBER, DURATION):
        return syn.Number(draw(NUMBERS), kind == DURATION, place=P)
    if kind == TEXT:
        return syn.Text([draw(WORDS)], place=P)
    if kind == BOOL:
        return syn.Bool(draw(st.booleans()), place=P)
    if kind.name == "list":
        assert kind.of is not None
        return syn.Items([_plain(draw, kind.of) for _ in range(draw(st.integers(1, 3)))], place=P)
    return syn.Make(kind.name, [], place=P)


def _made(draw: Any, kind: Type, part: Any) -> Any:
    def call(name: str, *kinds: Type) -> syn.Expr:
        return syn.Call(name, [part(of) for of in kinds], place=P)

    def two(sign: str, left: Type, right: Type) -> syn.Expr:
        return syn.Binary(sign, part(left), part(right), place=P)

    if kind == NUMBER:
        return draw(
            st.sampled_from(
                (
                    lambda: two(draw(st.sampled_from("+-*/%")), NUMBER, NUMBER),
                    lambda: two("/", DURATION, DURATION),
                    lambda: syn.Unary("-", part(NUMBER), place=P),
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
                    lambda: call("text", draw(st.sampled_from(PLAIN))),
                    lambda: syn.Text(["x", part(draw(st.sampled_from(PLAIN))), draw(WORDS) + "y"], place=P),
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
                    lambda: two("==", REFUSAL, REFUSAL),
                    lambda: syn.Unary("not", part(BOOL), place=P),
                    lambda: two("in", TEXT, TEXT),
                    lambda: two("in", NUMBER, list_of(NUMBER)),
                    lambda: call("starts_with", TEXT, TEXT),
                    lambda: syn.Call("matches", [part(TEXT), syn.Text(["^a*(b|é)?.$"], place=P)], place=P),
                )
            )
        )()
    if kind == DURATION:
        return draw(
            st.sampled_from(
                (
                    lambda: two("+", DURATION, DURATION),
                    lambda: two("*", DURATION, NUMBER),
                    lambda: syn.Unary("-", part(DURATION), place=P),
                )
            )
        )()
    if kind == list_of(NUMBER):
        return draw(st.sampled_from((lambda: two("+", kind, kind), lambda: call("range", NUMBER))))()
    if kind == list_of(TEXT):
        return draw(st.sampled_from((lambda: two("+", kind, kind), lambda: call("split", TEXT, TEXT))))()
    return syn.Make("Refusal", [("reason", part(TEXT)), ("status", part(NUMBER))], place=P)


@st.composite
def files(draw: Any) -> syn.File:
    """A function and a few checks that use it."""
    kind = draw(st.sampled_from(KINDS))
    params = {"a": NUMBER, "b": TEXT, "r": REQUEST}
    body = syn.Block([], draw(value(kind, params, 3)), place=P)

    def name(of: Type) -> syn.TypeName:
        return syn.TypeName(of.name, name(of.of) if of.of is not None else None, place=P)

    function = syn.Function("f", [(param, name(of)) for param, of in params.items()], name(kind), body, place=P)
    test = syn.Test("t", syn.Block([], draw(value(BOOL, {}, 3)), place=P), place=P)
    return syn.File([function], [], [test])


class Undefined(Exception):
    """What gives nothing: no such item, no finite number, divided by nothing."""


def finite(made: float) -> float:
    if not math.isfinite(made):
        raise Undefined
    return made


def evaluate(made: syn.Expr, names: dict[str, Any], types: dict[int, Type]) -> Any:
    """The tree's value, plainly."""

    def of(part: syn.Expr, more: dict[str, Any] | None = None) -> Any:
        return evaluate(part, names if more is None else more, types)

    match made:
        case syn.Number() | syn.Bool():
            return made.value
        case syn.Text():
            return "".join(
                part if isinstance(part, str) else shown(of(part), types[id(part)] == DURATION) for part in made.parts
            )
        case syn.Name():
            return names[made.name]
        case syn.Items():
            return [of(item) for item in made.items]
        case syn.Make():
            given = dict(made.fields)
            zero: dict[str, Any] = {"text": "", "bool": False, "list": []}
            return tuple(
                of(given[name]) if name in given else zero.get(kind.name, 0.0)
                for name, kind in RECORDS[types[id(made)]]
            )
        case syn.Field():
            fields = [name for name, _ in RECORDS[types[id(made.of)]]]
            return of(made.of)[fields.index(made.name)]
        case syn.Index():
            held, at = of(made.of), of(made.at)
            if not 0 <= at < len(held):
                raise Undefined
            return held[int(at)]
        case syn.Unary():
            return not of(made.of) if made.sign == "not" else -of(made.of)
        case syn.Binary():
            if made.sign in ("and", "or"):
                left = of(made.left)
                return of(made.right) if left == (made.sign == "and") else left
            left, right = of(made.left), of(made.right)
            match made.sign:
                case "+":
                    return finite(left + right) if isinstance(left, float) else left + right
                case "-":
                    return finite(left - right)
                case "*":
                    return finite(left * right)
                case "/" | "%":
                    if not right:
                        raise Undefined
                    return finite(left / right if made.sign == "/" else math.fmod(left, right))
                case "in":
                    return left in right
            return {
                "==": lambda: left == right,
                "!=": lambda: left != right,
                "<": lambda: left < right,
                "<=": lambda: left <= right,
                ">": lambda: left > right,
                ">=": lambda: left >= right,
            }[made.sign]()
        case syn.Block():
            inner = dict(names)
            for name, part in made.lets:
                inner[name] = of(part, inner)
            return of(made.value, inner)
        case syn.If():
            return of(made.then if of(made.test) else made.other)
        case syn.Match():
            held = of(made.of)
            arm = next(a for a in made.arms if not a.values or any(of(v) == held for v in a.values))
            return of(arm.then)
        case syn.For():
            over, carried = of(made.over), of(made.start)
            for item in over:
                carried = of(made.body, {**names, made.item: item, made.carried: carried})
            return carried
        case syn.Call():
            return _call(made, [of(arg) for arg in made.args], types)


def _call(made: syn.Call, args: list[Any], types: dict[int, Type]) -> Any:
    match made.name, args:
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
            return shown(plain, types[id(made.args[0])] == DURATION)
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
    raise AssertionError(made.name)
