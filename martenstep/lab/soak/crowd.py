"""`python -m martenstep.lab.soak.crowd`: a crowd of misbehaving clients of one gateway of the platform.

It runs as a process of its own, so that it does not slow the well-behaved clients whose latency is measured.  The kinds
are those of the platform's page on bad clients: each client of a crowd comes again as soon as it is turned away.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import logging
import os
import random
import socket
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import Enum

from martenstep.lab.soak.parties import CONNECTION_ERRORS, CROWD_ID_PREFIX, HEAD_END, LARGE_ID_PREFIX, reset

MAX_STAY_S = 3.0  # within this a bad client is owed an error or a close
OVERSIZED_STAY_S = 6.0  # and one that has 60 MB to send
FIELDS = 2000  # of a head of very many short fields
BODY_BYTES, PART_BYTES = 64_000, 48_000  # a large request, and the three quarters of it that are sent
OVERSIZED_BYTES = 60_000_000
WRITE_BYTES = 65_536
SLOW_PART_BYTES, SLOW_PAUSE_S = 2_000, 0.05
PIPELINED = 200  # requests sent at once
WINDOW = 32  # requests that a client at full speed sends ahead of its responses
FIRST_CUSTOMER = 1 << 20  # the lowest customer; well-behaved clients are below
MIN_RECEIVE_BYTES = 4096  # of a client's receive buffer in the kernel
RETRY_S = 0.05  # after a connection that could not be made


class Kind(Enum):
    """What the clients of a crowd do."""

    SHORT_FIELDS = "heads of very many short fields"
    STALLED_BODIES = "large requests that stop at three quarters"
    SLOW_WRITERS = "large requests that are written slowly"
    OVERSIZED_BODIES = "bodies of 60 MB at full speed"
    UNREAD_RESPONSES = "requests again and again on one connection, whose responses are not read"
    UNREAD_LARGE_RESPONSES = "requests again and again on one connection, whose large responses are not read"
    PIPELINED = "200 requests at once, whose responses are read"
    SILENT = "connections on which nothing is sent"
    MIXTURE = "all of the above side by side"
    FULL_SPEED = "valid requests at full speed, a few ahead of their responses"
    UNSOUND = "requests of an unknown class at full speed, a few ahead of their responses"
    NEW_NAMES = "requests under ever new customers at full speed, a few ahead of their responses"


@dataclass(slots=True)
class Connection:
    """One connection of a client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Crowd:
    """Clients of one kind, as many at a time as stated."""

    def __init__(self, port: int, seed: int) -> None:
        """`seed` decides the customers."""
        self._port, self._rng = port, random.Random(seed)
        self._numbers = itertools.count(1)
        self.outcomes: Counter[str] = Counter()
        self._clients: dict[Kind, Callable[[Connection], Awaitable[str]]] = {
            Kind.SHORT_FIELDS: self._send_short_fields,
            Kind.STALLED_BODIES: self._stall_in_body,
            Kind.SLOW_WRITERS: self._write_slowly,
            Kind.OVERSIZED_BODIES: self._send_oversized,
            Kind.UNREAD_RESPONSES: lambda connection: self._leave_unread(connection, "small", ""),
            Kind.UNREAD_LARGE_RESPONSES: lambda connection: self._leave_unread(connection, "small", LARGE_ID_PREFIX),
            Kind.PIPELINED: self._pipeline,
            Kind.SILENT: self._await_end,
            Kind.FULL_SPEED: lambda connection: self._send_at_full_speed(connection, "small", "read", 1),
            Kind.UNSOUND: lambda connection: self._send_at_full_speed(connection, "free", "nope", 1),
            Kind.NEW_NAMES: lambda connection: self._send_at_full_speed(connection, "small", "read", 1 << 32),
        }

    async def run(self, kind: Kind, clients: int, seconds: float) -> None:
        """Keep `clients` clients connected for `seconds`."""
        kinds = [one for one in self._clients if one.value in MIXED] if kind is Kind.MIXTURE else [kind]
        until = time.monotonic() + seconds
        slots = [self._keep_connected(kinds[index % len(kinds)], until) for index in range(clients)]
        await asyncio.gather(*slots)

    async def _keep_connected(self, kind: Kind, until: float) -> None:
        while time.monotonic() < until:
            with suppress(TimeoutError):
                async with asyncio.timeout_at(asyncio.get_running_loop().time() + until - time.monotonic()):
                    await self._come_once(kind)

    async def _come_once(self, kind: Kind) -> None:
        try:
            async with self._connect(kind is Kind.UNREAD_LARGE_RESPONSES) as connection:
                outcome = await self._clients[kind](connection)
        except CONNECTION_ERRORS:
            outcome = "connection lost"
            await asyncio.sleep(RETRY_S)
        self.outcomes[outcome] += 1

    @asynccontextmanager
    async def _connect(self, receives_little: bool) -> AsyncIterator[Connection]:
        """Connect; a client that `receives_little` leaves what it does not read to the gateway, not to the kernel."""
        sock = socket.socket()
        sock.setblocking(False)
        if receives_little:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MIN_RECEIVE_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self._port))
        except BaseException:
            sock.close()
            raise
        connection = Connection(*await asyncio.open_connection(sock=sock, limit=1 << 20))
        try:
            yield connection
        finally:
            reset(connection.writer)

    # Messages -----------------------------------------------------------------------------------------------

    def _head(
        self, class_name: str, fields: str = "", plan: str = "free", customers: int = 40, id_prefix: str = ""
    ) -> bytes:
        number = next(self._numbers)
        method = "POST" if class_name == "book" else "GET"
        lines = [
            f"{method} /{class_name}/{FIRST_CUSTOMER + self._rng.randrange(customers):016x} HTTP/1.1",
            "Host: svc",
            f"X-Trace-Id: {id_prefix or CROWD_ID_PREFIX}{os.getpid():x}-{number:x}",
            f"X-Qos: {class_name}",
            f"X-Plan: {plan}",
            "X-Expires-In-Ms: 2000",
            "X-Quota: units=1,spread=1,first=0",
        ]
        if method == "POST":
            lines.append(f"Idempotency-Key: k{number}")
        return ("\r\n".join(lines) + f"\r\n{fields}\r\n").encode()

    @staticmethod
    async def _response(connection: Connection, stay_s: float = MAX_STAY_S) -> str:
        """Read one response; returns its status, or how the connection ended."""
        try:
            async with asyncio.timeout(stay_s):
                head = (await connection.reader.readuntil(HEAD_END)).decode("latin-1").lower()
                length = int(head.partition("content-length:")[2].split()[0])
                await connection.reader.readexactly(length)
        except TimeoutError:
            return "neither an error nor a close"
        except asyncio.IncompleteReadError:
            return "closed"
        return head.split()[1]

    # Clients ------------------------------------------------------------------------------------------------

    async def _send_short_fields(self, connection: Connection) -> str:
        connection.writer.write(self._head("read", "a:1\r\n" * FIELDS))
        return await self._response(connection)

    async def _stall_in_body(self, connection: Connection) -> str:
        connection.writer.write(self._head("book", f"Content-Length: {BODY_BYTES}\r\n") + b"x" * PART_BYTES)
        return await self._response(connection)

    async def _write_slowly(self, connection: Connection) -> str:
        data = self._head("book", f"Content-Length: {BODY_BYTES}\r\n") + b"x" * BODY_BYTES

        async def write() -> None:
            with suppress(*CONNECTION_ERRORS):
                for start in range(0, len(data), SLOW_PART_BYTES):
                    connection.writer.write(data[start : start + SLOW_PART_BYTES])
                    await asyncio.sleep(SLOW_PAUSE_S)

        writing = asyncio.create_task(write())
        try:
            return await self._response(connection)
        finally:
            writing.cancel()

    async def _send_oversized(self, connection: Connection) -> str:
        connection.writer.write(self._head("book", f"Content-Length: {OVERSIZED_BYTES}\r\n"))
        part = b"x" * WRITE_BYTES

        async def push() -> None:
            with suppress(*CONNECTION_ERRORS):
                for _ in range(OVERSIZED_BYTES // WRITE_BYTES):
                    connection.writer.write(part)
                    await connection.writer.drain()

        pushing = asyncio.create_task(push())
        try:
            return await self._response(connection, OVERSIZED_STAY_S)
        finally:
            pushing.cancel()

    async def _leave_unread(self, connection: Connection, plan: str, id_prefix: str) -> str:
        connection.writer.transport.pause_reading()  # type: ignore[attr-defined]  # a transport for both directions
        async with asyncio.timeout(MAX_STAY_S):
            while not connection.writer.is_closing():
                connection.writer.write(b"".join(self._head("read", plan=plan, id_prefix=id_prefix) for _ in range(10)))
                await connection.writer.drain()
                await asyncio.sleep(0.01)
        return "closed"

    async def _pipeline(self, connection: Connection) -> str:
        connection.writer.write(b"".join(self._head("read", plan="small") for _ in range(PIPELINED)))
        outcome = await self._response(connection)
        for _ in range(PIPELINED - 1):
            if not outcome.isdigit():
                break
            self.outcomes[outcome] += 1
            outcome = await self._response(connection)
        return outcome

    @staticmethod
    async def _await_end(connection: Connection) -> str:
        try:
            async with asyncio.timeout(MAX_STAY_S):
                await connection.reader.read()
        except TimeoutError:
            return "neither an error nor a close"
        return "closed"

    async def _send_at_full_speed(self, connection: Connection, plan: str, class_name: str, customers: int) -> str:
        sent = 0
        for received in itertools.count():
            if sent - received <= WINDOW // 2:
                count = WINDOW - (sent - received)
                heads = (self._head(class_name, plan=plan, customers=customers) for _ in range(count))
                connection.writer.write(b"".join(heads))
                sent += count
            outcome = await self._response(connection)
            if not outcome.isdigit():
                return outcome
            self.outcomes[outcome] += 1
        raise AssertionError("the count does not end")


MIXED = {
    kind.value
    for kind in (
        Kind.SHORT_FIELDS,
        Kind.STALLED_BODIES,
        Kind.SLOW_WRITERS,
        Kind.OVERSIZED_BODIES,
        Kind.UNREAD_RESPONSES,
        Kind.UNREAD_LARGE_RESPONSES,
        Kind.PIPELINED,
        Kind.SILENT,
    )
}


def main() -> None:
    """Run one crowd, and print the outcomes of its clients as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--kind", choices=[kind.name for kind in Kind], required=True)
    parser.add_argument("--clients", type=int, default=350)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # it warns of writes to connections that the gateway closed
    crowd = Crowd(arguments.port, arguments.seed)
    asyncio.run(crowd.run(Kind[arguments.kind], arguments.clients, arguments.seconds))
    sys.stdout.write(json.dumps(dict(crowd.outcomes)) + "\n")


if __name__ == "__main__":
    main()
