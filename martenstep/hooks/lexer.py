"""Splits the source of a hook into tokens."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, auto

from martenstep.hooks.source import HookSourceError, SourceLocation

MAX_TEMPLATE_NESTING = 4
KEYWORDS = frozenset(
    {"fn", "on", "test", "let", "if", "else", "match", "for", "in", "and", "or", "not", "true", "false"}
)
DURATION_UNITS_MS = {"ms": 1.0, "s": 1000.0, "m": 60_000.0, "h": 3_600_000.0}
ESCAPE_SEQUENCES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\", "$": "$"}
TOKEN_PATTERN = re.compile(
    r"(?P<space>[ \t\r\n]+)|(?P<comment>#[^\n]*)|(?P<number>\d+(?:\.\d+)?(?P<unit>[A-Za-z_]\w*)?)"
    r"|(?P<name>[A-Za-z_]\w*)|(?P<punctuation>->|==|!=|<=|>=|[-+*/%<>=(){}\[\],;:.|])",
    re.ASCII,
)


class TokenKind(Enum):
    """The kinds of tokens."""

    NUMBER = auto()
    DURATION = auto()
    TEXT = auto()
    NAME = auto()
    KEYWORD = auto()
    PUNCTUATION = auto()
    END = auto()


@dataclass(frozen=True, slots=True)
class Template:
    """The tokens between the braces of `${...}` in a text, with an END token."""

    tokens: tuple[Token, ...]


@dataclass(frozen=True, slots=True)
class Token:
    """One token.

    `value` is that of a number or, in milliseconds, of a duration; `parts` are the pieces of a text, alternating with
    its templates.
    """

    kind: TokenKind
    text: str
    location: SourceLocation
    value: float = 0.0
    parts: tuple[str | Template, ...] = ()


class Lexer:
    """Splits one source into tokens; `comments` has its comments after `tokens` has returned."""

    def __init__(self, source: str) -> None:
        """`source` is split by `tokens`."""
        self._source = source
        self._position = 0
        self._line = 1
        self._line_start = 0
        self.comments: list[tuple[SourceLocation, str]] = []

    def tokens(self) -> list[Token]:
        """All tokens, of which the last is END; raises HookSourceError."""
        found: list[Token] = []
        while self._position < len(self._source):
            token = self._next_token(template_nesting=0)
            if token is not None:
                found.append(token)
        found.append(Token(TokenKind.END, "", self._location()))
        return found

    def _location(self) -> SourceLocation:
        return SourceLocation(self._line, self._position - self._line_start + 1)

    def _template_tokens(self, nesting: int) -> tuple[Token, ...]:
        """The tokens up to the brace that closes a template."""
        if nesting > MAX_TEMPLATE_NESTING:
            raise HookSourceError(self._location(), f"templates are nested deeper than {MAX_TEMPLATE_NESTING} levels")
        found: list[Token] = []
        open_braces = 0
        while self._position < len(self._source):
            if self._source[self._position] == "}" and not open_braces:
                found.append(Token(TokenKind.END, "", self._location()))
                return tuple(found)
            token = self._next_token(nesting)
            if token is None:
                continue
            if token.kind is TokenKind.PUNCTUATION:
                open_braces += (token.text == "{") - (token.text == "}")
            found.append(token)
        raise HookSourceError(self._location(), "expected '}' to close the template, got the end of the file")

    def _next_token(self, template_nesting: int) -> Token | None:
        """The token at the current position, or None for white space and comments."""
        location = self._location()
        if self._source[self._position] == '"':
            return self._text(template_nesting)
        match = TOKEN_PATTERN.match(self._source, self._position)
        if match is None:
            raise HookSourceError(location, f"no token begins with the character {self._source[self._position]!r}")
        text = match.group()
        self._advance_to(match.end())
        if match["space"] is not None:
            return None
        if match["comment"] is not None:
            self.comments.append((location, text.rstrip()))
            return None
        if match["number"] is not None:
            return self._number(match, location)
        if match["name"] is not None:
            return Token(TokenKind.KEYWORD if text in KEYWORDS else TokenKind.NAME, text, location)
        return Token(TokenKind.PUNCTUATION, text, location)

    def _advance_to(self, position: int) -> None:
        newline = self._source.rfind("\n", self._position, position)
        if newline >= 0:
            self._line += self._source.count("\n", self._position, position)
            self._line_start = newline + 1
        self._position = position

    @staticmethod
    def _number(match: re.Match[str], location: SourceLocation) -> Token:
        text = match.group()
        unit = match["unit"]
        if unit is None:
            return Token(TokenKind.NUMBER, text, location, float(text))
        if unit not in DURATION_UNITS_MS:
            raise HookSourceError(location, f"expected a number, or a duration in ms, s, m or h, got {text!r}")
        milliseconds = float(text[: -len(unit)]) * DURATION_UNITS_MS[unit]
        return Token(TokenKind.DURATION, text, location, milliseconds)

    def _text(self, template_nesting: int) -> Token:
        location = self._location()
        self._position += 1
        parts: list[str | Template] = []
        characters: list[str] = []
        while True:
            if self._position >= len(self._source) or self._source[self._position] == "\n":
                raise HookSourceError(location, "the text is not closed with '\"' on the same line")
            character = self._source[self._position]
            if character == '"':
                self._position += 1
                parts.append("".join(characters))
                return Token(TokenKind.TEXT, "", location, parts=tuple(parts))
            if character == "\\":
                characters.append(self._escape_sequence())
            elif self._source.startswith("${", self._position):
                self._position += 2
                parts += ["".join(characters), Template(self._template_tokens(template_nesting + 1))]
                characters = []
                self._position += 1
            else:
                characters.append(character)
                self._position += 1

    def _escape_sequence(self) -> str:
        escape = self._source[self._position + 1 : self._position + 2]
        if escape not in ESCAPE_SEQUENCES:
            raise HookSourceError(
                self._location(), f'unknown escape sequence \\{escape} in a text (there are: \\n \\t \\" \\\\ \\$)'
            )
        self._position += 2
        return ESCAPE_SEQUENCES[escape]
