"""Reads protobuf text format and records the position of each field, so that a check can name line and column.

The protobuf library's own parser stops at the first problem and provides no positions in Python.  This reader continues
after a problem in a field, so that all problems of a file are reported together.  It only finds problems and positions;
a file without problems is then parsed by the library.
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
    |(?P<punctuation>[{}<>\[\]:;,])""",
    re.X,
)
INTEGER_RANGES = {
    FieldDescriptor.CPPTYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.CPPTYPE_INT64: (-(2**63), 2**63 - 1),
    FieldDescriptor.CPPTYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.CPPTYPE_UINT64: (0, 2**64 - 1),
}
FLOAT_TYPES = (FieldDescriptor.CPPTYPE_DOUBLE, FieldDescriptor.CPPTYPE_FLOAT)
CLOSING_BRACKETS = {"{": "}", "<": ">", "[": "]"}
MessageT = TypeVar("MessageT", bound=Message)


@dataclass(frozen=True, slots=True, order=True)
class SettingsProblem:
    """One problem of a settings file: its position, the field, and what was expected."""

    line: int
    column: int
    field: str
    text: str

    def describe(self, file: str) -> str:
        """Return the line that is printed or logged for this problem."""
        name = f"{self.field}: " if self.field else ""
        return f"{file}:{self.line}:{self.column}: {name}{self.text}"


class SettingsError(Exception):
    """A settings file that cannot be used, with all its problems in the order of the file."""

    def __init__(self, file: str, problems: list[SettingsProblem]) -> None:
        """Store the file's name and its problems, sorted by position."""
        self.file = file
        self.problems = sorted(problems)
        super().__init__("\n".join(problem.describe(file) for problem in self.problems))


@dataclass(slots=True)
class FieldPosition:
    """The position of a field in a file, with those of its subfields; the root stands for the file itself."""

    name: str
    path: str
    line: int
    column: int
    children: list[FieldPosition] = field(default_factory=list)

    def all(self, name: str) -> list[FieldPosition]:
        """Return the positions of a repeated field, in the order of the file."""
        return [child for child in self.children if child.name == name]

    def at(self, name: str) -> FieldPosition:
        """Return the position of a field's last occurrence, or that of the message if the field is absent."""
        found = self.all(name)
        path = f"{self.path}.{name}" if self.path else name
        return found[-1] if found else FieldPosition(name, path, self.line, self.column)


@dataclass(frozen=True, slots=True)
class _Token:
    kind: str
    text: str
    line: int
    column: int


