"""Reads files of a release up to a bound."""

from __future__ import annotations

from pathlib import Path


class ReleaseError(Exception):
    """A folder that has no release that can be taken up: why."""


def read_bounded(path: Path, max_bytes: int) -> bytes:
    """The contents of a file; raises ReleaseError, also if there are more bytes."""
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
    except OSError as error:
        raise ReleaseError(f"{path.name}: {error.strerror}") from None
    if len(data) > max_bytes:
        raise ReleaseError(f"{path.name}: above {max_bytes} bytes")
    return data


def decode_text(data: bytes, file_name: str) -> str:
    """The text of a file; raises ReleaseError."""
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise ReleaseError(f"{file_name}: not UTF-8 at byte {error.start}") from None
