r"""Parses regular expressions of the hook language.

A pattern may use characters, `.`, classes such as `[a-z0-9]` and `[^...]`, the escapes `\d`, `\w`, `\s` and their
inversions `\D`, `\W`, `\S`, `^`, `$`, `( )`, `|`, `* + ?`, `{m}`, `{m,}` and `{m,n}`.  There are no back-references.
"""

from __future__ import annotations

import string
from dataclasses import dataclass

MAX_REPEATS = 32  # of a counted repeat, which copies the states of its part as many times
MAX_NESTING = 20
ESCAPED_CLASSES = {"d": string.digits, "w": string.ascii_letters + string.digits + "_", "s": string.whitespace}
REPEAT_MARKS = ("*", "+", "?", "{")


class PatternError(Exception):
    """A pattern that cannot be compiled; the message has the position in the pattern, counted from 0."""


@dataclass(frozen=True, slots=True)
class CharacterSet:
    """The characters in some ranges or, if inverted, all others."""

    ranges: tuple[tuple[str, str], ...]
    is_inverted: bool = False

    def contains(self, character: str) -> bool:
        """Whether a character is in the set."""
        return any(low <= character <= high for low, high in self.ranges) != self.is_inverted


@dataclass(frozen=True, slots=True)
class TextStart:
    """`^`: matches at the start of the text."""


@dataclass(frozen=True, slots=True)
class TextEnd:
    """`$`: matches at the end of the text."""


@dataclass(frozen=True, slots=True)
class Sequence:
    """Parts that match one after the other."""

    parts: tuple[PatternNode, ...]


@dataclass(frozen=True, slots=True)
class Alternatives:
    """`|`: matches if one of the options does."""

    options: tuple[PatternNode, ...]


@dataclass(frozen=True, slots=True)
class Repeat:
    """A repeated part; a maximum of None means any number of times."""

    part: PatternNode
    min_times: int
    max_times: int | None


PatternNode = CharacterSet | TextStart | TextEnd | Sequence | Alternatives | Repeat


def _single(character: str) -> CharacterSet:
    return CharacterSet(((character, character),))


class PatternParser:
    """Parses one pattern."""

    def __init__(self, pattern: str) -> None:
        """`pattern` is parsed by `parse`."""
        self._pattern = pattern
        self._position = 0

    def parse(self) -> PatternNode:
        """Parse the whole pattern; raises PatternError."""
        parsed = self._alternatives(0)
        if self._position < len(self._pattern):
            raise self._error("')' without '('")
        return parsed

    def _error(self, message: str, offset: int = 0) -> PatternError:
        return PatternError(f"at position {self._position + offset}: {message}")

    def _peek(self) -> str:
        return self._pattern[self._position : self._position + 1]

    def _alternatives(self, nesting: int) -> PatternNode:
        if nesting > MAX_NESTING:
            raise self._error(f"groups are nested deeper than {MAX_NESTING} levels")
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
            raise self._error("a repeat directly after another repeat")
        return repeat

    def _counted_repeat(self, part: PatternNode) -> Repeat:
        end = self._pattern.find("}", self._position)
        low, comma, high = self._pattern[self._position + 1 : max(end, 0)].partition(",")
        is_well_formed = (
            end > 0 and low.isascii() and low.isdigit() and (not high or (high.isascii() and high.isdigit()))
        )
        if not is_well_formed or max(int(low), int(high or 0)) > MAX_REPEATS or (high and int(high) < int(low)):
            raise self._error(f"expected a repeat such as {{2,5}} with counts of at most {MAX_REPEATS}")
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
            raise self._error(f"nothing before {character!r} to repeat", offset=-1)
        return _single(character)

    def _group(self, nesting: int) -> PatternNode:
        parsed = self._alternatives(nesting + 1)
        if self._peek() != ")":
            raise self._error("expected ')' to close the group")
        self._position += 1
        return parsed

    def _escape(self) -> CharacterSet:
        character = self._peek()
        self._position += 1
        if character.lower() in ESCAPED_CLASSES:
            members = ESCAPED_CLASSES[character.lower()]
            return CharacterSet(tuple((member, member) for member in members), character.isupper())
        if not character or character.isalnum():
            raise self._error(f"unknown escape sequence \\{character}", offset=-1)
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
        """Parse one character, range or escape in a class."""
        low = self._peek()
        if not low:
            raise self._error("expected ']' to close the character class")
        self._position += 1
        if low == "\\":
            escaped = self._escape()
            if escaped.is_inverted:
                raise self._error("an inverted escape such as \\D is not allowed in a character class")
            return escaped.ranges
        is_range = self._peek() == "-" and self._pattern[self._position + 1 : self._position + 2] not in ("", "]")
        if not is_range:
            return ((low, low),)
        high = self._pattern[self._position + 1]
        self._position += 2
        if high < low:
            raise self._error(f"the range from {low!r} to {high!r} runs backwards")
        return ((low, high),)
