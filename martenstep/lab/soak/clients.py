"""Clients of the soak: usual ones, and such that leave, stop in the middle of a request, write slowly or pipeline."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass

from martenstep.lab.soak.oracle import LATE_ANSWER_S, Oracle, SentRequest
from martenstep.lab.soak.parties import BROKEN, HEAD_END, reset

CLASSES = {"read": ("GET", "safe"), "book": ("POST", "keyed"), "pay": ("POST", "unsafe")}
WINDOW_S = 1.5  # of the keyed class
CUSTOMERS, HOT, HOT_SHARE = 40, 4, 0.4  # in all, those that send most, and their share of the requests
MAX_IDLE = 4  # connections that a client pool keeps


class Closed(Exception):
    """The gateway ended the connection before an answer began; `reused` if it had answered on it before."""


@dataclass(slots=True)
class Connection:
    """One connection to a gateway."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    life: int  # of the gateway, when it was made
    answered: int = 0


@dataclass(slots=True)
class Target:
    """A gateway as clients see it."""

    name: str
    port: int
    accepts: bool = False  # new connections come
    lives: int = 0  # one is over with each kill
    crowded: bool = False  # idle clients fill its descriptors: new connections may be shut unread


class Clients:
    """All clients of one gateway."""

    def __init__(self, target: Target, oracle: Oracle, rng: random.Random, spread: int) -> None:
        """`spread` is through how many gateways each customer comes."""
        self._spread = spread
        self.target, self._oracle, self._rng = target, oracle, rng
        self._idle: list[Connection] = []
        self._serial = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, until: float) -> None:
        """Requests at random, so many a second."""
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(rate))
            kind = self._rng.choices(
                (self._usual, self._leaves, self._stops, self._pipelines), (0.85, 0.08, 0.02, 0.05)
            )[0]
            task = asyncio.create_task(kind())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all that is under way."""
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        for connection in self._idle:
            connection.writer.close()

    def _request(self) -> tuple[str, bytes, SentRequest]:
        """An id, the bytes of a request, and what is owed for it from the moment it is written."""
        self._serial += 1
        request_id = f"{self.target.name}-{self._serial}"
        name = self._rng.choices(tuple(CLASSES), (0.6, 0.25, 0.15))[0]
        method, effect = CLASSES[name]
        left_ms = self._rng.randrange(150, 1500)
        # A few customers press against their ceilings through all gateways.
        customer = self._rng.randrange(HOT) if self._rng.random() < HOT_SHARE else self._rng.randrange(HOT, CUSTOMERS)
        plan = "small" if customer % 2 == 0 else "free"
        lines = [
            f"{method} /{name}/{customer:016x} HTTP/1.1",
            f"Host: {self.target.name}",
            f"X-Trace-Id: {request_id}",
            f"X-Qos: {name}",
            f"X-Plan: {plan}",
            f"X-Expires-In-Ms: {left_ms}",
            f"X-Quota: units=1,spread={self._spread},first=0",
        ]
        if effect == "keyed":
            lines.append(f"Idempotency-Key: key-{request_id}")
        body = b"x" * self._rng.choice((0, 100, 5000)) if method == "POST" else b""
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        return (
            request_id,
            data,
            SentRequest(
                self.target.name,
                time.monotonic() + left_ms / 1000,
                effect,
                WINDOW_S,
                str(customer) if plan == "small" else "",
            ),
        )

    async def _connect(self) -> Connection | None:
        if not self.target.accepts:
            return None
        life = self.target.lives
        try:
            return Connection(*await asyncio.open_connection("127.0.0.1", self.target.port), life)
        except OSError:
            return None

    async def _connection(self) -> Connection | None:
        while self._idle:
            found = self._idle.pop()
            if not found.reader.at_eof() and not found.writer.is_closing():
                return found
        return await self._connect()

    def _rest(self, connection: Connection) -> None:
        if len(self._idle) < MAX_IDLE and not connection.reader.at_eof():
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _usual(self) -> None:
        connection = await self._connection()
        if connection is None:
            return
        request_id, data, request = self._request()
        if self._rng.random() < 0.05 and len(data) > 10:  # slowly
            connection.writer.write(data[: len(data) // 2])
            pause_s = self._rng.uniform(0.01, 0.3)
            await asyncio.sleep(pause_s)
            request.deadline += pause_s  # counted from its last byte
            connection.writer.write(data[len(data) // 2 :])
        else:
            connection.writer.write(data)
        self._oracle.sent(request_id, request)
        await self._await_answer(connection, request_id, data)

    async def _await_answer(self, connection: Connection, request_id: str, data: bytes, again: bool = True) -> None:
        request = self._oracle.requests[request_id]
        try:
            async with asyncio.timeout(max(request.deadline - time.monotonic(), 0) + LATE_ANSWER_S + 0.3):
                status, body, closes = await self._answer(connection)
        except Closed:
            connection.writer.close()
            if self.target.lives != connection.life:
                request.excused = "gateway killed"
            elif self.target.crowded and not connection.answered and not request.attempts:
                request.excused = "shut unread"
            elif connection.answered and not request.attempts and again:
                fresh = await self._connect()  # it crossed the end of a connection
                if fresh is not None:
                    fresh.writer.write(data)
                    await self._await_answer(fresh, request_id, data, again=False)
                    return
                request.excused = "nobody to send it to again"
            self._oracle.unanswered(request_id, time.monotonic(), "closed with no answer")
        except (TimeoutError, *BROKEN) as error:
            connection.writer.close()
            if self.target.lives != connection.life:
                request.excused = "gateway killed"
            self._oracle.unanswered(request_id, time.monotonic(), f"no whole answer: {error!r}")
        else:
            connection.answered += 1
            self._oracle.answered(request_id, time.monotonic(), status, body)
            if closes:
                connection.writer.close()
            else:
                self._rest(connection)

    @staticmethod
    async def _answer(connection: Connection) -> tuple[int, str, bool]:
        """Status, body, and whether the connection ends; raises Closed, TimeoutError or one of BROKEN."""
        try:
            head = (await connection.reader.readuntil(HEAD_END)).decode("latin-1").lower()
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            raise Closed from None
        except ConnectionError:
            raise Closed from None
        lines = head.split("\r\n")
        length = next((int(line.partition(":")[2]) for line in lines if line.startswith("content-length")), None)
        if length is None:
            raise ConnectionError("an answer with no length")
        body = await connection.reader.readexactly(length)
        return int(lines[0].split()[1]), body.decode("latin-1"), "connection: close" in head

    async def _leaves(self) -> None:
        """Closes while its request is out."""
        connection = await self._connect()
        if connection is None:
            return
        request_id, data, request = self._request()
        connection.writer.write(data)
        self._oracle.sent(request_id, request)
        await asyncio.sleep(self._rng.choice((0.0, 0.005, 0.03, 0.2)))
        self._oracle.closed(request_id, time.monotonic())
        if self._rng.random() < 0.5:
            reset(connection.writer)
        connection.writer.close()

    async def _stops(self) -> None:
        """Stops in the middle of a request and stays, for a while."""
        connection = await self._connect()
        if connection is None:
            return
        _, data, _ = self._request()
        connection.writer.write(data[: len(data) // 2])
        with suppress(TimeoutError, *BROKEN):
            async with asyncio.timeout(3.0):
                await connection.reader.read()
        connection.writer.close()

    async def _pipelines(self) -> None:
        """Sends several requests at once; what follows an answer that ends the connection is sent nowhere again."""
        connection = await self._connect()
        if connection is None:
            return
        made = [self._request() for _ in range(4)]
        connection.writer.write(b"".join(data for _, data, _ in made))
        for request_id, _, request in made:
            self._oracle.sent(request_id, request)
        for place, (request_id, _, request) in enumerate(made):
            try:
                async with asyncio.timeout(max(request.deadline - time.monotonic(), 0) + LATE_ANSWER_S + 0.3):
                    status, body, closes = await self._answer(connection)
            except (Closed, TimeoutError, *BROKEN) as error:
                if self.target.lives != connection.life:
                    request.excused = "gateway killed"
                self._oracle.unanswered(request_id, time.monotonic(), f"pipelined, place {place}: {error!r}")
                for later, _, other in made[place + 1 :]:
                    other.excused = "behind one without an answer"
                    self._oracle.unanswered(later, time.monotonic(), "pipelined")
                break
            self._oracle.answered(request_id, time.monotonic(), status, body)
            if closes:
                for later, _, other in made[place + 1 :]:
                    other.excused = "" if other.attempts else "the connection was said to end"
                    self._oracle.unanswered(later, time.monotonic(), "forwarded behind an end")
                break
        connection.writer.close()
