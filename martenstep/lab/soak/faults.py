"""Control of the fault-injection library (faults.c): a shifted wall clock and failing system calls in one process.

The library is compiled once with the machine's C compiler.  This module controls it through a small file that both map.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import struct
import subprocess
import tempfile
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
SHORT_COUNT = -1  # in place of an errno: the call transfers one byte or half of what was requested
CERTAIN = 1_000_000  # per million
UNBOUNDED = -1  # number of calls that fail
_WALL_CLOCK_SHIFT = struct.Struct("=q")
_FAULT = struct.Struct("=iiII")
_NS_PER_S = 1_000_000_000


class Call(IntEnum):
    """System calls that can be made to fail, in the order of faults.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECV = 3
    SEND = 4
    WRITE = 5  # to a regular file
    SYNC = 6  # fsync, fdatasync
    OPEN = 7  # for writing


def build_library(directory: Path | None = None) -> Path:
    """Compile the library, unless the same source was compiled there before, and return its path."""
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    directory = directory or Path(tempfile.gettempdir())
    library = directory / f"martenstep-faults-{os.getuid()}-{digest}.so"
    if not library.exists():
        temporary = library.with_suffix(f".{os.getpid()}")
        subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-w", "-o", str(temporary), str(SOURCE), "-ldl"], check=True)
        temporary.replace(library)
    return library


class FaultControl:
    """Controls the faults of one process while it runs."""

    def __init__(self, path: Path) -> None:
        """Create the file at `path`, which the process maps when it starts."""
        size = _WALL_CLOCK_SHIFT.size + _FAULT.size * len(Call)
        path.write_bytes(b"\0" * size)
        self._path = path
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), size)

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables with which a process must start to be controlled."""
        return {"LD_PRELOAD": str(build_library()), "MARTENSTEP_FAULTS": str(self._path)}

    def shift_wall_clock(self, seconds: float) -> None:
        """Add this to the wall clock from now on; it replaces an earlier shift."""
        _WALL_CLOCK_SHIFT.pack_into(self._map, 0, int(seconds * _NS_PER_S))

    def fail(self, call: Call, error: int, times: int = UNBOUNDED, per_million: int = CERTAIN) -> None:
        """Make the next calls fail with an errno or SHORT_COUNT, at most `times` of them, each with a probability."""
        _FAULT.pack_into(self._map, self._offset(call), error, times, per_million, self.hits(call))

    def clear(self, call: Call) -> None:
        """Make a system call succeed again."""
        self.fail(call, 0)

    def hits(self, call: Call) -> int:
        """Return how many calls were made to fail."""
        return int(_FAULT.unpack_from(self._map, self._offset(call))[3])

    @staticmethod
    def _offset(call: Call) -> int:
        return _WALL_CLOCK_SHIFT.size + _FAULT.size * call

    def close(self) -> None:
        """Unmap the file."""
        self._map.close()
