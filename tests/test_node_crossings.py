"""Two events that meet at a front door of the platform, the crossing forced on real sockets: a gate in a peer, a buffer
that is full, a reset that is sent while the door's loop stands."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.node_rig import request
from tests.socket_rig import Peer, run
from tests.test_node_door import place


@pytest.mark.parametrize("coding", ["", "connection: close\r\n"])
def test_a_reset_is_no_end_of_an_answer_without_a_length(tmp_path: Path, coding: str) -> None:
    """Broken on the users' narrow days `split` and `zone`: half an answer was served as a whole one."""
    async def cuts(peer: Peer) -> None:
        await peer.head()
        await peer.write(f"HTTP/1.1 200 OK\r\n{coding}\r\nhalf of ")
        peer.reset()

    async def test() -> None:
        async with place(tmp_path, cuts) as door:
            status, _, body = await door.ask(request(1))
            assert status == 503 and b"half" not in body, "safe to repeat: tried again, then refused"
            assert door.node.engine.verdicts == {"reset": 3}
    run(test())


def test_an_end_without_a_reset_ends_an_answer_without_a_length(tmp_path: Path) -> None:
    async def ends(peer: Peer) -> None:
        await peer.head()
        await peer.write("HTTP/1.1 200 OK\r\n\r\nall of it")
        peer.close()

    async def test() -> None:
        async with place(tmp_path, ends) as door:
            peer = await door.client()
            await peer.write(request(1))
            assert "transfer-encoding: chunked" in await peer.head()
            assert await peer.read(9 + 3 + 2 + 5) == b"9\r\nall of it\r\n0\r\n\r\n"
            peer.close()
    run(test())


def test_a_reset_breaks_a_long_answer_without_a_length_at_its_client_too(tmp_path: Path) -> None:
    """More than is held back has been passed on: the client must be able to tell that it is not whole."""
    async def cuts(peer: Peer) -> None:
        await peer.head()
        await peer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 600_000)
        peer.reset()

    async def test() -> None:
        async with place(tmp_path, cuts) as door:
            peer = await door.client()
            await peer.write(request(1))
            assert not (await peer.rest()).endswith(b"0\r\n\r\n")
            assert door.node.engine.verdicts.get("ok") is None
    run(test())
