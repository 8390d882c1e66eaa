"""The file operations that logs and identity files use, as an interface, so that a test can decide what a crash keeps.

`Disk` implements them on a directory of the operating system.  The fake of the tests keeps written bytes that were not
synced apart, and after a crash returns an arbitrary part of them.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol

from martenstep.storage.disk_faults import DiskFaults
from martenstep.storage.errors import StorageError

LOCK_FILE = "lock"
FILE_MODE = 0o644


class Appender(Protocol):
    """A file that is only appended to."""

    def write(self, data: bytes) -> None:
        """Append bytes; they survive a crash only once synced."""

    def sync(self) -> None:
        """Make all bytes written so far durable; raises OSError."""

    def close(self) -> None:
        """Close the file."""


class Files(Protocol):
    """The file operations on one directory."""

    def names(self) -> list[str]:
        """Return the names of the files in the directory."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def create(self, name: str) -> Appender:
        """Create a file and open it for appending; raises FileExistsError."""

    def append(self, name: str, size: int) -> Appender:
        """Truncate an existing file to a size, and open it for appending."""

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write a whole file: after a crash it is complete or unchanged, and durable on return.  Raises OSError."""

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite bytes at an offset of an existing file, all within one sector; they are durable on return.

        A crash leaves the old bytes, the new ones, or neither.
        """

    def remove(self, name: str) -> None:
        """Remove a file."""


class LockedError(StorageError):
    """Another process has locked the directory."""


class _DiskAppender:
    """A file of a Disk that is open for appending."""

    def __init__(self, fd: int, faults: DiskFaults | None = None) -> None:
        self._fd = fd
        self._faults = faults

    def write(self, data: bytes) -> None:
        if self._faults is not None:
            self._faults.write()
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._fd, remaining) :]

    def sync(self) -> None:
        if self._faults is not None:
            self._faults.sync()
        os.fdatasync(self._fd)

    def close(self) -> None:
        os.close(self._fd)


class Disk:
    """A directory of the operating system, locked by one process at a time."""

    def __init__(self, path: Path) -> None:
        """Create the directory if needed, and lock it; raises LockedError, OSError."""
        self._path = path
        self._faults = DiskFaults.from_environment()
        self._overwrite_fds: dict[str, int] = {}  # descriptors that `overwrite` keeps open, by file name
        path.mkdir(parents=True, exist_ok=True)
        self._lock_fd = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT, FILE_MODE)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock_fd)
            raise LockedError(f"{path}: another process holds it") from None

    def close(self) -> None:
        """Close all files and unlock the directory."""
        for name in list(self._overwrite_fds):
            self._close_overwrite_fd(name)
        os.close(self._lock_fd)

    def __enter__(self) -> Disk:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _close_overwrite_fd(self, name: str) -> None:
        if name in self._overwrite_fds:
            os.close(self._overwrite_fds.pop(name))

    def _sync_directory(self) -> None:
        fd = os.open(self._path, os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def names(self) -> list[str]:
        """Return the names of the files in the directory, without the lock file."""
        return sorted(name for name in os.listdir(self._path) if name != LOCK_FILE)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self._path / name).read_bytes()

    def create(self, name: str) -> Appender:
        """Create a file and open it for appending; raises FileExistsError."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        fd = os.open(self._path / name, flags, FILE_MODE)
        self._sync_directory()
        return _DiskAppender(fd, self._faults)

    def append(self, name: str, size: int) -> Appender:
        """Truncate an existing file to a size, and open it for appending."""
        fd = os.open(self._path / name, os.O_WRONLY | os.O_APPEND)
        os.ftruncate(fd, size)
        os.fsync(fd)
        return _DiskAppender(fd, self._faults)

    def write_atomically(self, name: str, data: bytes) -> None:
        """Write a whole file under a temporary name, sync it and rename it; raises OSError."""
        self._close_overwrite_fd(name)
        temporary = self._path / f"{name}.aside"
        fd = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        try:
            _DiskAppender(fd, self._faults).write(data)
            if self._faults is not None:
                self._faults.sync()
            os.fsync(fd)
        finally:
            os.close(fd)
        os.replace(temporary, self._path / name)
        self._sync_directory()

    def overwrite(self, name: str, offset: int, data: bytes) -> None:
        """Overwrite bytes at an offset of an existing file, and sync it; raises OSError."""
        fd = self._overwrite_fds.get(name)
        if fd is None:
            fd = self._overwrite_fds[name] = os.open(self._path / name, os.O_WRONLY)
        if self._faults is not None:
            self._faults.write()
            self._faults.sync()
        if os.pwrite(fd, data, offset) != len(data):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        os.fdatasync(fd)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_overwrite_fd(name)
        os.unlink(self._path / name)
