"""The endpoint list as an instance knows it: the client's side of the feed's protocol, without I/O."""

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

NO_INDEX = 0  # asks for the whole list


class FeedUpdate(NamedTuple):
    """What an answer changed: no event where nothing; and what was odd about it."""

    event: EndpointListEvent | None
    anomalies: list[str]


class EndpointListState:
    """The list, and the index that it is of."""

    def __init__(self) -> None:
        """No list is known."""
        self.index = NO_INDEX
        self._entries: dict[int, EndpointEntry] = {}
        self._start_times = StartTimes()
        self._last_answer_ms = -math.inf  # when the feed last told all that it had, on the instance's clock

    def apply(self, body: bytes, now: float) -> FeedUpdate:
        """Take in an answer at a time of the instance's clock (ms); raises FeedError."""
        response = decode_response(body, "not an endpoint list")
        unseen_ms = now - self._last_answer_ms
        self._last_answer_ms = now
        self._check_index(response)
        if not response.is_full and response.index == self.index:
            return FeedUpdate(None, [])  # the wait was over
        if not response.is_full and self.index == NO_INDEX:
            raise FeedError("changes without the list that they apply to")
        anomalies: list[str] = []
        received: dict[int, EndpointEntry] = {}
        for entry in response.endpoints:
            if entry.id in received:
                anomalies.append(f"endpoint {entry.id} is listed twice: the last entry counts")
            received[entry.id] = entry
        if response.is_full:
            self._entries = dict(received)
        else:
            self._entries.update(received)
        self.index = response.index
        scope = EndpointListScope.FULL if response.is_full else EndpointListScope.DELTA
        event = self._build_event(scope, received, response.now_unix_ms, now, unseen_ms)
        return FeedUpdate(event, anomalies)

    def _check_index(self, response: FeedResponse) -> None:
        if response.index >= self.index:
            return
        # Its numbers mean nothing any more: the changes were against another list.
        self.index = NO_INDEX
        if not response.is_full:
            raise FeedError(f"index went back to {response.index}: asking for the whole list")

    def _build_event(
        self,
        scope: EndpointListScope,
        received: dict[int, EndpointEntry],
        now_unix_ms: float,
        now: float,
        unseen_ms: float = math.inf,
    ) -> EndpointListEvent:
        endpoints = tuple(self._build_endpoint(entry, now_unix_ms, now, unseen_ms) for entry in received.values())
        for removed in [entry.id for entry in self._entries.values() if entry.state == "gone"]:
            del self._entries[removed]
        self._start_times.trim(self._entries)
        addresses = {entry.id: (entry.host, entry.port) for entry in received.values()}
        return EndpointListEvent(scope, endpoints, addresses)

    def _build_endpoint(self, entry: EndpointEntry, now_unix_ms: float, now: float, unseen_ms: float) -> Endpoint:
        age_ms = now_unix_ms - entry.started_unix_ms
        started_ms = self._start_times.local_start(entry.id, entry.started_unix_ms, age_ms, now, unseen_ms)
        state = EndpointState(entry.state)
        return Endpoint(entry.id, entry.zone, entry.kind, entry.cell, state, entry.capacity, started_ms)

    def encode(self, now_unix_ms: float) -> bytes:
        """The whole list, to be cached for the next start."""
        return encode_response(FeedResponse(self.index, FULL, now_unix_ms, list(self._entries.values())))

    def restore(self, body: bytes, now: float, now_unix_ms: float) -> EndpointListEvent:
        """The list as last cached; raises FeedError where it cannot be read.

        The index is not taken over: the feed is asked for the whole list.
        """
        response = decode_response(body, "cached list")
        self._entries = {entry.id: entry for entry in response.endpoints}
        event = self._build_event(EndpointListScope.CACHED, self._entries, now_unix_ms, now)
        self._start_times = StartTimes()  # its ages rest on two wall clocks; the feed's answer has both times of one
        return event
