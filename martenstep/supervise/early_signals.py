"""SIGHUP from the first moment of a service's life: it would else end a process that has not come up yet.

Imports nothing heavy: the handler is installed before all else.
"""

from __future__ import annotations

import signal

SERVICE_COMMANDS = ("serve", "worker")
_reload_requests: list[bool] = []


def install(arguments: list[str]) -> None:
    """Note SIGHUP from now on, if these are a service's command-line arguments."""
    if arguments and arguments[0] in SERVICE_COMMANDS:
        signal.signal(signal.SIGHUP, lambda number, frame: _reload_requests.append(True))


def take_reload_request() -> bool:
    """Whether SIGHUP came since then; called once, when the real handler is in place."""
    requested = bool(_reload_requests)
    _reload_requests.clear()
    return requested
