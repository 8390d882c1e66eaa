"""The tokens of a source, as the parser takes them one by one."""

from __future__ import annotations

from collections.abc import Sequence

from martenstep.hooks.lexer import Token, TokenKind
from martenstep.hooks.source import HookSourceError

FIXED_KINDS = (TokenKind.PUNCTUATION, TokenKind.KEYWORD)  # the text alone says what such a token is


class TokenStream:
    """A position in a row of tokens that ends with END."""

    def __init__(self, tokens: Sequence[Token]) -> None:
        """Begins at the first of `tokens`."""
        self._tokens = tokens
        self._position = 0

    @property
    def next(self) -> Token:
        """The token that is not taken yet."""
        return self._tokens[self._position]

    @property
    def previous(self) -> Token:
        """The token that was taken last."""
        return self._tokens[self._position - 1]

    @property
    def at_end(self) -> bool:
        """Whether only END is left."""
        return self.next.kind is TokenKind.END

    def is_next(self, *texts: str) -> bool:
        """Whether the next token is one of these keywords or punctuation marks."""
        return self.next.kind in FIXED_KINDS and self.next.text in texts

    def take(self) -> Token:
        """Take the next token; END stays."""
        token = self.next
        if token.kind is not TokenKind.END:
            self._position += 1
        return token

    def expect(self, text: str) -> Token:
        """Take this keyword or punctuation mark; raises HookSourceError."""
        if not self.is_next(text):
            raise self.unexpected(repr(text))
        return self.take()

    def take_name(self, expected: str) -> str:
        """Take a name; raises HookSourceError, which calls it `expected`."""
        if self.next.kind is not TokenKind.NAME:
            raise self.unexpected(expected)
        return self.take().text

    def unexpected(self, expected: str) -> HookSourceError:
        """The error for a next token that is not the expected one."""
        token = self.next
        descriptions = {TokenKind.END: "the end", TokenKind.TEXT: "a text"}
        found = descriptions.get(token.kind, repr(token.text))
        return HookSourceError(token.location, f"expected {expected}, got {found}")
