"""A photo server: cores, a bounded queue, a cold start, and every way of failing that the users have met.

Work is time on a core.  A server that has just started does only a part of its usual work, more as it warms; sent
more than a stated multiple of what it can do at that moment, it falls over and takes nothing until it is restarted.
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

from martenstep.standins.base import HttpStandIn, Trace, now_ms, reset, response

KEYS_MOST = 100_000  # remembered for repeats


class WorkOf(msgspec.Struct):
    """What one class asks of a server."""

    least_ms: float = 20.0
    most_ms: float = 40.0
    answer_bytes: int = 2000
    key_window_ms: float = 0.0  # repeats with the same key are dropped for so long; 0: never


class PhotoConfig(msgspec.Struct):
    """One server."""

    id: int = 0
    port: int = 0
    cores: int = 2
    speed: float = 1.0  # of a core; 2 does the work in half the time
    queue: int = 32
    connections: int = 256
    cold_from: float = 1.0
    warm_ms: float = 0.0
    fall_multiple: float = 0.0  # 0: never falls over
    fall_window_ms: float = 1000.0
    cold: bool = False  # has just started
    seed: int = 1
    refusal_status: int = 503
    refusal_header: str = "x-not-run"
    work: dict[str, WorkOf] = msgspec.field(default_factory=dict)


class Cores:
    """So many pieces of work at once, the rest in order of arrival, in a bounded queue."""

    def __init__(self, number: int, queue: int) -> None:
        self._free, self._bound = number, queue
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def waiting(self) -> int:
        """How many wait."""
        return len(self._waiting)

    async def take(self) -> bool:
        """Wait for a core; False at once where the queue is full."""
        if self._free > 0:
            self._free -= 1
            return True
        if len(self._waiting) >= self._bound:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.give()  # its turn had come just then
            else:
                self._waiting.remove(turn)
            raise
        return True

    def give(self) -> None:
        """Give a core back."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1


class Fall:
    """Whether a cold server is pushed over: work offered in a window against what it can do in it."""

    def __init__(self, config: PhotoConfig) -> None:
        self._config = config
        self._offered: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def capacity(self, age_ms: float) -> float:
        """Part of the usual work that a server of this age does."""
        c = self._config
        if age_ms >= c.warm_ms:
            return 1.0
        return c.cold_from + (1 - c.cold_from) * max(age_ms, 0.0) / c.warm_ms

    def offer(self, now: float, work_ms: float, age_ms: float) -> bool:
        """Book work on arrival; True where it pushes the server over."""
        c = self._config
        if not c.fall_multiple or age_ms >= c.warm_ms:
            return False
        self._offered.append((now, work_ms))
        self._sum += work_ms
        while self._offered and self._offered[0][0] < now - c.fall_window_ms:
            self._sum -= self._offered.popleft()[1]
        return self._sum > c.fall_multiple * self.capacity(age_ms) * c.cores * c.fall_window_ms


