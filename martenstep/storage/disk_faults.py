"""Faults that the lab has a disk show, in processes of the program."""

from __future__ import annotations

import errno
import json
import os
import time
from pathlib import Path

DISK_FAULTS_VARIABLE = "MARTENSTEP_DISK_FAULTS"  # of the environment: a file that is read at each operation


class DiskFaults:
    """Injected faults: `full`, `sync_fails`, or `sync_ms` more for each sync."""

    def __init__(self, file: Path) -> None:
        """`file` is JSON, and may come and go."""
        self._file = file

    @classmethod
    def from_environment(cls) -> DiskFaults | None:
        """The faults that the environment names; None outside the lab."""
        file = os.environ.get(DISK_FAULTS_VARIABLE)
        return cls(Path(file)) if file else None

    def _read(self) -> dict[str, float]:
        try:
            faults = json.loads(self._file.read_bytes())
        except (OSError, ValueError):
            return {}
        return faults if isinstance(faults, dict) else {}

    def write(self) -> None:
        """Before bytes are written; raises OSError."""
        if self._read().get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def sync(self) -> None:
        """Before a sync; raises OSError."""
        faults = self._read()
        time.sleep(faults.get("sync_ms", 0.0) / 1000)
        if faults.get("sync_fails"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
