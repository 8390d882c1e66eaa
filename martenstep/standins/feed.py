"""The members feed: a long poll with an index, told late, and made stale, partial or lost at will."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import h11

from martenstep.standins.base import ControlPort, Trace, now_ms, until_stopped

KEPT_CHANGES = 64  # a poll from further back gets the whole list


class FeedServer:
    """The list, its changes, and the polls that wait for them."""

    def __init__(self, trace: Trace, port: int = 0, lag_ms: float = 0.0, seed: int = 1) -> None:
        self._trace, self._port, self._lag = trace, port, lag_ms
        self._rng = random.Random(seed)
        self._servers: dict[int, dict[str, Any]] = {}
        self._index = 1
        self._changes: list[tuple[int, list[dict[str, Any]]]] = []
        self._news = asyncio.Event()
        self._stale = self._down = False
        self._partial = 0.0
        self._cut: set[str] = set()
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Bind; gives the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port, backlog=512)
        self._port = int(self._server.sockets[0].getsockname()[1])
        return self._port

    async def stop(self) -> None:
        """Accept no more."""
        if self._server is not None:
            self._server.close()

    def control(self, do: str, words: dict[str, Any]) -> dict[str, Any]:
        """What can be steered: `update` with changed entries, `stale`, `partial`, `down`, `cut` of doors."""
        self._trace.write("control", do=do, **{key: value for key, value in words.items() if key != "servers"})
        if do == "update":
            if words.get("now"):
                self._apply(words["servers"])
            else:
                task = asyncio.get_running_loop().create_task(self._later(words["servers"]))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        elif do == "stale":
            self._stale = bool(words["on"])
            self._wake()
        elif do == "partial":
            self._partial = float(words["share"])
            self._changes.clear()
            self._index += 1
            self._wake()
        elif do == "down":
            self._down = bool(words["on"])
            if self._down:
                self._drop(None)
        elif do == "cut":
            self._cut = set(words["doors"])
            for door in self._cut:
                self._drop(door)
        elif do == "state":
            return {"index": self._index, "servers": len(self._servers)}
        else:
            return {"error": f"no such command: {do}"}
        return {"ok": True}

    async def _later(self, servers: list[dict[str, Any]]) -> None:
        await asyncio.sleep(self._lag * self._rng.uniform(0.5, 1.5) / 1000)
        self._apply(servers)

    def _apply(self, servers: list[dict[str, Any]]) -> None:
        self._index += 1
        for server in servers:
            self._servers[server["id"]] = server
        self._changes.append((self._index, servers))
        del self._changes[:-KEPT_CHANGES]
        self._servers = {key: server for key, server in self._servers.items() if server["state"] != "gone"}
        self._wake()

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    def _drop(self, door: str | None) -> None:
        for writer, name in list(self._writers.items()):
            if door is None or name == door:
                writer.transport.abort()

    def _since(self, index: int) -> tuple[str, list[dict[str, Any]]]:
        """What a poll from this index is told: scope and entries."""
        if self._partial or index > self._index or not self._changes or index < self._changes[0][0] - 1:
            servers = list(self._servers.values())
            if self._partial:
                servers = servers[: max(round(len(servers) * (1 - self._partial)), 1)]
            return "full", servers
        merged: dict[int, dict[str, Any]] = {}
        for number, servers in self._changes:
            if number > index:
                for server in servers:
                    merged[server["id"]] = server
        return "changes", list(merged.values())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._down:
            writer.transport.abort()
            return
        self._writers[writer] = ""
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await reader.read(4096))
                if isinstance(event, h11.EndOfMessage):
                    if connection.our_state is h11.DONE:
                        connection.start_next_cycle()
                    continue
                if not isinstance(event, h11.Request):
                    break
                words = parse_qs(event.target.decode("latin-1").partition("?")[2])
                index, wait = int(words.get("index", ["0"])[0]), float(words.get("wait", ["0"])[0])
                door = words.get("door", [""])[0]
                self._writers[writer] = door
                if door in self._cut:
                    break
                await self._poll(connection, writer, index, wait, door)
                while (event := connection.next_event()) is h11.NEED_DATA:
                    connection.receive_data(await reader.read(4096))
                connection.start_next_cycle()
        except (OSError, ValueError, h11.ProtocolError):
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _poll(self, connection: h11.Connection, writer: asyncio.StreamWriter, index: int, wait: float,
                    door: str) -> None:
        until = now_ms() + wait
        while (index and index == self._index) or self._stale:
            try:
                async with asyncio.timeout(max(until - now_ms(), 0.0) / 1000):
                    await self._news.wait()
            except TimeoutError:
                break
        if writer.transport.is_closing():
            return  # dropped while it waited: nothing is told
        if index and self._stale:
            scope, servers, told = "changes", list[dict[str, Any]](), index
        else:
            (scope, servers), told = self._since(index), self._index
        body = json.dumps({"index": told, "scope": scope, "now_unix_ms": time.time() * 1000,
                           "servers": servers}).encode()
        head = h11.Response(status_code=200, headers=[("content-type", "application/json"),
                                                      ("x-index", str(told)), ("content-length", str(len(body)))])
        writer.write((connection.send(head) or b"") + (connection.send(h11.Data(data=body)) or b"")
                     + (connection.send(h11.EndOfMessage()) or b""))
        if servers or scope == "full":
            self._trace.write("told", door=door, index=told, scope=scope, servers=[
                {"id": s["id"], "state": s["state"], "started": s.get("started_unix_ms", 0.0)} for s in servers])
        await writer.drain()


async def run(port: int, lag_ms: float, trace: Path | None) -> None:
    """One feed until it is stopped."""
    seen = Trace(trace)
    server = FeedServer(seen, port, lag_ms)
    control = ControlPort(server.control)
    bound = await server.start()
    await until_stopped({"port": bound, "control": await control.start()}, server.stop)
    seen.close()
