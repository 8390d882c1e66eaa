"""Measures how long ago the bytes and connections that the event loop finds ready may have arrived.

A request that waited in the kernel while the process was busy or stopped has less time left than its head says.  The
kernel does not report when it arrived; it is only certain that it was not there at the event loop's previous poll of
the selector.  Its time is therefore counted from that poll.
"""

from __future__ import annotations

import asyncio
import math
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from martenstep.proxy.clock import EPOCH_MS, MS_PER_S, now_ms

IMMEDIATE_POLL_S = 0.001  # what a poll finds within this time arrived before the poll
MAX_WAIT_S = 0.1  # of one poll: a stop that a longer wait hides could not be told from a wait
OVERSHOOT_S = 0.02  # a poll that returns this much after its timeout returned late because the process did not run
STALL_S = 0.3  # a process that did not run for this long may have missed notifications


class LoopClock(Protocol):
    """The time and the number of the event loop's last poll, and the earliest arrival time of what it found.

    Times are in milliseconds of the gateway's clock.  They are recorded once per poll, since reading the clock for each
    event would cost more than processing many of the events.
    """

    @property
    def last_poll_ms(self) -> float:
        """The time at which the last poll returned."""

    @property
    def poll_count(self) -> int:
        """The number of polls so far."""

    @property
    def earliest_arrival_ms(self) -> float:
        """The earliest time at which anything that the last poll found may have arrived."""


def run_with_clock(main: Callable[[LoopClock], Coroutine[Any, Any, int]]) -> int:
    """Run a coroutine in an event loop that records when it polled, and pass it that clock."""
    selector = LagSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        return runner.run(main(selector))


class UntrackedLoopClock:
    """For an event loop that records neither: assumes that what it finds has just arrived."""

    @property
    def last_poll_ms(self) -> float:
        """Now."""
        return now_ms()

    @property
    def poll_count(self) -> int:
        """Not counted."""
        return 0

    @property
    def earliest_arrival_ms(self) -> float:
        """Now."""
        return now_ms()


class LagSelector(selectors.DefaultSelector):
    """A selector that records how long before the end of each poll the oldest event may have arrived (LoopClock)."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, epoch_ms: float = EPOCH_MS) -> None:
        """`clock` is in seconds; adding `epoch_ms` to it gives the gateway's clock."""
        super().__init__()
        self._clock, self._epoch_ms = clock, epoch_ms
        self.last_poll_ms = self.earliest_arrival_ms = clock() * MS_PER_S + epoch_ms
        self.poll_count = 0
        self._polled_at_s: float | None = None  # the last poll found all that had arrived by then; None: no poll yet
        self._lag_s = 0.0
        self.stalled_at = -math.inf  # when the end of the last stall of the process was detected, by `clock`
        self.stalled_ms = 0.0  # how long that stall lasted

    @property
    def lag_ms(self) -> float:
        """The longest time by which what the last poll found may have arrived before that poll returned."""
        return self._lag_s * MS_PER_S

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll, waiting up to `timeout` seconds if nothing is ready, and MAX_WAIT_S at most."""
        timeout = MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S)
        began_at = self._clock()
        waits = timeout > 0
        if waits and self._polled_at_s is not None and began_at - self._polled_at_s > OVERSHOOT_S:
            # What arrived during a long iteration is found without a wait: a wait that a busy machine makes last could
            # not be told from one for an event.
            ready = super().select(0)
            if ready:
                waits = False
            else:
                self._polled_at_s = began_at
                ready = super().select(timeout)
        else:
            ready = super().select(timeout)
        self.poll_count += 1
        now = self._clock()
        overshot = waits and now - began_at > timeout + OVERSHOOT_S
        if not waits or now - began_at < IMMEDIATE_POLL_S:
            self._lag_s = now - self._polled_at_s if self._polled_at_s is not None else 0.0
        else:
            self._lag_s = now - began_at if overshot else 0.0  # otherwise it was waiting when the event arrived
        if self._lag_s >= STALL_S:
            self.stalled_at, self.stalled_ms = now, self.lag_ms
        # The process may have been stopped as the poll returned: what arrived since is found by the next poll.
        self._polled_at_s = began_at if overshot or not waits else now
        self.last_poll_ms = now * MS_PER_S + self._epoch_ms
        self.earliest_arrival_ms = self.last_poll_ms - self.lag_ms
        return ready
