"""The error that a damaged log raises."""

from __future__ import annotations

from martenstep.storage.errors import StorageError


class LogError(StorageError):
    """A log is damaged or incomplete: in which file, at which offset, and how."""

    def __init__(self, file: str, offset: int, text: str) -> None:
        """`offset` is in bytes from the file's beginning."""
        self.file = file
        self.offset = offset
        self.text = text
        super().__init__(f"{file} at byte {offset}: {text}")
