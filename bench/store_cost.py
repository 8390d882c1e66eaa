"""What a call to the store costs and how many a store takes: `python -m bench.store_cost`.

Times are of one machine, the stand-in in a process of its own; compare the ratios within one run.
"""

from __future__ import annotations

import asyncio
import itertools
import multiprocessing
import time
from collections.abc import Awaitable, Callable
from typing import Any

import redis.asyncio as redis

from martenstep.config import door_pb2 as pb
from martenstep.policy.messages import CallResult
from martenstep.redis_counter.redis_client import RedisCounter
from martenstep.standins.base import Trace
from martenstep.standins.redis.server import RedisServer

CALLS, NAMES = 20_000, 500


def serve(ports: Any) -> None:
    """The stand-in, until it is ended."""

    async def run() -> None:
        server = RedisServer(Trace(None))
        ports.put(await server.start())
        await asyncio.sleep(600)

    asyncio.run(run())


class Desk:
    """A door's store whose calls can be waited for."""

    def __init__(self, port: int, gather_ms: float = 0.0, scripts: bool = True, connections: int = 4) -> None:
        self._out: dict[int, asyncio.Future[CallResult]] = {}
        self._numbers = itertools.count(1)
        self.store = RedisCounter(
            pb.Store(
                port=port, timeout_ms=2000, gather_ms=gather_ms, scripts=scripts, connections=connections, waiting=5000
            ),
            self._told,
        )

    def _told(self, call: int, verdict: CallResult, total: float, kept_ms: float) -> None:
        self._out.pop(call).set_result(verdict)

    async def add(self, name: int) -> None:
        """One call."""
        number = next(self._numbers)
        made: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
        self._out[number] = made
        self.store.add(number, name, 1.0, 60_000.0)
        await made


async def at_rate(call: Callable[[int], Awaitable[None]], rate: float, seconds: float) -> tuple[float, float, float]:
    """Open loop: p50 and p99 in milliseconds, and this process's CPU a call in microseconds."""
    took: list[float] = []
    tasks: set[asyncio.Task[None]] = set()

    async def one(name: int) -> None:
        at = time.perf_counter()
        await call(name)
        took.append((time.perf_counter() - at) * 1000)

    begin, cpu, number = time.perf_counter(), time.process_time(), 0
    while (now := time.perf_counter() - begin) < seconds:
        while number < now * rate:
            tasks.add(asyncio.create_task(one(number % NAMES)))
            number += 1
        await asyncio.sleep(0.001)
    await asyncio.gather(*tasks)
    used = time.process_time() - cpu
    took.sort()
    return took[len(took) // 2], took[int(len(took) * 0.99)], used / number * 1e6


async def closed(call: Callable[[int], Awaitable[None]], at_once: int) -> tuple[float, float]:
    """Closed loop: calls a second, and this process's CPU a call in microseconds."""
    left = iter(range(CALLS))

    async def one() -> None:
        for number in left:
            await call(number % NAMES)

    begin, cpu = time.perf_counter(), time.process_time()
    await asyncio.gather(*(one() for _ in range(at_once)))
    return CALLS / (time.perf_counter() - begin), (time.process_time() - cpu) / CALLS * 1e6


async def measure(port: int) -> None:
    """Print the tables."""
    client: Any = redis.Redis(port=port, max_connections=4)
    pool = asyncio.Semaphore(4)

    async def bare(name: int) -> None:
        async with pool, client.pipeline(transaction=True) as pipe:
            pipe.incrbyfloat(f"bare:{name}", 1.0)
            pipe.pexpire(f"bare:{name}", 60_000, nx=True)
            await pipe.execute()

    print("| 32 calls at once | calls a second | CPU a call at the door |\n| --- | --- | --- |")
    for _ in range(2):
        rate, cpu = await closed(bare, 32)
        print(f"| bare redis-py, pipeline of INCRBYFLOAT and PEXPIRE, 4 connections | {rate:.0f} | {cpu:.0f} us |")
        for scripts in (True, False):
            desk = Desk(port, scripts=scripts)
            desk.store.start()
            rate, cpu = await closed(desk.add, 32)
            print(f"| the door's store, {'statements' if scripts else 'plain adds'} | {rate:.0f} | {cpu:.0f} us |")
            await desk.store.stop()
    print("\n| 2,000 calls a second | p50 | p99 | CPU a call | statements a write |\n| --- | --- | --- | --- | --- |")
    for gather in (0.0, 1.0, 2.0, 5.0):
        desk = Desk(port, gather_ms=gather)
        desk.store.start()
        p50, p99, cpu = await at_rate(desk.add, 2000, 4.0)
        counts = desk.store.core.counts
        print(
            f"| waits {gather:g} ms for others | {p50:.1f} ms | {p99:.1f} ms | {cpu:.0f} us | "
            f"{counts['statements'] / counts['writes']:.1f} |"
        )
        await desk.store.stop()
    print("\n| doors, 2,000 calls a second together, 2 connections each | p50 | p99 |\n| --- | --- | --- |")
    for number in (1, 10, 50, 100, 200):
        desks = [Desk(port, connections=2) for _ in range(number)]
        for desk in desks:
            desk.store.start()
        turn = itertools.cycle(desks)

        async def spread(name: int, turn: Any = turn) -> None:
            await next(turn).add(name)

        p50, p99, _ = await at_rate(spread, 2000, 4.0)
        print(f"| {number} | {p50:.1f} ms | {p99:.1f} ms |")
        for desk in desks:
            await desk.store.stop()
    await client.aclose()
    await rebuild(port)


async def rebuild(port: int) -> None:
    """How long until an emptied store holds again what the doors had added."""
    print(
        "\n| doors with 10,000 names each, store emptied | until all names are back | door's CPU a name |\n"
        "| --- | --- | --- |"
    )
    for number in (1, 5):
        desks = [Desk(port) for _ in range(number)]
        for place, desk in enumerate(desks):
            desk.store.start()
            for first in range(0, 10_000, 500):
                await asyncio.gather(*(desk.add(place * 10_000 + name) for name in range(first, first + 500)))
        admin: Any = redis.Redis(port=port)
        await admin.flushall()
        begin, cpu = time.perf_counter(), time.process_time()
        while await admin.dbsize() < number * 10_000:
            await asyncio.sleep(0.01)
        took = time.perf_counter() - begin
        print(f"| {number} | {took:.2f} s | {(time.process_time() - cpu) / number / 10_000 * 1e6:.0f} us |")
        for desk in desks:
            await desk.store.stop()
        await admin.flushall()
        await admin.aclose()


def main() -> None:
    """Start the stand-in, measure, end it."""
    ports: Any = multiprocessing.Queue()
    process = multiprocessing.Process(target=serve, args=(ports,), daemon=True)
    process.start()
    try:
        asyncio.run(measure(ports.get(timeout=10)))
    finally:
        process.terminate()


if __name__ == "__main__":
    main()
