"""Snapshots that a forked child process makes while the parent continues.

The child has a copy of the whole state at the moment of the fork.  A fork costs the parent some milliseconds; encoding
a large state takes hundreds, and would block the event loop even from a thread, because it holds the interpreter lock.

The child closes the descriptors that it inherited, encodes the state, writes it to a pipe and exits without running the
parent's clean-up.  If it kept a folder's lock and outlived a killed parent, the next start could not lock the folder.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable

READ_CHUNK_BYTES = 1 << 20
FIRST_INHERITED_FD = 3  # 0 to 2 are standard input, output and error
MAX_FD = 1 << 20


class BackgroundSnapshot:
    """One snapshot in progress."""

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
        """Return the snapshot; None if the child failed."""
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
        """Kill the child; `result` then returns None."""
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
