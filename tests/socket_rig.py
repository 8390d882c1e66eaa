"""A gateway on loopback sockets, with servers and clients whose bytes the test scripts.

Timeouts here only end a test that hangs; no assertion depends on how long anything takes.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.policy.messages import Endpoint, EndpointListScope, EndpointState
from martenstep.proxy.engine_factory import make_engine, make_server
from martenstep.proxy.server import ProxyServer
from tests.engine_rig import gateway_settings

TEST_TIMEOUT_S = 15.0
LONG_TEST_TIMEOUT_S = 120.0  # for tests that wait for elections and for replicas to catch up on a busy machine
Script = Callable[["Peer"], Awaitable[None]]


def run(test: Coroutine[Any, Any, None], timeout_s: float = TEST_TIMEOUT_S) -> None:
    """Run one test's coroutine; the timeout only ends a test that hangs."""

    async def run_with_timeout() -> None:
        async with asyncio.timeout(timeout_s):
            await test

    asyncio.run(run_with_timeout())


class Peer:
    """One end of a connection that a test reads and writes byte by byte."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read_head(self) -> str:
        """Read a complete message head and return it in lower case."""
        return (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()

    async def read(self, size: int) -> bytes:
        """Read exactly `size` bytes."""
        return await self.reader.readexactly(size)

    async def read_to_end(self) -> bytes:
        """Read until the connection ends, by a close or by a reset."""
        parts = []
        with contextlib.suppress(ConnectionError):
            while part := await self.reader.read(65536):
                parts.append(part)
        return b"".join(parts)

    async def write(self, text: str | bytes) -> None:
        """Write bytes and drain the writer."""
        self.writer.write(text.encode() if isinstance(text, str) else text)
        await self.writer.drain()

    async def send_response(self, body: str = "ok", status: str = "200 OK", extra_headers: str = "") -> None:
        """Write a complete response with a Content-Length."""
        await self.write(f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{extra_headers}\r\n{body}")

    async def read_response(self) -> tuple[int, str, bytes]:
        """Read a response with a Content-Length; returns its status, head and body."""
        head = await self.read_head()
        length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length")), 0)
        return int(head.split()[1]), head, await self.read(length)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()

    def reset(self) -> None:
        """Abort the connection with a reset on the wire; the other side would read a plain close as a half-close."""
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class ScriptedServer:
    """A server that runs a script for each of its connections."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.connections = 0
        self.errors: list[BaseException] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Bind to a free port and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self._script(Peer(reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except Exception as error:
            self.errors.append(error)
        finally:
            writer.close()

    def stop(self) -> None:
        """Stop accepting; raises the first error that a script raised."""
        if self._server is not None:
            self._server.close()
        if self.errors:
            raise self.errors[0]


class RunningGateway:
    """A gateway that runs in the test's event loop, and the events it has logged."""

    def __init__(self, server: ProxyServer, port: int, log_events: list[tuple[str, dict[str, Any]]]) -> None:
        self.server, self.port, self.log_events = server, port, log_events

    async def connect(self) -> Peer:
        """Open a client connection to the gateway."""
        return Peer(*await asyncio.open_connection("127.0.0.1", self.port))

    async def get(self, path: str = "/read/1", extra_headers: str = "") -> tuple[int, str, bytes]:
        """Send a GET on a connection of its own; returns status, head and body of the response."""
        peer = await self.connect()
        await peer.write(request_head(path, extra_headers))
        response = await peer.read_response()
        peer.close()
        return response

    def finished_requests(self) -> list[dict[str, Any]]:
        """The fields of each "request finished" log event."""
        return [fields for event, fields in self.log_events if event == "request finished"]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Poll until `condition` holds."""
        while not condition():
            await asyncio.sleep(0.002)


def request_head(path: str = "/read/1", extra_headers: str = "", method: str = "GET") -> str:
    """The head of a request."""
    return f"{method} {path} HTTP/1.1\r\nhost: door\r\nx-customer: free\r\n{extra_headers}\r\n"


@contextlib.asynccontextmanager
async def running_gateway(
    *scripts: Script, text: str = "", ports: tuple[int, ...] = ()
) -> AsyncIterator[RunningGateway]:
    """A gateway in front of one server for each script, and of the ports given."""
    scripted_servers = [ScriptedServer(script) for script in scripts]
    log_events: list[tuple[str, dict[str, Any]]] = []
    settings = gateway_settings(text)
    settings.ClearField("store")
    server = make_server(settings, make_engine(settings, 1), lambda event, fields: log_events.append((event, fields)))
    server_ports = [await scripted.start() for scripted in scripted_servers] + list(ports)
    endpoints = tuple(Endpoint(n, "a", "std", 0, EndpointState.UP) for n in range(1, len(server_ports) + 1))
    addresses = {index + 1: ("127.0.0.1", port) for index, port in enumerate(server_ports)}
    server.handle(EndpointListEvent(EndpointListScope.CACHED, endpoints, addresses))
    port = await server.start()
    try:
        yield RunningGateway(server, port, log_events)
    finally:
        await server.stop(1000.0)
        for scripted in scripted_servers:
            scripted.stop()
    assert server.engine.unanswered == 0
