"""The endpoint list of an instance: the client side of the feed's protocol, without I/O."""

from __future__ import annotations

import math
from typing import NamedTuple

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.discovery.feed_protocol import (
    FULL,
    EndpointEntry,
    FeedError,
    FeedResponse,
    decode_response,
    encode_response,
)
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from martenstep.policy.start_times import StartTimes

NO_INDEX = 0  # a poll with this index requests the whole list


class FeedUpdate(NamedTuple):
    """The change that a response makes, None if it makes none, and the anomalies found in the response."""

    event: EndpointListEvent | None
    anomalies: list[str]


class EndpointListState:
    """The endpoint list and its index."""

    def __init__(self) -> None:
        """Start without a list."""
        self.index = NO_INDEX
        self._entries: dict[int, EndpointEntry] = {}
        self._start_times = StartTimes()
        self._last_response_ms = -math.inf  # on the instance's clock; each response reports all changes up to then

    def apply(self, body: bytes, now: float) -> FeedUpdate:
        """Apply a response received at `now` on the instance's clock (ms); raises FeedError if it cannot be used."""
        response = decode_response(body, "feed response")
        unlisted_ms = now - self._last_response_ms
        self._last_response_ms = now
        self._check_index(response)
        if not response.is_full and response.index == self.index:
            return FeedUpdate(None, [])  # the long poll ended without a change
        if not response.is_full and self.index == NO_INDEX:
            raise FeedError("received changes without the list that they apply to")
        anomalies: list[str] = []
        received: dict[int, EndpointEntry] = {}
        for entry in response.endpoints:
            if entry.id in received:
                anomalies.append(f"endpoint {entry.id} is listed twice: the last entry is used")
            received[entry.id] = entry
        if response.is_full:
            self._entries = dict(received)
        else:
            self._entries.update(received)
        self.index = response.index
        scope = EndpointListScope.FULL if response.is_full else EndpointListScope.DELTA
        event = self._build_event(scope, received, response.now_unix_ms, now, unlisted_ms)
        return FeedUpdate(event, anomalies)

    def _check_index(self, response: FeedResponse) -> None:
        if response.index >= self.index:
            return
        # The feed was restarted: its changes no longer apply to the list that this instance has.
        self.index = NO_INDEX
        if not response.is_full:
            raise FeedError(f"the feed's index went back to {response.index}: the next poll requests the whole list")

    def _build_event(
        self,
        scope: EndpointListScope,
        received: dict[int, EndpointEntry],
        now_unix_ms: float,
        now: float,
        unlisted_ms: float = math.inf,
    ) -> EndpointListEvent:
        endpoints = tuple(self._build_endpoint(entry, now_unix_ms, now, unlisted_ms) for entry in received.values())
        for removed in [entry.id for entry in self._entries.values() if entry.state == "gone"]:
            del self._entries[removed]
        self._start_times.trim(self._entries)
        addresses = {entry.id: (entry.host, entry.port) for entry in received.values()}
        return EndpointListEvent(scope, endpoints, addresses)

    def _build_endpoint(self, entry: EndpointEntry, now_unix_ms: float, now: float, unlisted_ms: float) -> Endpoint:
        age_ms = now_unix_ms - entry.started_unix_ms
        started_ms = self._start_times.local_start(entry.id, entry.started_unix_ms, age_ms, now, unlisted_ms)
        state = EndpointState(entry.state)
        return Endpoint(entry.id, entry.zone, entry.kind, entry.cell, state, entry.capacity, started_ms)

    def encode(self, now_unix_ms: float) -> bytes:
        """Encode the whole list, to be cached for the next start."""
        return encode_response(FeedResponse(self.index, FULL, now_unix_ms, list(self._entries.values())))

    def restore(self, body: bytes, now: float, now_unix_ms: float) -> EndpointListEvent:
        """Restore the cached list; raises FeedError if it cannot be decoded.

        The cached index is not restored, so that the first poll requests the whole list.
        """
        response = decode_response(body, "cached list")
        self._entries = {entry.id: entry for entry in response.endpoints}
        event = self._build_event(EndpointListScope.CACHED, self._entries, now_unix_ms, now)
        # The ages above compare the feed's wall clock with this machine's.  They are computed again from the feed's
        # first response, in which both times are read from one clock.
        self._start_times = StartTimes()
        return event
