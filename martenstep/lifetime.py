"""Runs a server process until SIGTERM or SIGINT, after a ready line on standard output."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any


async def until_stopped(
    ready: dict[str, Any], stop: Callable[[], Awaitable[None]] | None = None, **more: object
) -> None:
    """Print the ready line, wait for SIGTERM or SIGINT, then call `stop`.

    `ready` has the bound ports by name; `more` are further members of the line's JSON object.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    sys.stdout.write(json.dumps({"ready": ready, "pid": os.getpid(), **more}) + "\n")
    sys.stdout.flush()
    await stopped.wait()
    if stop is not None:
        await stop()