class PhotoServer(HttpStandIn):
    """One server on a socket."""

    def __init__(self, config: PhotoConfig, trace: Trace) -> None:
        super().__init__(trace, config.port)
        self.config = config
        self._rng = random.Random(config.seed)
        self._cores = Cores(config.cores, config.queue)
        self._fall = Fall(config)
        self._started = now_ms() if config.cold else -1e12
        self._fallen = self._silent = self._draining = False
        self._factor = 1.0
        self._shares = {"errors": 0.0, "resets": 0.0, "cuts": 0.0, "lost": 0.0}
        self._class_fails = ""
        self._keys: dict[str, float] = {}

    async def start(self) -> int:
        """Bind, and write that it has started; gives the port."""
        port = await super().start()
        self._trace.write("started", server=self.config.id, port=port, cold=self.config.cold)
        return port

    def _steered(self, do: str, words: dict[str, Any]) -> dict[str, Any] | None:
        if do == "silent":
            self._silent = bool(words["on"])
        elif do == "slow":
            self._factor = float(words["factor"])
        elif do == "class_fails":
            self._class_fails = str(words["class"])
        elif do == "drain":
            self._draining = bool(words["on"])
        elif do == "cold":  # restarted: nothing is remembered, every connection is gone
            self._started = now_ms()
            self._fallen = self._silent = self._draining = False
            self._keys.clear()
            self._fall = Fall(self.config)
            self._drop()
        elif do == "state":
            return {"fallen": self._fallen, "waiting": self._cores.waiting, "connections": len(self._writers)}
        else:
            return super()._steered(do, words)
        return None

    def _takes(self) -> bool:
        return super()._takes() and not self._fallen and len(self._writers) < self.config.connections

    async def _answer(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: h11.Request,
        body: int,
    ) -> bool:
        headers = dict(request.headers)
        cls = request.target.decode("latin-1").split("/")[1] if b"/" in request.target else ""
        told = {
            "rid": headers.get(b"x-request-id", b"").decode("latin-1"),
            "attempt": int(headers.get(b"x-attempt", b"0")),
            "door": headers.get(b"via", b"").decode("latin-1").rpartition(" ")[2],
            "server": self.config.id,
        }
        key = headers.get(b"idempotency-key", b"").decode("latin-1")
        work = self.config.work.get(cls, WorkOf())
        ms = self._rng.uniform(work.least_ms, work.most_ms)
        now = now_ms()
        customer = headers.get(b"x-auth-customer", headers.get(b"x-customer", b"")).decode("latin-1")
        self._trace.write("arrive", **told, cls=cls, key=key, customer=customer, body=body)
        if self._fallen:
            self._trace.write("closed", **told)
            writer.transport.abort()
            return False
        if self._fall.offer(now, ms / self.config.speed, now - self._started):
            self._fallen = True
            self._trace.write("fell", server=self.config.id)
            self._trace.write("closed", **told)
            self._drop()
            return False
        gone = asyncio.ensure_future(reader.read(1))
        working = asyncio.ensure_future(self._work(told, cls, key, work, ms))
        await asyncio.wait({gone, working}, return_when=asyncio.FIRST_COMPLETED)
        if not working.done():  # the door gave it up
            self._trace.write("closed", **told)
            working.cancel()
            with suppress(asyncio.CancelledError):
                await working
            return False
        gone.cancel()
        with suppress(asyncio.CancelledError, OSError):
            if await gone == b"":
                self._trace.write("closed", **told)
                return False
        how = working.result()
        self._trace.write("end", **told, how=how)
        return self._write(connection, writer, how, work.answer_bytes)

    async def _work(self, told: dict[str, Any], cls: str, key: str, work: WorkOf, ms: float) -> str:
        """What becomes of one request: how it is answered."""
        if self._silent or cls == self._class_fails:
            self._trace.write("run", **told)
            await asyncio.Event().wait()
        if self._draining:
            return "refused"
        if key and work.key_window_ms:
            seen = self._keys.get(key)
            if seen is not None and now_ms() - seen < work.key_window_ms:
                return "repeat"
            if len(self._keys) >= KEYS_MOST:
                self._keys.clear()
            self._keys[key] = now_ms()
        if not await self._cores.take():
            self._keys.pop(key, None)
            return "refused"
        try:
            self._trace.write("run", **told)
            share = self._fall.capacity(now_ms() - self._started)
            await asyncio.sleep(ms * self._factor / self.config.speed / share / 1000)
        finally:
            self._cores.give()
        draw = self._rng.random()
        for how, name in (("error", "errors"), ("reset", "resets"), ("cut", "cuts"), ("lost", "lost")):
            draw -= self._shares[name]
            if draw < 0:
                if how == "lost":
                    await asyncio.Event().wait()
                return how
        return "ok"

    def _write(self, connection: h11.Connection, writer: asyncio.StreamWriter, how: str, size: int) -> bool:
        if how == "reset":
            reset(writer)
            return False
        status, body = 200, b"p" * size
        headers = [("content-type", "image/jpeg")]
        if how == "refused":
            status, body = self.config.refusal_status, b""
            headers.append((self.config.refusal_header, "1"))
        elif how == "error":
            status, body = 500, b"broken\n"
        elif how == "repeat":
            headers.append(("x-repeat", "1"))
        head, rest = response(connection, status, headers, body)
        if how == "cut":
            writer.write(head + rest[: len(rest) // 2])
            return False
        writer.write(head + rest)
        return True


async def run(config: PhotoConfig, trace: Path | None) -> None:
    """One server until it is stopped."""
    await PhotoServer(config, Trace(trace)).run()
