"""From a hook's source to its tree.  The grammar:

    file     = { function | hook | test } ;
    function = "fn" NAME "(" [ param { "," param } ] ")" "->" type block ;
    param    = NAME ":" type ;
    hook     = "on" NAME "(" [ NAME { "," NAME } ] ")" block ;
    test     = "test" TEXT block ;
    type     = NAME [ "<" type ">" ] ;
    block    = "{" { "let" NAME "=" expr ";" } expr "}" ;
    expr     = and { "or" and } ;
    and      = not { "and" not } ;
    not      = "not" not | compare ;
    compare  = sum [ ( "==" | "!=" | "<" | "<=" | ">" | ">=" | "in" ) sum ] ;
    sum      = product { ( "+" | "-" ) product } ;
    product  = unary { ( "*" | "/" | "%" ) unary } ;
    unary    = "-" unary | postfix ;
    postfix  = primary { "." NAME | "[" expr "]" } ;
    primary  = NUMBER | DURATION | TEXT | "true" | "false" | NAME | NAME "(" [ expr { "," expr } ] ")"
             | NAME "{" [ NAME ":" expr { "," NAME ":" expr } ] "}" | "[" [ expr { "," expr } ] "]" | "(" expr ")"
             | "if" expr block "else" ( block | if )
             | "match" expr "{" arm { "," arm } [ "," ] "}"
             | "for" NAME "in" expr "," NAME "=" expr block ;
    arm      = ( "_" | literal { "|" literal } ) "->" expr ;

A TEXT holds templates: "${expr}".  A DURATION is a number with ms, s, m or h behind it.  "#" begins a comment.  In the
head of if, match and for, a record needs parentheses: else its brace would be the block's.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

MOST_BYTES = 65_536  # of a source
MOST_DEPTH = 40  # of what is nested: every pass over the tree goes this deep on the interpreter's own stack
KEYWORDS = frozenset(
    {"fn", "on", "test", "let", "if", "else", "match", "for", "in", "and", "or", "not", "true", "false"}
)
UNITS_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "$": "$"}
TOKEN = re.compile(
    r"(?P<space>[ \t\r\n]+)|(?P<comment>#[^\n]*)|(?P<number>\d+(?:\.\d+)?(?P<unit>[A-Za-z_]\w*)?)"
    r"|(?P<name>[A-Za-z_]\w*)|(?P<sign>->|==|!=|<=|>=|[-+*/%<>=(){}\[\],;:.|])",
    re.ASCII,
)


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A place in a source, from 1 on."""

    line: int
    column: int


class HookFault(Exception):
    """A source that is no program: where, and what was expected there."""

    def __init__(self, place: Place, text: str) -> None:
        super().__init__(f"{place.line}:{place.column}: {text}")
        self.place, self.text = place, text

    def shown(self, source: str, file: str) -> str:
        """The message with the line and a mark below the place."""
        lines = source.split("\n")
        line = lines[self.place.line - 1] if self.place.line <= len(lines) else ""
        start = max(self.place.column - 60, 0)  # a line of a whole file is not shown whole
        mark = " " * (self.place.column - 1 - start) + "^"
        return f"{file}:{self}\n  {line[start : start + 100].replace(chr(9), ' ')}\n  {mark}"


@dataclass(frozen=True, slots=True)
class Token:
    """One word of a source."""

    kind: str  # number, duration, text, name, word, sign, end
    text: str
    place: Place
    value: float = 0.0
    parts: tuple[str | Token, ...] = ()  # of a text: pieces, and for each template its tokens' holder
    inner: tuple[Token, ...] = ()


# The tree -----------------------------------------------------------------------------------------------


@dataclass(slots=True, kw_only=True)
class Node:
    """A part of a program; `type` is set by the checker."""

    place: Place = field(compare=False, repr=False)


@dataclass(slots=True)
class Number(Node):
    """A number, or a duration in milliseconds."""

    value: float
    duration: bool = False


@dataclass(slots=True)
class Text(Node):
    """Pieces of text and, between them, what is put in."""

    parts: list[str | Expr]


@dataclass(slots=True)
class Bool(Node):
    """true or false."""

    value: bool


@dataclass(slots=True)
class Name(Node):
    """A value by its name."""

    name: str


@dataclass(slots=True)
class Call(Node):
    """A function of the file, or one that is built in."""

    name: str
    args: list[Expr]


@dataclass(slots=True)
class Make(Node):
    """A record; fields that are not given have the value of nothing."""

    name: str
    fields: list[tuple[str, Expr]]


@dataclass(slots=True)
class Items(Node):
    """A list."""

    items: list[Expr]


@dataclass(slots=True)
class Field(Node):
    """A field of a record."""

    of: Expr
    name: str


