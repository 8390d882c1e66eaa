"""The clocks of a gateway, in milliseconds."""

from __future__ import annotations

import time

MS_PER_S = 1000.0
# Taken once: a step of the wall clock must not move what is timed.
EPOCH_MS = (time.time() - time.monotonic()) * MS_PER_S


def now_ms() -> float:
    """The gateway's clock: monotonic, and in Unix time as it was at the start.

    Gateways number the periods of a quota by it, so that two machines whose monotonic clocks differ still share their
    keys at the counter.
    """
    return time.monotonic() * MS_PER_S + EPOCH_MS


def wall_clock_ms() -> float:
    """Unix time as it is read now; it may be stepped either way."""
    return time.time() * MS_PER_S