class _SyntaxError(Exception):
    """The text violates the syntax of text format, so that the rest of the file cannot be read."""


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
    """Recursive-descent reader of one file; collects problems and returns the tree of field positions."""

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

    def _syntax_error(self, token: _Token, path: str, expected: str) -> _SyntaxError:
        self._report(token, path, f"expected {expected}, got {token.text!r}")
        return _SyntaxError()

    def read(self, descriptor: Descriptor) -> FieldPosition:
        """Read the fields of the whole file."""
        root = FieldPosition("", "", 1, 1)
        with contextlib.suppress(_SyntaxError):
            self._read_fields(root, descriptor, "end")
        return root

    def _read_fields(self, position: FieldPosition, descriptor: Descriptor | None, close: str) -> None:
        """Read the fields of a message up to `close`; `descriptor` is None inside a field that the schema lacks."""
        counts: dict[str, int] = {}
        set_oneofs: dict[str, str] = {}
        while True:
            token = self._take()
            if token.text == close or (token.kind == "end" and close == "end"):
                return
            if token.kind != "word" or token.text.startswith("-"):
                expected = "a field's name" if close == "end" else f"a field or {close!r}"
                raise self._syntax_error(token, position.path, expected)
            known = descriptor.fields_by_name.get(token.text) if descriptor else None
            number = counts.get(token.text, 0)
            counts[token.text] = number + 1
            path = f"{position.path}.{token.text}" if position.path else token.text
            if known is not None and known.is_repeated:
                path += f"[{number}]"
            child = FieldPosition(token.text, path, token.line, token.column)
            if descriptor and known is None:
                self._report(token, path, f"there is no such field in {descriptor.name}")
            elif known is not None:
                self._check_single(token, known, path, number, set_oneofs)
            position.children.append(child)
            self._read_value(child, known)
            if self._peek().text in (",", ";"):
                self._take()

    def _check_single(
        self, token: _Token, known: FieldDescriptor, path: str, number: int, set_oneofs: dict[str, str]
    ) -> None:
        """Report a field that is given twice, or together with another field of its oneof."""
        if not known.is_repeated and number:
            self._report(token, path, "given twice")
        elif known.containing_oneof is not None:
            other = set_oneofs.setdefault(known.containing_oneof.name, token.text)
            if other != token.text:
                self._report(token, path, f"given beside {other}; only one of them may be set")

    def _read_value(self, position: FieldPosition, known: FieldDescriptor | None) -> None:
        token = self._take()
        has_colon = token.text == ":"
        if has_colon:
            token = self._take()
        is_message = known is not None and known.message_type is not None
        if token.text in ("{", "<"):
            if known is not None and not is_message:
                self._report(token, position.path, f"expected {_describe_expected(known)}, got a message")
            self._read_fields(
                position, known.message_type if known and is_message else None, CLOSING_BRACKETS[token.text]
            )
        elif token.text == "[":
            self._read_list(position, known)
        elif not has_colon:
            raise self._syntax_error(token, position.path, "':' or '{'")
        else:
            self._read_scalar(token, position, known)

    def _read_list(self, position: FieldPosition, known: FieldDescriptor | None) -> None:
        while self._peek().text != "]":
            token = self._take()
            if token.text in ("{", "<"):
                self._read_fields(position, known.message_type if known else None, CLOSING_BRACKETS[token.text])
            else:
                self._read_scalar(token, position, known)
            if self._peek().text == ",":
                self._take()
        self._take()

    def _read_scalar(self, token: _Token, position: FieldPosition, known: FieldDescriptor | None) -> None:
        if token.kind not in ("string", "number", "word"):
            raise self._syntax_error(token, position.path, "a value")
        while token.kind == "string" and self._peek().kind == "string":
            self._take()  # adjacent strings form one value
        if known is not None and not _is_valid_scalar(token, known):
            self._report(token, position.path, f"expected {_describe_expected(known)}, got {token.text}")


def _is_valid_scalar(token: _Token, known: FieldDescriptor) -> bool:
    kind = known.cpp_type
    if kind == FieldDescriptor.CPPTYPE_STRING:
        return token.kind == "string"
    if kind == FieldDescriptor.CPPTYPE_ENUM:
        return known.enum_type is not None and token.text in known.enum_type.values_by_name
    if kind == FieldDescriptor.CPPTYPE_BOOL:
        return token.text in ("true", "false", "0", "1", "t", "f", "True", "False")
    if kind in INTEGER_RANGES:
        low, high = INTEGER_RANGES[kind]
        try:
            return token.kind == "number" and low <= int(token.text, 0) <= high
        except ValueError:
            return False
    return kind in FLOAT_TYPES and token.kind == "number"


def _describe_expected(known: FieldDescriptor) -> str:
    kind = known.cpp_type
    if known.enum_type is not None:
        return "one of " + ", ".join(known.enum_type.values_by_name)
    if kind in INTEGER_RANGES:
        low, high = INTEGER_RANGES[kind]
        return f"a whole number from {low} to {high}"
    descriptions = {
        FieldDescriptor.CPPTYPE_STRING: "a string in quotes",
        FieldDescriptor.CPPTYPE_BOOL: "true or false",
        FieldDescriptor.CPPTYPE_MESSAGE: "a message in braces",
    }
    return descriptions.get(kind, "a finite number")


def parse(text: str, message: MessageT, file: str) -> tuple[MessageT, FieldPosition, list[SettingsProblem]]:
    """Read a file into a message; return it, the positions of its fields, and the problems found while parsing.

    If this reader finds problems, the message is returned unchanged.
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
