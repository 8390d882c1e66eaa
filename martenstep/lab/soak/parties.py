"""The systems around the gateways in the soak: backends, discovery's agents and the counter, each of which can fail.

They are fakes, written after the platform's protocol page, and run in one process with the oracle."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from martenstep.lab.soak.oracle import Oracle

HEAD_END = b"\r\n\r\n"
CROWD_ID_PREFIX = "crowd-"  # of the requests of misbehaving clients, which no rule is about
LARGE_ID_PREFIX, LARGE_BYTES = "crowd-large-", 100_000  # and of those whose responses are large, of so many bytes
ZERO_LINGER = struct.pack("ii", 1, 0)  # makes a close send a reset
Headers = dict[str, str]
CONNECTION_ERRORS = (ConnectionError, asyncio.IncompleteReadError, OSError)


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], Headers, float]:
    """Return the words of the first line, the headers by lower-case name, and when the first byte was received."""
    first = await reader.readexactly(1)
    begun = time.monotonic()
    lines = (first + await reader.readuntil(HEAD_END)).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return lines[0].split(), {name.lower(): value.strip() for name, _, value in pairs}, begun


def response(status: str, body: str, headers: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n{body}".encode()


def crowd_response(request_id: str) -> bytes:
    """Make the response to a request of a misbehaving client."""
    return response("200 OK", "y" * LARGE_BYTES if request_id.startswith(LARGE_ID_PREFIX) else request_id)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    with suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
    writer.transport.abort()


class FakeService:
    """A server whose connections can all be reset, and which can be closed and opened again."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port as before if it was started before."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", self.port, limit=1 << 20)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            await self.serve(reader, writer)
        except CONNECTION_ERRORS:
            pass
        finally:
            self._open.discard(writer)
            self.connection_ended(writer)
            writer.close()

    def connection_ended(self, writer: asyncio.StreamWriter) -> None:
        """Called when a connection has ended."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def reset_all(self, share: float = 1.0, rng: random.Random | None = None) -> None:
        """Reset all open connections, or a random share of them."""
        for writer in list(self._open):
            if rng is None or rng.random() < share:
                reset(writer)

    def stop(self) -> None:
        """Refuse connections from now on, and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()


FAULT_MODES = (
    "slow",
    "hangs",
    "resets",
    "cuts",
    "full",
    "errors",
    "twice",
    "idle_close",
    "endless",
    "late_second",
    "drops",
)


class Backend(FakeService):
    """A backend; `mode` selects its fault."""

    def __init__(self, name: str, oracle: Oracle, rng: random.Random) -> None:
        super().__init__()
        self.name, self._oracle, self._rng = name, oracle, rng
        self.mode = "well"  # or one of FAULT_MODES
        self.boot_ms = 0.0
        self.state = "ready"
        self.latency_s = rng.uniform(0.005, 0.03)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests one after the other."""
        while True:
            next_head = asyncio.wait_for(read_head(reader), 0.05) if self.mode == "idle_close" else read_head(reader)
            try:
                words, headers, begun = await next_head
            except TimeoutError:
                return
            await reader.readexactly(int(headers.get("content-length", "0")))
            await self._respond(words, headers, begun, reader, writer)

    async def _respond(
        self,
        words: list[str],
        headers: Headers,
        begun: float,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id, gateway = headers.get("x-trace-id", ""), headers.get("host", "")
        expires_s = float(headers.get("x-expires-in-ms", "0")) / 1000
        mode = self.mode
        if request_id.startswith(CROWD_ID_PREFIX):
            await asyncio.sleep(self.latency_s)
            writer.write(crowd_response(request_id))
            return
        self._oracle.attempt_received(request_id, self.name, gateway, begun, time.monotonic(), expires_s)
        if request_id not in self._oracle.requests:
            return
        executed = mode != "full"
        disconnected = asyncio.create_task(reader.read(1))  # an attempt stays open until its connection ends
        try:
            latency_s = self.latency_s * (20 if mode == "slow" else 1) * self._rng.uniform(0.5, 1.5)
            await asyncio.wait((disconnected,), timeout=None if mode == "hangs" else latency_s)
            if disconnected.done():
                raise ConnectionResetError("the gateway closed the connection")
            if mode == "resets":
                raise ConnectionResetError("the fault mode resets the connection")
            if mode == "cuts":
                writer.write(response("200 OK", request_id)[:-3])
                raise ConnectionResetError("the fault mode cuts the response")
            if mode == "drops":  # the request is read and never answered, and the connection stays open
                await disconnected
                raise ConnectionResetError("the gateway closed the connection")
            if mode == "endless":
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not disconnected.done():
                    writer.write(b"4\r\nmore\r\n")
                    await asyncio.wait((disconnected,), timeout=0.02)
                raise ConnectionResetError("the gateway closed the connection")
            if mode == "full":
                writer.write(response("503 Full", "", "X-Never-Ran: 1\r\n"))
            elif mode == "errors":
                writer.write(response("500 Error", "no"))
            else:
                writer.write(response("200 OK", request_id) * (2 if mode == "twice" else 1))
                if mode == "late_second":
                    await asyncio.wait((disconnected,), timeout=0.004)
                    writer.write(response("200 OK", request_id))
        except ConnectionResetError:
            reset(writer)
            raise
        finally:
            self._oracle.attempt_ended(request_id, executed, time.monotonic())
            disconnected.cancel()
            with suppress(asyncio.CancelledError, *CONNECTION_ERRORS):
                await disconnected


@dataclass
class EndpointList:
    """Discovery's list of backends, which every agent serves."""

    revision: int = 1
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changes: list[tuple[int, str]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, backend: Backend) -> None:
        """Add or replace the entry of a backend, and wake the watches."""
        self.revision += 1
        self.entries[backend.name] = {
            "uid": backend.name,
            "endpoint": f"127.0.0.1:{backend.port}",
            "az": "north",
            "model": "m",
            "pod_group": 0,
            "state": backend.state,
            "capacity_hint": 1.0,
            "boot_ms": backend.boot_ms,
        }
        self.changes.append((self.revision, backend.name))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def full(self) -> str:
        """Return the JSON of all entries but those of backends that are gone."""
        listed = [entry for entry in self.entries.values() if entry["state"] != "gone"]
        return json.dumps({"rev": self.revision, "all": True, "targets": listed})

    def since(self, revision: int) -> str:
        """Return the JSON of the entries that changed after a revision."""
        names = dict.fromkeys(name for changed_in, name in self.changes if changed_in > revision)
        return json.dumps({"rev": self.revision, "all": False, "targets": [self.entries[name] for name in names]})


