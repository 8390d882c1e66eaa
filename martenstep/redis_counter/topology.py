"""Who the store's nodes are: one, the primary that sentinels tell of, or a cluster's by hash slot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from redis.asyncio.connection import Connection, SSLConnection
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import RedisError

from martenstep.backoff import Backoff
from martenstep.config import door_pb2 as pb
from martenstep.redis_counter.slots import SLOTS

QUERY_TIMEOUT_MS = 500.0  # a node is asked who the nodes are for so long, then the next
AGAIN_LEAST_MS, AGAIN_MOST_MS = 50.0, 1000.0  # between attempts to hear of a new primary
CONNECTION_ERRORS = (RedisError, OSError, TimeoutError)


class TopologyError(Exception):
    """Nobody told who the nodes are."""


def read_first_line(file: str) -> str | None:
    """A password from its file; None where no file is named."""
    return Path(file).read_text(encoding="utf-8").split("\n", 1)[0].strip() if file else None


class NodeDirectory:
    """Makes connections, and finds out who the nodes are."""

    def __init__(self, store: pb.Store) -> None:
        self._store = store
        self._password = read_first_line(store.password_file)
        self._sentinel_password = read_first_line(store.sentinel_password_file)
        self._seeds = [f"{node.host}:{node.port}" for node in store.node]

    def connection(self, node: str, sentinel: bool = False) -> Connection:
        """One connection, not opened yet.  The library's own retries are off: it would send a plain add twice."""
        host, _, port = node.rpartition(":")
        words: dict[str, Any] = {
            "host": host,
            "port": int(port),
            "retry": Retry(NoBackoff(), 0),
            "decode_responses": True,
            "driver_info": None,
            "protocol": 2,
            "socket_timeout": None,
            "socket_connect_timeout": None,
        }
        if sentinel:
            words["password"] = self._sentinel_password
        else:
            words |= {"db": self._store.database, "username": self._store.user or None, "password": self._password}
        if not self._store.HasField("tls"):
            return Connection(**words)
        tls = self._store.tls
        return SSLConnection(
            ssl_ca_certs=tls.ca or None, ssl_certfile=tls.certificate or None, ssl_keyfile=tls.key or None, **words
        )

    async def query(self, known: list[str]) -> list[str]:
        """Node by slot, or one node for all; raises TopologyError."""
        if self._store.topology == pb.Store.ALONE:
            return [f"{self._store.host}:{self._store.port}"]
        errors = []
        cluster = self._store.topology == pb.Store.CLUSTER
        for node in dict.fromkeys([*known, *self._seeds] if cluster else self._seeds):
            connection = self.connection(node, sentinel=not cluster)
            try:
                async with asyncio.timeout(QUERY_TIMEOUT_MS / 1000):
                    return await (self._slots(connection, node) if cluster else self._primary(connection))
            except (*CONNECTION_ERRORS, TopologyError, ValueError, IndexError, TypeError) as error:
                errors.append(f"{node}: {type(error).__name__}: {error}")
            finally:
                await close(connection)
        raise TopologyError("; ".join(errors))

    async def _primary(self, connection: Connection) -> list[str]:
        await connection.connect()  # type: ignore[no-untyped-call]
        await connection.send_command("SENTINEL", "GET-MASTER-ADDR-BY-NAME", self._store.primary_name)
        found = await connection.read_response()
        if not found:
            raise TopologyError(f"no primary of the name {self._store.primary_name!r}")
        # A sentinel that lags names the old one.  Asked here, it says itself what it is now.
        node = f"{found[0]}:{found[1]}"
        primary = self.connection(node)
        try:
            await primary.connect()  # type: ignore[no-untyped-call]
            await primary.send_command("ROLE")
            role = await primary.read_response()
        finally:
            await close(primary)
        if role[0] != "master":
            raise TopologyError(f"{node} is no primary now")
        return [node]

    @staticmethod
    async def _slots(connection: Connection, asked: str) -> list[str]:
        await connection.connect()  # type: ignore[no-untyped-call]
        await connection.send_command("CLUSTER", "SLOTS")
        slots = [""] * SLOTS
        for first, last, primary, *_ in await connection.read_response():
            node = f"{primary[0] or asked.rpartition(':')[0]}:{primary[1]}"
            slots[int(first) : int(last) + 1] = [node] * (int(last) + 1 - int(first))
        if not all(slots):
            raise TopologyError(f"{slots.count('')} slots are nobody's")
        return slots

    async def watch(self, changed: Callable[[], None]) -> None:
        """Listen to the sentinels for good; `changed` at each new primary, and after a time without hearing."""
        backoff, turn = Backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS), 0
        while True:
            connection = self.connection(self._seeds[turn % len(self._seeds)], sentinel=True)
            turn += 1
            with suppress(*CONNECTION_ERRORS):
                await connection.connect()  # type: ignore[no-untyped-call]
                await connection.send_command("SUBSCRIBE", "+switch-master")
                await connection.read_response()
                backoff.succeeded()
                while True:
                    told = await connection.read_response()
                    if str(told[-1]).split(" ")[0] == self._store.primary_name:
                        changed()
            await close(connection)
            await asyncio.sleep(backoff.failed() / 1000)
            changed()


async def close(connection: Connection) -> None:
    """Close it now, whatever state it is in."""
    with suppress(*CONNECTION_ERRORS):
        await connection.disconnect(nowait=True)
