"""When endpoints started, on this process's monotonic clock.  No I/O; times in milliseconds.

An endpoint list gives an endpoint's start in Unix time, read from a wall clock that may have been stepped since.  What
is decided by it, how far an endpoint is through its slow start, is a span of real time.  So the reported time only
distinguishes one start from another, and gives an age that is believed as far as it fits: an endpoint that was not
listed a moment ago did not start long before that moment, and none starts in the future.  Where it does not fit, the
endpoint starts now.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Hashable

MAX_UNLISTED = 1024  # starts retained of endpoints that are not listed: one that was cut off comes back as it was
MAX_LISTING_DELAY_MS = 2000.0  # a start may be listed so late: of a slow start's seconds this may be believed in error
LONG_AGO = 0.0  # as reported and as returned: the endpoint started long ago
EARLIEST_START_MS = 1e-3  # as returned: 0 would say that it started long ago


class StartTimes:
    """The starts of all endpoints that are or were listed."""

    def __init__(self) -> None:
        """Begin without endpoints."""
        self._starts: OrderedDict[Hashable, tuple[float, float]] = OrderedDict()  # as reported, and on this clock

    def local_start(
        self, endpoint: Hashable, reported_ms: float, age_ms: float, now: float, unlisted_ms: float = math.inf
    ) -> float:
        """An endpoint's start on the clock that `now` is of.

        `reported_ms` is its start as the list gives it, `age_ms` what a wall clock makes of that, `unlisted_ms` how
        long ago a list was complete that did not have this start; infinite if none was.
        """
        if reported_ms <= LONG_AGO:
            return LONG_AGO
        known = self._starts.get(endpoint)
        if known is not None and known[0] == reported_ms:
            self._starts.move_to_end(endpoint)
            return known[1]
        is_believed = 0 <= age_ms <= unlisted_ms + MAX_LISTING_DELAY_MS
        started_at = max(now - age_ms if is_believed else now, EARLIEST_START_MS)
        self._starts[endpoint] = reported_ms, started_at
        self._starts.move_to_end(endpoint)
        return started_at

    def trim(self, listed: Collection[Hashable]) -> None:
        """Drop the starts of endpoints that are not listed, those reported longest ago first, beyond a reserve."""
        while len(self._starts) > len(listed) + MAX_UNLISTED:
            oldest = next(iter(self._starts))
            if oldest in listed:
                self._starts.move_to_end(oldest)
            else:
                del self._starts[oldest]
