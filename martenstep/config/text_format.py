"""Reads protobuf text format and keeps the position of each field, so that a check can name line and column.

The library's own parser stops at the first problem and keeps no positions in Python.  This reader goes on after a
problem in a field, so that all problems of a file are reported at once; a file without any is parsed by the library.
"""

from __future__ import annotations

import contextlib
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar, cast

from google.protobuf import text_format
from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message

TOKEN = re.compile(
    r"""(?P<space>[ \t\r\f\v]+|\#[^\n]*)
    |(?P<newline>\n)
    |(?P<string>"(?:\\.|[^"\\\n])*"|'(?:\\.|[^'\\\n])*')
    |(?P<number>[-+]?(?:0[xX][0-9a-fA-F]+|(?:\d+\.?\d*|\.\d+)(?:[eE][-+]?\d+)?)[fF]?)
    |(?P<word>-?[A-Za-z_][A-Za-z0-9_.]*)
    |(?P<mark>[{}<>\[\]:;,])""",
    re.X,
)
INTEGERS = {
    FieldDescriptor.CPPTYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.CPPTYPE_INT64: (-(2**63), 2**63 - 1),
    FieldDescriptor.CPPTYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.CPPTYPE_UINT64: (0, 2**64 - 1),
}
FLOATS = (FieldDescriptor.CPPTYPE_DOUBLE, FieldDescriptor.CPPTYPE_FLOAT)
CLOSING = {"{": "}", "<": ">", "[": "]"}
MessageT = TypeVar("MessageT", bound=Message)


@dataclass(frozen=True, slots=True, order=True)
class SettingsProblem:
    """One problem of a settings file: where, in which field, and what was expected."""

    line: int
    column: int
    field: str
    text: str

    def describe(self, file: str) -> str:
        """Return the line that an operator reads."""
        name = f"{self.field}: " if self.field else ""
        return f"{file}:{self.line}:{self.column}: {name}{self.text}"


class SettingsError(Exception):
    """A settings file that cannot be used, with all its problems in the order of the file."""

    def __init__(self, file: str, problems: list[SettingsProblem]) -> None:
        """Keep the file's name and its problems."""
        self.file = file
        self.problems = sorted(problems)
        super().__init__("\n".join(problem.describe(file) for problem in self.problems))


@dataclass(slots=True)
class FieldPosition:
    """The position of a field in a file, or of the file itself."""

    name: str
    path: str
    line: int
    column: int
    children: list[FieldPosition] = field(default_factory=list)

    def all(self, name: str) -> list[FieldPosition]:
        """Return the positions of a repeated field, in the order of the file."""
        return [child for child in self.children if child.name == name]

    def at(self, name: str) -> FieldPosition:
        """Return the position of a field, or that of the message where the field is absent."""
        found = self.all(name)
        path = f"{self.path}.{name}" if self.path else name
        return found[-1] if found else FieldPosition(name, path, self.line, self.column)


@dataclass(frozen=True, slots=True)
class _Token:
    kind: str
    text: str
    line: int
    column: int


class _UnreadableError(Exception):
    """The text is no longer text format: nothing after this can be read."""


def _tokens(text: str) -> Iterator[_Token]:
    line, start, at = 1, 0, 0
    while at < len(text):
        match = TOKEN.match(text, at)
        if match is None:
            yield _Token("bad", text[at], line, at - start + 1)
            return
        kind = match.lastgroup or ""
        if kind == "newline":
            line, start = line + 1, match.end()
        elif kind != "space":
            yield _Token(kind, match.group(), line, at - start + 1)
        at = match.end()
    yield _Token("end", "the end of the file", line, at - start + 1)


