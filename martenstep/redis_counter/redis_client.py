"""The counter over Redis: binds the core's decisions to sockets, timers and the client library.

The replies on a connection are read in the order of its commands.  A connection that is given up is closed and not read
again, so that a late reply cannot be taken for the reply to another call.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Any

from redis.asyncio.connection import Connection
from redis.exceptions import ResponseError

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog
from martenstep.policy.messages import CallResult
from martenstep.redis_counter import script
from martenstep.redis_counter.core import Core
from martenstep.redis_counter.messages import (
    AddCall,
    AnswerCall,
    CloseConnection,
    ConnectionId,
    CoreOptions,
    LogEvent,
    OpenConnection,
    Operation,
    QueryTopology,
    StatementReply,
    StoreError,
    WriteOperations,
)
from martenstep.redis_counter.topology import CONNECTION_ERRORS, NodeDirectory, TopologyError, close

CONNECT_TIMEOUTS = 5.0  # time limit for opening a connection, in multiples of a call's timeout
TOPOLOGY_RETRY_INTERVAL_MS = 50.0
FLUSH_TIMEOUT_MS = 500.0  # limit on settling at a stop; statements that are not settled by then are abandoned
FLUSH_POLL_INTERVAL_S = 0.002
TRANSACTION_COMMANDS = 3  # MULTI and the two commands that are queued for EXEC; each has a reply of its own

# Arguments: call, result, total, and the milliseconds for which the node is proved to have lost nothing.
Answer = Callable[[int, CallResult, float, float], None]


def now_ms() -> float:
    """Return the time of a monotonic clock."""
    return time.monotonic() * 1000.0


def build_store_error(error: Exception) -> StoreError:
    """Return the store's error with its code in front, which the library removes from the text."""
    code = getattr(error, "status_code", None)
    return StoreError(f"{code} {error}" if code and not str(error).startswith(code) else str(error))


