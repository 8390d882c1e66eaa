"""Checks that the settings of all programs share; each problem is reported with its position in the file."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from pathlib import Path

from google.protobuf.message import Message

from martenstep.config.text_format import FieldPosition, SettingsProblem

MAX_PORT = 65535
REPLICA_COUNTS = (1, 3, 5)  # an even count tolerates no more failures than the odd count below it


class SettingsChecker:
    """Collects the problems of one settings file."""

    def __init__(self) -> None:
        """Create a checker that has found no problems."""
        self.problems: list[SettingsProblem] = []

    def report(self, position: FieldPosition, text: str) -> None:
        """Record a problem at a field's position in the file."""
        self.problems.append(SettingsProblem(position.line, position.column, position.path, text))

    def require_range(
        self, message: Message, position: FieldPosition, name: str, minimum: float, maximum: float = math.inf
    ) -> None:
        """Require a number within bounds, both inclusive."""
        value = getattr(message, name)
        if not minimum <= value <= maximum:  # also true for NaN
            bounds = f"at least {minimum:g}" if maximum == math.inf else f"from {minimum:g} to {maximum:g}"
            self.report(position.at(name), f"expected {bounds}, got {value:g}")

    def require_positive(self, message: Message, position: FieldPosition, *names: str) -> None:
        """Require finite numbers above 0."""
        for name in names:
            value = getattr(message, name)
            if not 0 < value < math.inf:
                self.report(
                    position.at(name),
                    f"expected above 0, got {value:g}" if message.HasField(name) else "missing, expected above 0",
                )

    def require_present(self, message: Message, position: FieldPosition, *names: str) -> None:
        """Require fields that are set and not empty."""
        for name in names:
            if not getattr(message, name):
                self.report(position.at(name), "missing or empty")

    def require_unique(self, positions: Sequence[FieldPosition], messages: Iterable[Message], name: str) -> None:
        """Require that no two entries of a repeated field share a value."""
        seen: dict[str, int] = {}
        for position, message in zip(positions, messages, strict=True):
            value = getattr(message, name)
            if value and value in seen:
                self.report(position.at(name), f"{value!r} is taken by the entry at line {seen[value]}")
            seen.setdefault(value, position.line)

    def require_reference(
        self, message: Message, position: FieldPosition, name: str, names: set[str], kind: str
    ) -> None:
        """Require a field that holds the name of another entry; `kind` is what that entry is, such as a plan."""
        value = getattr(message, name)
        if not value:
            self.report(position.at(name), f"missing, expected the name of a {kind}")
        elif value not in names:
            choices = ", ".join(sorted(names)) or "none"
            self.report(position.at(name), f"no {kind} is named {value!r} (there are: {choices})")

    def require_port(self, message: Message, position: FieldPosition, any_free: bool) -> None:
        """Require a port number; with `any_free`, 0 is allowed and means any free port."""
        port = getattr(message, "port")  # noqa: B009 - the schemas' messages share no type that has this field
        minimum = 0 if any_free else 1
        if port > MAX_PORT:
            self.report(position.at("port"), f"expected a port from {minimum} to {MAX_PORT}, got {port}")
        elif port < minimum:
            self.report(position.at("port"), f"missing, expected a port from {minimum} to {MAX_PORT}")

    def require_file(self, message: Message, position: FieldPosition, name: str) -> None:
        """Require that the file named by a field exists, if the field is set."""
        value = getattr(message, name)
        if value and not Path(value).is_file():
            self.report(position.at(name), f"expected an existing file, but there is no file {value!r}")

    def forbid_address(self, message: Message, position: FieldPosition, other: str) -> None:
        """Report a host or port that is set together with `other`, the field that replaces them."""
        for name in ("host", "port"):
            if message.HasField(name):
                self.report(position.at(name), f"given beside {other}; only one of them may be set")
