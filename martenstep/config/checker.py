"""Checks that settings of all programs share, each problem with its position in the file."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from pathlib import Path

from google.protobuf.message import Message

from martenstep.config.text_format import FieldPosition, SettingsProblem

MAX_PORT = 65535
REPLICA_COUNTS = (1, 3, 5)  # an even number tolerates no more failures than one less


class SettingsChecker:
    """Collects what is wrong with the settings of one file."""

    def __init__(self) -> None:
        """Begin without problems."""
        self.problems: list[SettingsProblem] = []

    def report(self, position: FieldPosition, text: str) -> None:
        """Add a problem at a field's position in the file."""
        self.problems.append(SettingsProblem(position.line, position.column, position.path, text))

    def require_range(
        self, message: Message, position: FieldPosition, name: str, minimum: float, maximum: float = math.inf
    ) -> None:
        """Require a number within bounds, both included."""
        value = getattr(message, name)
        if not minimum <= value <= maximum:  # also catches nan
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
        """Require fields that are not empty."""
        for name in names:
            if not getattr(message, name):
                self.report(position.at(name), "missing")

    def require_unique(self, nodes: Sequence[FieldPosition], messages: Iterable[Message], name: str) -> None:
        """Require that no two entries of a repeated field share a value."""
        seen: dict[str, int] = {}
        for position, message in zip(nodes, messages, strict=True):
            value = getattr(message, name)
            if value and value in seen:
                self.report(position.at(name), f"{value!r} is taken by the entry at line {seen[value]}")
            seen.setdefault(value, position.line)

    def require_reference(
        self, message: Message, position: FieldPosition, name: str, names: set[str], what: str
    ) -> None:
        """Require the name of an entry elsewhere; `what` is that entry's kind."""
        value = getattr(message, name)
        if not value:
            self.report(position.at(name), "missing")
        elif value not in names:
            choices = ", ".join(sorted(names)) or "none"
            self.report(position.at(name), f"no {what} is named {value!r} (there are: {choices})")

    def require_port(self, message: Message, position: FieldPosition, any_free: bool) -> None:
        """Require a port number; with `any_free` 0 stands for any free port."""
        port = getattr(message, "port")  # noqa: B009 - each schema has a type of its own
        minimum = 0 if any_free else 1
        if port > MAX_PORT:
            self.report(position.at("port"), f"expected a port from {minimum} to {MAX_PORT}, got {port}")
        elif port < minimum:
            self.report(position.at("port"), f"missing, expected a port from {minimum} to {MAX_PORT}")

    def require_file(self, message: Message, position: FieldPosition, name: str) -> None:
        """Require that a file which is named exists."""
        value = getattr(message, name)
        if value and not Path(value).is_file():
            self.report(position.at(name), f"there is no file {value!r}")

    def forbid_address(self, message: Message, position: FieldPosition, other: str) -> None:
        """Report a host or port given beside a list that takes their place."""
        for name in ("host", "port"):
            if message.HasField(name):
                self.report(position.at(name), f"given beside {other}; only one of them may be")
