"""Open-loop load for a running gateway: requests that are due while the gateway stalls are sent nevertheless.

The time of each request is drawn beforehand, and its latency is measured from that time, whenever it could be sent
(no coordinated omission).  A request without an answer counts with its timeout.  Each process records its latencies in
an HdrHistogram, and the histograms are added up.
"""

from __future__ import annotations

import asyncio
import ipaddress
import random
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from multiprocessing import get_context

import h11
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 120_000_000, 3  # of the histogram
MAX_RATE, MAX_DURATION_S, MAX_REQUESTS = 100_000.0, 600.0, 5_000_000
ANSWER_TIMEOUT_S = 10.0
START_DELAY_S = 0.2  # lets all processes begin together
MAX_IDLE_CONNECTIONS = 512


class LoadError(Exception):
    """The load is out of bounds or its target is not allowed."""


@dataclass(frozen=True, slots=True)
class LoadTarget:
    """Where requests go, and what is drawn for each of them."""

    host: str
    port: int
    paths: tuple[str, ...] = ("/",)
    headers: tuple[tuple[str, str], ...] = ()
    customers: int = 100  # the header x-customer is c0 up to this number less one; 0: no such header


@dataclass(slots=True)
class LoadResult:
    """The outcome of a load at one rate."""

    rate: float
    answers: Counter[str] = field(default_factory=Counter)  # by status, or by kind of failure
    latencies: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    )
    late_ms: float = 0.0  # longest delay in sending a request; above a few ms, the load generator was too slow

    def percentile_ms(self, percentile: float) -> float:
        """A percentile of the latencies in ms, measured from the times at which requests were due."""
        return float(self.latencies.get_value_at_percentile(percentile)) / 1000.0

    @property
    def successes(self) -> int:
        """The number of answers without a failure; a refusal by the gateway is no failure."""
        return sum(count for what, count in self.answers.items() if what.isdigit() and int(what) not in (500, 502, 504))


def check_host(host: str, anywhere: bool) -> None:
    """Raise LoadError if the host is not on the loopback, unless `anywhere` is set."""
    with suppress(ValueError):
        if ipaddress.ip_address(host).is_loopback:
            return
    if host != "localhost" and not anywhere:
        raise LoadError(f"{host}: not on the loopback; --anywhere confirms that you may load it")


def check_bounds(rate: float, seconds: float) -> None:
    """Raise LoadError if the rate, the duration or the number of requests is out of bounds."""
    if not 0 < rate <= MAX_RATE or not 0 < seconds <= MAX_DURATION_S or rate * seconds > MAX_REQUESTS:
        raise LoadError(
            f"{rate:g} requests a second for {seconds:g} s: expected above 0, at most {MAX_RATE:g} a second, "
            f"{MAX_DURATION_S:g} s and "
            f"{MAX_REQUESTS} requests in all"
        )


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.h11 = h11.Connection(h11.CLIENT)


class _LoadGenerator:
    """Generates the load of one process."""

    def __init__(self, target: LoadTarget, seed: int) -> None:
        self._target, self._rng = target, random.Random(seed)
        self._idle: list[_Connection] = []

    async def run(self, rate: float, seconds: float) -> LoadResult:
        """Send a Poisson stream of requests."""
        result = LoadResult(rate)
        clock = asyncio.get_running_loop().time
        begin = clock() + START_DELAY_S
        due, tasks = begin, set[asyncio.Task[None]]()
        while True:
            due += self._rng.expovariate(rate)
            if due >= begin + seconds:
                break
            delay = due - clock()
            if delay > 0:
                await asyncio.sleep(delay)
            result.late_ms = max(result.late_ms, (clock() - due) * 1000)
            task = asyncio.create_task(self._request(due, result))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        for connection in self._idle:
            connection.writer.close()
        return result

    async def _request(self, due: float, result: LoadResult) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                outcome = str(await self._status())
        except TimeoutError:
            outcome = "no answer"
        except (OSError, h11.ProtocolError) as error:
            outcome = "refused" if isinstance(error, ConnectionRefusedError) else "broken"
        result.answers[outcome] += 1
        latency_us = (asyncio.get_running_loop().time() - due) * 1e6
        result.latencies.record_value(min(max(int(latency_us), MIN_LATENCY_US), MAX_LATENCY_US))

    async def _status(self) -> int:
        connection = await self._connect()
        target = self._target
        headers = [("host", f"{target.host}:{target.port}"), *target.headers]
        if target.customers:
            headers.append(("x-customer", f"c{self._rng.randrange(target.customers)}"))
        request = h11.Request(method="GET", target=self._rng.choice(target.paths), headers=headers)
        reusable = False
        try:
            connection.writer.write(
                (connection.h11.send(request) or b"") + (connection.h11.send(h11.EndOfMessage()) or b"")
            )
            status = 0
            while True:
                event = connection.h11.next_event()
                if event is h11.NEED_DATA:
                    connection.h11.receive_data(await connection.reader.read(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionResetError("closed before the answer")
            if (
                connection.h11.our_state is h11.DONE
                and connection.h11.their_state is h11.DONE
                and len(self._idle) < MAX_IDLE_CONNECTIONS
            ):
                connection.h11.start_next_cycle()
                self._idle.append(connection)
                reusable = True
            return status
        finally:
            if not reusable:
                connection.writer.close()

    async def _connect(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.writer.transport.is_closing() and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        return _Connection(*await asyncio.open_connection(self._target.host, self._target.port))


def _run_process(target: LoadTarget, rate: float, seconds: float, seed: int) -> tuple[Counter[str], bytes, float]:
    result = asyncio.run(_LoadGenerator(target, seed).run(rate, seconds))
    return result.answers, result.latencies.encode(), result.late_ms


def load(target: LoadTarget, rate: float, seconds: float, processes: int = 1, seed: int = 1) -> LoadResult:
    """Send `rate` requests a second for `seconds`, from several processes; raises LoadError."""
    check_bounds(rate, seconds)
    result = LoadResult(rate)
    with ProcessPoolExecutor(processes, get_context("spawn")) as pool:
        jobs = [
            pool.submit(_run_process, target, rate / processes, seconds, seed * 1000 + number)
            for number in range(processes)
        ]
        for job in jobs:
            answers, latencies, late_ms = job.result()
            result.answers += answers
            result.latencies.decode_and_add(latencies)
            result.late_ms = max(result.late_ms, late_ms)
    return result


def find_highest_rate(
    run: Callable[[float], LoadResult], lowest: float, highest: float, p99_ms: float, failures: float, steps: int
) -> list[tuple[float, bool, LoadResult]]:
    """Search the highest rate that keeps p99 and the share of failures within bounds: the rate doubles from the lowest
    one until it fails, then the interval is halved.  Returns each step and whether its rate was sustained."""
    steps_made: list[tuple[float, bool, LoadResult]] = []
    sustained, failed, rate = 0.0, float("inf"), lowest
    while len(steps_made) < steps and rate <= highest and failed - sustained > 0.05 * rate:
        result = run(rate)
        total = sum(result.answers.values())
        in_bounds = total > 0 and result.percentile_ms(99) <= p99_ms and total - result.successes <= failures * total
        steps_made.append((rate, in_bounds, result))
        if in_bounds:
            sustained = rate
        else:
            failed = rate
        rate = min(sustained * 2, highest) if failed == float("inf") else (sustained + failed) / 2
        if sustained == highest:
            break
    return steps_made
