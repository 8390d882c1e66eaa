"""When to poll discovery, and how long its last endpoint list may be used.  No I/O; times in milliseconds.

A gateway must not send to an endpoint once it counts as notified that the endpoint drains.  By the platform's rule it
counts as notified, at the latest, a fixed time after discovery has the change, if discovery could be reached, even if
no response with the change arrived.  So polls must be frequent enough, and a list that is older than that is stale.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from martenstep.backoff import Backoff

# A gateway counts as notified of a change this long after discovery has it, if discovery could be reached.
NOTIFIED_AFTER_MS = 6000.0
SERVICE_QUEUE_MS = 2100.0  # an accepted poll is answered within this if there is a change
WATCH_DECAY = 0.8  # factor of a watch's duration, lengthened under load, after each response that was not late


@dataclass(frozen=True, slots=True)
class DiscoveryTiming:
    """Timeouts of responses, durations of watches and backoff after failed polls, in milliseconds."""

    start_wait_ms: float  # at the start no client is served by the cached list for this long: it may be stale
    response_timeout_ms: float  # to the first byte
    read_timeout_ms: float  # between two reads of one response
    watch_ms: float  # duration of a watch, and how long a list can be stale if its connection falls silent
    min_backoff_ms: float
    max_backoff_ms: float
    max_watch_ms: float = 0.0  # longest duration of a watch while discovery is overloaded
    yield_age_ms: float = 0.0  # a rejected gateway whose list is newer than this lets others poll first
    overload_delay_ms: float = math.inf  # a response that is later than this indicates overload
    max_response_timeout_ms: float = 0.0  # the timeout of a poll grows up to this while responses come too late


# For an agent on this machine to which lists are pushed: it answers at once or, while discovery is down, not at all.
AGENT_TIMING = DiscoveryTiming(250.0, 250.0, 250.0, 1500.0, 10.0, 250.0)
# For one service of fixed capacity that all gateways poll: it answers polls in order, within 2 s, or rejects them, and
# can answer each gateway only once in several seconds.  A gateway with a timeout shorter than this queue would never
# receive a response, yet would count as notified of its contents.  A watch queues as well: one that ends before its
# turn returns no change, although the gateway counts as notified of it.  A silent watch is abandoned within the 6 s of
# NOTIFIED_AFTER_MS.  After a rejection, a gateway with a new list can wait for 6 s less the time in the queue.
SERVICE_TIMING = DiscoveryTiming(
    SERVICE_QUEUE_MS + 100.0,
    SERVICE_QUEUE_MS,
    450.0,
    3500.0,
    50.0,
    600.0,
    20_000.0,
    4000.0,
    150.0,
    NOTIFIED_AFTER_MS,
)


class PollPace:
    """Adapts how often one gateway polls discovery to the results of its polls.  No I/O.

    Each poll costs capacity of a service that all gateways share.  If polls are rejected or responses are late, watches
    last longer, and a rejected gateway with a new list waits longer before it polls again, so that gateways with old
    lists are served first.  After a response the next poll follows at once, since the gateway counts as notified of
    whatever that poll would have returned.
    """

    def __init__(self, timing: DiscoveryTiming, rng: random.Random | None = None) -> None:
        """`rng` replaces the default random generator."""
        self._timing, self._rng = timing, rng or random.Random()
        self.watch_ms = timing.watch_ms  # duration of the next watch
        self._backoff = Backoff(timing.min_backoff_ms, timing.max_backoff_ms, self._rng)
        self._was_rejected = False  # since the last response
        self._response_timeout_ms = timing.response_timeout_ms

    def response_timeout_ms(self, due_ms: float) -> float:
        """How long after it is due the response of a poll is waited for; `due_ms` is the duration of a watch, else 0.

        A watch keeps the shorter timeout: its connection may have fallen silent, and a poll follows it at once.
        """
        return self._timing.response_timeout_ms if due_ms else self._response_timeout_ms

    def timed_out(self) -> None:
        """Record that a response did not come in time: with the same wait the next one might never be read either."""
        longest = max(self._timing.max_response_timeout_ms, self._timing.response_timeout_ms)
        self._response_timeout_ms = min(2 * self._response_timeout_ms, longest)

    def succeeded(self, late_ms: float | None) -> None:
        """Record a response that came `late_ms` after it was due; None for a watch that returned a change earlier."""
        if late_ms is not None and late_ms > self._timing.overload_delay_ms:
            self._slow_down()
        elif not self._was_rejected:
            self.watch_ms = max(self.watch_ms * WATCH_DECAY, self._timing.watch_ms)
        if late_ms is not None and late_ms < self._timing.response_timeout_ms:
            self._response_timeout_ms = self._timing.response_timeout_ms
        self._backoff.succeeded()
        self._was_rejected = False

    def rejected(self, age_ms: float) -> float:
        """Record a rejected poll, with a list of age `age_ms`; return how long to wait before the next poll."""
        self._was_rejected = True
        self._slow_down()
        # Randomized, since all gateways may have been rejected at the same moment.
        yield_ms = max(self._timing.yield_age_ms - age_ms, 0.0) / 2
        return max(self.failed(), yield_ms * self._rng.uniform(0.5, 1.5))

    def failed(self) -> float:
        """Record a poll that failed or timed out; return how long to wait before the next poll."""
        return self._backoff.failed()

    def _slow_down(self) -> None:
        self.watch_ms = max(min(2 * self.watch_ms, self._timing.max_watch_ms), self._timing.watch_ms)


class ListFreshness:
    """Decides whether the list may be used while discovery rejects polls.  No I/O; times in milliseconds.

    The gateway counts as notified of every change NOTIFIED_AFTER_MS after discovery has it.  If polls are rejected for
    longer, any endpoint of the list may be draining; the same holds at a start with a list of unknown age.  A watch
    that has been open for SERVICE_QUEUE_MS without a rejection was accepted, and there is no change.
    """

    def __init__(self) -> None:
        """Begin without any response."""
        self._answered_at = -math.inf
        self.rejected = False  # by the last poll: discovery could be reached, and sent no list
        self._watch_started_at: float | None = None  # of the open watch, if there is one

    @property
    def answered_at(self) -> float:
        """The time of the last response."""
        return self._answered_at

    def age_ms(self, now: float) -> float:
        """Return the time since the last response."""
        return now - self._answered_at

    def poll_started(self, now: float, watch: bool) -> None:
        """Record the start of a poll."""
        self._watch_started_at = now if watch else None

    def poll_succeeded(self, now: float) -> None:
        """Record that the poll was answered."""
        self._answered_at, self.rejected, self._watch_started_at = now, False, None

    def poll_failed(self, rejected: bool) -> None:
        """Record that the poll was rejected or failed.  No change counts as notified while discovery is unreachable."""
        self.rejected, self._watch_started_at = rejected, None

    def is_stale(self, now: float) -> bool:
        """Return whether the gateway may count as notified of a change that the list lacks."""
        is_accepted = self._watch_started_at is not None and now - self._watch_started_at >= SERVICE_QUEUE_MS
        return self.rejected and not is_accepted and now - self._answered_at >= NOTIFIED_AFTER_MS

    def next_change_at(self, now: float) -> float | None:
        """Return when `is_stale` may next change without an event; None if it cannot."""
        if not self.rejected:
            return None
        times = [self._answered_at + NOTIFIED_AFTER_MS]
        if self._watch_started_at is not None:
            times.append(self._watch_started_at + SERVICE_QUEUE_MS)
        return min((at for at in times if at > now), default=None)
