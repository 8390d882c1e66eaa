"""A pid file that is a lock: two of one service cannot run, and a file left by a dead one bars nobody."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class LockedError(Exception):
    """Another holds it."""


class PidFile:
    """The file, held from `take` until `drop` or the process's end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._handle: int | None = None

    def take(self) -> None:
        """Lock it and write this process's number; raises LockedError, OSError."""
        while True:
            handle = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
            try:
                fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                other = os.read(handle, 20).decode("ascii", "replace").strip()
                os.close(handle)
                raise LockedError(f"{self._path}: is held by process {other or 'unknown'}") from None
            # The one before may have taken the file away between the opening and the lock.
            try:
                same = os.stat(self._path).st_ino == os.fstat(handle).st_ino
            except FileNotFoundError:
                same = False
            if same:
                break
            os.close(handle)
        os.ftruncate(handle, 0)
        os.write(handle, f"{os.getpid()}\n".encode())
        self._handle = handle

    def drop(self) -> None:
        """Take it away and let go."""
        if self._handle is not None:
            self._path.unlink(missing_ok=True)
            os.close(self._handle)
            self._handle = None