class Agent(FakeService):
    """Discovery's agent on one gateway's machine.  While it is `silent` it answers no calls and reports no changes."""

    def __init__(self, endpoint_list: EndpointList, rng: random.Random) -> None:
        super().__init__()
        self._endpoint_list, self._rng = endpoint_list, rng
        self.silent = False
        self.muted: set[asyncio.StreamWriter] = set()  # connections on which nothing is answered any more
        self.splits_responses = False  # responses are sent in two parts, and some are cut after the first

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls one after the other."""
        while True:
            words, _, _ = await read_head(reader)
            while self.silent or writer in self.muted:
                await asyncio.sleep(0.02)
            query = dict(part.split("=") for part in words[1].partition("?")[2].split("&") if part)
            if "after" not in query:
                body = self._endpoint_list.full()
            else:
                body = await self._watch(int(query["after"]), float(query["wait_ms"]) / 1000)
                while writer in self.muted:
                    await asyncio.sleep(0.02)
            out = response("200 OK", body)
            if self.splits_responses:
                writer.write(out[: len(out) // 2])
                if self._rng.random() < 0.3:
                    return
                await asyncio.sleep(0.02)
                out = out[len(out) // 2 :]
            writer.write(out)

    def connection_ended(self, writer: asyncio.StreamWriter) -> None:
        self.muted.discard(writer)

    def mute(self) -> None:
        """Answer nothing more on the connections that are open now; new connections are answered."""
        self.muted |= self._open

    async def _watch(self, after: int, wait_s: float) -> str:
        until = time.monotonic() + wait_s
        while (left_s := until - time.monotonic()) > 0 and (self._endpoint_list.revision == after or self.silent):
            with suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, 0.05)):
                    await self._endpoint_list.changed.wait()
        return self._endpoint_list.since(after)


class FakeCounter(FakeService):
    """The counter: totals by name.  While it is `silent` it answers no calls."""

    def __init__(self) -> None:
        super().__init__()
        self._totals: dict[bytes, tuple[float, float]] = {}
        self.silent = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls one after the other."""
        while True:
            words = [(await reader.readuntil(b"\r\n"))[:-2] for _ in range(9)]
            while self.silent:
                await asyncio.sleep(0.02)
            name, amount, period_s = words[4], float(words[6]), float(words[8]) / 1000
            now = time.monotonic()
            total, until = self._totals.get(name, (0.0, 0.0))
            if until <= now:
                total, until = 0.0, now + period_s
            self._totals[name] = total + amount, until
            text = f"{total + amount:.6g}".encode()
            writer.write(b"$%d\r\n%b\r\n" % (len(text), text))
