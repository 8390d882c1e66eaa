"""The clocks of a gateway in milliseconds."""

from __future__ import annotations

import time

MS_PER_S = 1000.0
# Read once at the start, so that a step of the wall clock does not move running timers.
EPOCH_MS = (time.time() - time.monotonic()) * MS_PER_S


def now_ms() -> float:
    """The gateway's clock: monotonic, with the offset to Unix time that was read at the start.

    Gateways derive the numbers of quota periods from it.  Machines with different monotonic clocks thereby use the same
    keys at the counter.
    """
    return time.monotonic() * MS_PER_S + EPOCH_MS


def wall_clock_ms() -> float:
    """The current Unix time; it may step forwards or backwards."""
    return time.time() * MS_PER_S
