"""The counter service against its limits: `python -m bench.counter`.

Adds pipelined over a few connections from two load processes; the service on a core of its own; the same adds over the
Redis stand-in through redis-py in the same run; the disk's own fsync beside them.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.throughput import resident_kb, start
from martenstep.counter import protocol as fr
from martenstep.counter.commit_pipeline import CommitPipeline
from martenstep.counter.log_entries import ADD_LAYOUT, ENTRY_ADD
from martenstep.counter.state import CounterLimits, CounterState
from martenstep.storage.files import Disk

NAMES = 10_000


async def adds(port: int, seconds: float, depth: int, door: str) -> dict[str, Any]:
    """So many adds out at once over one connection; each answer sends the next."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(fr.encode(fr.Hello(door, int(time.time() * 1000))))
    frames, sequence, sent = fr.FrameDecoder(), 0, {}
    times: list[float] = []
    until = time.perf_counter() + seconds

    def more(count: int) -> None:
        nonlocal sequence
        out = []
        for _ in range(count):
            sequence += 1
            sent[sequence] = time.perf_counter()
            out.append(fr.encode(fr.Add(sequence, sequence % NAMES, 1.0, 600_000.0)))
        writer.write(b"".join(out))

    started = False
    while data := await reader.read(262_144):
        now = time.perf_counter()
        done = 0
        for payload in frames.feed(data):
            if payload[0] == fr.WELCOME:
                started = True
            else:
                times.append(now - sent.pop(int.from_bytes(payload[1:9], "big")))
                done += 1
        if now < until:
            more(depth if started and not times and not done else done)
        elif not sent:
            break
    writer.close()
    times.sort()
    return {
        "per_s": len(times) / seconds,
        "p50_ms": times[len(times) // 2] * 1000,
        "p99_ms": times[int(len(times) * 0.99)] * 1000,
    }


async def redis_adds(port: int, seconds: float, depth: int) -> dict[str, Any]:
    """The same over redis-py: pipelines of INCRBYFLOAT and PEXPIRE NX."""
    import redis.asyncio as redis

    client = redis.Redis(port=port)
    times: list[float] = []
    until = time.perf_counter() + seconds
    number = 0
    while (now := time.perf_counter()) < until:
        async with client.pipeline(transaction=False) as pipe:
            for _ in range(depth):
                number += 1
                pipe.incrbyfloat(f"n{number % NAMES}", 1.0)
                pipe.pexpire(f"n{number % NAMES}", 600_000, nx=True)
            await pipe.execute()
        times += [time.perf_counter() - now] * depth
    await client.aclose()
    times.sort()
    return {
        "per_s": len(times) / seconds,
        "p50_ms": times[len(times) // 2] * 1000,
        "p99_ms": times[int(len(times) * 0.99)] * 1000,
    }


def loaded(kind: str, port: int, seconds: float, depth: int) -> dict[str, Any]:
    """Load from two processes."""
    loads = [
        subprocess.Popen(
            [
                "taskset",
                "-c",
                core,
                sys.executable,
                "-m",
                "bench.counter",
                kind,
                "--port",
                str(port),
                "--seconds",
                str(seconds),
                "--depth",
                str(depth),
                "--door",
                f"d{core}",
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for core in ("3", "4")
    ]
    told = [json.loads(process.communicate()[0]) for process in loads]
    return {
        "per_s": sum(one["per_s"] for one in told),
        "p50_ms": sum(one["p50_ms"] for one in told) / 2,
        "p99_ms": max(one["p99_ms"] for one in told),
    }


def fsyncs(folder: Path, seconds: float) -> tuple[float, float]:
    """How often a second this disk syncs 4 kB added to a file, and the median time."""
    number = os.open(folder / "sync", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    times = []
    until = time.perf_counter() + seconds
    while (now := time.perf_counter()) < until:
        os.write(number, b"x" * 4096)
        os.fdatasync(number)
        times.append(time.perf_counter() - now)
    os.close(number)
    return len(times) / seconds, sorted(times)[len(times) // 2] * 1000


def restarts(folder: Path, records: int) -> list[tuple[str, float, int]]:
    """Seconds from open to ready for a log of so many adds, with and without a snapshot; and bytes a record."""
    disk = Disk(folder)
    keeper = CommitPipeline(disk, CounterLimits())
    session = keeper.open_session("d", 1)
    assert session is not None
    keeper.commit_pending()
    for first in range(0, records, 2000):
        for number in range(first + 1, first + 2001):
            keeper.submit(None, session, fr.Add(number, number % NAMES, 1.0, 1e12))
        keeper.commit_pending()
    size = sum(path.stat().st_size for path in folder.glob("seg-*"))
    keeper.close()
    found = []
    for what in ("log alone", "snapshot and tail"):
        began = time.perf_counter()
        again = CommitPipeline(disk, CounterLimits())
        found.append((what, time.perf_counter() - began, size // records))
        if what == "log alone":
            again.store_snapshot(*again.encode_snapshot())
        again.close()
    disk.close()
    return found


def memory_of_names(count: int) -> int:
    """Resident bytes for each live name."""
    before = resident_kb(os.getpid())
    counter = CounterState(CounterLimits(deduplication_window=1))
    counter.begin_session("d", 1)
    for number in range(count):
        counter.apply(ADD_LAYOUT.pack(ENTRY_ADD, 1.0, 0, number + 1, number * 7919, 1.0, 1e12))
    return (resident_kb(os.getpid()) - before) * 1024 // count


def chart(rows: list[tuple[str, float, float]], path: Path) -> None:
    """Adds a second as bars, the slowest hundredth beside them."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.6), sharey=True)
    labels = [label for label, _, _ in rows]
    left.barh(labels, [rate for _, rate, _ in rows], color="#4477aa")
    left.set_xlabel("adds a second, one core")
    left.axvline(20_000, color="#888888", linestyle="--", linewidth=1)
    right.barh(labels, [late for _, _, late in rows], color="#cc6677")
    right.set_xlabel("p99, ms (1,000 adds out)")
    left.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Measure, or be one of the loads."""
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", nargs="?", default="all")
    parser.add_argument("--port", type=int)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--depth", type=int, default=500)
    parser.add_argument("--door", default="d")
    parser.add_argument("--chart", type=Path)
    parser.add_argument("--records", type=int, default=1_000_000)
    words = parser.parse_args()
    if words.kind == "adds":
        print(json.dumps(asyncio.run(adds(words.port, words.seconds, words.depth, words.door))))
        return
    if words.kind == "redis":
        print(json.dumps(asyncio.run(redis_adds(words.port, words.seconds, words.depth))))
        return
    told_of: list[tuple[str, float, float]] = []
    print("| what | adds a second | p50, p99 ms |\n| --- | --- | --- |")
    with tempfile.TemporaryDirectory(dir=".") as name:
        folder = Path(name)
        rate, median = fsyncs(folder, 2.0)
        print(f"| fsync alone, 4 kB each | {rate:.0f} syncs | {median:.2f} |")
        for durable, commit in ((True, 0.0), (True, 1.0), (True, 2.0), (True, 5.0), (True, 10.0), (False, 2.0)):
            file = folder / "c.txtpb"
            file.write_text(
                f'name: "c" log {{ directory: "{folder}/log-{durable}-{commit}" commit_ms: {commit} '
                f"durable: {str(durable).lower()} snapshot_records: 0 }}"
            )
            process, told = start("0", "-m", "martenstep", "counter", "serve", str(file))
            try:
                got = loaded("adds", told["ready"]["port"], words.seconds, words.depth)
            finally:
                process.kill()
                process.wait()
            label = f"{'durable' if durable else 'not durable'}, {commit:g} ms"
            told_of.append((label, got["per_s"], got["p99_ms"]))
            print(f"| {label} | {got['per_s']:.0f} | {got['p50_ms']:.1f}, {got['p99_ms']:.1f} |")
        process, told = start("0", "-m", "martenstep", "standin", "redis")
        try:
            got = loaded("redis", told["ready"]["port"], words.seconds, words.depth)
        finally:
            process.kill()
            process.wait()
        print(f"| Redis stand-in through redis-py | {got['per_s']:.0f} | {got['p50_ms']:.1f}, {got['p99_ms']:.1f} |")
        told_of.append(("Redis stand-in", got["per_s"], got["p99_ms"]))
        if words.chart:
            chart(told_of, words.chart)
        print("\n| restart | seconds | bytes a record |\n| --- | --- | --- |")
        for what, seconds, size in restarts(folder / "restart", words.records):
            print(f"| {words.records} records, {what} | {seconds:.2f} | {size} |")
        print(f"\nmemory: {memory_of_names(200_000)} bytes a live name")


if __name__ == "__main__":
    main()
