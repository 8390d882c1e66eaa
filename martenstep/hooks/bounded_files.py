"""Reads the files of a release, with a limit on their size."""

from __future__ import annotations

from pathlib import Path


class ReleaseError(Exception):
    """A release that cannot be used or published; the message says why."""


def read_bounded(path: Path, max_bytes: int) -> bytes:
    """The contents of a file; raises ReleaseError if it cannot be read or is larger than `max_bytes`."""
    try:
        with path.open("rb") as file:
            data = file.read(max_bytes + 1)
    except OSError as error:
        raise ReleaseError(f"{path.name}: {error.strerror}") from None
    if len(data) > max_bytes:
        raise ReleaseError(f"{path.name}: expected at most {max_bytes} bytes, got more")
    return data


def decode_text(data: bytes, file_name: str) -> str:
    """The contents of a file as text; raises ReleaseError if they are not UTF-8."""
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise ReleaseError(f"{file_name}: invalid UTF-8 at byte {error.start}") from None
