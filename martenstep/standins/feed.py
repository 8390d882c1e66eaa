"""The endpoint feed: a long poll with an index.  Changes are published with a delay; commands make the feed stale,
partial or unreachable."""

from __future__ import annotations

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import h11

from martenstep.standins.base import FakeHttpServer, Trace, now_ms, response

KEPT_CHANGES = 64  # a poll with an older index receives the full list


class FeedServer(FakeHttpServer):
    """Holds the endpoint list and its latest changes, and answers the polls that wait for a change."""

    connection_errors = (*FakeHttpServer.connection_errors, ValueError)  # a poll with invalid parameters

    def __init__(self, trace: Trace, port: int = 0, lag_ms: float = 0.0, seed: int = 1) -> None:
        super().__init__(trace, port)
        self._lag_ms = lag_ms
        self._rng = random.Random(seed)
        self._servers: dict[int, dict[str, Any]] = {}
        self._index = 1
        self._changes: list[tuple[int, list[dict[str, Any]]]] = []
        self._changed = asyncio.Event()
        self._stale = False
        self._partial = 0.0
        self._disconnected_gateways: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def _execute_command(self, command: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        """Execute a command; `cut` lists the gateways to disconnect, `update` the entries that changed."""
        if command == "update":
            if arguments.get("now"):
                self._apply(arguments["servers"])
            else:
                task = asyncio.get_running_loop().create_task(self._apply_after_lag(arguments["servers"]))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        elif command == "stale":
            self._stale = bool(arguments["on"])
            self._notify_polls()
        elif command == "partial":
            self._partial = float(arguments["share"])
            self._changes.clear()
            self._index += 1
            self._notify_polls()
        elif command == "cut":
            self._disconnected_gateways = set(arguments["doors"])
            for gateway in self._disconnected_gateways:
                self._abort_connections(gateway)
        elif command == "state":
            return {"index": self._index, "servers": len(self._servers)}
        else:
            return super()._execute_command(command, arguments)
        return None

    async def _apply_after_lag(self, servers: list[dict[str, Any]]) -> None:
        await asyncio.sleep(self._lag_ms * self._rng.uniform(0.5, 1.5) / 1000)
        self._apply(servers)

    def _apply(self, servers: list[dict[str, Any]]) -> None:
        self._index += 1
        for server in servers:
            self._servers[server["id"]] = server
        self._changes.append((self._index, servers))
        del self._changes[:-KEPT_CHANGES]
        self._servers = {key: server for key, server in self._servers.items() if server["state"] != "gone"}
        self._notify_polls()

    def _notify_polls(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _entries_since(self, index: int) -> tuple[str, list[dict[str, Any]]]:
        """Return the scope and the entries that answer a poll with this index."""
        if self._partial or index > self._index or not self._changes or index < self._changes[0][0] - 1:
            servers = list(self._servers.values())
            if self._partial:
                servers = servers[: max(round(len(servers) * (1 - self._partial)), 1)]
            return "full", servers
        merged: dict[int, dict[str, Any]] = {}
        for change_index, servers in self._changes:
            if change_index > index:
                for server in servers:
                    merged[server["id"]] = server
        return "changes", list(merged.values())

    async def _respond(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body_bytes: int,
    ) -> bool:
        query = parse_qs(request.target.decode("latin-1").partition("?")[2])
        index, wait_ms = int(query.get("index", ["0"])[0]), float(query.get("wait", ["0"])[0])
        gateway = self._writers[writer] = query.get("door", [""])[0]
        if gateway in self._disconnected_gateways:
            return False
        until_ms = now_ms() + wait_ms
        while (index and index == self._index) or self._stale:
            try:
                async with asyncio.timeout(max(until_ms - now_ms(), 0.0) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                break
        if writer.transport.is_closing():
            return False  # the connection was aborted during the wait: no response can be sent
        if index and self._stale:
            scope, servers, sent_index = "changes", list[dict[str, Any]](), index
        else:
            (scope, servers), sent_index = self._entries_since(index), self._index
        text = json.dumps(
            {"index": sent_index, "scope": scope, "now_unix_ms": time.time() * 1000, "servers": servers}
        ).encode()
        headers = [("content-type", "application/json"), ("x-index", str(sent_index))]
        writer.write(b"".join(response(connection, 200, headers, text)))
        if servers or scope == "full":
            self._trace.write(
                "told",
                door=gateway,
                index=sent_index,
                scope=scope,
                servers=[
                    {"id": s["id"], "state": s["state"], "started": s.get("started_unix_ms", 0.0)} for s in servers
                ],
            )
        await writer.drain()
        return True


async def run(port: int, lag_ms: float, trace: Path | None) -> None:
    """Run one feed until the process is stopped."""
    await FeedServer(Trace(trace), port, lag_ms).run()
