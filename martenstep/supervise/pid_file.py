"""A pid file that is also a lock: it stops a second process of a service, but not after the first one has died."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from martenstep.supervise.errors import SuperviseError

MAX_PID_BYTES = 20


class PidFileLockedError(SuperviseError):
    """Another process holds the pid file."""


class PidFile:
    """A pid file, locked from `acquire` until `release` or the end of the process."""

    def __init__(self, path: Path) -> None:
        """Nothing is opened or locked before `acquire`."""
        self._path = path
        self._descriptor: int | None = None

    def acquire(self) -> None:
        """Lock the file and write this process's id; raises PidFileLockedError, OSError."""
        descriptor = self._open_locked()
        while not self._is_present(descriptor):
            os.close(descriptor)
            descriptor = self._open_locked()
        os.ftruncate(descriptor, 0)
        os.write(descriptor, f"{os.getpid()}\n".encode())
        self._descriptor = descriptor

    def _open_locked(self) -> int:
        descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            holder = os.read(descriptor, MAX_PID_BYTES).decode("ascii", "replace").strip()
            os.close(descriptor)
            raise PidFileLockedError(f"{self._path}: is held by process {holder or 'unknown'}") from None
        return descriptor

    def _is_present(self, descriptor: int) -> bool:
        """Whether the path still names the opened file: another holder may have removed it before the lock."""
        try:
            return os.stat(self._path).st_ino == os.fstat(descriptor).st_ino
        except FileNotFoundError:
            return False

    def release(self) -> None:
        """Remove the file and unlock it."""
        if self._descriptor is not None:
            self._path.unlink(missing_ok=True)
            os.close(self._descriptor)
            self._descriptor = None
