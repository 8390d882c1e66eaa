"""When discovery is polled, and until when the list that it gave may be used.  No I/O; times in milliseconds."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from martenstep.backoff import Backoff

# What discovery has and does not tell, though it could be reached, counts as notified after this.
NOTIFIED_AFTER_MS = 6000.0
SERVICE_QUEUE_MS = 2100.0  # a poll that is accepted is answered within this, if there is anything to tell
WAIT_DECAY = 0.8  # of a watch that was held longer under load is left after a response that was not late


@dataclass(frozen=True, slots=True)
class DiscoveryTiming:
    """How long responses are waited for, a watch is held and a failed poll is not repeated, in milliseconds."""

    start_wait_ms: float  # at the start nobody is served by the cached list for so long: it may be stale
    response_timeout_ms: float  # to the first byte
    read_timeout_ms: float  # between two reads of one response
    watch_ms: float  # a watch is held for this: so long a list can be stale where its connection falls silent
    min_backoff_ms: float
    max_backoff_ms: float
    max_watch_ms: float = 0.0  # a watch is held for up to this under overload
    yield_age_ms: float = 0.0  # a gateway whose list is younger lets others poll first
    overload_delay_ms: float = math.inf  # a response that is so late tells of overload


# Lists are pushed: the agent is on this machine and answers at once or, while discovery is down, not at all.
AGENT_TIMING = DiscoveryTiming(250.0, 250.0, 250.0, 1500.0, 10.0, 250.0)
# Lists are polled: one service of fixed capacity answers all gateways in turn, in up to 2 s, or rejects, and has
# capacity for a poll of each only once in some seconds.  Who gives up sooner than its queue is long never gets a
# response, and what was given up counts as notified.  A watch waits for its turn, too: one that is over before then
# says nothing, and what changed meanwhile counts as notified.  A silent one is given up within the 6 s after which a
# change counts as notified.  Rejected, a new list can wait for 6 s less its turn in the queue.
SERVICE_TIMING = DiscoveryTiming(
    SERVICE_QUEUE_MS + 100.0, SERVICE_QUEUE_MS, 450.0, 3500.0, 50.0, 600.0, 20_000.0, 4000.0, 150.0
)


class PollPace:
    """How often one gateway polls discovery, learned from how its polls end.  No I/O.

    Each poll is work for a service that all gateways share.  Where polls are rejected or responses come late, watches
    are held for longer, and a rejected gateway with a new list polls again later: the next turn is for those whose list
    is old.  After a response the next poll follows at once, since what it would have told counts as notified.
    """

    def __init__(self, timing: DiscoveryTiming, rng: random.Random | None = None) -> None:
        """`rng` in place of one of its own."""
        self._timing, self._rng = timing, rng or random.Random()
        self.watch_ms = timing.watch_ms  # of the next watch
        self._backoff = Backoff(timing.min_backoff_ms, timing.max_backoff_ms, self._rng)
        self._was_rejected = False  # before the response that comes next

    def succeeded(self, late_ms: float | None) -> None:
        """A poll was answered so long after it was due (None: a watch that had something to tell before)."""
        if late_ms is not None and late_ms > self._timing.overload_delay_ms:
            self._slow_down()
        elif not self._was_rejected:
            self.watch_ms = max(self.watch_ms * WAIT_DECAY, self._timing.watch_ms)
        self._backoff.succeeded()
        self._was_rejected = False

    def rejected(self, age_ms: float) -> float:
        """A poll was rejected, and the list is so old; returns how long to wait."""
        self._was_rejected = True
        self._slow_down()
        # Random, too: all were rejected at the same moment.
        yield_ms = max(self._timing.yield_age_ms - age_ms, 0.0) / 2
        return max(self.failed(), yield_ms * self._rng.uniform(0.5, 1.5))

    def failed(self) -> float:
        """A poll broke or was given up; returns how long to wait."""
        return self._backoff.failed()

    def _slow_down(self) -> None:
        self.watch_ms = max(min(2 * self.watch_ms, self._timing.max_watch_ms), self._timing.watch_ms)


class ListFreshness:
    """Until when the list may be used while discovery rejects polls.  No I/O; times in milliseconds.

    What it has and does not tell counts as notified after NOTIFIED_AFTER_MS.  A gateway that is rejected for longer
    knows of no endpoint that may still be sent to, nor does one that starts with a list of unknown age.  A watch that
    was accepted and not answered while the queue is long has nothing new to tell.
    """

    def __init__(self) -> None:
        """Of a list that has never been polled."""
        self._answered_at = -math.inf
        self.rejected = False  # by the last poll since then: discovery could be reached, and sent nothing
        self._watch_started_at: float | None = None  # of the watch that is under way

    @property
    def answered_at(self) -> float:
        """When the last response came."""
        return self._answered_at

    def age_ms(self, now: float) -> float:
        """How old the last response is."""
        return now - self._answered_at

    def poll_started(self, now: float, watch: bool) -> None:
        """A poll begins."""
        self._watch_started_at = now if watch else None

    def poll_succeeded(self, now: float) -> None:
        """It was answered."""
        self._answered_at, self.rejected, self._watch_started_at = now, False, None

    def poll_failed(self, rejected: bool) -> None:
        """It was rejected, or broke: what a service has that cannot be reached does not count as notified."""
        self.rejected, self._watch_started_at = rejected, None

    def is_stale(self, now: float) -> bool:
        """Whether what the list does not have may count as notified."""
        is_held = self._watch_started_at is not None and now - self._watch_started_at >= SERVICE_QUEUE_MS
        return self.rejected and not is_held and now - self._answered_at >= NOTIFIED_AFTER_MS

    def next_at(self, now: float) -> float | None:
        """When that may change by time alone."""
        if not self.rejected:
            return None
        times = [self._answered_at + NOTIFIED_AFTER_MS]
        if self._watch_started_at is not None:
            times.append(self._watch_started_at + SERVICE_QUEUE_MS)
        return min((at for at in times if at > now), default=None)
