"""Positions in the source of a hook, and the error for a source that does not compile."""

from __future__ import annotations

from dataclasses import dataclass

MAX_SOURCE_BYTES = 65_536
# Limits the recursion of the parser and of every pass over the syntax tree, which use Python's own stack.
MAX_NESTING = 40
MAX_EXCERPT_CHARACTERS = 100
EXCERPT_CHARACTERS_BEFORE = 60


@dataclass(frozen=True, slots=True, order=True)
class SourceLocation:
    """A line and a column of a source, both counted from 1."""

    line: int
    column: int


class HookSourceError(Exception):
    """A source that does not compile: the location, and what was expected there."""

    def __init__(self, location: SourceLocation, message: str) -> None:
        """`message` says what was expected at `location`."""
        super().__init__(f"{location.line}:{location.column}: {message}")
        self.location = location
        self.message = message

    def format_with_source(self, source: str, file_name: str) -> str:
        """The message, the source line that it refers to, and a mark below the column."""
        lines = source.split("\n")
        line = lines[self.location.line - 1] if self.location.line <= len(lines) else ""
        start = max(self.location.column - EXCERPT_CHARACTERS_BEFORE, 0)
        excerpt = line[start : start + MAX_EXCERPT_CHARACTERS].replace("\t", " ")
        mark = " " * (self.location.column - 1 - start) + "^"
        return f"{file_name}:{self}\n  {excerpt}\n  {mark}"
