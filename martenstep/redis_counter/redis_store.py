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
    Close,
    Core,
    Fault,
    Held,
    Lane,
    Learn,
    LogEvent,
    Op,
    Open,
    Options,
    Told,
    Write,
)
from martenstep.redis_counter.topology import ERRORS, Nodes, TopologyError, close

CONNECT_TIMES = 5.0  # a connection may take so many time-outs of a call
LEARN_AGAIN_MS = 50.0  # after nobody told who the nodes are
FLUSH_MS = 500.0  # at a stop: what is not settled by then is left

Answer = Callable[[int, CallResult, float, float], None]  # call, verdict, total, ms for which nothing was lost
Tell = Callable[[str, dict[str, object]], None]


def now_ms() -> float:
    """A clock that only goes on."""
    return time.monotonic() * 1000.0


def fault_of(error: Exception) -> Fault:
    """What the store said, its code first, which the library takes off."""
    code = getattr(error, "status_code", None)
    return Fault(f"{code} {error}" if code and not str(error).startswith(code) else str(error))


class _Link:
    """One lane's connection."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.writes: asyncio.Queue[Write] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None


class RedisStore:
    """The calls of one door to its shared store."""

    def __init__(self, store: pb.Store, answer: Answer, door: str = "door", log_event: Tell | None = None) -> None:
        self._store, self._answer = store, answer
        self._log_event: EventLog = log_event or (lambda what, fields: None)
        self._nodes = Nodes(store)
        # Another life's register is never gone on with: its sums are not known any more.
        self._door = f"{door}:{time.time_ns():x}{random.SystemRandom().getrandbits(16):04x}"
        many = store.topology != pb.Store.ALONE
        self.core = Core(
            Options(
                timeout_ms=store.timeout_ms,
                lanes=store.connections,
                waiting=store.waiting,
                gather_ms=store.gather_ms,
                prefix=store.prefix,
                scripts=store.scripts,
                topology=many,
            ),
            random.Random(),
        )
        self._links: dict[Lane, _Link] = {}
        self._known: list[str] = []
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._learning: asyncio.Task[None] | None = None
        self._hearing: asyncio.Task[None] | None = None
        self._stopped = False

    def start(self) -> None:
        """Connections are made when they are first needed."""
        if self._store.topology == pb.Store.ALONE:
            self.core.topology(now_ms(), [f"{self._store.host}:{self._store.port}"])
        else:
            self._learn()
        if self._store.topology == pb.Store.SENTINEL:
            self._hearing = asyncio.create_task(self._nodes.heard(self._learn))

    def add(self, number: int, name: int, units: float, expire_ms: float, proof: bool = False) -> None:
        """Ask for one add; `answer` is called once for it, within the time-out."""
        self.core.add(now_ms(), number, name, units, expire_ms, proof)
        self._act()

    async def stop(self) -> None:
        """Bring the store what it has not got yet, within a bound, and leave."""
        until = now_ms() + FLUSH_MS
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
        for action in self.core.take():
            match action:
                case Told():
                    self._answer(action.call, action.verdict, action.total, action.kept_ms)
                case Write():
                    self._links[action.lane].writes.put_nowait(action)
                case Open():
                    link = self._links[action.lane] = _Link(self._nodes.connection(action.lane.node))
                    link.task = asyncio.create_task(self._serve(action.lane, link))
                case Close():
                    gone = self._links.pop(action.lane, None)
                    if gone is not None and gone.task is not None and gone.task is not asyncio.current_task():
                        gone.task.cancel()
                case Learn():
                    self._learn()
                case LogEvent():
                    self._log_event(action.what, action.fields)
        self._set_timer()

    def _set_timer(self) -> None:
        now = now_ms()
        at = self.core.next_at(now)
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
        self.core.wake(now_ms())
        self._act()

    def _learn(self) -> None:
        if self._learning is None or self._learning.done():
            self._learning = asyncio.create_task(self._learned())

    async def _learned(self) -> None:
        while True:
            try:
                slots = await self._nodes.ask(self._known)
            except TopologyError as error:
                self._log_event("store nodes unknown", {"error": str(error)})
                await asyncio.sleep(LEARN_AGAIN_MS / 1000)
                continue
            break
        self._known = list(dict.fromkeys(slots))
        self.core.topology(now_ms(), slots)
        self._act()

    # One connection -----------------------------------------------------------------------------------------

    async def _serve(self, lane: Lane, link: _Link) -> None:
        """Open it, and send and read until it ends or is given up."""
        connection = link.connection
        try:
            try:
                async with asyncio.timeout(self._store.timeout_ms * CONNECT_TIMES / 1000):
                    await connection.connect()  # type: ignore[no-untyped-call]
            except ERRORS as error:
                if self._links.get(lane) is link:
                    del self._links[lane]
                    self.core.refused(now_ms(), lane, f"{type(error).__name__}: {error}")
                    self._act()
                return
            self.core.opened(now_ms(), lane)
            self._act()
            try:
                while self._links.get(lane) is link:
                    await self._exchange(lane, link, await link.writes.get())
            except ERRORS as error:
                if self._links.get(lane) is link:
                    del self._links[lane]
                    self.core.lost(now_ms(), lane, f"{type(error).__name__}: {error}")
                    self._act()
        finally:
            await close(connection)

    async def _exchange(self, lane: Lane, link: _Link, write: Write) -> None:
        connection = link.connection
        commands: list[tuple[Any, ...]] = [("SCRIPT", "LOAD", script.LUA)] if write.load else []
        for op in write.ops:
            commands += self._commands(op, write.plain)
        await connection.send_packed_command(connection.pack_commands(commands), check_health=False)
        if write.load:
            await self._reply(connection)  # a store that turns it down says so again at the first statement
        for op in write.ops:
            result = await self._result(connection, op, write.plain)
            if self._links.get(lane) is not link:
                return
            self.core.replied(now_ms(), lane, result)
            self._act()

    def _commands(self, op: Op, plain: bool) -> list[tuple[Any, ...]]:
        key = self.core.key(op.name)
        first: list[tuple[Any, ...]] = [("ASKING",)] if op.asking else []
        if plain:
            return [
                *first,
                ("MULTI",),
                ("HINCRBYFLOAT", key, script.TOTAL, f"{op.units:.9g}"),
                ("PEXPIRE", key, str(op.life_ms), "NX"),
                ("EXEC",),
            ]
        return [
            *first,
            ("EVALSHA", script.DIGEST, "1", key, self._door, str(op.version), f"{op.total:.17g}", str(op.life_ms)),
        ]

    async def _result(self, connection: Connection, op: Op, plain: bool) -> Held | Fault:
        if op.asking:
            await self._reply(connection)
        if not plain:
            reply = await self._reply(connection)
            return reply if isinstance(reply, Fault) else Held(float(reply[0]), int(reply[1]))
        queued = [await self._reply(connection) for _ in range(3)]
        done = await self._reply(connection)
        fault = next((reply for reply in (*queued, done) if isinstance(reply, Fault)), None)
        if fault is not None:
            return fault
        if isinstance(done[0], Exception):
            return fault_of(done[0])
        return Held(float(done[0]), -1)

    @staticmethod
    async def _reply(connection: Connection) -> Any:
        """One reply; an error that the store answered with is a Fault."""
        try:
            return await connection.read_response()
        except ResponseError as error:
            return fault_of(error)
