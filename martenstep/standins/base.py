"""What every stand-in has: a trace, a control port, a ready line."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

Control = Callable[[str, dict[str, Any]], dict[str, Any]]
LINE_BYTES = 1 << 20


def now_ms() -> float:
    """The monotonic clock that all processes of a machine share."""
    return time.monotonic() * 1000.0


class Trace:
    """JSON lines, written through so that a kill loses at most the last."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path else None
        self._encoder = msgspec.json.Encoder()

    def write(self, what: str, **fields: Any) -> None:
        """One line, with the time."""
        if self._file is not None:
            self._file.write(self._encoder.encode({"t": round(now_ms(), 3), "what": what, **fields}) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


class ControlPort:
    """One JSON command a line, one JSON answer each: `{"do": "silent", "on": true}`."""

    def __init__(self, control: Control) -> None:
        self._control = control
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Bind to a free port of the loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LINE_BYTES)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                try:
                    words = json.loads(line)
                    answer = self._control(words.pop("do"), words)
                except (ValueError, KeyError, TypeError, AttributeError) as error:
                    answer = {"error": f"{type(error).__name__}: {error}"}
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection with a reset on the wire; a plain close would look like half a close."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def steer(port: int, do: str, **words: Any) -> dict[str, Any]:
    """Give one command to a control port; raises RuntimeError on a command that it does not take."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=LINE_BYTES)
    try:
        writer.write(json.dumps({"do": do, **words}).encode() + b"\n")
        await writer.drain()
        answer: dict[str, Any] = json.loads(await reader.readline())
    finally:
        writer.close()
    if "error" in answer:
        raise RuntimeError(f"control: {do}: {answer['error']}")
    return answer


async def until_stopped(ready: dict[str, Any], stop: Callable[[], Awaitable[None]] | None = None) -> None:
    """Tell that all is bound, then wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    sys.stdout.write(json.dumps({"ready": ready, "pid": os.getpid()}) + "\n")
    sys.stdout.flush()
    await stopped.wait()
    if stop is not None:
        await stop()
