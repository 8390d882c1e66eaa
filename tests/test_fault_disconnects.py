"""Clients that leave with much unread: nothing of theirs is sent on afterwards.

Times only separate "soon after" from "later"; the users' rule allows attempts until 0.1 s after a client has left.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from martenstep.proxy.clock import now_ms
from tests.socket_rig import Peer, run
from tests.test_fault_memory import KINDS, STREAMING, Subject, subject, wait_until

PIPELINED = 100  # requests; they fit into what is read ahead
PIPELINED_STREAMING = 1000  # more than what is read ahead, so that reading is paused as the client leaves
ALLOWED_MS = 100.0  # after the client has left
LATER_S = 0.6
RESPONSE_S = 0.02


class RecordingServer:
    """An endpoint that notes when each request arrived."""

    def __init__(self) -> None:
        self.arrived_at: list[float] = []

    async def serve(self, peer: Peer) -> None:
        """Answer each request after a short time."""
        while True:
            head = await peer.read_head()
            length = int(head.partition("content-length:")[2].split("\r\n")[0] or 0)
            await peer.read(length)
            self.arrived_at.append(now_ms())
            await asyncio.sleep(RESPONSE_S)
            await peer.send_response()


async def pipeline(gateway: Subject, server: RecordingServer, body: str) -> Peer:
    """Send many requests on one connection, and wait until some have arrived; no response is read."""
    peer = await gateway.connect()
    for _ in range(PIPELINED_STREAMING if gateway.kind == STREAMING else PIPELINED):
        peer.writer.write((gateway.post(len(body)) + body if body else gateway.get()).encode())
    await wait_until(lambda: len(server.arrived_at) >= 3)
    return peer


@pytest.mark.parametrize("kind", [*KINDS, STREAMING])
@pytest.mark.parametrize("end", ["reset", "half-close"])
@pytest.mark.parametrize("body", ["", "b" * 200])
def test_nothing_unread_is_sent_on_after_its_client_has_left(tmp_path: Path, kind: str, end: str, body: str) -> None:
    """Guards against pipelined requests that are served for a client that has closed its connection."""
    server = RecordingServer()

    async def test() -> None:
        async with subject(kind, tmp_path, server.serve) as gateway:
            peer = await pipeline(gateway, server, body)
            left_at = now_ms()
            if end == "reset":
                peer.reset()
            else:
                peer.writer.write_eof()
            await asyncio.sleep(LATER_S)
            late = [at - left_at for at in server.arrived_at if at - left_at > ALLOWED_MS]
            if end == "half-close" and kind != "run":
                assert late, "without leave_on_half_close the client may still read its responses"
                peer.reset()
            else:
                assert not late

    run(test())


def test_an_id_that_comes_again_after_its_client_has_left_is_not_sent_on_a_second_time(tmp_path: Path) -> None:
    """Guards against a second attempt under an id of the platform whose first one may be running."""
    server = RecordingServer()

    async def test() -> None:
        async with subject("run", tmp_path, server.serve) as gateway:
            text = gateway.post(0)
            first = await gateway.connect()
            await first.write(text)
            await wait_until(lambda: bool(server.arrived_at))
            first.reset()
            for _ in range(3):
                again = await gateway.connect()
                await again.write(text)
                assert (await again.read_response())[0] == 409
                again.close()
            assert len(server.arrived_at) == 1

    run(test())
