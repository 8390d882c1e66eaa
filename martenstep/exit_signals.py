"""Keeps signals that come as a process ends from changing its exit status.

An event loop that closes restores the default actions of the signals that it handled, and the interpreter takes some
time to exit: a further signal would end the process with a status that tells of a crash.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any

ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def ignore_signals_until_exit() -> None:
    """Ignore the signals; to be called in the event loop, in the main thread, after everything else.

    Blocking them would not be enough: a process with several threads receives them in another one.
    """
    loop = asyncio.get_running_loop()
    for number in ENDING_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
        # The loop would restore the default action of each signal that it still knows as it closes; it has no public
        # way to forget one.  uvloop's has no such table.
        getattr(loop, "_signal_handlers", {}).pop(number, None)


async def ending_quietly(main: Coroutine[Any, Any, int]) -> int:
    """Run the whole work of a process, and ignore the signals at its end."""
    status = await main
    ignore_signals_until_exit()
    return status
