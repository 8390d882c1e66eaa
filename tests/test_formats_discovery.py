"""The formats of the endpoint feed: its poll requests, and the cached list (the setting `warm_copy`).

The files under `formats/membership/` were written before identifiers were renamed; no test writes them.
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


def test_the_cached_list_keeps_its_format() -> None:
    expected = (FORMATS / "warm-copy.json").read_bytes()
    state = EndpointListState()
    state.apply(LIST, 10_000.0)
    assert state.encode(1_700_000_009_000.0) == expected
    restored = EndpointListState().restore(expected, 10_000.0, 1_700_000_009_000.0)
    assert restored.scope is EndpointListScope.CACHED and restored.addresses == {7: ("10.0.0.7", 8080), 8: ("::1", 1)}
    first, second = restored.endpoints
    assert (first.id, first.zone, first.kind, first.cell, first.state.value) == (7, "a", "std", 3, "up")
    assert (first.started_ms, second.started_ms, second.state.value) == (1000.0, 0.0, "draining")
    assert (first.capacity, second.capacity) == (2.5, 1.0)


def test_poll_requests_keep_their_format(tmp_path: Path) -> None:
    async def test() -> list[bytes]:
        requests: list[bytes] = []
        done = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                requests.append(await reader.readuntil(b"\r\n\r\n"))
                if len(requests) == 2:
                    done.set()
                    writer.close()
                    return
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(LIST) + LIST)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        cached_list = tmp_path / "warm.json"
        members = pb.MembersFeed(port=port, wait_ms=250.4, warm_copy=str(cached_list))
        feed = EndpointFeed(members, "door-3", lambda listed: None, lambda what, text: None, lambda: 10_000.0)
        feed.restore()
        feed.subscribe()
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(5):
            await done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        server.close()
        cached = json.loads(cached_list.read_bytes())
        cached["now_unix_ms"] = 1_700_000_009_000.0
        assert cached == json.loads((FORMATS / "warm-copy.json").read_bytes())
        return [text.replace(b":%d\r\n" % port, b":PORT\r\n") for text in requests]

    assert asyncio.run(test()) == [
        b"GET /v1/members?index=0&wait=250&door=door-3 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n",
        b"GET /v1/members?index=42&wait=250&door=door-3 HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n\r\n",
    ]
