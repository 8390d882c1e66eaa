"""What every stand-in has: a trace, a control port, a ready line; and what those that serve have in common."""

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

Control = Callable[[str, dict[str, Any]], dict[str, Any]]
LINE_BYTES = 1 << 20
READ_BYTES = 65536
BACKLOG = 512  # connections that wait to be accepted: a whole fleet of doors starts at once


def now_ms() -> float:
    """The monotonic clock that all processes of a machine share."""
    return time.monotonic() * 1000.0


class Trace:
    """JSON lines, written through so that a kill loses at most the last."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("ab", buffering=0) if path else None
        self._encoder = msgspec.json.Encoder()

    def write(self, what: str, **fields: Any) -> None:
        """One line, with the time."""
        if self._file is not None:
            self._file.write(self._encoder.encode({"t": round(now_ms(), 3), "what": what, **fields}) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None


class ControlPort:
    """One JSON command a line, one JSON answer each: `{"do": "silent", "on": true}`."""

    def __init__(self, control: Control) -> None:
        self._control = control
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Bind to a free port of the loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=LINE_BYTES)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                try:
                    words = json.loads(line)
                    answer = self._control(words.pop("do"), words)
                except (ValueError, KeyError, TypeError, AttributeError) as error:
                    answer = {"error": f"{type(error).__name__}: {error}"}
                writer.write(json.dumps(answer).encode() + b"\n")
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Break a connection with a reset on the wire; a plain close would look like half a close."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def steer(port: int, do: str, **words: Any) -> dict[str, Any]:
    """Give one command to a control port; raises RuntimeError on a command that it does not take."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=LINE_BYTES)
    try:
        writer.write(json.dumps({"do": do, **words}).encode() + b"\n")
        await writer.drain()
        answer: dict[str, Any] = json.loads(await reader.readline())
    finally:
        writer.close()
    if "error" in answer:
        raise RuntimeError(f"control: {do}: {answer['error']}")
    return answer


class StandIn(ABC):
    """A server: its port, its connections, and the commands that all servers take."""

    ends_with: ClassVar[tuple[type[Exception], ...]] = (OSError, h11.ProtocolError)  # a connection, and no fault

    def __init__(self, trace: Trace, port: int = 0) -> None:
        self._trace, self._port = trace, port
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.StreamWriter, str] = {}  # and who is behind each, where that is told
        self._down = False
        self.tls: ssl.SSLContext | None = None
        self._shares: dict[str, float] = {}  # of its answers, by the way that they go wrong

    async def start(self) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self._port, backlog=BACKLOG, ssl=self.tls)
        self._port = int(self._server.sockets[0].getsockname()[1])
        return self._port

    async def stop(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        port = await self.start()
        await until_stopped({"port": port, "control": await ControlPort(self.control).start()}, self.stop)
        self._trace.close()

    def control(self, do: str, words: dict[str, Any]) -> dict[str, Any]:
        """What can be steered while it runs."""
        self._trace.write("control", do=do, **{key: value for key, value in words.items() if key != "servers"})
        told = self._steered(do, words)
        return {"ok": True} if told is None else told

    def _steered(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        """One command; None where there is nothing to tell but that it is done."""
        if do == "down":
            self._down = bool(words["on"])
            if self._down:
                self._drop()
        elif do in self._shares:
            self._shares[do] = float(words["share"])
        else:
            return {"error": f"no such command: {do}"}
        return None

    def _takes(self) -> bool:
        """Whether a new connection is taken."""
        return not self._down

    def _drop(self, name: str | None = None) -> None:
        """Break all connections, or those of one peer."""
        for writer, behind in list(self._writers.items()):
            if name is None or behind == name:
                writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._takes():
            writer.transport.abort()
            return
        self._writers[writer] = ""
        try:
            await self._serve(reader, writer)
        except self.ends_with:
            pass
        finally:
            del self._writers[writer]
            writer.close()

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""


class HttpStandIn(StandIn):
    """A server that speaks HTTP/1.1, one request after the other on a connection."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request, body = await self._request(connection, reader, writer)
            if request is None or not await self._answer(connection, reader, writer, request, body):
                return
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()

    @staticmethod
    async def _request(
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
    async def _answer(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body: int,
    ) -> bool:
        """Answer one request with so many bytes of body; False where the connection ends with it."""


def response(
    connection: h11.Connection, status: int, headers: list[tuple[str, str]], body: bytes
) -> tuple[bytes, bytes]:
    """The bytes of a whole answer: its head, and the rest."""
    head = h11.Response(status_code=status, headers=[*headers, ("content-length", str(len(body)))])
    return (
        connection.send(head) or b"",
        (connection.send(h11.Data(data=body)) or b"") + (connection.send(h11.EndOfMessage()) or b""),
    )
