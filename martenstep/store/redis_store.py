"""Adds over Redis: `INCRBYFLOAT` and `PEXPIRE ... NX` in one MULTI/EXEC.

An add is not idempotent, so nothing here is ever sent twice: the client library's own retries are off, and a
connection whose answers are late is closed, never read again, so that a late answer cannot be taken for another
call's.  Calls for one name keep to one lane, so that their answers come in the order of the calls.  Calls that
come in while a lane waits go out together in its next write.

| what happened | verdict | was it added |
| --- | --- | --- |
| the total came back | OK | yes |
| a lane's queue is full, or the call's time ended before it was written | FULL | no |
| no connection, or it was refused | CONNECT_FAILED | no |
| Redis turned the command down | FULL | no |
| written, and no answer in time, or the connection broke | TIMEOUT | it may have been |
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from redis.asyncio.connection import Connection
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff
from redis.exceptions import RedisError, ResponseError

from martenstep.config import door_pb2 as pb
from martenstep.interface import Verdict

BATCH = 64  # adds in one write at most: more would make the last wait for the first
AGAIN_MS = 20.0  # a lane that got no connection tries no sooner than this

Answer = Callable[[int, Verdict, float], None]


@dataclass(slots=True)
class _Call:
    number: int
    name: int
    units: float
    expire_ms: float
    until: float  # monotonic seconds


class Lane:
    """One connection and the calls that go over it."""

    def __init__(self, store: pb.Store, answer: Answer) -> None:
        self._store, self._answer = store, answer
        self._waiting: deque[_Call] = deque()
        self._wake = asyncio.Event()
        self._connection: Connection | None = None
        self._refused = 0.0  # when a connection was last not to be had

    def add(self, call: _Call) -> None:
        """Queue one add, or turn it away."""
        if len(self._waiting) >= self._store.waiting:
            self._answer(call.number, Verdict.FULL, 0.0)
            return
        self._waiting.append(call)
        self._wake.set()

    async def run(self) -> None:
        """Serve the queue until cancelled."""
        try:
            while True:
                if not self._waiting:
                    self._wake.clear()
                    await self._wake.wait()
                await self._round()
        finally:
            await self._drop()

    async def _round(self) -> None:
        """One write and its answers."""
        now = time.monotonic()
        while self._waiting and self._waiting[0].until <= now:
            self._answer(self._waiting.popleft().number, Verdict.FULL, 0.0)
        if not self._waiting:
            return
        connection = await self._connect(self._waiting[0].until)
        if connection is None:
            # What waits has not been written: it may go out yet if its time allows, else it was not added.
            now = time.monotonic()
            failed, self._waiting = self._waiting, deque()
            for call in failed:
                self._answer(call.number, Verdict.CONNECT_FAILED, 0.0)
            return
        batch = [self._waiting.popleft() for _ in range(min(len(self._waiting), BATCH))]
        left = deque(batch)
        try:
            async with asyncio.timeout(max(min(call.until for call in batch) - time.monotonic(), 0.0)):
                await connection.send_packed_command(self._packed(connection, batch), check_health=False)
                for call in batch:
                    verdict, total = await self._read(connection)
                    left.popleft()
                    self._answer(call.number, verdict, total)
        except (TimeoutError, RedisError, OSError):
            await self._drop()
            for call in left:
                self._answer(call.number, Verdict.TIMEOUT, 0.0)
        except asyncio.CancelledError:
            for call in left:
                self._answer(call.number, Verdict.TIMEOUT, 0.0)
            raise

    def _packed(self, connection: Connection, batch: list[_Call]) -> list[bytes]:
        commands: list[tuple[str, ...]] = []
        for call in batch:
            key = f"{self._store.prefix}{call.name:x}"
            commands += [
                ("MULTI",),
                ("INCRBYFLOAT", key, f"{call.units:.9g}"),
                ("PEXPIRE", key, str(max(round(call.expire_ms), 1)), "NX"),
                ("EXEC",),
            ]
        packed: list[bytes] = connection.pack_commands(commands)
        return packed

    async def _read(self, connection: Connection) -> tuple[Verdict, float]:
        """The four answers of one add; a command that Redis turns down fails the whole of it."""
        refused = False
        for _ in range(3):
            try:
                await connection.read_response()
            except ResponseError:
                refused = True
        try:
            results = await connection.read_response()
        except ResponseError:
            return Verdict.FULL, 0.0
        if refused or not isinstance(results, list) or isinstance(results[0], Exception):
            return Verdict.FULL, 0.0
        return Verdict.OK, float(results[0])

    async def _connect(self, until: float) -> Connection | None:
        if self._connection is not None:
            if self._connection.is_connected:
                return self._connection
            await self._drop()
        pause = self._refused + AGAIN_MS / 1000 - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        fresh = Connection(host=self._store.host, port=self._store.port, db=self._store.database,
                           retry=Retry(NoBackoff(), 0), decode_responses=True, driver_info=None)
        try:
            async with asyncio.timeout(max(until - time.monotonic(), 0.0)):
                await fresh.connect()  # type: ignore[no-untyped-call]
        except (TimeoutError, RedisError, OSError):
            self._refused = time.monotonic()
            await self._close(fresh)
            return None
        self._connection = fresh
        return fresh

    async def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            await self._close(connection)

    @staticmethod
    async def _close(connection: Connection) -> None:
        with suppress(RedisError, OSError, TimeoutError):
            await connection.disconnect(nowait=True)


class RedisStore:
    """All lanes to one Redis."""

    def __init__(self, store: pb.Store, answer: Answer) -> None:
        self._store = store
        self._lanes = [Lane(store, answer) for _ in range(store.connections)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the lanes; connections are made when they are first needed."""
        self._tasks = [asyncio.create_task(lane.run()) for lane in self._lanes]

    def add(self, number: int, name: int, units: float, expire_ms: float) -> None:
        """Ask for one add; `answer` is called once for it, within the time-out."""
        until = time.monotonic() + self._store.timeout_ms / 1000
        self._lanes[name % len(self._lanes)].add(_Call(number, name, units, expire_ms, until))

    async def stop(self) -> None:
        """End the lanes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
