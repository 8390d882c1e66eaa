"""Handles SIGHUP from the start of a service, since its default action would end a process that is still starting.

This module imports nothing heavy, so that the handler is installed before anything else is loaded.
"""

from __future__ import annotations

import signal

SERVICE_COMMANDS = ("serve", "worker")
_reload_requests: list[bool] = []


def install(arguments: list[str]) -> None:
    """Record each SIGHUP from now on if these are the command-line arguments of a service."""
    if arguments and arguments[0] in SERVICE_COMMANDS:
        signal.signal(signal.SIGHUP, lambda number, frame: _reload_requests.append(True))


def take_reload_request() -> bool:
    """Whether SIGHUP arrived since `install`; called once, when the real handler is in place."""
    requested = bool(_reload_requests)
    _reload_requests.clear()
    return requested
