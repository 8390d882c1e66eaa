"""The client of the endpoint feed: without sockets, and against the stand-in."""

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


def answer(index: int, scope: str, *servers: dict[str, Any], now: float = 1_000_000.0) -> bytes:
    return json.dumps({"index": index, "scope": scope, "now_unix_ms": now, "servers": servers}).encode()


def test_full_lists_and_deltas_in_order() -> None:
    state = EndpointListState()
    event, _ = state.apply(answer(5, "full", entry(1), entry(2)), 100.0)
    assert event and event.scope is EndpointListScope.FULL and [s.id for s in event.endpoints] == [1, 2]
    assert event.addresses[1] == ("127.0.0.1", 80)
    event, _ = state.apply(answer(6, "changes", entry(2, "draining")), 200.0)
    assert event and event.scope is EndpointListScope.DELTA and event.endpoints[0].state is EndpointState.DRAINING
    assert state.apply(answer(6, "changes"), 300.0) == (None, [])  # the wait was over
    assert state.index == 6


def test_a_delta_without_its_list_is_rejected() -> None:
    with pytest.raises(FeedError, match="without the list"):
        EndpointListState().apply(answer(5, "changes", entry(1)), 0.0)


def test_an_index_that_goes_back_asks_for_the_whole_list() -> None:
    state = EndpointListState()
    state.apply(answer(50, "full", entry(1)), 0.0)
    with pytest.raises(FeedError, match="went back"):
        state.apply(answer(3, "changes", entry(2)), 0.0)
    assert state.index == 0
    event, _ = state.apply(answer(3, "full", entry(2)), 0.0)
    assert event and state.index == 3


@pytest.mark.parametrize(
    "body",
    [b"", b"{}", b"[1]", b'{"index": "x"}', answer(1, "other"), answer(1, "full", {**entry(1), "state": "maybe"})],
)
def test_an_invalid_list_is_rejected_and_the_old_one_stays(body: bytes) -> None:
    state = EndpointListState()
    state.apply(answer(5, "full", entry(1)), 0.0)
    with pytest.raises(FeedError):
        state.apply(body, 0.0)
    assert state.index == 5


def test_an_endpoint_listed_twice_counts_once_and_is_reported() -> None:
    event, anomalies = EndpointListState().apply(
        answer(1, "full", entry(1, port=80), entry(1, "draining", port=81)), 0.0
    )
    assert event and len(event.endpoints) == 1 and event.endpoints[0].state is EndpointState.DRAINING
    assert event.addresses == {1: ("127.0.0.1", 81)} and "listed twice" in anomalies[0]


def test_a_start_is_computed_once_on_the_instances_clock() -> None:
    state = EndpointListState()
    first, _ = state.apply(answer(1, "full", entry(1, started=999_000.0)), 50_000.0)
    assert first and first.endpoints[0].started_ms == 49_000.0
    # Later answers come with another delay: the start must not move, or it would look like a restart.
    again, _ = state.apply(answer(2, "full", entry(1, started=999_000.0), now=1_000_500.0), 50_900.0)
    assert again and again.endpoints[0].started_ms == 49_000.0
    fresh, _ = state.apply(answer(3, "changes", entry(1, started=1_000_600.0), now=1_000_700.0), 51_000.0)
    assert fresh and fresh.endpoints[0].started_ms == 50_900.0
    old, _ = state.apply(answer(4, "changes", entry(2)), 52_000.0)
    assert old and old.endpoints[0].started_ms == 0.0  # long ago


def test_the_cached_list_is_the_list_as_last_known() -> None:
    state = EndpointListState()
    state.apply(answer(5, "full", entry(1, started=999_000.0), entry(2), entry(3)), 50_000.0)
    state.apply(answer(6, "changes", entry(3, "gone"), entry(2, "draining")), 50_000.0)
    fresh = EndpointListState()
    warm = fresh.restore(state.encode(1_000_000.0), 10_000.0, 1_004_000.0)
    assert warm.scope is EndpointListScope.CACHED and {s.id: s.state for s in warm.endpoints} == {
        1: EndpointState.UP,
        2: EndpointState.DRAINING,
    }
    assert warm.endpoints[0].started_ms == 5_000.0 and fresh.index == 0  # the whole list is asked for
    with pytest.raises(FeedError):
        fresh.restore(b"half a fi", 0.0, 0.0)


