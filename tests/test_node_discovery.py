"""The platform's discovery: the list as it is told, and the watch over a socket."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from martenstep.interface import Scope, State
from martenstep.members.lists import Listed
from martenstep.node import discovery
from martenstep.node.discovery import CONNECT_S, LATE_MS, WAIT_MS, Discovery, DiscoveryError, Follower
from tests.node_rig import target
from tests.socket_rig import Back, Peer, run


def told(rev: int, whole: bool, *targets: dict[str, Any]) -> bytes:
    """An answer's body."""
    return json.dumps({"rev": rev, "all": whole, "targets": targets}).encode()


def test_the_whole_list_then_a_watch_of_what_changed() -> None:
    follower = Follower()
    assert follower.target() == "/catalog/members"
    listed = follower.take(told(4, True, target("s-b", 11), target("s-a", 12, boot_ms=1_700_000_000_000)))
    assert listed is not None and listed.scope is Scope.FULL
    first, second = listed.servers
    assert listed.addresses == {first.id: ("127.0.0.1", 11), second.id: ("127.0.0.1", 12)}
    assert (first.started_ms, second.started_ms) == (0.0, 1_700_000_000_000.0)
    assert "after=4&" in follower.target()
    listed = follower.take(told(5, False, target("s-a", 12, state="draining")))
    assert listed is not None and listed.scope is Scope.CHANGES
    assert [(server.id, server.state) for server in listed.servers] == [(second.id, State.DRAINING)]
    assert follower.take(told(5, False)) is None, "the wait was over"


def test_a_new_backend_at_an_old_address_is_another_one() -> None:
    follower = Follower()
    listed = follower.take(told(1, True, target("s-a", 11)))
    assert listed is not None
    old = listed.servers[0].id
    listed = follower.take(told(2, False, target("s-a", 11, state="gone"), target("s-n", 11)))
    assert listed is not None
    assert [server.state for server in listed.servers] == [State.GONE, State.UP]
    assert listed.servers[1].id != old and follower.addresses == {listed.servers[1].id: ("127.0.0.1", 11)}


def test_who_has_gone_is_forgotten() -> None:
    follower = Follower()
    for rev in range(200):
        follower.take(told(rev, True, target(f"s-{rev}")))
    assert len(follower._numbers) == len(follower.addresses) == 1


@pytest.mark.parametrize("body", [
    b"", b"{", b"[]", b"{}", told(1, False, target("s-a")), told(1, True, {"uid": "s-a"}),
    told(1, True, target("s-a", state="odd")), told(1, True, target("s-a", endpoint="nowhere")),
])
def test_what_is_no_list_is_told(body: bytes) -> None:
    with pytest.raises(DiscoveryError):
        Follower().take(body)


def test_the_known_list_does_not_begin_a_watch() -> None:
    follower = Follower()
    listed = follower.told(json.loads(told(9, True, target("s-a"))), Scope.WARM_COPY)
    assert listed is not None and listed.scope is Scope.WARM_COPY and follower.target() == "/catalog/members"


def answer(body: bytes) -> bytes:
    """An agent's answer."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def test_a_watch_that_breaks_begins_anew_and_a_move_asks_elsewhere() -> None:
    asked: list[str] = []

    async def test() -> None:
        async def agent(peer: Peer) -> None:
            asked.append((await peer.head()).split()[1])
            await peer.write(answer(told(1, True, target("s-a"))))
            asked.append((await peer.head()).split()[1])
            peer.close()

        async def other(peer: Peer) -> None:
            asked.append((await peer.head()).split()[1])
            await peer.write(answer(told(1, True, target("s-z"))))
            await peer.rest()

        first, second = Back(agent), Back(other)
        lists: list[Listed] = []
        notes: list[str] = []
        made = Discovery(("127.0.0.1", await first.start()), Follower(), lists.append,
                         lambda event, fields: notes.append(event))
        made.start()
        while len(lists) < 2:
            await asyncio.sleep(0.001)
        assert asked[0] == "/catalog/members" and asked[1].startswith("/catalog/members?after=1&")
        assert asked[2] == "/catalog/members" and "discovery lost" in notes
        made.move(("127.0.0.1", await second.start()))
        while all(listed.servers[0].id != 2 for listed in lists):
            await asyncio.sleep(0.001)
        made.stop()
        first.stop()
        second.stop()
    run(test())


def test_a_silent_connection_is_given_up_well_within_a_drains_second(monkeypatch: pytest.MonkeyPatch) -> None:
    """Broken on the users' bench: a watch was reset, the next connection silent, and a drain told meanwhile."""
    assert WAIT_MS + LATE_MS < 2000.0
    assert 2 * (CONNECT_S * 1000.0 + LATE_MS) < 1000.0, "two in a row"
    monkeypatch.setattr(discovery, "WAIT_MS", 10)
    monkeypatch.setattr(discovery, "LATE_MS", 20.0)
    asked: list[str] = []

    async def test() -> None:
        async def agent(peer: Peer) -> None:
            turn = len(asked)
            asked.append((await peer.head()).split()[1])
            if turn in (1, 2):
                await peer.rest()
            await peer.write(answer(told(turn, True, target(f"s-{turn}"))))
            if turn == 0:
                asked.append((await peer.head()).split()[1])
            await peer.rest()

        back = Back(agent)
        lists: list[Listed] = []
        made = Discovery(("127.0.0.1", await back.start()), Follower(), lists.append, lambda event, fields: None)
        made.start()
        while len(lists) < 2:
            await asyncio.sleep(0.001)
        assert asked[0] == "/catalog/members" and "after=0" in asked[1]
        assert asked[2:4] == ["/catalog/members"] * 2, "the whole list, on one new connection after the other"
        made.stop()
        back.stop()
    run(test())