class _Link:
    """One connection of the core, and the writes that are queued for it."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.writes: asyncio.Queue[WriteOperations] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None


class RedisCounter:
    """The calls of one gateway to its shared store."""

    def __init__(
        self, store: pb.Store, answer: Answer, gateway: str = "door", log_event: EventLog | None = None
    ) -> None:
        """`answer` is called once for each call, within the timeout."""
        self._store = store
        self._answer = answer
        self._log_event: EventLog = log_event or (lambda event, fields: None)
        self._directory = NodeDirectory(store)
        # Each start uses a new epoch name: the sums in an earlier epoch's registers are not known any more.
        self._epoch_name = f"{gateway}:{time.time_ns():x}{random.SystemRandom().getrandbits(16):04x}"
        self.core = Core(
            CoreOptions(
                timeout_ms=store.timeout_ms,
                connections_per_node=store.connections,
                max_pending=store.waiting,
                gather_ms=store.gather_ms,
                key_prefix=store.prefix,
                scripts=store.scripts,
                dynamic_topology=store.topology != pb.Store.ALONE,
            ),
            random.Random(),
        )
        self._links: dict[ConnectionId, _Link] = {}
        self._known_nodes: list[str] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at_ms = math.inf
        self._topology_query: asyncio.Task[None] | None = None
        self._topology_watch: asyncio.Task[None] | None = None
        self._stopped = False

    def start(self) -> None:
        """Query the topology; connections are opened when they are first needed."""
        if self._store.topology == pb.Store.ALONE:
            self.core.set_topology(now_ms(), [f"{self._store.host}:{self._store.port}"])
        else:
            self._query_topology()
        if self._store.topology == pb.Store.SENTINEL:
            self._topology_watch = asyncio.create_task(self._directory.watch(self._query_topology))

    def add(self, call: int, key: int, units: float, ttl_ms: float, bounds_ceiling: bool = False) -> None:
        """Request one add; `answer` is called once for it, within the timeout."""
        self.core.add(now_ms(), AddCall(call, key, units, ttl_ms, bounds_ceiling))
        self._perform_actions()

    async def stop(self) -> None:
        """Wait, within a limit, until all statements are settled, and stop."""
        deadline_ms = now_ms() + FLUSH_TIMEOUT_MS
        while not self.core.settled and now_ms() < deadline_ms:
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        link_tasks = [link.task for link in self._links.values()]
        tasks = [task for task in (self._topology_query, self._topology_watch, *link_tasks) if task is not None]
        self._links.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # The core's actions

    def _perform_actions(self) -> None:
        for action in self.core.take_actions():
            match action:
                case AnswerCall():
                    self._answer(action.call, action.result, action.total, action.retained_ms)
                case WriteOperations():
                    self._links[action.connection].writes.put_nowait(action)
                case OpenConnection():
                    self._open(action.connection)
                case CloseConnection():
                    self._close(action.connection)
                case QueryTopology():
                    self._query_topology()
                case LogEvent():
                    self._log_event(action.event, action.fields)
        self._set_timer()

    def _open(self, connection_id: ConnectionId) -> None:
        link = self._links[connection_id] = _Link(self._directory.connection(connection_id.node))
        link.task = asyncio.create_task(self._serve(connection_id, link))

    def _close(self, connection_id: ConnectionId) -> None:
        link = self._links.pop(connection_id, None)
        if link is not None and link.task is not None and link.task is not asyncio.current_task():
            link.task.cancel()

    def _set_timer(self) -> None:
        now = now_ms()
        due_ms = self.core.next_timer_ms(now)
        if self._timer is not None:
            if self._timer_at_ms <= due_ms:
                return  # a timer that fires early is harmless; otherwise each reply would replace the timer
            self._timer.cancel()
            self._timer = None
        if due_ms < math.inf and not self._stopped:
            self._timer_at_ms = due_ms
            self._timer = asyncio.get_running_loop().call_later(max(due_ms - now, 0.0) / 1000, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.core.on_timer(now_ms())
        self._perform_actions()

    def _query_topology(self) -> None:
        if self._topology_query is None or self._topology_query.done():
            self._topology_query = asyncio.create_task(self._query_topology_until_known())

    async def _query_topology_until_known(self) -> None:
        while True:
            try:
                slots = await self._directory.query(self._known_nodes)
            except TopologyError as error:
                self._log_event("store nodes unknown", {"error": str(error)})
                await asyncio.sleep(TOPOLOGY_RETRY_INTERVAL_MS / 1000)
                continue
            break
        self._known_nodes = list(dict.fromkeys(slots))
        self.core.set_topology(now_ms(), slots)
        self._perform_actions()

    # One connection

    async def _serve(self, connection_id: ConnectionId, link: _Link) -> None:
        """Open a connection, and exchange writes and replies until it breaks or the core gives it up."""
        try:
            try:
                async with asyncio.timeout(self._store.timeout_ms * CONNECT_TIMEOUTS / 1000):
                    await link.connection.connect()  # type: ignore[no-untyped-call]
            except CONNECTION_ERRORS as error:
                if self._remove_link(connection_id, link):
                    self.core.on_connect_failed(now_ms(), connection_id, f"{type(error).__name__}: {error}")
                    self._perform_actions()
                return
            self.core.on_opened(now_ms(), connection_id)
            self._perform_actions()
            try:
                while self._links.get(connection_id) is link:
                    await self._exchange(connection_id, link, await link.writes.get())
            except CONNECTION_ERRORS as error:
                if self._remove_link(connection_id, link):
                    self.core.on_connection_lost(now_ms(), connection_id, f"{type(error).__name__}: {error}")
                    self._perform_actions()
        finally:
            await close(link.connection)

    def _remove_link(self, connection_id: ConnectionId, link: _Link) -> bool:
        """Remove a link that ended; returns False if the core has given it up already."""
        if self._links.get(connection_id) is not link:
            return False
        del self._links[connection_id]
        return True

    async def _exchange(self, connection_id: ConnectionId, link: _Link, write: WriteOperations) -> None:
        connection = link.connection
        commands: list[tuple[Any, ...]] = [("SCRIPT", "LOAD", script.LUA)] if write.load_script else []
        for operation in write.operations:
            commands += self._commands(operation, write.plain)
        await connection.send_packed_command(connection.pack_commands(commands), check_health=False)
        if write.load_script:
            await self._read_reply(connection)  # an error here is ignored: the first statement returns an error as well
        for operation in write.operations:
            reply = await self._read_operation(connection, operation, write.plain)
            if self._links.get(connection_id) is not link:
                return
            self.core.on_reply(now_ms(), connection_id, reply)
            self._perform_actions()

    def _commands(self, operation: Operation, plain: bool) -> list[tuple[Any, ...]]:
        key = self.core.store_key(operation.key)
        ttl_ms = str(operation.ttl_ms)
        asking: list[tuple[Any, ...]] = [("ASKING",)] if operation.asking else []
        if plain:
            return [
                *asking,
                ("MULTI",),
                ("HINCRBYFLOAT", key, script.TOTAL, f"{operation.units:.9g}"),
                ("PEXPIRE", key, ttl_ms, "NX"),
                ("EXEC",),
            ]
        version = str(operation.version)
        total = f"{operation.total:.17g}"
        return [*asking, ("EVALSHA", script.DIGEST, "1", key, self._epoch_name, version, total, ttl_ms)]

    async def _read_operation(
        self, connection: Connection, operation: Operation, plain: bool
    ) -> StatementReply | StoreError:
        if operation.asking:
            await self._read_reply(connection)
        if not plain:
            reply = await self._read_reply(connection)
            return reply if isinstance(reply, StoreError) else StatementReply(float(reply[0]), int(reply[1]))
        queued = [await self._read_reply(connection) for _ in range(TRANSACTION_COMMANDS)]
        results = await self._read_reply(connection)
        error = next((reply for reply in (*queued, results) if isinstance(reply, StoreError)), None)
        if error is not None:
            return error
        if isinstance(results[0], Exception):
            return build_store_error(results[0])
        return StatementReply(float(results[0]), -1)

    @staticmethod
    async def _read_reply(connection: Connection) -> Any:  # noqa: ANN401  the type depends on the command
        """Read one reply; an error reply is returned as a StoreError."""
        try:
            return await connection.read_response()
        except ResponseError as error:
            return build_store_error(error)
