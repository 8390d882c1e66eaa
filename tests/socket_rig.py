"""A door on loopback sockets, with servers and clients that are scripted byte by byte.

Waits here have bounds only so that a fault ends the test; no verdict rests on how long anything takes.
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

BOUND_S = 15.0
LONG_S = 120.0  # for what waits for elections and the filling of copies, on a machine that does much else
Script = Callable[["Peer"], Awaitable[None]]
NO_STORE = "customer { key: 'z' plan: 'open' }"


def run(test: Coroutine[Any, Any, None], bound_s: float = BOUND_S) -> None:
    """Run one test's coroutine; the bound only ends a fault."""

    async def bounded() -> None:
        async with asyncio.timeout(bound_s):
            await test

    asyncio.run(bounded())


class Peer:
    """One end of a connection, byte by byte."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def head(self) -> str:
        """A whole head, in lower case."""
        return (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()

    async def read(self, size: int) -> bytes:
        """So many bytes."""
        return await self.reader.readexactly(size)

    async def rest(self) -> bytes:
        """All up to the end of the connection; a reset ends it too."""
        parts = []
        with contextlib.suppress(ConnectionError):
            while part := await self.reader.read(65536):
                parts.append(part)
        return b"".join(parts)

    async def write(self, text: str | bytes) -> None:
        """Bytes, now."""
        self.writer.write(text.encode() if isinstance(text, str) else text)
        await self.writer.drain()

    async def answer(self, body: str = "ok", status: str = "200 OK", more: str = "") -> None:
        """A whole answer."""
        await self.write(f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{more}\r\n{body}")

    async def response(self) -> tuple[int, str, bytes]:
        """Status, head and body of an answer with a length."""
        head = await self.head()
        length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length")), 0)
        return int(head.split()[1]), head, await self.read(length)

    def close(self) -> None:
        """Close it."""
        self.writer.close()

    def reset(self) -> None:
        """Break it, with a reset on the wire: a plain close would look like half a close."""
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Back:
    """A server whose connections each follow a script."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.connections = 0
        self.faults: list[BaseException] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self._script(Peer(reader, writer))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except Exception as error:
            self.faults.append(error)
        finally:
            writer.close()

    def stop(self) -> None:
        """Accept no more; raises what a script raised."""
        if self._server is not None:
            self._server.close()
        if self.faults:
            raise self.faults[0]


class House:
    """A door and its servers."""

    def __init__(self, driver: ProxyServer, port: int, notes: list[tuple[str, dict[str, Any]]]) -> None:
        self.driver, self.port, self.notes = driver, port, notes

    async def client(self) -> Peer:
        """A new client connection."""
        return Peer(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, path: str = "/read/1", more: str = "") -> tuple[int, str, bytes]:
        """A GET on a connection of its own."""
        peer = await self.client()
        await peer.write(get(path, more))
        answer = await peer.response()
        peer.close()
        return answer

    def answers(self) -> list[dict[str, Any]]:
        """The lines of final answers."""
        return [fields for event, fields in self.notes if event == "request finished"]

    async def until(self, test: Callable[[], bool]) -> None:
        """Wait for something that must come to be."""
        while not test():
            await asyncio.sleep(0.002)


def get(path: str = "/read/1", more: str = "", method: str = "GET") -> str:
    """A request's head."""
    return f"{method} {path} HTTP/1.1\r\nhost: door\r\nx-customer: free\r\n{more}\r\n"


@contextlib.asynccontextmanager
async def house(*scripts: Script, text: str = "", ports: tuple[int, ...] = ()) -> AsyncIterator[House]:
    """A door in front of servers, one for each script."""
    backs = [Back(script) for script in scripts]
    notes: list[tuple[str, dict[str, Any]]] = []
    door = gateway_settings(text)
    door.ClearField("store")
    driver = make_server(door, make_engine(door, 1), lambda event, fields: notes.append((event, fields)))
    numbers = [await back.start() for back in backs] + list(ports)
    servers = tuple(Endpoint(n, "a", "std", 0, EndpointState.UP) for n in range(1, len(numbers) + 1))
    driver.handle(
        EndpointListEvent(
            EndpointListScope.CACHED, servers, {n + 1: ("127.0.0.1", port) for n, port in enumerate(numbers)}
        )
    )
    port = await driver.start()
    try:
        yield House(driver, port, notes)
    finally:
        await driver.stop(1000.0)
        for back in backs:
            back.stop()
    assert driver.engine.unanswered == 0
