"""A sequence of tokens with the parser's current position in it."""

from __future__ import annotations

from collections.abc import Sequence

from martenstep.hooks.lexer import Token, TokenKind
from martenstep.hooks.source import HookSourceError

FIXED_KINDS = (TokenKind.PUNCTUATION, TokenKind.KEYWORD)  # the text identifies a token of these kinds


class TokenStream:
    """A position in a sequence of tokens that ends with END."""

    def __init__(self, tokens: Sequence[Token]) -> None:
        """Starts at the first of `tokens`."""
        self._tokens = tokens
        self._position = 0

    @property
    def next(self) -> Token:
        """The first token that is not consumed yet."""
        return self._tokens[self._position]

    @property
    def previous(self) -> Token:
        """The token that was consumed last."""
        return self._tokens[self._position - 1]

    @property
    def at_end(self) -> bool:
        """Whether all tokens before END are consumed."""
        return self.next.kind is TokenKind.END

    def is_next(self, *texts: str) -> bool:
        """Whether the next token is one of these keywords or punctuation marks."""
        return self.next.kind in FIXED_KINDS and self.next.text in texts

    def take(self) -> Token:
        """Consume the next token, unless it is END, and return it."""
        token = self.next
        if token.kind is not TokenKind.END:
            self._position += 1
        return token

    def expect(self, text: str) -> Token:
        """Consume a given keyword or punctuation mark; raises HookSourceError if another token is next."""
        if not self.is_next(text):
            raise self.unexpected(repr(text))
        return self.take()

    def take_name(self, expected: str) -> str:
        """Consume a name; raises HookSourceError, with `expected` in its message, if another token is next."""
        if self.next.kind is not TokenKind.NAME:
            raise self.unexpected(expected)
        return self.take().text

    def unexpected(self, expected: str) -> HookSourceError:
        """The error for a next token that differs from the expected one."""
        token = self.next
        descriptions = {TokenKind.END: "the end of the file or template", TokenKind.TEXT: "a text"}
        found = descriptions.get(token.kind, repr(token.text))
        return HookSourceError(token.location, f"expected {expected}, got {found}")