class _Reader:
    """Reads one file, its tokens in order."""

    def __init__(self, text: str) -> None:
        self._tokens = list(_tokens(text))
        self._at = 0
        self.problems: list[SettingsProblem] = []

    def _peek(self) -> _Token:
        return self._tokens[min(self._at, len(self._tokens) - 1)]

    def _take(self) -> _Token:
        token = self._peek()
        self._at += 1
        return token

    def _report(self, token: _Token | FieldPosition, path: str, text: str) -> None:
        self.problems.append(SettingsProblem(token.line, token.column, path, text))

    def _unreadable(self, token: _Token, path: str, expected: str) -> _UnreadableError:
        self._report(token, path, f"expected {expected}, got {token.text!r}")
        return _UnreadableError()

    def read(self, descriptor: Descriptor) -> FieldPosition:
        """Read the fields of the whole file."""
        root = FieldPosition("", "", 1, 1)
        with contextlib.suppress(_UnreadableError):
            self._body(root, descriptor, "end")
        return root

    def _body(self, node: FieldPosition, descriptor: Descriptor | None, close: str) -> None:
        """Read the fields of a message; `descriptor` is None inside a field that is not known."""
        counts: dict[str, int] = {}
        chosen: dict[str, str] = {}
        while True:
            token = self._take()
            if token.text == close or (token.kind == "end" and close == "end"):
                return
            if token.kind != "word" or token.text.startswith("-"):
                expected = "a field's name" if close == "end" else f"a field or {close!r}"
                raise self._unreadable(token, node.path, expected)
            known = descriptor.fields_by_name.get(token.text) if descriptor else None
            number = counts.get(token.text, 0)
            counts[token.text] = number + 1
            path = f"{node.path}.{token.text}" if node.path else token.text
            if known is not None and known.is_repeated:
                path += f"[{number}]"
            child = FieldPosition(token.text, path, token.line, token.column)
            if descriptor and known is None:
                self._report(token, path, f"there is no such field in {descriptor.name}")
            elif known is not None:
                self._check_single(token, known, path, number, chosen)
            node.children.append(child)
            self._value(child, known)
            if self._peek().text in (",", ";"):
                self._take()

    def _check_single(
        self, token: _Token, known: FieldDescriptor, path: str, number: int, chosen: dict[str, str]
    ) -> None:
        """Report a field that is given twice, or beside another of its oneof."""
        if not known.is_repeated and number:
            self._report(token, path, "given twice")
        elif known.containing_oneof is not None:
            other = chosen.setdefault(known.containing_oneof.name, token.text)
            if other != token.text:
                self._report(token, path, f"given beside {other}; only one of them may be")

    def _value(self, node: FieldPosition, known: FieldDescriptor | None) -> None:
        token = self._take()
        colon = token.text == ":"
        if colon:
            token = self._take()
        nested = known is not None and known.message_type is not None
        if token.text in ("{", "<"):
            if known is not None and not nested:
                self._report(token, node.path, f"expected {_expected(known)}, got a message")
            self._body(node, known.message_type if known and nested else None, CLOSING[token.text])
        elif token.text == "[":
            self._list(node, known)
        elif not colon:
            raise self._unreadable(token, node.path, "':' or '{'")
        else:
            self._scalar(token, node, known)

    def _list(self, node: FieldPosition, known: FieldDescriptor | None) -> None:
        while self._peek().text != "]":
            token = self._take()
            if token.text in ("{", "<"):
                self._body(node, known.message_type if known else None, CLOSING[token.text])
            else:
                self._scalar(token, node, known)
            if self._peek().text == ",":
                self._take()
        self._take()

    def _scalar(self, token: _Token, node: FieldPosition, known: FieldDescriptor | None) -> None:
        if token.kind not in ("string", "number", "word"):
            raise self._unreadable(token, node.path, "a value")
        while token.kind == "string" and self._peek().kind == "string":
            self._take()
        if known is not None and not _fits(token, known):
            self._report(token, node.path, f"expected {_expected(known)}, got {token.text}")


def _fits(token: _Token, known: FieldDescriptor) -> bool:
    kind = known.cpp_type
    if kind == FieldDescriptor.CPPTYPE_STRING:
        return token.kind == "string"
    if kind == FieldDescriptor.CPPTYPE_ENUM:
        return known.enum_type is not None and token.text in known.enum_type.values_by_name
    if kind == FieldDescriptor.CPPTYPE_BOOL:
        return token.text in ("true", "false", "0", "1", "t", "f", "True", "False")
    if kind in INTEGERS:
        low, high = INTEGERS[kind]
        try:
            return token.kind == "number" and low <= int(token.text, 0) <= high
        except ValueError:
            return False
    return kind in FLOATS and token.kind == "number"


def _expected(known: FieldDescriptor) -> str:
    kind = known.cpp_type
    if known.enum_type is not None:
        return "one of " + ", ".join(known.enum_type.values_by_name)
    if kind in INTEGERS:
        return f"a whole number from {INTEGERS[kind][0]} to {INTEGERS[kind][1]}"
    words = {
        FieldDescriptor.CPPTYPE_STRING: "a string in quotes",
        FieldDescriptor.CPPTYPE_BOOL: "true or false",
        FieldDescriptor.CPPTYPE_MESSAGE: "a message in braces",
    }
    return words.get(kind, "a finite number")


def parse(text: str, message: MessageT, file: str) -> tuple[MessageT, FieldPosition, list[SettingsProblem]]:
    """Read a file into a message; return it, the positions of its fields, and what is wrong with its form.

    Where the form is wrong the message is returned as it came.
    """
    reader = _Reader(text)
    root = reader.read(cast(Descriptor, message.DESCRIPTOR))
    if reader.problems:
        return message, root, reader.problems
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        line, column = error.GetLine() or 1, error.GetColumn() or 1
        reason = re.sub(r"^\d+:\d+\s*:\s*", "", str(error))
        return message, root, [SettingsProblem(line, column, "", reason)]
    return message, root, []
