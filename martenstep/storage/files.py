"""The few file operations that logs and identities rest on, so that a test can own what survives a crash.

`Disk` is the operating system's; the fault-injecting one of the tests keeps what was written but not synced apart, and
after a crash gives back any part of it.
"""

from __future__ import annotations

import errno
import fcntl
import json
import os
import time
from pathlib import Path
from typing import Protocol


class Appender(Protocol):
    """A file that is only added to."""

    def write(self, data: bytes) -> None:
        """Add bytes; they survive a crash only once synced."""

    def sync(self) -> None:
        """Make all bytes so far durable; raises OSError."""

    def close(self) -> None:
        """Close it."""


class Files(Protocol):
    """One directory."""

    def names(self) -> list[str]:
        """The files in it."""

    def read(self, name: str) -> bytes:
        """A whole file."""

    def create(self, name: str) -> Appender:
        """A new file; raises FileExistsError."""

    def append(self, name: str, size: int) -> Appender:
        """An old file, cut to a size."""

    def write_atomically(self, name: str, data: bytes) -> None:
        """A whole file, durable under its name or not there at all."""

    def overwrite(self, name: str, at: int, data: bytes) -> None:
        """Put bytes over those at an offset of an old file, all within one sector; durable on return.  A crash leaves
        there the old, the new, or neither."""

    def remove(self, name: str) -> None:
        """Remove a file."""


DISK_FAULTS_VARIABLE = (
    "MARTENSTEP_DISK_FAULTS"  # the lab's: a file that tells what is wrong with the disk, read at each operation
)


class SettingsError:
    """What the lab has the disk do: `full`, `sync_fails`, or `sync_ms` more for each sync."""

    def __init__(self, file: Path) -> None:
        self._file = file

    def _told(self) -> dict[str, float]:
        try:
            told = json.loads(self._file.read_bytes())
        except (OSError, ValueError):
            return {}
        return told if isinstance(told, dict) else {}

    def write(self) -> None:
        """Before bytes are written; raises OSError."""
        if self._told().get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def sync(self) -> None:
        """Before a sync; raises OSError."""
        told = self._told()
        time.sleep(told.get("sync_ms", 0.0) / 1000)
        if told.get("sync_fails"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))


class _DiskAppender:
    def __init__(self, number: int, faults: SettingsError | None = None) -> None:
        self._number, self._faults = number, faults

    def write(self, data: bytes) -> None:
        if self._faults is not None:
            self._faults.write()
        view = memoryview(data)
        while view:
            view = view[os.write(self._number, view) :]

    def sync(self) -> None:
        if self._faults is not None:
            self._faults.sync()
        os.fdatasync(self._number)

    def close(self) -> None:
        os.close(self._number)


class LockedError(Exception):
    """Another process holds the directory."""


class Disk:
    """A directory of the operating system, held by one process at a time."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._faults = (
            SettingsError(Path(os.environ[DISK_FAULTS_VARIABLE])) if os.environ.get(DISK_FAULTS_VARIABLE) else None
        )
        path.mkdir(parents=True, exist_ok=True)
        self._patched: dict[str, int] = {}  # open files
        self._lock = os.open(path / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise LockedError(f"{path}: another process holds it") from None

    def close(self) -> None:
        """Let the directory go."""
        for name in list(self._patched):
            os.close(self._patched.pop(name))
        os.close(self._lock)

    def __enter__(self) -> Disk:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _sync_directory(self) -> None:
        number = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self._path) if name != "lock")

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def create(self, name: str) -> Appender:
        number = os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o644)
        self._sync_directory()
        return _DiskAppender(number, self._faults)

    def append(self, name: str, size: int) -> Appender:
        number = os.open(self._path / name, os.O_WRONLY | os.O_APPEND)
        os.ftruncate(number, size)
        os.fsync(number)
        return _DiskAppender(number, self._faults)

    def write_atomically(self, name: str, data: bytes) -> None:
        if name in self._patched:
            os.close(self._patched.pop(name))
        aside = self._path / f"{name}.aside"
        number = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            _DiskAppender(number, self._faults).write(data)
            if self._faults is not None:
                self._faults.sync()
            os.fsync(number)
        finally:
            os.close(number)
        os.replace(aside, self._path / name)
        self._sync_directory()

    def overwrite(self, name: str, at: int, data: bytes) -> None:
        number = self._patched.get(name)
        if number is None:
            number = self._patched[name] = os.open(self._path / name, os.O_WRONLY)
        if self._faults is not None:
            self._faults.write()
            self._faults.sync()
        if os.pwrite(number, data, at) != len(data):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        os.fdatasync(number)

    def remove(self, name: str) -> None:
        if name in self._patched:
            os.close(self._patched.pop(name))
        os.unlink(self._path / name)