class RecordedEvents:
    """What the client told its host."""

    def __init__(self) -> None:
        self.lists: list[EndpointListEvent] = []
        self.notes: list[str] = []
        self.feed: EndpointFeed | None = None

    async def until(self, scope: EndpointListScope, count: int = 1) -> EndpointListEvent:
        while True:
            found = [event for event in self.lists if event.scope is scope]
            if len(found) >= count:
                return found[count - 1]
            await asyncio.sleep(0.002)


@asynccontextmanager
async def followed(
    tmp: Path | None = None, wait_ms: float = 30_000.0
) -> AsyncIterator[tuple[FeedServer, RecordedEvents]]:
    server, recorded = FeedServer(Trace(None)), RecordedEvents()
    port = await server.start()
    server.control("update", {"now": True, "servers": [entry(1), entry(2)]})
    members = pb.MembersFeed(port=port, wait_ms=wait_ms, warm_copy=str(tmp / "warm.json") if tmp else "")
    feed = EndpointFeed(
        members, "door-0", recorded.lists.append, lambda what, text: recorded.notes.append(what), lambda: 5000.0
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


def test_the_feed_is_followed_over_changes_and_empty_waits(tmp_path: Path) -> None:
    async def test() -> None:
        async with followed(tmp_path, wait_ms=20.0) as (server, recorded):
            assert recorded.lists[0].scope is EndpointListScope.CACHED and not recorded.lists[0].endpoints
            assert len((await recorded.until(EndpointListScope.FULL)).endpoints) == 2
            await asyncio.sleep(0.1)  # some waits pass with nothing to tell
            server.control("update", {"now": True, "servers": [entry(2, "draining"), entry(3)]})
            assert [s.id for s in (await recorded.until(EndpointListScope.DELTA)).endpoints] == [2, 3]
            assert len(recorded.lists) == 3
            assert sorted(e["id"] for e in json.loads((tmp_path / "warm.json").read_bytes())["servers"]) == [1, 2, 3]

    run(test())


def test_a_lost_feed_is_reported_once_and_recovers() -> None:
    async def test() -> None:
        async with followed() as (server, recorded):
            await recorded.until(EndpointListScope.FULL)
            server.control("down", {"on": True})
            await recorded.until(EndpointListScope.LOST)
            server.control("update", {"now": True, "servers": [entry(9)]})
            await asyncio.sleep(0.3)  # several polls fail
            assert sum(event.scope is EndpointListScope.LOST for event in recorded.lists) == 1
            assert recorded.feed is not None and recorded.feed.backoff.next_ms > MIN_RETRY_MS
            server.control("down", {"on": False})
            assert [s.id for s in (await recorded.until(EndpointListScope.DELTA)).endpoints] == [9]
            assert recorded.notes == ["endpoint feed lost", "endpoint feed recovered"]
            assert recorded.feed.backoff.next_ms == MIN_RETRY_MS  # the next loss is as short as the first

    run(test())


def test_a_partial_list_is_a_full_one_that_lacks_endpoints() -> None:
    async def test() -> None:
        async with followed() as (server, recorded):
            await recorded.until(EndpointListScope.FULL)
            server.control("partial", {"share": 0.5})
            assert len((await recorded.until(EndpointListScope.FULL, 2)).endpoints) == 1
            server.control("partial", {"share": 0.0})
            assert len((await recorded.until(EndpointListScope.FULL, 3)).endpoints) == 2

    run(test())


def test_an_unreadable_cached_list_is_reported_and_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        (tmp_path / "warm.json").write_text("{half")
        async with followed(tmp_path) as (_, recorded):
            assert recorded.notes == ["cached endpoint list unusable"] and not recorded.lists[0].endpoints
            assert len((await recorded.until(EndpointListScope.FULL)).endpoints) == 2

    run(test())
