"""The counter port over Redis: binds the core's decisions to sockets, timers and the client library.

A connection's answers are read in the order of its commands; one that is given up is closed and never read again, so
that a late answer cannot be taken for another call's.
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
from martenstep.redis_counter.core import (
    AnswerCall,
    CloseConnection,
    ConnectionId,
    Core,
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

CONNECT_TIMEOUTS = 5.0  # a connection may take so many time-outs of a call
TOPOLOGY_RETRY_INTERVAL_MS = 50.0  # after nobody told who the nodes are
FLUSH_TIMEOUT_MS = 500.0  # at a stop: what is not settled by then is left

Answer = Callable[[int, CallResult, float, float], None]  # call, verdict, total, ms for which nothing was lost
Tell = Callable[[str, dict[str, object]], None]


def now_ms() -> float:
    """A clock that only goes on."""
    return time.monotonic() * 1000.0


def build_store_error(error: Exception) -> StoreError:
    """What the store said, its code first, which the library takes off."""
    code = getattr(error, "status_code", None)
    return StoreError(f"{code} {error}" if code and not str(error).startswith(code) else str(error))


class _Link:
    """One lane's connection."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.writes: asyncio.Queue[WriteOperations] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None


class RedisCounter:
    """The calls of one door to its shared store."""

    def __init__(self, store: pb.Store, answer: Answer, door: str = "door", log_event: Tell | None = None) -> None:
        self._store, self._answer = store, answer
        self._log_event: EventLog = log_event or (lambda what, fields: None)
        self._nodes = NodeDirectory(store)
        # Another life's register is never gone on with: its sums are not known any more.
        self._door = f"{door}:{time.time_ns():x}{random.SystemRandom().getrandbits(16):04x}"
        many = store.topology != pb.Store.ALONE
        self.core = Core(
            CoreOptions(
                timeout_ms=store.timeout_ms,
                connections_per_node=store.connections,
                max_pending=store.waiting,
                gather_ms=store.gather_ms,
                key_prefix=store.prefix,
                scripts=store.scripts,
                dynamic_topology=many,
            ),
            random.Random(),
        )
        self._links: dict[ConnectionId, _Link] = {}
        self._known: list[str] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._learning: asyncio.Task[None] | None = None
        self._hearing: asyncio.Task[None] | None = None
        self._stopped = False

    def start(self) -> None:
        """Connections are made when they are first needed."""
        if self._store.topology == pb.Store.ALONE:
            self.core.set_topology(now_ms(), [f"{self._store.host}:{self._store.port}"])
        else:
            self._learn()
        if self._store.topology == pb.Store.SENTINEL:
            self._hearing = asyncio.create_task(self._nodes.watch(self._learn))

    def add(self, number: int, name: int, units: float, expire_ms: float, proof: bool = False) -> None:
        """Ask for one add; `answer` is called once for it, within the time-out."""
        self.core.add(now_ms(), number, name, units, expire_ms, proof)
        self._act()

    async def stop(self) -> None:
        """Bring the store what it has not got yet, within a bound, and leave."""
        until = now_ms() + FLUSH_TIMEOUT_MS
        while not self.core.settled and now_ms() < until:
            await asyncio.sleep(0.002)
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        tasks = [
            task
            for task in (self._learning, self._hearing, *(link.task for link in self._links.values()))
            if task is not None
        ]
        self._links.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # What the core wants ----------------------------------------------------------------------------------

    def _act(self) -> None:
        for action in self.core.take_actions():
            match action:
                case AnswerCall():
                    self._answer(action.call, action.result, action.total, action.retained_ms)
                case WriteOperations():
                    self._links[action.connection].writes.put_nowait(action)
                case OpenConnection():
                    link = self._links[action.connection] = _Link(self._nodes.connection(action.connection.node))
                    link.task = asyncio.create_task(self._serve(action.connection, link))
                case CloseConnection():
                    gone = self._links.pop(action.connection, None)
                    if gone is not None and gone.task is not None and gone.task is not asyncio.current_task():
                        gone.task.cancel()
                case QueryTopology():
                    self._learn()
                case LogEvent():
                    self._log_event(action.event, action.fields)
        self._set_timer()

    def _set_timer(self) -> None:
        now = now_ms()
        at = self.core.next_timer_ms(now)
        if self._timer is not None:
            if self._timer_at <= at:
                return  # a wake that comes early does no harm, and each answer would make a timer anew
            self._timer.cancel()
            self._timer = None
        if at < math.inf and not self._stopped:
            self._timer_at = at
            self._timer = asyncio.get_running_loop().call_later(max(at - now, 0.0) / 1000, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.core.on_timer(now_ms())
        self._act()

    def _learn(self) -> None:
        if self._learning is None or self._learning.done():
            self._learning = asyncio.create_task(self._learned())

    async def _learned(self) -> None:
        while True:
            try:
                slots = await self._nodes.query(self._known)
            except TopologyError as error:
                self._log_event("store nodes unknown", {"error": str(error)})
                await asyncio.sleep(TOPOLOGY_RETRY_INTERVAL_MS / 1000)
                continue
            break
        self._known = list(dict.fromkeys(slots))
        self.core.set_topology(now_ms(), slots)
        self._act()

    # One connection -----------------------------------------------------------------------------------------

    async def _serve(self, lane: ConnectionId, link: _Link) -> None:
        """Open it, and send and read until it ends or is given up."""
        connection = link.connection
        try:
            try:
                async with asyncio.timeout(self._store.timeout_ms * CONNECT_TIMEOUTS / 1000):
                    await connection.connect()  # type: ignore[no-untyped-call]
            except CONNECTION_ERRORS as error:
                if self._links.get(lane) is link:
                    del self._links[lane]
                    self.core.on_connect_failed(now_ms(), lane, f"{type(error).__name__}: {error}")
                    self._act()
                return
            self.core.on_opened(now_ms(), lane)
            self._act()
            try:
                while self._links.get(lane) is link:
                    await self._exchange(lane, link, await link.writes.get())
            except CONNECTION_ERRORS as error:
                if self._links.get(lane) is link:
                    del self._links[lane]
                    self.core.on_connection_lost(now_ms(), lane, f"{type(error).__name__}: {error}")
                    self._act()
        finally:
            await close(connection)

    async def _exchange(self, lane: ConnectionId, link: _Link, write: WriteOperations) -> None:
        connection = link.connection
        commands: list[tuple[Any, ...]] = [("SCRIPT", "LOAD", script.LUA)] if write.load_script else []
        for op in write.operations:
            commands += self._commands(op, write.plain)
        await connection.send_packed_command(connection.pack_commands(commands), check_health=False)
        if write.load_script:
            await self._reply(connection)  # a store that turns it down says so again at the first statement
        for op in write.operations:
            result = await self._result(connection, op, write.plain)
            if self._links.get(lane) is not link:
                return
            self.core.on_reply(now_ms(), lane, result)
            self._act()

    def _commands(self, op: Operation, plain: bool) -> list[tuple[Any, ...]]:
        key = self.core.store_key(op.key)
        first: list[tuple[Any, ...]] = [("ASKING",)] if op.asking else []
        if plain:
            return [
                *first,
                ("MULTI",),
                ("HINCRBYFLOAT", key, script.TOTAL, f"{op.units:.9g}"),
                ("PEXPIRE", key, str(op.ttl_ms), "NX"),
                ("EXEC",),
            ]
        return [
            *first,
            ("EVALSHA", script.DIGEST, "1", key, self._door, str(op.version), f"{op.total:.17g}", str(op.ttl_ms)),
        ]

    async def _result(self, connection: Connection, op: Operation, plain: bool) -> StatementReply | StoreError:
        if op.asking:
            await self._reply(connection)
        if not plain:
            reply = await self._reply(connection)
            return reply if isinstance(reply, StoreError) else StatementReply(float(reply[0]), int(reply[1]))
        queued = [await self._reply(connection) for _ in range(3)]
        done = await self._reply(connection)
        fault = next((reply for reply in (*queued, done) if isinstance(reply, StoreError)), None)
        if fault is not None:
            return fault
        if isinstance(done[0], Exception):
            return build_store_error(done[0])
        return StatementReply(float(done[0]), -1)

    @staticmethod
    async def _reply(connection: Connection) -> Any:
        """One reply; an error that the store answered with is a Fault."""
        try:
            return await connection.read_response()
        except ResponseError as error:
            return build_store_error(error)
