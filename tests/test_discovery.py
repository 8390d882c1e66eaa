"""The client of the endpoint feed: without sockets, and against the fake feed."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from martenstep.config import door_pb2 as pb
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.discovery.endpoint_list_state import EndpointListState
from martenstep.discovery.feed import MIN_RETRY_MS, EndpointFeed
from martenstep.discovery.feed_protocol import FeedError
from martenstep.policy.messages import EndpointListScope, EndpointState
from martenstep.standins.base import Trace
from martenstep.standins.feed import FeedServer
from tests.socket_rig import run


def entry(number: int, state: str = "up", started: float = 0.0, port: int = 80) -> dict[str, Any]:
    return {"id": number, "host": "127.0.0.1", "port": port, "zone": "a", "state": state, "started_unix_ms": started}


def feed_response(index: int, scope: str, *servers: dict[str, Any], now: float = 1_000_000.0) -> bytes:
    return json.dumps({"index": index, "scope": scope, "now_unix_ms": now, "servers": servers}).encode()


def test_full_lists_and_deltas_in_order() -> None:
    state = EndpointListState()
    event, _ = state.apply(feed_response(5, "full", entry(1), entry(2)), 100.0)
    assert event and event.scope is EndpointListScope.FULL and [s.id for s in event.endpoints] == [1, 2]
    assert event.addresses[1] == ("127.0.0.1", 80)
    event, _ = state.apply(feed_response(6, "changes", entry(2, "draining")), 200.0)
    assert event and event.scope is EndpointListScope.DELTA and event.endpoints[0].state is EndpointState.DRAINING
    assert state.apply(feed_response(6, "changes"), 300.0) == (None, [])  # the long poll ended without a change
    assert state.index == 6


def test_a_delta_without_its_list_is_rejected() -> None:
    with pytest.raises(FeedError, match="without the list"):
        EndpointListState().apply(feed_response(5, "changes", entry(1)), 0.0)


def test_an_index_that_goes_back_asks_for_the_whole_list() -> None:
    state = EndpointListState()
    state.apply(feed_response(50, "full", entry(1)), 0.0)
    with pytest.raises(FeedError, match="went back"):
        state.apply(feed_response(3, "changes", entry(2)), 0.0)
    assert state.index == 0
    event, _ = state.apply(feed_response(3, "full", entry(2)), 0.0)
    assert event and state.index == 3


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b'{"index": "x"}',
        feed_response(1, "other"),
        feed_response(1, "full", {**entry(1), "state": "maybe"}),
    ],
)
def test_an_invalid_list_is_rejected_and_the_old_one_stays(body: bytes) -> None:
    state = EndpointListState()
    state.apply(feed_response(5, "full", entry(1)), 0.0)
    with pytest.raises(FeedError):
        state.apply(body, 0.0)
    assert state.index == 5


def test_an_endpoint_listed_twice_counts_once_and_is_reported() -> None:
    event, anomalies = EndpointListState().apply(
        feed_response(1, "full", entry(1, port=80), entry(1, "draining", port=81)), 0.0
    )
    assert event and len(event.endpoints) == 1 and event.endpoints[0].state is EndpointState.DRAINING
    assert event.addresses == {1: ("127.0.0.1", 81)} and "listed twice" in anomalies[0]


def test_an_endpoints_start_is_computed_once_on_the_instances_clock() -> None:
    state = EndpointListState()
    first, _ = state.apply(feed_response(1, "full", entry(1, started=999_000.0)), 50_000.0)
    assert first and first.endpoints[0].started_ms == 49_000.0
    # Later responses have another delay: the computed start must not change, or it would look like a restart.
    again, _ = state.apply(feed_response(2, "full", entry(1, started=999_000.0), now=1_000_500.0), 50_900.0)
    assert again and again.endpoints[0].started_ms == 49_000.0
    fresh, _ = state.apply(feed_response(3, "changes", entry(1, started=1_000_600.0), now=1_000_700.0), 51_000.0)
    assert fresh and fresh.endpoints[0].started_ms == 50_900.0
    old, _ = state.apply(feed_response(4, "changes", entry(2)), 52_000.0)
    assert old and old.endpoints[0].started_ms == 0.0  # 0: started long ago


def test_the_cached_list_restores_the_last_list_but_not_its_index() -> None:
    state = EndpointListState()
    state.apply(feed_response(5, "full", entry(1, started=999_000.0), entry(2), entry(3)), 50_000.0)
    state.apply(feed_response(6, "changes", entry(3, "gone"), entry(2, "draining")), 50_000.0)
    fresh = EndpointListState()
    restored = fresh.restore(state.encode(1_000_000.0), 10_000.0, 1_004_000.0)
    assert restored.scope is EndpointListScope.CACHED and {s.id: s.state for s in restored.endpoints} == {
        1: EndpointState.UP,
        2: EndpointState.DRAINING,
    }
    assert restored.endpoints[0].started_ms == 5_000.0 and fresh.index == 0  # the next poll requests the whole list
    with pytest.raises(FeedError):
        fresh.restore(b"half a fi", 0.0, 0.0)


class RecordedEvents:
    """The lists and log events that the client reported."""

    def __init__(self) -> None:
        self.lists: list[EndpointListEvent] = []
        self.log_events: list[str] = []
        self.feed: EndpointFeed | None = None

    async def until(self, scope: EndpointListScope, count: int = 1) -> EndpointListEvent:
        while True:
            found = [event for event in self.lists if event.scope is scope]
            if len(found) >= count:
                return found[count - 1]
            await asyncio.sleep(0.002)


@asynccontextmanager
async def running_feed(
    tmp: Path | None = None, wait_ms: float = 30_000.0
) -> AsyncIterator[tuple[FeedServer, RecordedEvents]]:
    server, recorded = FeedServer(Trace(None)), RecordedEvents()
    port = await server.start()
    server.control("update", {"now": True, "servers": [entry(1), entry(2)]})
    members = pb.MembersFeed(port=port, wait_ms=wait_ms, warm_copy=str(tmp / "warm.json") if tmp else "")
    feed = EndpointFeed(
        members, "door-0", recorded.lists.append, lambda what, text: recorded.log_events.append(what), lambda: 5000.0
    )
    recorded.feed = feed
    feed.restore()
    feed.subscribe()
    task = asyncio.create_task(feed.run())
    try:
        yield server, recorded
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await server.stop()


def test_the_feed_is_polled_through_changes_and_polls_without_a_change(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_feed(tmp_path, wait_ms=20.0) as (server, recorded):
            assert recorded.lists[0].scope is EndpointListScope.CACHED and not recorded.lists[0].endpoints
            assert len((await recorded.until(EndpointListScope.FULL)).endpoints) == 2
            await asyncio.sleep(0.1)  # some polls end without a change
            server.control("update", {"now": True, "servers": [entry(2, "draining"), entry(3)]})
            assert [s.id for s in (await recorded.until(EndpointListScope.DELTA)).endpoints] == [2, 3]
            assert len(recorded.lists) == 3
            assert sorted(e["id"] for e in json.loads((tmp_path / "warm.json").read_bytes())["servers"]) == [1, 2, 3]

    run(test())


def test_a_lost_feed_is_reported_once_and_recovers() -> None:
    async def test() -> None:
        async with running_feed() as (server, recorded):
            await recorded.until(EndpointListScope.FULL)
            server.control("down", {"on": True})
            await recorded.until(EndpointListScope.LOST)
            server.control("update", {"now": True, "servers": [entry(9)]})
            await asyncio.sleep(0.3)  # several polls fail
            assert sum(event.scope is EndpointListScope.LOST for event in recorded.lists) == 1
            assert recorded.feed is not None and recorded.feed.backoff.next_ms > MIN_RETRY_MS
            server.control("down", {"on": False})
            assert [s.id for s in (await recorded.until(EndpointListScope.DELTA)).endpoints] == [9]
            assert recorded.log_events == ["endpoint feed lost", "endpoint feed recovered"]
            assert recorded.feed.backoff.next_ms == MIN_RETRY_MS  # the next loss starts at the minimum delay again

    run(test())


def test_a_partial_list_is_a_full_one_that_lacks_endpoints() -> None:
    async def test() -> None:
        async with running_feed() as (server, recorded):
            await recorded.until(EndpointListScope.FULL)
            server.control("partial", {"share": 0.5})
            assert len((await recorded.until(EndpointListScope.FULL, 2)).endpoints) == 1
            server.control("partial", {"share": 0.0})
            assert len((await recorded.until(EndpointListScope.FULL, 3)).endpoints) == 2

    run(test())


def test_an_unreadable_cached_list_is_reported_and_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "warm.json").write_text("{half")
        async with running_feed(tmp_path) as (_, recorded):
            assert recorded.log_events == ["cached endpoint list unusable"] and not recorded.lists[0].endpoints
            assert len((await recorded.until(EndpointListScope.FULL)).endpoints) == 2

    run(test())
