"""Durable adds a second, and time without answers: `python -m bench.copies_rate --seconds 5 --failovers 30`.

One run, side by side, on real processes over loopback: the single service with its log, then 1, 3 and 5 copies; all on
this machine's one disk and cores.  Then leaders are killed (SIGKILL) and started again, and an asker that follows the
copies measures from the kill to the next add that is acknowledged.  Not part of the tests.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import numpy as np

from martenstep.counter.protocol import Add, FrameDecoder, Hello, Status, TotalReply, decode, encode
from martenstep.lab.copies import CounterReplicas, start_counter
from martenstep.lab.ports import reserve_ports

MEMORY = "/dev/shm" if Path("/dev/shm").is_dir() else None  # for witnesses, as in service
ASKERS = 4  # processes that ask, so that what is measured is not theirs


async def _ask(port: int, door: str, out: int, seconds: float) -> list[float]:
    """Keep so many adds out on one connection; gives each one's time, in ms."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(encode(Hello(door, int(time.time() * 1000))))
    frames, since, took, sequence = FrameDecoder(), dict[int, float](), list[float](), 0
    until = time.perf_counter() + seconds
    for _ in range(out):
        sequence += 1
        since[sequence] = time.perf_counter()
        writer.write(encode(Add(sequence, sequence % 500, 1.0, 60_000.0)))
    while time.perf_counter() < until:
        data = await reader.read(262_144)
        if not data:
            raise RuntimeError("the connection ended")
        now, more = time.perf_counter(), []
        for payload in frames.feed(data):
            reply = decode(payload)
            if isinstance(reply, TotalReply):
                if reply.status is not Status.DONE:
                    raise RuntimeError(f"{reply}")
                took.append((now - since.pop(reply.sequence)) * 1000)
                sequence += 1
                since[sequence] = now
                more.append(encode(Add(sequence, sequence % 500, 1.0, 60_000.0)))
        writer.write(b"".join(more))
    writer.close()
    return took


def _asker(work: tuple[int, int, int, float]) -> list[float]:
    port, number, out, seconds = work
    return asyncio.run(_ask(port, f"door-{number}", out, seconds))


async def _load(port: int, out: int, seconds: float) -> str:
    loop = asyncio.get_running_loop()
    with ProcessPoolExecutor(ASKERS) as pool:
        works = [(port, number, out, seconds) for number in range(ASKERS)]
        parts = await asyncio.gather(*(loop.run_in_executor(pool, _asker, work) for work in works))
    took = np.concatenate([np.array(part) for part in parts])
    p50, p99 = np.percentile(took, [50, 99])
    return f"{len(took) / seconds:8.0f} a second, p50 {p50:6.2f} ms, p99 {p99:7.2f} ms"


@contextlib.asynccontextmanager
async def _single(folder: Path) -> AsyncIterator[int]:
    [port] = reserve_ports(1)
    file = folder / "single.txtpb"
    file.write_text(f'name: "c" port: {port} log {{ directory: "{folder}/log" }}')
    process, _ = await start_counter(file)
    try:
        yield port
    finally:
        process.kill()
        await process.wait()


async def _rates(out: int, seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with _single(Path(folder)) as port:
            click.echo(f"one service, {ASKERS} x {out} out: {await _load(port, out, seconds)}")
    for count in (1, 3, 5):
        with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory(dir=MEMORY) as memory:
            copies = CounterReplicas(Path(folder), count, Path(memory))
            await copies.start_all()
            try:
                leader, _ = await copies.wait_for_leader()
                told = await _load(copies.ports[leader], out, seconds)
                click.echo(f"{count} copies,    {ASKERS} x {out} out: {told}")
            finally:
                await copies.stop()


async def _one_add(copies: CounterReplicas, sequence: int, epoch: int) -> None:
    """Return once an add is acknowledged, by whichever copy."""
    while True:
        for number in list(copies.running):
            if await copies.read_total(number, Hello("asker", epoch), Add(sequence, 7, 1.0, 3.6e6), 0.5) is not None:
                return
        await asyncio.sleep(0.01)


async def _failovers(times: int) -> None:
    with tempfile.TemporaryDirectory() as folder, tempfile.TemporaryDirectory(dir=MEMORY) as memory:
        copies = CounterReplicas(Path(folder), 3, Path(memory))
        await copies.start_all()
        away, epoch = [], int(time.time() * 1000)
        try:
            for number in range(1, times + 1):
                leader, _ = await copies.wait_for_leader()
                begin = time.perf_counter()
                await copies.kill(leader)
                await _one_add(copies, number, epoch)
                away.append((time.perf_counter() - begin) * 1000)
                await copies.start(leader)
                await asyncio.sleep(0.5)  # it is caught up
            _, total = await copies.wait_for_leader()
        finally:
            await copies.stop()
    p50, p99 = np.percentile(away, [50, 99])
    click.echo(
        f"{times} leaders killed: without answers p50 {p50:.0f} ms, p99 {p99:.0f} ms, most {max(away):.0f} ms; "
        f"total {total:.0f} of {times} adds"
    )
    if total != times:
        sys.exit(3)


@click.command()
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--out", default=64, show_default=True, help="Adds out on each of the askers' connections.")
@click.option("--failovers", default=30, show_default=True)
def main(seconds: float, out: int, failovers: int) -> None:
    """Measure it all; exit 3 where an add was lost or counted twice."""
    asyncio.run(_rates(out, seconds))
    if failovers:
        asyncio.run(_failovers(failovers))


if __name__ == "__main__":
    main()
