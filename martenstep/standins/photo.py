"""A photo server: cores, a bounded queue, a slow start, and every kind of failure that the users have reported.

Work is time on a core.  A server that has just started does only a part of its usual work, and more as it warms up.
If it receives more than a configured multiple of what it can do at that moment, it crashes from overload and accepts
nothing until it is restarted.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import Any

import h11
import msgspec

from martenstep.standins.base import FakeHttpServer, Trace, now_ms, reset, response

MAX_REMEMBERED_KEYS = 100_000


class ClassWork(msgspec.Struct):
    """The work of one request of a class."""

    least_ms: float = 20.0
    most_ms: float = 40.0
    answer_bytes: int = 2000
    key_window_ms: float = 0.0  # how long a repeat with the same key is not executed again; 0: no deduplication


class PhotoConfig(msgspec.Struct):
    """The settings of one server."""

    id: int = 0
    port: int = 0
    cores: int = 2
    speed: float = 1.0  # of each core; 2 does the work in half the time
    queue: int = 32
    connections: int = 256
    cold_from: float = 1.0
    warm_ms: float = 0.0
    fall_multiple: float = 0.0  # the overload that crashes a cold server; 0: it never crashes
    fall_window_ms: float = 1000.0
    cold: bool = False  # whether it starts cold; otherwise it counts as warmed up
    seed: int = 1
    refusal_status: int = 503
    refusal_header: str = "x-not-run"
    work: dict[str, ClassWork] = msgspec.field(default_factory=dict)


class Cores:
    """A limited number of cores, with a bounded first-in, first-out queue of work that waits for one."""

    def __init__(self, number: int, max_queue: int) -> None:
        self._free, self._max_queue = number, max_queue
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    async def acquire(self) -> bool:
        """Wait for a core; returns False at once if the queue is full."""
        if self._free > 0:
            self._free -= 1
            return True
        if len(self._waiting) >= self._max_queue:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()  # the core had been assigned just before the cancellation
            else:
                self._waiting.remove(turn)
            raise
        return True

    def release(self) -> None:
        """Return a core; the first work in the queue receives it."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1


class OverloadDetector:
    """Detects the overload that crashes a cold server: the work offered in a window against what it can do in it."""

    def __init__(self, config: PhotoConfig) -> None:
        self._config = config
        self._offered: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def capacity(self, age_ms: float) -> float:
        """Return the share of its usual work that a server of this age does."""
        c = self._config
        if age_ms >= c.warm_ms:
            return 1.0
        return c.cold_from + (1 - c.cold_from) * max(age_ms, 0.0) / c.warm_ms

    def offer(self, now: float, work_ms: float, age_ms: float) -> bool:
        """Add work that has arrived; True if it crashes the server."""
        c = self._config
        if not c.fall_multiple or age_ms >= c.warm_ms:
            return False
        self._offered.append((now, work_ms))
        self._sum += work_ms
        while self._offered and self._offered[0][0] < now - c.fall_window_ms:
            self._sum -= self._offered.popleft()[1]
        return self._sum > c.fall_multiple * self.capacity(age_ms) * c.cores * c.fall_window_ms


