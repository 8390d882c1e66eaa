"""The forms of today of the members feed: its requests and the warm copy.

The files under `formats/membership/` were written by the text before the renames, and are never written by a test.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.discovery.endpoint_list_state import EndpointListState
from martenstep.discovery.feed import EndpointFeed
from martenstep.policy.messages import EndpointListScope

FORMATS = Path(__file__).parent / "formats" / "membership"
ENTRIES = (
    b'{"id":7,"host":"10.0.0.7","port":8080,"zone":"a","kind":"std","cell":3,"state":"up","size":2.5,'
    b'"started_unix_ms":1700000000000.0},{"id":8,"host":"::1","port":1,"state":"draining"},'
    b'{"id":9,"host":"h","port":2,"state":"gone"}'
)
LIST = b'{"index":42,"scope":"full","now_unix_ms":1700000005000.0,"servers":[' + ENTRIES + b"]}"


def test_the_warm_copy_is_read_and_written_as_before() -> None:
    old = (FORMATS / "warm-copy.json").read_bytes()
    follower = EndpointListState()
    follower.apply(LIST, 10_000.0)
    assert follower.encode(1_700_000_009_000.0) == old
    warm = EndpointListState().restore(old, 10_000.0, 1_700_000_009_000.0)
    assert warm.scope is EndpointListScope.CACHED and warm.addresses == {7: ("10.0.0.7", 8080), 8: ("::1", 1)}
    first, second = warm.endpoints
    assert (first.id, first.zone, first.kind, first.cell, first.state.value) == (7, "a", "std", 3, "up")
    assert (first.started_ms, second.started_ms, second.state.value) == (1000.0, 0.0, "draining")
    assert (first.capacity, second.capacity) == (2.5, 1.0)


def test_the_feed_is_asked_as_before(tmp_path: Path) -> None:
    async def test() -> list[bytes]:
        asked: list[bytes] = []
        done = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                asked.append(await reader.readuntil(b"\r\n\r\n"))
                if len(asked) == 2:
                    done.set()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(LIST) + LIST)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        copy = tmp_path / "warm.json"
        members = pb.MembersFeed(port=port, wait_ms=250.4, warm_copy=str(copy))
        feed = EndpointFeed(members, "door-3", lambda listed: None, lambda what, text: None, lambda: 10_000.0)
        feed.restore()
        feed.subscribe()
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(5):
            await done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        kept = json.loads(copy.read_bytes())
        kept["now_unix_ms"] = 1_700_000_009_000.0
        assert kept == json.loads((FORMATS / "warm-copy.json").read_bytes())
        return [text.replace(b":%d\r\n" % port, b":PORT\r\n") for text in asked]

    assert asyncio.run(test()) == [
        b"GET /v1/members?index=0&wait=250&door=door-3 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n",
        b"GET /v1/members?index=42&wait=250&door=door-3 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n",
    ]
