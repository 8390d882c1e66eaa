"""A server and a load as light as Python makes them, so that what stands between is what is measured."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time


def answer_of(size: int) -> bytes:
    """A whole answer with so many bytes."""
    return b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: %d\r\n\r\n" % size + b"x" * size


class Server(asyncio.Protocol):
    """Answers each head at once."""

    answer = answer_of(1000)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport, self._buffer = transport, b""

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        count = self._buffer.count(b"\r\n\r\n")
        if count:
            self._buffer = self._buffer[self._buffer.rfind(b"\r\n\r\n") + 4 :]
            self._transport.write(self.answer * count)


class Verdicts(Server):
    """Lets every request pass, as one customer; the answer may be kept where the port's name says so."""

    keep_s = 0
    delay_s = 0.0

    def data_received(self, data: bytes) -> None:
        count = data.count(b"\r\n\r\n")
        answer = (
            b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-auth-customer: c1\r\ncache-control: max-age=%d\r\n\r\n"
            % self.keep_s
        ) * count
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self._transport.write, answer)
        else:
            self._transport.write(answer)


class Kept(Verdicts):
    """Whose answers may be kept for ten seconds."""

    keep_s = 10


async def serve(count: int, kind: type[Server] = Server) -> None:
    """So many servers in one process; tells their ports."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(kind, "127.0.0.1", 0, backlog=1024) for _ in range(count)]
    sys.stdout.write(json.dumps([server.sockets[0].getsockname()[1] for server in servers]) + "\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


class Load:
    """Requests over kept connections: each asks again at once, or all follow a rate and wait for nobody."""

    def __init__(self, port: int, customers: int, seed: int) -> None:
        self._port, self._customers, self._rng = port, customers, random.Random(seed)
        self.times: list[float] = []
        self.statuses: dict[str, int] = {}

    async def _ask(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, began: float) -> None:
        customer = self._rng.randrange(self._customers)
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nhost: door\r\nx-customer: c%d\r\nauthorization: Bearer c%d\r\n\r\n"
            % (customer, customer)
        )
        head = await reader.readuntil(b"\r\n\r\n")
        at = head.lower().index(b"content-length:") + 15
        await reader.readexactly(int(head[at : head.index(b"\r\n", at)]))
        status = head[9:12].decode()
        self.statuses[status] = self.statuses.get(status, 0) + 1
        self.times.append(time.perf_counter() - began)

    async def closed(self, connections: int, seconds: float) -> None:
        """Each connection asks again as soon as it has its answer."""
        until = time.perf_counter() + seconds

        async def one() -> None:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            while (now := time.perf_counter()) < until:
                await self._ask(reader, writer, now)
            writer.close()

        await asyncio.gather(*(one() for _ in range(connections)))

    async def paced(self, rate: float, seconds: float) -> None:
        """Open loop: a request's time counts from when it was due."""
        idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        tasks = []

        async def one(due: float) -> None:
            wire = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", self._port)
            await self._ask(*wire, due)
            idle.append(wire)

        start = time.perf_counter()
        at = 0.0
        while at < seconds:
            at += self._rng.expovariate(rate)
            pause = start + at - time.perf_counter()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(asyncio.create_task(one(start + at)))
        await asyncio.gather(*tasks)


async def load(words: argparse.Namespace) -> None:
    """Run a load and tell its figures."""
    made = Load(words.port, words.customers, words.seed)
    if words.rate:
        await made.paced(words.rate, words.seconds)
    else:
        await made.closed(words.connections, words.seconds)
    times = sorted(made.times)
    print(
        json.dumps(
            {
                "count": len(times),
                "per_s": len(times) / words.seconds,
                "statuses": made.statuses,
                "p50_ms": times[len(times) // 2] * 1000,
                "p99_ms": times[int(len(times) * 0.99)] * 1000,
            }
        )
    )


def main() -> None:
    """`python -m bench.light serve|load`."""
    parser = argparse.ArgumentParser()
    kinds = parser.add_subparsers(dest="what", required=True)
    serving = kinds.add_parser("serve")
    serving.add_argument("--count", type=int, default=14)
    serving.add_argument("--kind", choices=["server", "verdicts", "kept"], default="server")
    serving.add_argument("--bytes", type=int, default=1000, help="of an answer")
    loads = kinds.add_parser("load")
    loads.add_argument("--port", type=int, required=True)
    loads.add_argument("--connections", type=int, default=48)
    loads.add_argument("--seconds", type=float, default=5.0)
    loads.add_argument("--rate", type=float, default=0.0)
    loads.add_argument("--customers", type=int, default=1000)
    loads.add_argument("--seed", type=int, default=1)
    words = parser.parse_args()
    if words.what == "serve":
        Server.answer = answer_of(words.bytes)
        asyncio.run(serve(words.count, {"server": Server, "verdicts": Verdicts, "kept": Kept}[words.kind]))
    else:
        asyncio.run(load(words))


if __name__ == "__main__":
    main()