class PhotoServer(FakeHttpServer):
    def __init__(self, config: PhotoConfig, trace: Trace) -> None:
        super().__init__(trace, config.port)
        self.config = config
        self._rng = random.Random(config.seed)
        self._cores = Cores(config.cores, config.queue)
        self._overload = OverloadDetector(config)
        self._started_ms = now_ms() if config.cold else -1e12  # without a cold start: long ago, thus warm
        self._crashed = self._silent = self._draining = False
        self._duration_factor = 1.0
        self._fault_shares = {"errors": 0.0, "resets": 0.0, "cuts": 0.0, "lost": 0.0}
        self._hanging_class = ""  # its requests are never answered
        self._keys: dict[str, float] = {}

    async def start(self) -> int:
        """Listen, write the start into the trace, and return the port."""
        port = await super().start()
        self._trace.write("started", server=self.config.id, port=port, cold=self.config.cold)
        return port

    def _execute_command(self, command: str, arguments: dict[str, Any]) -> dict[str, Any] | None:
        if command == "silent":
            self._silent = bool(arguments["on"])
        elif command == "slow":
            self._duration_factor = float(arguments["factor"])
        elif command == "class_fails":
            self._hanging_class = str(arguments["class"])
        elif command == "drain":
            self._draining = bool(arguments["on"])
        elif command == "cold":  # a restart: the remembered keys and all connections are lost
            self._started_ms = now_ms()
            self._crashed = self._silent = self._draining = False
            self._keys.clear()
            self._overload = OverloadDetector(self.config)
            self._abort_connections()
        elif command == "state":
            return {"fallen": self._crashed, "waiting": self._cores.waiting, "connections": len(self._writers)}
        else:
            return super()._execute_command(command, arguments)
        return None

    def _accepts_connections(self) -> bool:
        return super()._accepts_connections() and not self._crashed and len(self._writers) < self.config.connections

    async def _respond(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body_bytes: int,
    ) -> bool:
        headers = dict(request.headers)
        cls = request.target.decode("latin-1").split("/")[1] if b"/" in request.target else ""
        attempt = {
            "rid": headers.get(b"x-request-id", b"").decode("latin-1"),
            "attempt": int(headers.get(b"x-attempt", b"0")),
            "door": headers.get(b"via", b"").decode("latin-1").rpartition(" ")[2],
            "server": self.config.id,
        }
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        work = self.config.work.get(cls, ClassWork())
        ms = self._rng.uniform(work.least_ms, work.most_ms)
        now = now_ms()
        customer = headers.get(b"x-auth-customer", headers.get(b"x-customer", b"")).decode("latin-1")
        self._trace.write("arrive", **attempt, cls=cls, key=key, customer=customer, body=body_bytes)
        if self._crashed:
            self._trace.write("closed", **attempt)
            writer.transport.abort()
            return False
        if self._overload.offer(now, ms / self.config.speed, now - self._started_ms):
            self._crashed = True
            self._trace.write("fell", server=self.config.id)
            self._trace.write("closed", **attempt)
            self._abort_connections()
            return False
        disconnected = asyncio.ensure_future(reader.read(1))
        working = asyncio.ensure_future(self._work(attempt, cls, key, work, ms))
        await asyncio.wait({disconnected, working}, return_when=asyncio.FIRST_COMPLETED)
        if not working.done():  # the gateway abandoned the attempt
            self._trace.write("closed", **attempt)
            working.cancel()
            with suppress(asyncio.CancelledError):
                await working
            return False
        disconnected.cancel()
        with suppress(asyncio.CancelledError, OSError):
            if await disconnected == b"":
                self._trace.write("closed", **attempt)
                return False
        outcome = working.result()
        self._trace.write("end", **attempt, how=outcome)
        return self._write_response(connection, writer, outcome, work.answer_bytes)

    async def _work(self, attempt: dict[str, Any], cls: str, key: str, work: ClassWork, ms: float) -> str:
        """Process one request and return the outcome, which decides the response."""
        if self._silent or cls == self._hanging_class:
            self._trace.write("run", **attempt)
            await asyncio.Event().wait()
        if self._draining:
            return "refused"
        if key and work.key_window_ms:
            executed_ms = self._keys.get(key)
            if executed_ms is not None and now_ms() - executed_ms < work.key_window_ms:
                return "repeat"
            if len(self._keys) >= MAX_REMEMBERED_KEYS:
                self._keys.clear()
            self._keys[key] = now_ms()
        if not await self._cores.acquire():
            self._keys.pop(key, None)
            return "refused"
        try:
            self._trace.write("run", **attempt)
            share = self._overload.capacity(now_ms() - self._started_ms)
            await asyncio.sleep(ms * self._duration_factor / self.config.speed / share / 1000)
        finally:
            self._cores.release()
        draw = self._rng.random()
        for outcome, name in (("error", "errors"), ("reset", "resets"), ("cut", "cuts"), ("lost", "lost")):
            draw -= self._fault_shares[name]
            if draw < 0:
                if outcome == "lost":
                    await asyncio.Event().wait()
                return outcome
        return "ok"

    def _write_response(
        self, connection: h11.Connection, writer: asyncio.StreamWriter, outcome: str, size: int
    ) -> bool:
        if outcome == "reset":
            reset(writer)
            return False
        status, body = 200, b"p" * size
        headers = [("content-type", "image/jpeg")]
        if outcome == "refused":
            status, body = self.config.refusal_status, b""
            headers.append((self.config.refusal_header, "1"))
        elif outcome == "error":
            status, body = 500, b"broken\n"
        elif outcome == "repeat":
            headers.append(("x-repeat", "1"))
        head, rest = response(connection, status, headers, body)
        if outcome == "cut":
            writer.write(head + rest[: len(rest) // 2])
            return False
        writer.write(head + rest)
        return True


async def run(config: PhotoConfig, trace: Path | None) -> None:
    """Run one server until the process is stopped."""
    await PhotoServer(config, Trace(trace)).run()
