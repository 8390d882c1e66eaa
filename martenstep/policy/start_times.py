"""When servers started, on this process's monotonic clock.  No I/O.

A list tells a server's start in Unix time, read from a wall clock that may have been stepped since.  What is decided by
it, how far a server is through its slow start, is a span of real time.  So the reported time only tells one start from
another, and gives an age that is believed as far as it fits: a server that was not listed a moment ago did not start
long before that moment, and none starts in the future.  Where it does not fit, the server starts now.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Hashable

MAX_FORGOTTEN = 1024  # starts kept of servers that are no longer listed: one that was cut off comes back as it was
LISTED_LATE_MS = 2000.0  # a start may be listed so late: of a slow start's seconds this may be believed in error
NO_START = 0.0  # as told, and as given: the server started long ago
EARLIEST_MS = 1e-3  # as given: 0 would say that it started long ago


class StartTimes:
    """The starts of all servers that are or were listed; times in milliseconds."""

    def __init__(self) -> None:
        self._known: OrderedDict[Hashable, tuple[float, float]] = OrderedDict()  # reported, and on this clock

    def local_start(
        self, server: Hashable, reported_ms: float, age_ms: float, now: float, unseen_ms: float = math.inf
    ) -> float:
        """A server's start on the clock that `now` is of.

        `reported_ms` is its start as the list tells it, `age_ms` what a wall clock makes of that, `unseen_ms` how long
        ago a list was complete that did not have this start; infinite if none was."""
        if reported_ms <= NO_START:
            return NO_START
        known = self._known.get(server)
        if known is not None and known[0] == reported_ms:
            self._known.move_to_end(server)
            return known[1]
        believed = 0 <= age_ms <= unseen_ms + LISTED_LATE_MS
        started = max(now - age_ms if believed else now, EARLIEST_MS)
        self._known[server] = reported_ms, started
        self._known.move_to_end(server)
        return started

    def trim(self, listed: Collection[Hashable]) -> None:
        """Let go of the starts of servers that are not listed, those told of longest ago first, beyond a reserve."""
        while len(self._known) > len(listed) + MAX_FORGOTTEN:
            oldest = next(iter(self._known))
            if oldest in listed:
                self._known.move_to_end(oldest)
            else:
                del self._known[oldest]
