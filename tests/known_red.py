"""KNOWN-RED.txt: tests that fail for a real fault which could not be mended yet, a line each of test, cause and issue.

They run all the same.  One that fails is passed over and printed with its cause; one that passes each of its runs fails
the run, since its line is no longer true.  No line: nothing is passed over.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

MOST = 3  # lines: more than this is no list of exceptions
RUNS = 3  # of a listed test that passes: a fault that shows now and then is still a fault


class KnownRedError(Exception):
    """A file that cannot be used."""


@dataclass(frozen=True, slots=True)
class Red:
    """One line."""

    test: str  # its node id
    cause: str
    issue: int


def read(path: Path) -> dict[str, Red]:
    """The lines by their tests; raises KnownRedError."""
    if not path.exists():
        return {}
    found: dict[str, Red] = {}
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not parts[2].isdigit() or "::" not in parts[0]:
            raise KnownRedError(f"{path.name}: line {number}: expected `test | cause | issue`, got {line!r}")
        if parts[0] in found:
            raise KnownRedError(f"{path.name}: line {number}: {parts[0]} stands there twice")
        found[parts[0]] = Red(parts[0], parts[1], int(parts[2]))
    if len(found) > MOST:
        raise KnownRedError(f"{path.name}: {len(found)} lines, {MOST} at most")
    return found
