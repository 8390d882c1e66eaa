"""How long a process of the program that only serves lives: until it is told to end."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any


async def until_stopped(ready: dict[str, Any], stop: Callable[[], Awaitable[None]] | None = None, **more: Any) -> None:
    """Tell that all is bound, with what else there is to tell, then wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    sys.stdout.write(json.dumps({"ready": ready, "pid": os.getpid(), **more}) + "\n")
    sys.stdout.flush()
    await stopped.wait()
    if stop is not None:
        await stop()
