"""A snapshot made in a forked child, while the process goes on.

A fork has all of the state as it was at that moment, and costs the parent some milliseconds; encoding costs hundreds
where the state is large, and would hold up the event loop from a thread as well, as the interpreter's lock is held.
The child does nothing else: it closes what it inherited (danger: a lock on a folder, kept by a child that outlives a
killed parent, would keep the next start from it), encodes, writes to a pipe and ends without any clean-up of the
parent's.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

READ_CHUNK_BYTES = 1 << 20
FIRST_INHERITED_FD = 3  # those below are the standard ones
MAX_FD = 1 << 20


class BackgroundSnapshot:
    """One snapshot that is being made."""

    def __init__(self, make_snapshot: Callable[[], bytes]) -> None:
        """Fork, and run `make_snapshot` in the child; raises OSError."""
        self._read_fd, write_fd = os.pipe()
        try:
            self.pid = os.fork()
        except OSError:
            os.close(self._read_fd)
            os.close(write_fd)
            raise
        if not self.pid:
            _run_child(make_snapshot, write_fd)
        os.close(write_fd)

    async def result(self) -> bytes | None:
        """The snapshot; None where the child failed."""
        return await asyncio.to_thread(self._read_result)

    def _read_result(self) -> bytes | None:
        chunks = []
        try:
            while chunk := os.read(self._read_fd, READ_CHUNK_BYTES):
                chunks.append(chunk)
        finally:
            os.close(self._read_fd)
            _, status = os.waitpid(self.pid, 0)
        return b"".join(chunks) if status == 0 else None

    def cancel(self) -> None:
        """Kill the child; `result` then gives None."""
        os.kill(self.pid, signal.SIGKILL)


def _run_child(make_snapshot: Callable[[], bytes], write_fd: int) -> None:
    exit_code = 1
    try:
        os.closerange(FIRST_INHERITED_FD, write_fd)
        os.closerange(write_fd + 1, MAX_FD)
        remaining = memoryview(make_snapshot())
        while remaining:
            remaining = remaining[os.write(write_fd, remaining) :]
        exit_code = 0
    finally:
        os._exit(exit_code)
