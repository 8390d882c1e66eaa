"""Clients of the soak: well-behaved ones, and some that disconnect, stop in the middle of a request, write slowly or
pipeline."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass

from martenstep.lab.soak.oracle import LATE_RESPONSE_S, Oracle, SentRequest
from martenstep.lab.soak.parties import CONNECTION_ERRORS, HEAD_END, reset

CLASSES = {"read": ("GET", "safe"), "book": ("POST", "keyed"), "pay": ("POST", "unsafe")}
DEDUPLICATION_WINDOW_S = 1.5  # of the requests with an idempotency key
CUSTOMERS = 40
HOT_CUSTOMERS, HOT_SHARE = 4, 0.4  # those that send most, and their share of all requests
MIN_DEADLINE_MS = 150
MAX_REST_S = 0.5  # between two requests on a connection that is used through a shutdown
MAX_IDLE = 4  # connections kept for one gateway


class ClosedBeforeResponse(Exception):
    """The gateway ended the connection before the first byte of a response."""


@dataclass(slots=True)
class Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    kills: int  # how often the gateway had been killed when the connection was made
    responses: int = 0


@dataclass(slots=True)
class Target:
    """The address of a gateway, and its condition as far as clients take it into account."""

    name: str
    port: int
    accepts: bool = False  # clients make new connections
    kills: int = 0
    flooded: bool = False  # idle connections use up its descriptors: it may close new ones without reading


class Clients:
    """Sends the requests of all clients of one gateway, and checks the responses with the oracle."""

    def __init__(self, target: Target, oracle: Oracle, rng: random.Random, spread: int, max_deadline_ms: float) -> None:
        """`spread` is the number of gateways through which each customer sends."""
        self._spread, self._max_deadline_ms = spread, int(max_deadline_ms)
        self.target, self._oracle, self._rng = target, oracle, rng
        self._idle: list[Connection] = []
        self._serial = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, until: float) -> None:
        """Send `rate` requests a second, at random times."""
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(rate))
            send = self._rng.choices(
                (self._send_normally, self._send_and_close, self._send_partially, self._send_pipelined),
                (0.85, 0.08, 0.02, 0.05),
            )[0]
            task = asyncio.create_task(send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for all requests in progress, and close the idle connections."""
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        for connection in self._idle:
            connection.writer.close()

    def _request(self) -> tuple[str, bytes, SentRequest]:
        """Make a request: its id, its bytes, and the record by which the oracle checks it once it is written."""
        self._serial += 1
        request_id = f"{self.target.name}-{self._serial}"
        name = self._rng.choices(tuple(CLASSES), (0.6, 0.25, 0.15))[0]
        method, effect = CLASSES[name]
        left_ms = self._rng.randrange(MIN_DEADLINE_MS, self._max_deadline_ms)
        # A few customers reach their ceilings, through all gateways together.
        customer = (
            self._rng.randrange(HOT_CUSTOMERS)
            if self._rng.random() < HOT_SHARE
            else self._rng.randrange(HOT_CUSTOMERS, CUSTOMERS)
        )
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
                DEDUPLICATION_WINDOW_S,
                str(customer) if plan == "small" else "",
            ),
        )

    async def _connect(self) -> Connection | None:
        if not self.target.accepts:
            return None
        kills = self.target.kills
        try:
            return Connection(*await asyncio.open_connection("127.0.0.1", self.target.port), kills)
        except OSError:
            return None

    async def _acquire(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
        return await self._connect()

    def _release(self, connection: Connection) -> None:
        if len(self._idle) < MAX_IDLE and not connection.reader.at_eof():
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _send_normally(self) -> None:
        connection = await self._acquire()
        if connection is None:
            return
        request_id, data, request = self._request()
        if self._rng.random() < 0.05 and len(data) > 10:  # a slow client
            connection.writer.write(data[: len(data) // 2])
            pause_s = self._rng.uniform(0.01, 0.3)
            await asyncio.sleep(pause_s)
            request.deadline += pause_s  # the deadline counts from the last byte of the request
            connection.writer.write(data[len(data) // 2 :])
        else:
            connection.writer.write(data)
        self._oracle.request_sent(request_id, request)
        await self._await_response(connection, request_id, data)

    async def _await_response(
        self, connection: Connection, request_id: str, data: bytes, may_resend: bool = True, keeps: bool = False
    ) -> None:
        """Read a response and check it; the caller of one that `keeps` its connection goes on to use it."""
        request = self._oracle.requests[request_id]
        try:
            async with asyncio.timeout(max(request.deadline - time.monotonic(), 0) + LATE_RESPONSE_S + 0.3):
                status, body, closes = await self._read_response(connection)
        except ClosedBeforeResponse:
            connection.writer.close()
            if self.target.kills != connection.kills:
                request.excuse = "gateway killed"
            elif self.target.flooded and not connection.responses and not request.attempts:
                request.excuse = "closed without reading"
            elif connection.responses and not request.attempts and may_resend:
                fresh = await self._connect()  # the request crossed with the close of an idle connection
                if fresh is not None:
                    fresh.writer.write(data)
                    await self._await_response(fresh, request_id, data, may_resend=False)
                    return
                request.excuse = "no connection to send it again"
            self._oracle.response_missing(request_id, time.monotonic(), "the connection was closed before a response")
        except (TimeoutError, *CONNECTION_ERRORS) as error:
            connection.writer.close()
            if self.target.kills != connection.kills:
                request.excuse = "gateway killed"
            self._oracle.response_missing(request_id, time.monotonic(), f"no complete response: {error!r}")
        else:
            connection.responses += 1
            self._oracle.response_received(request_id, time.monotonic(), status, body)
            if closes:
                connection.writer.close()
            elif not keeps:
                self._release(connection)

    @staticmethod
    async def _read_response(connection: Connection) -> tuple[int, str, bool]:
        """Return status, body, and whether the connection ends; also raises ClosedBeforeResponse."""
        try:
            head = (await connection.reader.readuntil(HEAD_END)).decode("latin-1").lower()
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            raise ClosedBeforeResponse from None
        except ConnectionError:
            raise ClosedBeforeResponse from None
        lines = head.split("\r\n")
        length = next((int(line.partition(":")[2]) for line in lines if line.startswith("content-length")), None)
        if length is None:
            raise ConnectionError("the response has no Content-Length")
        body = await connection.reader.readexactly(length)
        return int(lines[0].split()[1]), body.decode("latin-1"), "connection: close" in head

    # Shutdown -----------------------------------------------------------------------------------------------

    async def open_resting(self, count: int) -> list[Connection]:
        """Open connections, and have a request answered on each: a crossing with a close then concerns a later one."""
        opened = [await self._connect() for _ in range(count)]
        resting = [connection for connection in opened if connection is not None]
        for connection in resting:
            await self._send_on(connection)
        return [connection for connection in resting if connection.responses]

    async def use_resting(self, connections: list[Connection], until: float) -> None:
        """Send requests on each connection at random moments, as long as it stays open, until a time."""
        await asyncio.gather(*(self._use_until(connection, until) for connection in connections))

    async def _use_until(self, connection: Connection, until: float) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_REST_S))
            if connection.reader.at_eof() or connection.writer.is_closing() or time.monotonic() >= until:
                break
            await self._send_on(connection)
        connection.writer.close()

    async def _send_on(self, connection: Connection) -> None:
        request_id, data, request = self._request()
        connection.writer.write(data)
        self._oracle.request_sent(request_id, request)
        await self._await_response(connection, request_id, data, keeps=True)

    # Misbehaviour -------------------------------------------------------------------------------------------

    async def _send_and_close(self) -> None:
        """Send a request and close the connection before the response."""
        connection = await self._connect()
        if connection is None:
            return
        request_id, data, request = self._request()
        connection.writer.write(data)
        self._oracle.request_sent(request_id, request)
        await asyncio.sleep(self._rng.choice((0.0, 0.005, 0.03, 0.2)))
        self._oracle.client_closed(request_id, time.monotonic())
        if self._rng.random() < 0.5:
            reset(connection.writer)
        connection.writer.close()

    async def _send_partially(self) -> None:
        """Send half of a request and keep the connection open for a while."""
        connection = await self._connect()
        if connection is None:
            return
        _, data, _ = self._request()
        connection.writer.write(data[: len(data) // 2])
        with suppress(TimeoutError, *CONNECTION_ERRORS):
            async with asyncio.timeout(3.0):
                await connection.reader.read()
        connection.writer.close()

    async def _send_pipelined(self) -> None:
        """Send several requests at once; those behind a response that ends the connection are not sent again."""
        connection = await self._connect()
        if connection is None:
            return
        requests = [self._request() for _ in range(4)]
        connection.writer.write(b"".join(data for _, data, _ in requests))
        for request_id, _, request in requests:
            self._oracle.request_sent(request_id, request)
        previous_at = 0.0
        for position, (request_id, _, request) in enumerate(requests):
            try:
                async with asyncio.timeout(max(request.deadline - time.monotonic(), 0) + LATE_RESPONSE_S + 0.3):
                    status, body, closes = await self._read_response(connection)
            except (ClosedBeforeResponse, TimeoutError, *CONNECTION_ERRORS) as error:
                if self.target.kills != connection.kills:
                    request.excuse = "gateway killed"
                self._oracle.response_missing(
                    request_id, time.monotonic(), f"pipelined, position {position}: {error!r}"
                )
                for later_id, _, later in requests[position + 1 :]:
                    later.excuse = "behind a request without a response"
                    self._oracle.response_missing(later_id, time.monotonic(), "pipelined")
                break
            now = time.monotonic()
            self._oracle.response_received(request_id, now, status, body, previous_at)
            previous_at = now
            if closes:
                for later_id, _, later in requests[position + 1 :]:
                    later.excuse = "" if later.attempts else "the response before it ends the connection"
                    self._oracle.response_missing(
                        later_id, time.monotonic(), "forwarded behind a response that ends the connection"
                    )
                break
        connection.writer.close()
