"""How old what the event loop finds ready may be.

A request that waited in the kernel while the process was busy, or stopped, has less time left than its head says.  When
it came is not known, only that it was not there at the loop's last look; so its time is counted from that look.
"""

from __future__ import annotations

import math
import selectors
import time
from collections.abc import Callable
from typing import Protocol

from martenstep.proxy.clock import EPOCH_MS, MS_PER_S, now_ms

AT_ONCE_S = 0.001  # a look that returns within this found what came before it
OVERSHOOT_S = 0.02  # a wait that ends so late ended while the process did not run
STALL_S = 0.3  # a process that stood still for so long may have missed notifications


class LoopClock(Protocol):
    """When the loop last looked for what is ready, and when what it found came at the earliest.

    Both in milliseconds of the gateway's clock.  Kept by the loop, since a reading for each event would cost more than
    many events.
    """

    @property
    def looked_ms(self) -> float:
        """The end of the last look."""

    @property
    def arrived_ms(self) -> float:
        """When the oldest of what it found came, at the earliest."""


class ClockNow:
    """For an event loop that keeps neither: what it finds came just now."""

    @property
    def looked_ms(self) -> float:
        """Now."""
        return now_ms()

    @property
    def arrived_ms(self) -> float:
        """Now."""
        return now_ms()


class LagSelector(selectors.DefaultSelector):
    """A selector that knows how long before each look's end the oldest of what it found may have come (LoopClock)."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, epoch_ms: float = EPOCH_MS) -> None:
        """`clock` in seconds; `epoch_ms` is added for the gateway's clock."""
        super().__init__()
        self._clock, self._epoch_ms = clock, epoch_ms
        self.looked_ms = self.arrived_ms = clock() * MS_PER_S + epoch_ms
        self._looked_at_s: float | None = None  # when the last look ended; None: there was none
        self._lag_s = 0.0
        self.stalled_at = -math.inf  # when the process was last seen to have stood still, by `clock`,
        self.stalled_ms = 0.0  # and for how long

    @property
    def lag_ms(self) -> float:
        """Of what the last look found: it came at most so long before that look."""
        return self._lag_s * MS_PER_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Look, and wait up to `timeout` seconds if nothing is ready."""
        waits = timeout is None or timeout > 0
        entered = self._clock() if waits else 0.0
        ready = super().select(timeout)
        now = self._clock()
        overshot = waits and timeout is not None and now - entered > timeout + OVERSHOOT_S
        if not waits or now - entered < AT_ONCE_S:
            self._lag_s = now - self._looked_at_s if self._looked_at_s is not None else 0.0
        else:
            self._lag_s = now - entered if overshot else 0.0  # else it waited for what it found
        if self._lag_s >= STALL_S:
            self.stalled_at, self.stalled_ms = now, self.lag_ms
        # A wait that a stop of the process interrupted ends without a look, if its time is over by then.
        self._looked_at_s = entered if overshot and not ready else now
        self.looked_ms = now * MS_PER_S + self._epoch_ms
        self.arrived_ms = self.looked_ms - self.lag_ms
        return ready