@dataclass(slots=True)
class Index(Node):
    """An item of a list, from 0 on."""

    of: Expr
    at: Expr


@dataclass(slots=True)
class Unary(Node):
    """not, or minus."""

    sign: str
    of: Expr


@dataclass(slots=True)
class Binary(Node):
    """Two values and what is made of them; and, or look at the second only where it matters."""

    sign: str
    left: Expr
    right: Expr


@dataclass(slots=True)
class If(Node):
    """One of two."""

    test: Expr
    then: Block
    other: Block


@dataclass(slots=True)
class Arm(Node):
    """One way of a match; no literals: every value."""

    values: list[Expr]
    then: Expr


@dataclass(slots=True)
class Match(Node):
    """The first arm that fits."""

    of: Expr
    arms: list[Arm]


@dataclass(slots=True)
class For(Node):
    """Fold a list: the block gives the next value of what is carried along."""

    item: str
    over: Expr
    carried: str
    start: Expr
    body: Block


@dataclass(slots=True)
class Block(Node):
    """Names given to values, and a value."""

    lets: list[tuple[str, Expr]]
    value: Expr


Expr = Number | Text | Bool | Name | Call | Make | Items | Field | Index | Unary | Binary | If | Match | For | Block


@dataclass(slots=True)
class TypeName(Node):
    """A type as it is written."""

    name: str
    of: TypeName | None = None


@dataclass(slots=True)
class Function(Node):
    """A function of the file."""

    name: str
    params: list[tuple[str, TypeName]]
    gives: TypeName
    body: Block


@dataclass(slots=True)
class Hook(Node):
    """What is done at a point."""

    point: str
    params: list[str]
    body: Block


@dataclass(slots=True)
class Test(Node):
    """A check that stands in the file itself."""

    title: str
    body: Block


@dataclass(slots=True)
class File:
    """A whole source."""

    functions: list[Function]
    hooks: list[Hook]
    tests: list[Test]
    # As they stand in the source, each with where it ends; and the comments.
    items: list[tuple[Function | Hook | Test, Place]] = field(default_factory=list, compare=False, repr=False)
    comments: list[tuple[Place, str]] = field(default_factory=list, compare=False, repr=False)


# Words ----------------------------------------------------------------------------------------------------


class _Words:
    def __init__(self, source: str) -> None:
        self._source, self._at, self._line, self._begins = source, 0, 1, 0
        self.comments: list[tuple[Place, str]] = []

    def _place(self) -> Place:
        return Place(self._line, self._at - self._begins + 1)

    def words(self, until: str = "", depth: int = 0) -> list[Token]:
        """All words up to the end, or up to the brace that closes a template."""
        if depth > 4:
            raise HookFault(self._place(), "templates are nested too deep")
        found: list[Token] = []
        braces = 0
        while self._at < len(self._source):
            place = self._place()
            if self._source[self._at] == '"':
                found.append(self._text(depth))
                continue
            match = TOKEN.match(self._source, self._at)
            if match is None:
                raise HookFault(place, f"no word begins with {self._source[self._at]!r}")
            text = match.group()
            if until and text == "}" and not braces:
                return [*found, Token("end", "", place)]
            braces += (text == "{") - (text == "}")
            self._step(match.end())
            if match["comment"] is not None:
                self.comments.append((place, text.rstrip()))
            if match["comment"] is not None or match["space"] is not None:
                continue
            if match["number"] is not None:
                found.append(self._number(match, place))
            elif match["name"] is not None:
                found.append(Token("word" if text in KEYWORDS else "name", text, place))
            else:
                found.append(Token("sign", text, place))
        if until:
            raise HookFault(self._place(), "expected '}' that closes the template, got the end of the file")
        return [*found, Token("end", "", self._place())]

    def _step(self, to: int) -> None:
        newline = self._source.rfind("\n", self._at, to)
        if newline >= 0:
            self._line += self._source.count("\n", self._at, to)
            self._begins = newline + 1
        self._at = to

    @staticmethod
    def _number(match: re.Match[str], place: Place) -> Token:
        unit = match["unit"]
        if unit is None:
            return Token("number", match.group(), place, float(match.group()))
        if unit not in UNITS_MS:
            raise HookFault(place, f"expected a number, or one with ms, s, m or h, got {match.group()!r}")
        return Token("duration", match.group(), place, float(match.group()[: -len(unit)]) * UNITS_MS[unit])

    def _text(self, depth: int) -> Token:
        place = self._place()
        self._at += 1
        parts: list[str | Token] = []
        piece: list[str] = []
        while True:
            if self._at >= len(self._source) or self._source[self._at] == "\n":
                raise HookFault(place, "a text that is not closed on its line")
            sign = self._source[self._at]
            if sign == '"':
                self._at += 1
                parts.append("".join(piece))
                return Token("text", "", place, 0.0, tuple(parts))
            if sign == "\\":
                escape = self._source[self._at + 1 : self._at + 2]
                if escape not in ESCAPES or not escape:
                    raise HookFault(self._place(), f'no such escape: \\{escape} (there are: \\n \\t \\" \\\\ \\$)')
                piece.append(ESCAPES[escape])
                self._at += 2
            elif self._source.startswith("${", self._at):
                at = self._place()
                self._at += 2
                parts += ["".join(piece), Token("template", "", at, inner=tuple(self.words("}", depth + 1)))]
                piece = []
                self._at += 1
            else:
                piece.append(sign)
                self._at += 1


