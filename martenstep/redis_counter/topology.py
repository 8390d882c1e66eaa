"""Finds the store's nodes: a single one, the primary that sentinels name, or those of a cluster by hash slot."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from redis.asyncio.connection import Connection, SSLConnection
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import RedisError

from martenstep.backoff import Backoff
from martenstep.config import door_pb2 as pb
from martenstep.redis_counter.slots import SLOTS

QUERY_TIMEOUT_MS = 500.0  # for one node; the next node is queried after it
MIN_WATCH_RETRY_MS = 50.0  # backoff between subscriptions to the sentinels
MAX_WATCH_RETRY_MS = 1000.0
CONNECTION_ERRORS = (RedisError, OSError, TimeoutError)


class RedisCounterError(Exception):
    """Base of the errors that this package raises."""


class TopologyError(RedisCounterError):
    """The topology could not be determined."""


def read_first_line(file: str) -> str | None:
    """Read the first line of a password file; None if no file is named."""
    return Path(file).read_text(encoding="utf-8").split("\n", 1)[0].strip() if file else None


async def close(connection: Connection) -> None:
    """Close a connection at once, in any state."""
    with suppress(*CONNECTION_ERRORS):
        await connection.disconnect(nowait=True)


@asynccontextmanager
async def _closing(connection: Connection) -> AsyncIterator[Connection]:
    """Close a connection at the end of the block, also after an error or a cancellation."""
    try:
        yield connection
    finally:
        await close(connection)


class NodeDirectory:
    """Creates connections, and queries the topology."""

    def __init__(self, store: pb.Store) -> None:
        """Read the passwords; raises OSError if a file cannot be read."""
        self._store = store
        self._password = read_first_line(store.password_file)
        self._sentinel_password = read_first_line(store.sentinel_password_file)
        self._seeds = [f"{node.host}:{node.port}" for node in store.node]

    def connection(self, node: str, sentinel: bool = False) -> Connection:
        """Create one connection, without opening it.

        The library's own retries are disabled, since they would send a plain add twice.
        """
        host, _, port = node.rpartition(":")
        arguments: dict[str, Any] = {
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
            arguments["password"] = self._sentinel_password
        else:
            arguments["db"] = self._store.database
            arguments["username"] = self._store.user or None
            arguments["password"] = self._password
        if not self._store.HasField("tls"):
            return Connection(**arguments)
        tls = self._store.tls
        return SSLConnection(
            ssl_ca_certs=tls.ca or None,
            ssl_certfile=tls.certificate or None,
            ssl_keyfile=tls.key or None,
            **arguments,
        )

    async def query(self, known_nodes: list[str]) -> list[str]:
        """Return the node of each slot, or one node for all keys; raises TopologyError."""
        if self._store.topology == pb.Store.ALONE:
            return [f"{self._store.host}:{self._store.port}"]
        errors = []
        cluster = self._store.topology == pb.Store.CLUSTER
        for node in dict.fromkeys([*known_nodes, *self._seeds] if cluster else self._seeds):
            connection = self.connection(node, sentinel=not cluster)
            try:
                async with _closing(connection), asyncio.timeout(QUERY_TIMEOUT_MS / 1000):
                    if cluster:
                        return await self._query_slots(connection, node)
                    return await self._query_primary(connection)
            except (*CONNECTION_ERRORS, TopologyError, ValueError, IndexError, TypeError) as error:
                errors.append(f"{node}: {type(error).__name__}: {error}")
        raise TopologyError("; ".join(errors))

    async def _query_primary(self, connection: Connection) -> list[str]:
        await connection.connect()  # type: ignore[no-untyped-call]
        await connection.send_command("SENTINEL", "GET-MASTER-ADDR-BY-NAME", self._store.primary_name)
        address = await connection.read_response()
        if not address:
            raise TopologyError(f"the sentinel has no primary named {self._store.primary_name!r}")
        # A sentinel that lags may name the old primary, so the node itself is queried for its role.
        node = f"{address[0]}:{address[1]}"
        async with _closing(self.connection(node)) as primary:
            await primary.connect()  # type: ignore[no-untyped-call]
            await primary.send_command("ROLE")
            role = await primary.read_response()
        if role[0] != "master":
            raise TopologyError(f"{node} was named as the primary, but reports the role {role[0]!r}")
        return [node]

    @staticmethod
    async def _query_slots(connection: Connection, queried_node: str) -> list[str]:
        await connection.connect()  # type: ignore[no-untyped-call]
        await connection.send_command("CLUSTER", "SLOTS")
        slots = [""] * SLOTS
        for first, last, primary, *_ in await connection.read_response():
            node = f"{primary[0] or queried_node.rpartition(':')[0]}:{primary[1]}"
            slots[int(first) : int(last) + 1] = [node] * (int(last) + 1 - int(first))
        if not all(slots):
            raise TopologyError(f"CLUSTER SLOTS names no node for {slots.count('')} of {SLOTS} slots")
        return slots

    async def watch(self, on_change: Callable[[], None]) -> None:
        """Stay subscribed to a sentinel; calls `on_change` at each new primary, and before each new subscription."""
        backoff = Backoff(MIN_WATCH_RETRY_MS, MAX_WATCH_RETRY_MS)
        turn = 0
        while True:
            connection = self.connection(self._seeds[turn % len(self._seeds)], sentinel=True)
            turn += 1
            with suppress(*CONNECTION_ERRORS):
                await self._watch_connection(connection, backoff, on_change)
            await close(connection)
            await asyncio.sleep(backoff.failed() / 1000)
            on_change()

    async def _watch_connection(self, connection: Connection, backoff: Backoff, on_change: Callable[[], None]) -> None:
        await connection.connect()  # type: ignore[no-untyped-call]
        await connection.send_command("SUBSCRIBE", "+switch-master")
        await connection.read_response()
        backoff.succeeded()
        while True:
            message = await connection.read_response()
            if str(message[-1]).split(" ")[0] == self._store.primary_name:
                on_change()
