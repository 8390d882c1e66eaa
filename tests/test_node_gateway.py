"""A gateway of the platform on loopback sockets, with a scripted agent, counter, backends and clients.

The scripts control each byte, so a test can force a malformed, active or incomplete message.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

from martenstep.node.config import DrainPlan, load_config
from martenstep.node.daemon import GatewayNode
from martenstep.proxy.acceptor import MIN_AGE_TO_CLOSE_MS
from tests.node_rig import endpoint_entry, raw_config, request
from tests.socket_rig import Peer, Script, ScriptedServer, run


class InProcessGateway:
    """A gateway that runs in the event loop of the test."""

    def __init__(self, node: GatewayNode, path: Path) -> None:
        self.node, self.path = node, path
        self.port = 0

    async def connect(self) -> Peer:
        """Open a client connection."""
        return Peer(*await asyncio.open_connection("127.0.0.1", self.port))

    async def fetch(self, text: str) -> tuple[int, str, bytes]:
        """Send one request on a connection of its own; return status, head and body of its response."""
        peer = await self.connect()
        await peer.write(text)
        answer = await peer.read_response()
        peer.close()
        return answer


async def serve_list(peer: Peer, targets: list[dict[str, Any]]) -> None:
    """Send the full endpoint list once, and no change afterwards."""
    await peer.read_head()
    body = json.dumps({"rev": 1, "all": True, "targets": targets})
    await peer.send_response(body)
    await peer.read_to_end()


async def serve_counter(peer: Peer) -> None:
    """Answer each counter call with the amount that it adds, as the total."""
    while True:
        words = [await peer.reader.readline() for _ in range(9)]
        total = words[6].strip()
        await peer.write(b"$%d\r\n%b\r\n" % (len(total), total))


@contextlib.asynccontextmanager
async def in_process_gateway(tmp_path: Path, *scripts: Script, **more: Any) -> AsyncIterator[InProcessGateway]:
    """Run a gateway in front of backends, one for each script."""
    backs = [ScriptedServer(script) for script in scripts]
    targets = [endpoint_entry(f"s-{number}", await back.start()) for number, back in enumerate(backs)]
    agent, counter = ScriptedServer(lambda peer: serve_list(peer, targets)), ScriptedServer(serve_counter)
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            raw_config(
                listen="127.0.0.1:8081",
                discovery=f"127.0.0.1:{await agent.start()}",
                counter=f"127.0.0.1:{await counter.start()}",
                **more,
            )
        ),
        encoding="utf-8",
    )
    config = load_config(path)  # the file needs a port above 0; the test listens on any free port
    running = InProcessGateway(GatewayNode(replace(config, listener=replace(config.listener, port=0)), path), path)
    running.port = await running.node.start()
    try:
        yield running
    finally:
        running.node.drain_plan = DrainPlan(0.0, 0.0, 1000.0)
        await running.node.stop()
        for back in [*backs, agent, counter]:
            back.stop()
    assert running.node.engine.unanswered == 0


async def serve_echo(peer: Peer) -> None:
    """Answer each request with its own request line and body."""
    while True:
        head = await peer.read_head()
        length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length")), 0)
        body = (await peer.read(length)).decode()
        await peer.send_response(
            f"{head.splitlines()[0]}|{body}", extra_headers="x-other: 1\r\nendpoint-load-metrics: noise\r\n"
        )


def test_a_request_is_forwarded_and_its_response_relayed(tmp_path: Path) -> None:
    heads: list[str] = []

    async def records_head(peer: Peer) -> None:
        heads.append(await peer.read_head())
        await peer.send_response("served")
        await peer.read_to_end()

    async def test() -> None:
        async with in_process_gateway(tmp_path, records_head) as gateway:
            status, head, body = await gateway.fetch(request(1, X_Plan="small"))
            assert (status, body) == (200, b"served") and "x-other" not in head
            assert heads[0].startswith("get /read/00000000000000a1 http/1.1\r\n")
            assert "x-trace-id: 0000000000000001\r\n" in heads[0] and "x-expires-in-ms: " in heads[0]
            assert (await gateway.fetch("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200

    run(test())


def test_a_successful_readiness_check_is_not_logged_as_a_rejected_request(tmp_path: Path) -> None:
    """On a quiet day of 45 minutes 98% of a gateway's log lines were about successful checks."""

    async def test() -> None:
        async with in_process_gateway(tmp_path, serve_echo) as gateway:
            lines: list[tuple[str, dict[str, Any]]] = []
            gateway.node.server.state.log_event = lambda event, fields: lines.append((event, fields))
            assert (await gateway.fetch("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200
            assert (await gateway.fetch("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 400
            assert [fields["status"] for event, fields in lines if event == "request rejected"] == [400]

    run(test())


def test_a_keyed_request_is_forwarded_with_its_body(tmp_path: Path) -> None:
    async def test() -> None:
        async with in_process_gateway(tmp_path, serve_echo) as gateway:
            status, _, body = await gateway.fetch(request(1, "book", method="POST", body="room 5"))
            assert (status, body) == (200, b"post /book/00000000000000a1 http/1.1|room 5")

    run(test())


def test_an_incomplete_request_is_not_forwarded(tmp_path: Path) -> None:
    heads: list[str] = []

    async def records_head(peer: Peer) -> None:
        heads.append(await peer.read_head())
        await peer.send_response("served")

    async def test() -> None:
        async with in_process_gateway(tmp_path, records_head) as gateway:
            peer = await gateway.connect()
            whole = request(1, "book", method="POST", body="room 5")
            await peer.write(whole[:-3])
            peer.close()
            assert (await gateway.fetch(request(2)))[0] == 200
            assert len(heads) == 1 and heads[0].startswith("get ")

    run(test())


def test_bytes_after_a_response_are_not_relayed_to_the_next_request(tmp_path: Path) -> None:
    """The backend sends each response twice.  The second copy, received but not read by the loop, would be relayed as
    the response to the next request on the same connection."""

    async def sends_twice(peer: Peer) -> None:
        for turn in range(5):
            await peer.read_head()
            await peer.send_response(f"answer {turn}")
            await peer.send_response(f"answer {turn}")

    async def test() -> None:
        async with in_process_gateway(tmp_path, sends_twice) as gateway:
            peer = await gateway.connect()
            for number in range(4):
                await peer.write(request(number))
                assert (await peer.read_response())[2] == b"answer 0", "each request on a new connection"

    run(test())


def test_a_response_above_the_size_limit_is_a_failed_attempt(tmp_path: Path) -> None:
    async def endless(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                await peer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")

    async def huge(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\nxxx")
        await peer.read_to_end()

    async def test() -> None:
        async with in_process_gateway(tmp_path, huge) as gateway:
            status, _, _ = await gateway.fetch(request(1))
            assert status == 503, "the request may be retried: rejected once no attempt is left"
            assert gateway.node.server.counts["attempts"] == 3
        async with in_process_gateway(tmp_path, endless) as gateway:
            peer = await gateway.connect()
            await peer.write(request(2))
            assert (await peer.read_head()).startswith("http/1.1 200")
            assert not (await peer.read_to_end()).endswith(b"0\r\n\r\n"), (
                "the client can detect that the response is incomplete"
            )
            assert gateway.node.server.counts["broken"] == 1

    run(test())


def test_a_response_of_hundreds_of_kilobytes_is_relayed(tmp_path: Path) -> None:
    """Such responses were treated as failed: 22% of the attempts on one day of the users' benchmark."""
    sizes = [100_000, 400_000]  # in order of the requests, on any connection

    async def large(peer: Peer) -> None:
        while True:
            await peer.read_head()
            size = sizes.pop(0)
            await peer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n")
            await peer.write(b"x" * size)

    async def test() -> None:
        async with in_process_gateway(tmp_path, large) as gateway:
            for number, size in enumerate((100_000, 400_000)):
                status, _, body = await gateway.fetch(request(number))
                assert status == 200 and body == b"x" * size
            assert gateway.node.engine.attempt_result_counts == {"ok": 2}

    run(test())


def test_interim_responses_are_skipped(tmp_path: Path) -> None:
    async def sends_interim_responses(peer: Peer) -> None:
        await peer.read_head()
        await peer.write("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
        await peer.send_response("served")
        await peer.read_to_end()

    async def test() -> None:
        async with in_process_gateway(tmp_path, sends_interim_responses) as gateway:
            assert (await gateway.fetch(request(1)))[2] == b"served"

    run(test())


def test_a_draining_gateway_serves_new_connections_and_then_open_ones(tmp_path: Path) -> None:
    async def test() -> None:
        async with in_process_gateway(tmp_path, serve_echo) as gateway:
            open_peer = await gateway.connect()
            await open_peer.write(request(1))
            assert (await open_peer.read_response())[0] == 200
            gateway.node.drain_plan = DrainPlan(100.0, 500.0, 1000.0)
            stopping = asyncio.create_task(gateway.node.stop())
            await asyncio.sleep(0)
            status, head, _ = await gateway.fetch(request(2))
            assert status == 200 and "connection: close" in head, "new connections are still accepted"
            listener = gateway.node.server._acceptor.listener
            assert listener is not None
            while listener.accepting:
                await asyncio.sleep(0.001)
            await open_peer.write(request(3))
            status, head, _ = await open_peer.read_response()
            assert status == 200 and "connection: close" in head
            assert await open_peer.read_to_end() == b""
            await stopping

    run(test())


def test_silent_connections_are_closed_to_make_room_for_requests(tmp_path: Path) -> None:
    async def test() -> None:
        async with in_process_gateway(tmp_path, serve_echo, limits={"sockets": 64}) as gateway:
            server, limit = gateway.node.server, gateway.node.config.listener.max_connections
            regular = await gateway.connect()
            await regular.write(request(1))
            assert (await regular.read_response())[0] == 200
            silent = [await gateway.connect() for _ in range(limit - 1)]
            while len(server.clients) < limit:
                await asyncio.sleep(0.001)
            for client in server.state.new_clients:
                client.waiting_since -= MIN_AGE_TO_CLOSE_MS
            active = [await gateway.connect() for _ in range(limit - 1)]
            for number, peer in enumerate(active):
                await peer.write(request(10 + number))
                assert (await peer.read_response())[0] == 200
            for peer in silent:
                assert await peer.read_to_end() == b""
            await regular.write(request(2))
            assert (await regular.read_response())[0] == 200, "a connection that was served before is closed last"
            assert (await gateway.fetch(request(99)))[0] == 200, "even then an idle connection is closed to make room"
            assert server.counts["connections_closed_for_room"] == limit
            assert server.counts["connections_turned_away"] == 0
            for peer in [*active, regular]:
                peer.close()

    run(test())


def test_a_new_connection_is_not_closed_to_make_room(tmp_path: Path) -> None:
    """Its first request may be in transit, and the client would count it as lost."""

    async def test() -> None:
        async with in_process_gateway(tmp_path, serve_echo, limits={"sockets": 64}) as gateway:
            limit = gateway.node.config.listener.max_connections
            peers = [await gateway.connect() for _ in range(limit)]
            while len(gateway.node.server.clients) < limit:
                await asyncio.sleep(0.001)
            for client in gateway.node.server.state.new_clients:
                client.waiting_since += 60_000.0
            assert (await (await gateway.connect()).read_to_end()).startswith(b"HTTP/1.1 503")
            await peers[0].write(request(1))
            assert (await peers[0].read_response())[0] == 200
            for peer in peers:
                peer.close()

    run(test())


def test_a_connection_closes_after_a_readiness_check_or_a_faulty_request(tmp_path: Path) -> None:
    """Connections that stayed open after a readiness check took the places of half of the regular clients."""

    async def test() -> None:
        async with in_process_gateway(tmp_path, serve_echo) as gateway:
            for target, status in (("/_health", 200), ("/", 400)):
                peer = await gateway.connect()
                await peer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n")
                assert (await peer.read_response())[0] == status
                assert await peer.read_to_end() == b""

    run(test())


def test_a_reload_changes_the_address_of_discovery(tmp_path: Path) -> None:
    async def test() -> None:
        heads: list[str] = []

        async def new_agent(peer: Peer) -> None:
            heads.append(await peer.read_head())
            await peer.send_response(json.dumps({"rev": 1, "all": True, "targets": []}))
            await peer.read_to_end()

        async with in_process_gateway(tmp_path, serve_echo) as gateway:
            other = ScriptedServer(new_agent)
            document = json.loads(gateway.path.read_text(encoding="utf-8"))
            gateway.path.write_text("{", encoding="utf-8")
            gateway.node.reload()
            assert (await gateway.fetch(request(1)))[0] == 200, "a file that cannot be read changes nothing"
            gateway.path.write_text(
                json.dumps(document | {"discovery": f"127.0.0.1:{await other.start()}"}), encoding="utf-8"
            )
            gateway.node.reload()
            while not heads:
                await asyncio.sleep(0.001)
            assert heads[0].startswith("get /catalog/members http/1.1")
            other.stop()

    run(test())