# Sentences ------------------------------------------------------------------------------------------------


T = TypeVar("T")


class _Parser:
    def __init__(self, words: list[Token], depth: int = 0) -> None:
        self._words, self._at, self._depth = words, 0, depth

    @property
    def _next(self) -> Token:
        return self._words[self._at]

    def _is(self, *texts: str) -> bool:
        return self._next.kind in ("sign", "word") and self._next.text in texts

    def _take(self) -> Token:
        token = self._next
        self._at += token.kind != "end"
        return token

    def _got(self) -> str:
        token = self._next
        return {"end": "the end", "text": "a text"}.get(token.kind, repr(token.text))

    def _expect(self, text: str) -> Token:
        if not self._is(text):
            raise HookFault(self._next.place, f"expected {text!r}, got {self._got()}")
        return self._take()

    def _name(self, what: str) -> str:
        if self._next.kind != "name":
            raise HookFault(self._next.place, f"expected {what}, got {self._got()}")
        return self._take().text

    def file(self) -> File:
        made = File([], [], [])
        while self._next.kind != "end":
            place = self._next.place
            item: Function | Hook | Test
            if self._is("fn"):
                self._take()
                name = self._name("the function's name")
                params = self._list("(", ")", self._param)
                self._expect("->")
                item = Function(name, params, self._type(), self._block(), place=place)
                made.functions.append(item)
            elif self._is("on"):
                self._take()
                name = self._name("the point's name")
                names = self._list("(", ")", lambda: self._name("a name"))
                item = Hook(name, names, self._block(), place=place)
                made.hooks.append(item)
            elif self._is("test"):
                self._take()
                title = self._next
                if title.kind != "text" or len(title.parts) != 1:
                    raise HookFault(title.place, f"expected the test's title as a plain text, got {self._got()}")
                self._take()
                item = Test(str(title.parts[0]), self._block(), place=place)
                made.tests.append(item)
            else:
                raise HookFault(place, f"expected 'fn', 'on' or 'test', got {self._got()}")
            made.items.append((item, self._words[self._at - 1].place))
        return made

    def _param(self) -> tuple[str, TypeName]:
        name = self._name("a parameter's name")
        self._expect(":")
        return name, self._type()

    def _type(self) -> TypeName:
        place = self._next.place
        name = self._name("a type")
        of = None
        if self._is("<"):
            self._deeper()
            self._take()
            of = self._type()
            self._expect(">")
            self._depth -= 1
        return TypeName(name, of, place=place)

    def _list(self, begin: str, end: str, one: Callable[[], T]) -> list[T]:
        self._expect(begin)
        found: list[T] = []
        while not self._is(end):
            found.append(one())
            if not self._is(end):
                self._expect(",")
        self._take()
        return found

    def _deeper(self) -> None:
        self._depth += 1
        if self._depth > MOST_DEPTH:
            raise HookFault(self._next.place, f"nested deeper than {MOST_DEPTH}")

    def _block(self) -> Block:
        place = self._expect("{").place
        self._deeper()
        lets = []
        while self._is("let"):
            self._take()
            name = self._name("a name")
            self._expect("=")
            lets.append((name, self._expr()))
            self._expect(";")
        value = self._expr()
        self._expect("}")
        self._depth -= 1
        return Block(lets, value, place=place)

    def _expr(self, bare: bool = False) -> Expr:
        """`bare`: in a head, where a brace begins the block."""
        self._deeper()
        made = self._chain(("or",), lambda: self._chain(("and",), lambda: self._not(bare)))
        self._depth -= 1
        return made

    def _chain(self, signs: tuple[str, ...], one: Callable[[], Expr]) -> Expr:
        made, count = one(), 0
        while self._is(*signs):
            token = self._take()
            count += 1
            if count > MOST_DEPTH:  # each is one step deeper in the tree
                raise HookFault(token.place, f"more than {MOST_DEPTH} {token.text!r} in a row: use parentheses or let")
            made = Binary(token.text, made, one(), place=token.place)
        return made

    def _not(self, bare: bool) -> Expr:
        if self._is("not"):
            self._deeper()
            place = self._take().place
            made: Expr = Unary("not", self._not(bare), place=place)
            self._depth -= 1
            return made
        left = self._sum(bare)
        if self._is("==", "!=", "<", "<=", ">", ">=", "in"):
            token = self._take()
            return Binary(token.text, left, self._sum(bare), place=token.place)
        return left

    def _sum(self, bare: bool) -> Expr:
        return self._chain(("+", "-"), lambda: self._chain(("*", "/", "%"), lambda: self._unary(bare)))

    def _unary(self, bare: bool) -> Expr:
        if self._is("-"):
            self._deeper()
            place = self._take().place
            made: Expr = Unary("-", self._unary(bare), place=place)
            self._depth -= 1
            return made
        made, count = self._primary(bare), 0
        while self._is(".", "["):
            token = self._take()
            count += 1
            if count > MOST_DEPTH:
                raise HookFault(token.place, f"nested deeper than {MOST_DEPTH}")
            if token.text == ".":
                made = Field(made, self._name("a field's name"), place=token.place)
            else:
                made = Index(made, self._expr(), place=token.place)
                self._expect("]")
        return made

    def _primary(self, bare: bool) -> Expr:
        token = self._next
        place = token.place
        if token.kind in ("number", "duration"):
            self._take()
            return Number(token.value, token.kind == "duration", place=place)
        if token.kind == "text":
            self._take()
            return self._text(token)
        if self._is("true", "false"):
            return Bool(self._take().text == "true", place=place)
        if token.kind == "name":
            self._take()
            if self._is("("):
                return Call(token.text, self._list("(", ")", self._expr), place=place)
            if self._is("{") and not bare:
                return Make(token.text, self._list("{", "}", self._given), place=place)
            return Name(token.text, place=place)
        if self._is("["):
            return Items(self._list("[", "]", self._expr), place=place)
        if self._is("("):
            self._take()
            made = self._expr()
            self._expect(")")
            return made
        if self._is("if"):
            return self._if()
        if self._is("match"):
            self._take()
            of = self._expr(bare=True)
            arms = self._list("{", "}", self._arm)
            return Match(of, arms, place=place)
        if self._is("for"):
            self._take()
            item = self._name("the item's name")
            self._expect("in")
            over = self._expr(bare=True)
            self._expect(",")
            carried = self._name("the name of what is carried along")
            self._expect("=")
            start = self._expr(bare=True)
            return For(item, over, carried, start, self._block(), place=place)
        raise HookFault(place, f"expected a value, got {self._got()}")

    def _given(self) -> tuple[str, Expr]:
        name = self._name("a field's name")
        self._expect(":")
        return name, self._expr()

    def _if(self) -> Expr:
        place = self._expect("if").place
        self._deeper()
        test = self._expr(bare=True)
        then = self._block()
        self._expect("else")
        if self._is("if"):
            inner = self._if()
            other = Block([], inner, place=inner.place)
        else:
            other = self._block()
        self._depth -= 1
        return If(test, then, other, place=place)

    def _arm(self) -> Arm:
        place = self._next.place
        values: list[Expr] = []
        if self._next.kind == "name" and self._next.text == "_":
            self._take()
        else:
            values.append(self._literal())
            while self._is("|"):
                self._take()
                values.append(self._literal())
        self._expect("->")
        return Arm(values, self._expr(), place=place)

    def _literal(self) -> Expr:
        place = self._next.place
        minus = self._is("-")
        if minus:
            self._take()
        made = self._primary(bare=True)
        plain = isinstance(made, Number | Bool) or (
            isinstance(made, Text) and all(isinstance(part, str) for part in made.parts)
        )
        if not plain or (minus and not isinstance(made, Number)):
            raise HookFault(place, "expected a plain number, text, duration, true or false")
        if minus and isinstance(made, Number):
            made.value = -made.value
        return made

    def _text(self, token: Token) -> Text:
        parts: list[str | Expr] = []
        for part in token.parts:
            if isinstance(part, str):
                if part or len(token.parts) == 1:
                    parts.append(part)
            else:
                inner = _Parser(list(part.inner), self._depth + 1)
                parts.append(inner._expr())
                if inner._next.kind != "end":
                    raise HookFault(inner._next.place, f"expected '}}', got {inner._got()}")
        return Text(parts, place=token.place)


def parse(source: str) -> File:
    """A source's tree; raises HookFault."""
    if len(source.encode("utf-8", "surrogatepass")) > MOST_BYTES:
        raise HookFault(Place(1, 1), f"expected no more than {MOST_BYTES} bytes")
    words = _Words(source)
    made = _Parser(words.words()).file()
    made.comments = words.comments
    return made
