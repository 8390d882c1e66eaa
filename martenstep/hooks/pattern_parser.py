"""Parses regular expressions of the hook language.

Known: characters, `.`, classes `[a-z0-9]` and `[^...]`, the escapes of digits, word characters and space with their
capitals, `^`, `$`, `( )`, `|`, `* + ?`, `{m}`, `{m,}` and `{m,n}`.  There are no back-references.
"""

from __future__ import annotations

import string
from dataclasses import dataclass

MAX_REPEATS = 32  # of a counted repeat, whose states are made so often
MAX_NESTING = 20
ESCAPED_CLASSES = {"d": string.digits, "w": string.ascii_letters + string.digits + "_", "s": string.whitespace}
REPEAT_MARKS = ("*", "+", "?", "{")


class PatternError(Exception):
    """A pattern that cannot be compiled; the message has the position, counted from 0."""


@dataclass(frozen=True, slots=True)
class CharacterSet:
    """The characters of some ranges, or all but these."""

    ranges: tuple[tuple[str, str], ...]
    is_inverted: bool = False

    def contains(self, character: str) -> bool:
        """Whether a character is in the set."""
        return any(low <= character <= high for low, high in self.ranges) != self.is_inverted


@dataclass(frozen=True, slots=True)
class TextStart:
    """`^`."""


@dataclass(frozen=True, slots=True)
class TextEnd:
    """`$`."""


@dataclass(frozen=True, slots=True)
class Sequence:
    """Parts one behind the other."""

    parts: tuple[PatternNode, ...]


@dataclass(frozen=True, slots=True)
class Alternatives:
    """One of several."""

    options: tuple[PatternNode, ...]


@dataclass(frozen=True, slots=True)
class Repeat:
    """A part several times; without a maximum, any number of times."""

    part: PatternNode
    min_times: int
    max_times: int | None


PatternNode = CharacterSet | TextStart | TextEnd | Sequence | Alternatives | Repeat


def _single(character: str) -> CharacterSet:
    return CharacterSet(((character, character),))


class PatternParser:
    """Parses one pattern."""

    def __init__(self, pattern: str) -> None:
        """`pattern` is read by `parse`."""
        self._pattern = pattern
        self._position = 0

    def parse(self) -> PatternNode:
        """The whole pattern; raises PatternError."""
        parsed = self._alternatives(0)
        if self._position < len(self._pattern):
            raise self._error("a ')' that nothing opened")
        return parsed

    def _error(self, message: str, offset: int = 0) -> PatternError:
        return PatternError(f"at {self._position + offset}: {message}")

    def _peek(self) -> str:
        return self._pattern[self._position : self._position + 1]

    def _alternatives(self, nesting: int) -> PatternNode:
        if nesting > MAX_NESTING:
            raise self._error(f"nested deeper than {MAX_NESTING}")
        options = [self._sequence(nesting)]
        while self._peek() == "|":
            self._position += 1
            options.append(self._sequence(nesting))
        return Alternatives(tuple(options)) if len(options) > 1 else options[0]

    def _sequence(self, nesting: int) -> PatternNode:
        parts: list[PatternNode] = []
        while self._peek() not in ("", "|", ")"):
            parts.append(self._repeated(self._single_part(nesting)))
        return Sequence(tuple(parts))

    def _repeated(self, part: PatternNode) -> PatternNode:
        mark = self._peek()
        if mark not in REPEAT_MARKS:
            return part
        if mark == "{":
            repeat = self._counted_repeat(part)
        else:
            self._position += 1
            repeat = Repeat(part, 1 if mark == "+" else 0, 1 if mark == "?" else None)
        if self._peek() in REPEAT_MARKS:
            raise self._error("a repeat of a repeat")
        return repeat

    def _counted_repeat(self, part: PatternNode) -> Repeat:
        end = self._pattern.find("}", self._position)
        low, comma, high = self._pattern[self._position + 1 : max(end, 0)].partition(",")
        is_well_formed = (
            end > 0 and low.isascii() and low.isdigit() and (not high or (high.isascii() and high.isdigit()))
        )
        if not is_well_formed or max(int(low), int(high or 0)) > MAX_REPEATS or (high and int(high) < int(low)):
            raise self._error(f"expected a repeat such as {{2,5}} of no more than {MAX_REPEATS}")
        self._position = end + 1
        if high:
            return Repeat(part, int(low), int(high))
        return Repeat(part, int(low), None if comma else int(low))

    def _single_part(self, nesting: int) -> PatternNode:
        character = self._peek()
        self._position += 1
        match character:
            case "(":
                return self._group(nesting)
            case "[":
                return self._character_class()
            case "\\":
                return self._escape()
            case ".":
                return CharacterSet((), True)
            case "^":
                return TextStart()
            case "$":
                return TextEnd()
        if character in REPEAT_MARKS:
            raise self._error("nothing to repeat", offset=-1)
        return _single(character)

    def _group(self, nesting: int) -> PatternNode:
        parsed = self._alternatives(nesting + 1)
        if self._peek() != ")":
            raise self._error("expected ')'")
        self._position += 1
        return parsed

    def _escape(self) -> CharacterSet:
        character = self._peek()
        self._position += 1
        if character.lower() in ESCAPED_CLASSES:
            members = ESCAPED_CLASSES[character.lower()]
            return CharacterSet(tuple((member, member) for member in members), character.isupper())
        if not character or character.isalnum():
            raise self._error(f"no such escape: \\{character}", offset=-1)
        return _single(character)

    def _character_class(self) -> CharacterSet:
        is_inverted = self._peek() == "^"
        self._position += is_inverted
        ranges: list[tuple[str, str]] = []
        while self._peek() != "]" or not ranges:
            ranges += self._class_ranges()
        self._position += 1
        return CharacterSet(tuple(ranges), is_inverted)

    def _class_ranges(self) -> tuple[tuple[str, str], ...]:
        """One character, range or escape of a class."""
        low = self._peek()
        if not low:
            raise self._error("expected ']'")
        self._position += 1
        if low == "\\":
            escaped = self._escape()
            if escaped.is_inverted:
                raise self._error("not in a class: a capital's escape")
            return escaped.ranges
        is_range = self._peek() == "-" and self._pattern[self._position + 1 : self._position + 2] not in ("", "]")
        if not is_range:
            return ((low, low),)
        high = self._pattern[self._position + 1]
        self._position += 2
        if high < low:
            raise self._error("a range that runs backwards")
        return ((low, high),)
