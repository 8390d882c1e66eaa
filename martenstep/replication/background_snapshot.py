"""A snapshot made in a child of the process, while the process goes on.

A fork has all of the state as it was at that moment, and costs the parent some milliseconds; encoding it costs hundreds
where the state is large, and would hold up the event loop in a thread as well, as the interpreter's lock is held.  The
child does nothing else: it closes what it inherited (danger: a lock on a folder, kept by a child that outlives a killed
parent, would keep the next start from it), encodes, writes to a pipe and ends without any clean-up of the parent's.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

READ_CHUNK_BYTES = 1 << 20
FIRST_INHERITED_FD = 3  # file descriptors below are the standard ones
MAX_FD = 1 << 20


class BackgroundSnapshot:
    """One snapshot under way."""

    def __init__(self, make: Callable[[], bytes]) -> None:
        """Fork; raises OSError."""
        self._read, write = os.pipe()
        try:
            self.pid = os.fork()
        except OSError:
            os.close(self._read)
            os.close(write)
            raise
        if not self.pid:
            _child(make, write)
        os.close(write)

    async def result(self) -> bytes | None:
        """What was made; None where the child failed."""
        return await asyncio.to_thread(self._wait)

    def _wait(self) -> bytes | None:
        parts = []
        try:
            while part := os.read(self._read, READ_CHUNK_BYTES):
                parts.append(part)
        finally:
            os.close(self._read)
            _, status = os.waitpid(self.pid, 0)
        return b"".join(parts) if status == 0 else None

    def cancel(self) -> None:
        """It is not wanted any more; `body` then gives None."""
        os.kill(self.pid, signal.SIGKILL)


def _child(make: Callable[[], bytes], write: int) -> None:
    code = 1
    try:
        os.closerange(FIRST_INHERITED_FD, write)
        os.closerange(write + 1, MAX_FD)
        data = memoryview(make())
        while data:
            data = data[os.write(write, data) :]
        code = 0
    finally:
        os._exit(code)
