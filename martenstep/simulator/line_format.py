"""The format of the simulator's lines: the name of a message, then fields as name=value."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import TypeVar

REST_OF_LINE_FIELDS = ("params", "text")  # fields whose value is the rest of the line, spaces included
T = TypeVar("T")


class ProtocolError(Exception):
    """A malformed line; the message names the field and what was expected."""


class Fields:
    """The name=value pairs of one line, with methods that check a field's format and convert it.

    Each method raises ProtocolError for a field that is missing or malformed; a missing field with a default has the
    default as its value.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        """Store the pairs unconverted."""
        self._pairs = pairs

    def text(self, name: str, default: str | None = None) -> str:
        """Return the field's value unconverted."""
        value = self._pairs.get(name, default)
        if value is None:
            raise ProtocolError(f"field {name}: missing, expected a value")
        return value

    def _parsed(self, name: str, parse: Callable[[str], T], expected: str, default: str | None) -> T:
        value = self.text(name, default)
        try:
            return parse(value)
        except ValueError:
            raise ProtocolError(f"field {name}: expected {expected}, got {value!r}") from None

    def number(self, name: str, default: str | None = None) -> float:
        """Return the field as a finite number."""
        value = self._parsed(name, float, "a number", default)
        if not math.isfinite(value):
            raise ProtocolError(f"field {name}: expected a finite number, got {value!r}")
        return value

    def integer(self, name: str, default: str | None = None) -> int:
        """Return the field as a whole number."""
        return self._parsed(name, int, "a whole number", default)

    def flag(self, name: str) -> bool:
        """Return whether the field is 1 rather than 0; a missing field counts as 0."""
        value = self.text(name, "0")
        if value not in ("0", "1"):
            raise ProtocolError(f"field {name}: expected 1 or 0, got {value!r}")
        return value == "1"

    def choice(self, name: str, table: Mapping[str, T]) -> T:
        """Return the table's entry for the field's value."""
        value = self.text(name)
        if value not in table:
            raise ProtocolError(f"field {name}: expected one of {', '.join(table)}, got {value!r}")
        return table[value]

    def numbers(self, name: str) -> tuple[float, ...]:
        """Return the field as comma-separated numbers; a field that is missing, empty or "-" gives none."""
        if self._pairs.get(name, "") in ("", "-"):
            return ()
        return self._parsed(name, parse_numbers, "numbers set apart by commas", None)


def parse_numbers(text: str) -> tuple[float, ...]:
    """Parse comma-separated numbers; raises ValueError."""
    return tuple(float(part) for part in text.split(","))


def parse_line(line: str) -> tuple[str, Fields]:
    """Split one line into the message's name and its fields; raises ProtocolError for a field without a value."""
    name, _, rest = line.partition(" ")
    pairs: dict[str, str] = {}
    while rest:
        key, found, rest = rest.partition("=")
        if not found:
            raise ProtocolError(f"field {key}: expected name=value")
        if key in REST_OF_LINE_FIELDS:
            pairs[key] = rest
            break
        value, _, rest = rest.partition(" ")
        pairs[key] = value
    return name, Fields(pairs)
