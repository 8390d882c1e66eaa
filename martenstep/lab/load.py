"""Load for a running door: open loop, so that a door that stalls is not spared the requests that were due meanwhile.

Each request has its moment beforehand and is measured from it, whenever it could be sent; what is never answered counts
with the time that it was waited for.  Times go into an HdrHistogram a process; the processes' are added up.
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

LEAST_US, MOST_US, DIGITS = 1, 120_000_000, 3
MOST_RATE, MOST_S, MOST_REQUESTS = 100_000.0, 600.0, 5_000_000
WAIT_S = 10.0  # for an answer
LEAD_S = 0.2  # all processes begin together
MOST_IDLE = 512


class LoadError(Exception):
    """Load that must not be made."""


@dataclass(frozen=True, slots=True)
class Aim:
    """What is asked."""

    host: str
    port: int
    paths: tuple[str, ...] = ("/",)
    headers: tuple[tuple[str, str], ...] = ()
    customers: int = 100  # the header x-customer is c0 ... of so many; 0: none


@dataclass(slots=True)
class Result:
    """What came of it."""

    rate: float
    answers: Counter[str] = field(default_factory=Counter)  # by status, or by how it failed
    times: HdrHistogram = field(default_factory=lambda: HdrHistogram(LEAST_US, MOST_US, DIGITS))
    late_ms: float = 0.0  # the worst that a request was sent behind its moment: the load's own fault above a few ms

    def ms(self, percentile: float) -> float:
        """A percentile of the times from a request's moment."""
        return float(self.times.get_value_at_percentile(percentile)) / 1000.0

    @property
    def good(self) -> int:
        """Answers that are no failure: a refusal is an answer."""
        return sum(count for what, count in self.answers.items() if what.isdigit() and int(what) not in (500, 502, 504))


def allowed(host: str, anywhere: bool) -> None:
    """Only this machine, unless it is told otherwise; raises LoadError."""
    with suppress(ValueError):
        if ipaddress.ip_address(host).is_loopback:
            return
    if host != "localhost" and not anywhere:
        raise LoadError(f"{host}: is not on the loopback; --anywhere says that it is yours to load")


def bounded(rate: float, seconds: float) -> None:
    """Raises LoadError for load without a sensible end."""
    if not 0 < rate <= MOST_RATE or not 0 < seconds <= MOST_S or rate * seconds > MOST_REQUESTS:
        raise LoadError(
            f"{rate:g} a second for {seconds:g} s: at most {MOST_RATE:g} a second, {MOST_S:g} s and "
            f"{MOST_REQUESTS} requests in all"
        )


class _Wire:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.h11 = h11.Connection(h11.CLIENT)


class _Loader:
    """One process's load."""

    def __init__(self, aim: Aim, seed: int) -> None:
        self._aim, self._rng = aim, random.Random(seed)
        self._idle: list[_Wire] = []

    async def run(self, rate: float, seconds: float) -> Result:
        """A Poisson stream of requests."""
        result = Result(rate)
        clock = asyncio.get_running_loop().time
        begin = clock() + LEAD_S
        due, tasks = begin, set[asyncio.Task[None]]()
        while True:
            due += self._rng.expovariate(rate)
            if due >= begin + seconds:
                break
            pause = due - clock()
            if pause > 0:
                await asyncio.sleep(pause)
            result.late_ms = max(result.late_ms, (clock() - due) * 1000)
            task = asyncio.create_task(self._one(due, result))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        while tasks:
            await asyncio.wait(set(tasks))
        for wire in self._idle:
            wire.writer.close()
        return result

    async def _one(self, due: float, result: Result) -> None:
        try:
            async with asyncio.timeout(WAIT_S):
                what = str(await self._asked())
        except TimeoutError:
            what = "no answer"
        except (OSError, h11.ProtocolError) as error:
            what = "refused" if isinstance(error, ConnectionRefusedError) else "broken"
        result.answers[what] += 1
        took = (asyncio.get_running_loop().time() - due) * 1e6
        result.times.record_value(min(max(int(took), LEAST_US), MOST_US))

    async def _asked(self) -> int:
        wire = await self._wire()
        aim = self._aim
        headers = [("host", f"{aim.host}:{aim.port}"), *aim.headers]
        if aim.customers:
            headers.append(("x-customer", f"c{self._rng.randrange(aim.customers)}"))
        request = h11.Request(method="GET", target=self._rng.choice(aim.paths), headers=headers)
        kept = False
        try:
            wire.writer.write((wire.h11.send(request) or b"") + (wire.h11.send(h11.EndOfMessage()) or b""))
            status = 0
            while True:
                event = wire.h11.next_event()
                if event is h11.NEED_DATA:
                    wire.h11.receive_data(await wire.reader.read(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionResetError("closed before the answer")
            if wire.h11.our_state is h11.DONE and wire.h11.their_state is h11.DONE and len(self._idle) < MOST_IDLE:
                wire.h11.start_next_cycle()
                self._idle.append(wire)
                kept = True
            return status
        finally:
            if not kept:
                wire.writer.close()

    async def _wire(self) -> _Wire:
        while self._idle:
            wire = self._idle.pop()
            if not wire.writer.transport.is_closing() and not wire.reader.at_eof():
                return wire
            wire.writer.close()
        return _Wire(*await asyncio.open_connection(self._aim.host, self._aim.port))


def _process(aim: Aim, rate: float, seconds: float, seed: int) -> tuple[Counter[str], bytes, float]:
    result = asyncio.run(_Loader(aim, seed).run(rate, seconds))
    return result.answers, result.times.encode(), result.late_ms


def load(aim: Aim, rate: float, seconds: float, processes: int = 1, seed: int = 1) -> Result:
    """So many requests a second for so long, from several processes; raises LoadError."""
    bounded(rate, seconds)
    result = Result(rate)
    with ProcessPoolExecutor(processes, get_context("spawn")) as pool:
        made = [
            pool.submit(_process, aim, rate / processes, seconds, seed * 1000 + number) for number in range(processes)
        ]
        for one in made:
            answers, times, late = one.result()
            result.answers += answers
            result.times.decode_and_add(times)
            result.late_ms = max(result.late_ms, late)
    return result


def highest(
    run: Callable[[float], Result], least: float, most: float, p99_ms: float, failures: float, steps: int
) -> list[tuple[float, bool, Result]]:
    """Steps to the highest rate that keeps p99 and the share of failures within bounds: doubling from the least while
    it holds, then halving the gap.  Gives every step, and whether it held."""
    made: list[tuple[float, bool, Result]] = []
    held, broke, rate = 0.0, float("inf"), least
    while len(made) < steps and rate <= most and broke - held > 0.05 * rate:
        result = run(rate)
        total = sum(result.answers.values())
        good = total > 0 and result.ms(99) <= p99_ms and total - result.good <= failures * total
        made.append((rate, good, result))
        if good:
            held = rate
        else:
            broke = rate
        rate = min(held * 2, most) if broke == float("inf") else (held + broke) / 2
        if held == most:
            break
    return made
