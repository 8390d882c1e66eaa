"""Writes log lines to a standard stream without blocking and without errors: a log must not delay or lose a request."""

from __future__ import annotations

import os
import select
import stat
from contextlib import suppress
from typing import TextIO

from martenstep.proxy.transport import poll_descriptor

MAX_LINE_BYTES = 4000  # a pipe that is writable accepts 4,096 bytes (POSIX: PIPE_BUF)


class LogOutput:
    """The stream that log lines go to."""

    def __init__(self, stream: TextIO) -> None:
        """Lines to a pipe whose reader has stopped are dropped."""
        self._stream = stream
        self._is_pipe = False
        with suppress(OSError, ValueError):
            self._is_pipe = stat.S_ISFIFO(os.fstat(stream.fileno()).st_mode)

    def write(self, text: str) -> int:
        """Write a line, or drop it: the reader has closed the pipe, or has stopped reading and the pipe is full."""
        with suppress(OSError, ValueError):
            if not self._is_pipe or poll_descriptor(self._stream.fileno(), select.POLLOUT):
                self._stream.write(text)
        return len(text)

    def flush(self) -> None:
        """Pass on what the stream has buffered."""
        with suppress(OSError, ValueError):
            self._stream.flush()
