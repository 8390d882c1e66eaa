"""When endpoints started, on this process's monotonic clock.  No I/O; times in milliseconds.

An endpoint list gives an endpoint's start in Unix time, read from a wall clock that may have been stepped since.  The
decision that depends on it, how far the endpoint is through its slow start, needs a span of real time.  So the reported
time serves only to distinguish one start from another, and to give an age, which is used only if it is plausible: an
endpoint that was not listed a moment ago did not start long before that moment, and no endpoint starts in the future.
If the age is not plausible, the endpoint is assumed to start now.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Hashable

# This many starts of endpoints that are not listed are retained, so that an endpoint that was only cut off keeps its
# start.
MAX_UNLISTED_STARTS = 1024
# An endpoint may be listed this many milliseconds after its start.  An age that is too high by up to this much is
# therefore accepted in error, and shortens the endpoint's slow start by as much.
MAX_LISTING_DELAY_MS = 2000.0
# The start, as reported and as returned, of an endpoint that started long ago.
LONG_AGO = 0.0
# Earliest start that is returned for a known age, in milliseconds, since 0 stands for long ago.
EARLIEST_START_MS = 1e-3


class StartTimes:
    """The starts of all endpoints that are or were listed."""

    def __init__(self) -> None:
        """Begin without endpoints."""
        self._starts: OrderedDict[Hashable, tuple[float, float]] = OrderedDict()  # reported start, start on this clock

    def local_start(
        self, endpoint: Hashable, reported_ms: float, age_ms: float, now: float, unlisted_ms: float = math.inf
    ) -> float:
        """Return an endpoint's start on the clock of `now`.

        `reported_ms` is the start in the endpoint list, `age_ms` the age that follows from it by the wall clock, and
        `unlisted_ms` the time since a complete list did not have this start; infinite if there was no such list.
        """
        if reported_ms <= LONG_AGO:
            return LONG_AGO
        known = self._starts.get(endpoint)
        if known is not None and known[0] == reported_ms:
            self._starts.move_to_end(endpoint)
            return known[1]
        is_plausible = 0 <= age_ms <= unlisted_ms + MAX_LISTING_DELAY_MS
        started_at = max(now - age_ms if is_plausible else now, EARLIEST_START_MS)
        self._starts[endpoint] = reported_ms, started_at
        self._starts.move_to_end(endpoint)
        return started_at

    def trim(self, listed: Collection[Hashable]) -> None:
        """Drop starts of endpoints that are not listed, least recently reported first, beyond those retained."""
        while len(self._starts) > len(listed) + MAX_UNLISTED_STARTS:
            oldest = next(iter(self._starts))
            if oldest in listed:
                self._starts.move_to_end(oldest)
            else:
                del self._starts[oldest]
