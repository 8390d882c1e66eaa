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

from martenstep.standins.base import HttpStandIn, Trace, now_ms, response

KEPT_CHANGES = 64  # a poll from further back gets the whole list


class FeedServer(HttpStandIn):
    """The list, its changes, and the polls that wait for them."""

    ends_with = (*HttpStandIn.ends_with, ValueError)  # a poll that makes no sense

    def __init__(self, trace: Trace, port: int = 0, lag_ms: float = 0.0, seed: int = 1) -> None:
        super().__init__(trace, port)
        self._lag = lag_ms
        self._rng = random.Random(seed)
        self._servers: dict[int, dict[str, Any]] = {}
        self._index = 1
        self._changes: list[tuple[int, list[dict[str, Any]]]] = []
        self._news = asyncio.Event()
        self._stale = False
        self._partial = 0.0
        self._cut: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def _steered(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        """Besides what all take: `update` with changed entries, `stale`, `partial`, `cut` of doors."""
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
        elif do == "cut":
            self._cut = set(words["doors"])
            for door in self._cut:
                self._drop(door)
        elif do == "state":
            return {"index": self._index, "servers": len(self._servers)}
        else:
            return super()._steered(do, words)
        return None

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

    async def _answer(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body: int,
    ) -> bool:
        words = parse_qs(request.target.decode("latin-1").partition("?")[2])
        index, wait = int(words.get("index", ["0"])[0]), float(words.get("wait", ["0"])[0])
        door = self._writers[writer] = words.get("door", [""])[0]
        if door in self._cut:
            return False
        until = now_ms() + wait
        while (index and index == self._index) or self._stale:
            try:
                async with asyncio.timeout(max(until - now_ms(), 0.0) / 1000):
                    await self._news.wait()
            except TimeoutError:
                break
        if writer.transport.is_closing():
            return False  # dropped while it waited: nothing is told
        if index and self._stale:
            scope, servers, told = "changes", list[dict[str, Any]](), index
        else:
            (scope, servers), told = self._since(index), self._index
        text = json.dumps(
            {"index": told, "scope": scope, "now_unix_ms": time.time() * 1000, "servers": servers}
        ).encode()
        headers = [("content-type", "application/json"), ("x-index", str(told))]
        writer.write(b"".join(response(connection, 200, headers, text)))
        if servers or scope == "full":
            self._trace.write(
                "told",
                door=door,
                index=told,
                scope=scope,
                servers=[
                    {"id": s["id"], "state": s["state"], "started": s.get("started_unix_ms", 0.0)} for s in servers
                ],
            )
        await writer.drain()
        return True


async def run(port: int, lag_ms: float, trace: Path | None) -> None:
    """One feed until it is stopped."""
    await FeedServer(Trace(trace), port, lag_ms).run()
