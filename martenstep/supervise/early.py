"""SIGHUP from the first moment of a service's life: it would else end a process that has not come up yet.

Imports nothing heavy: it is armed before all else.
"""

from __future__ import annotations

import signal

SERVICES = ("serve", "worker")
_asked: list[bool] = []


def arm(words: list[str]) -> None:
    """Keep SIGHUP in mind from now on, where these are a service's words."""
    if words and words[0] in SERVICES:
        signal.signal(signal.SIGHUP, lambda number, frame: _asked.append(True))


def asked() -> bool:
    """Whether one came since then; asked once, when the real handler is in place."""
    found = bool(_asked)
    _asked.clear()
    return found
