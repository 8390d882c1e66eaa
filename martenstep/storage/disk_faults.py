"""Injection of disk faults into the program's processes, for the lab."""

from __future__ import annotations

import errno
import json
import os
import time
from pathlib import Path

DISK_FAULTS_VARIABLE = "MARTENSTEP_DISK_FAULTS"  # path of a file that is read at each operation


class DiskFaults:
    """Injected faults: `full` (the disk is full), `sync_fails`, and `sync_ms` (a delay added to each sync)."""

    def __init__(self, file: Path) -> None:
        """`file` contains JSON; without the file there are no faults."""
        self._file = file

    @classmethod
    def from_environment(cls) -> DiskFaults | None:
        """Return the faults of the file that the environment names; None outside the lab."""
        file = os.environ.get(DISK_FAULTS_VARIABLE)
        return cls(Path(file)) if file else None

    def _read(self) -> dict[str, float]:
        try:
            faults = json.loads(self._file.read_bytes())
        except (OSError, ValueError):
            return {}
        return faults if isinstance(faults, dict) else {}

    def write(self) -> None:
        """Inject the faults of a write; called before bytes are written.  Raises OSError."""
        if self._read().get("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def sync(self) -> None:
        """Inject the faults of a sync; called before each sync.  Raises OSError."""
        faults = self._read()
        time.sleep(faults.get("sync_ms", 0.0) / 1000)
        if faults.get("sync_fails"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
