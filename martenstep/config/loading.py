"""Loads settings from protobuf text format and reports all problems of a file together."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.config.checker import SettingsChecker
from martenstep.config.checks.gateway import check_gateway
from martenstep.config.text_format import FieldPosition, MessageT, SettingsError, SettingsProblem, parse


def read_text(path: Path) -> str:
    """Return a file's text; raises SettingsError if it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            str(path), [SettingsProblem(1, 1, "", error.strerror or "the file cannot be read")]
        ) from None
    except UnicodeDecodeError as error:
        raise SettingsError(
            str(path), [SettingsProblem(1, 1, "", f"expected UTF-8, but the text is not UTF-8 at byte {error.start}")]
        ) from None


def parse_checked(
    text: str, message: MessageT, file: str, check: Callable[[SettingsChecker, MessageT, FieldPosition], None]
) -> MessageT:
    """Parse a message and, if its syntax is valid, check its values; raises SettingsError with all problems."""
    parsed, root, problems = parse(text, message, file)
    if not problems:
        checker = SettingsChecker()
        check(checker, parsed, root)
        problems = checker.problems
    if problems:
        raise SettingsError(file, problems)
    return parsed


def parse_door(text: str, file: str) -> pb.Door:
    """Parse a gateway's settings from text; raises SettingsError with all problems."""
    return parse_checked(text, pb.Door(), file, check_gateway)


def load_door(path: Path) -> pb.Door:
    """Load a gateway's settings from a file; raises SettingsError with all problems."""
    return parse_door(read_text(path), str(path))
