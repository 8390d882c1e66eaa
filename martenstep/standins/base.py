"""The parts that fakes share: a trace, a control port, a ready line, and a base class for the servers among them."""

from __future__ import annotations

import asyncio
import json
import socket
import ssl
import struct
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar

import h11
import msgspec

from martenstep.lifetime import until_stopped

CommandHandler = Callable[[str, dict[str, Any]], dict[str, Any]]
MAX_LINE_BYTES = 1 << 20
READ_BYTES = 65536
BACKLOG = 512  # connections not yet accepted: a whole fleet of gateways connects at once when it starts


def now_ms() -> float:
    """Return the time of the monotonic clock, which all processes of a machine share."""
    return time.monotonic() * 1000.0


class Trace:
    """A file of JSON lines, written without a buffer: if the process is killed, at most the last line is lost."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path else None
        self._encoder = msgspec.json.Encoder()

    def write(self, what: str, **fields: Any) -> None:
        if self._file is not None:
            self._file.write(self._encoder.encode({"t": round(now_ms(), 3), "what": what, **fields}) + b"\n")

    def close(self) -> None:
        if self._file is not None:
            self._file.close()
            self._file = None


class ControlPort:
    """Reads one JSON command a line, such as `{"do": "silent", "on": true}`, and answers each with a line of JSON."""

    def __init__(self, handler: CommandHandler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free port of the loopback address and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_LINE_BYTES)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                try:
                    arguments = json.loads(line)
                    answer = self._handler(arguments.pop("do"), arguments)
                except (ValueError, KeyError, TypeError, AttributeError) as error:
                    answer = {"error": f"{type(error).__name__}: {error}"}
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset; an ordinary close would look like a half-close to the peer."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def send_command(port: int, command: str, /, **arguments: Any) -> dict[str, Any]:
    """Send a command to a control port; raises RuntimeError if the fake rejects it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=MAX_LINE_BYTES)
    try:
        writer.write(json.dumps({"do": command, **arguments}).encode() + b"\n")
        await writer.drain()
        answer: dict[str, Any] = json.loads(await reader.readline())
    finally:
        writer.close()
    if "error" in answer:
        raise RuntimeError(f"control command {command!r} was rejected: {answer['error']}")
    return answer


class FakeServer(ABC):
    """A server: its port, its connections, and the commands that all fake servers take."""

    # Errors that end a connection and are no fault of the fake.
    connection_errors: ClassVar[tuple[type[Exception], ...]] = (OSError, h11.ProtocolError)

    def __init__(self, trace: Trace, port: int = 0) -> None:
        self._trace, self._port = trace, port
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, str] = {}  # the peer's name, empty where the peer sends none
        self._down = False
        self.tls: ssl.SSLContext | None = None
        self._fault_shares: dict[str, float] = {}  # share of responses that are faulty, by the kind of fault

    async def start(self) -> int:
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port, backlog=BACKLOG, ssl=self.tls)
        self._port = int(self._server.sockets[0].getsockname()[1])
        return self._port

    async def stop(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        port = await self.start()
        await until_stopped({"port": port, "control": await ControlPort(self.control).start()}, self.stop)
        self._trace.close()

    def control(self, command: str, arguments: dict[str, Any]) -> dict[str, Any]:
        """Trace a command from the control port, execute it and return the answer."""
        traced = {key: value for key, value in arguments.items() if key != "servers"}
        self._trace.write("control", do=command, **traced)
        answer = self._execute_command(command, arguments)
        return {"ok": True} if answer is None else answer

    def _execute_command(self, command: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        """Execute a command; None stands for the plain answer that it was done."""
        if command == "down":
            self._down = bool(arguments["on"])
            if self._down:
                self._abort_connections()
        elif command in self._fault_shares:
            self._fault_shares[command] = float(arguments["share"])
        else:
            return {"error": f"no such command: {command}"}
        return None

    def _accepts_connections(self) -> bool:
        return not self._down

    def _abort_connections(self, peer: str | None = None) -> None:
        """Abort all connections, or those of one peer."""
        for writer, connected_peer in list(self._writers.items()):
            if peer is None or connected_peer == peer:
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._accepts_connections():
            writer.transport.abort()
            return
        self._writers[writer] = ""
        try:
            await self._serve(reader, writer)
        except self.connection_errors:
            pass
        finally:
            del self._writers[writer]
            writer.close()

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""


class FakeHttpServer(FakeServer):
    """A server that speaks HTTP/1.1, without pipelining."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request, body_bytes = await self._read_request(connection, reader, writer)
            if request is None or not await self._respond(connection, reader, writer, request, body_bytes):
                return
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()

    @staticmethod
    async def _read_request(
        connection: h11.Connection, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[h11.Request | None, int]:
        request: h11.Request | None = None
        size = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                if connection.they_are_waiting_for_100_continue:
                    writer.write(connection.send(h11.InformationalResponse(status_code=100, headers=[])) or b"")
                connection.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request, size
            else:
                return None, 0

    @abstractmethod
    async def _respond(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body_bytes: int,
    ) -> bool:
        """Respond to a request whose body had `body_bytes` bytes; False if the connection ends afterwards."""


def response(
    connection: h11.Connection, status: int, headers: list[tuple[str, str]], body: bytes
) -> tuple[bytes, bytes]:
    """Return the bytes of a complete response: its head, and the rest."""
    head = h11.Response(status_code=status, headers=[*headers, ("content-length", str(len(body)))])
    return (
        connection.send(head) or b"",
        (connection.send(h11.Data(data=body)) or b"") + (connection.send(h11.EndOfMessage()) or b""),
    )
