"""Memory of one door: 10,000 customers, 5,000 open connections: `python -m bench.memory`."""

from __future__ import annotations

import asyncio
import resource
import tempfile
from pathlib import Path

from bench.throughput import backends, metrics, resident_kb, subject

CUSTOMERS, CONNECTIONS = 10_000, 5_000


async def ask(port: int, customers: range) -> None:
    """One request for each customer, over one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for customer in customers:
        writer.write(b"GET /read/1 HTTP/1.1\r\nhost: d\r\nx-customer: c%d\r\n\r\n" % customer)
        head = await reader.readuntil(b"\r\n\r\n")
        at = head.lower().index(b"content-length:") + 15
        await reader.readexactly(int(head[at : head.index(b"\r\n", at)]))
    writer.close()


async def measure(port: int, admin: int, pid: int) -> None:
    """Print resident memory after each step."""
    print("| step | resident KiB | more, KiB | each, bytes |\n| --- | --- | --- | --- |")
    last = resident_kb(pid)
    print(f"| started | {last} | - | - |")
    step = CUSTOMERS // 8
    await asyncio.gather(*(ask(port, range(n * step, (n + 1) * step)) for n in range(8)))
    now = resident_kb(pid)
    print(f"| {CUSTOMERS} customers seen | {now} | {now - last} | {(now - last) * 1024 // CUSTOMERS} |")
    wires = []
    for _ in range(CONNECTIONS // 50):
        wires += await asyncio.gather(*(asyncio.open_connection("127.0.0.1", port) for _ in range(50)))
    await asyncio.sleep(0.5)
    held = await asyncio.to_thread(metrics, admin)
    more = resident_kb(pid)
    print(
        f"| {int(held['martenstep_client_connections'])} connections open | {more} | {more - now} | "
        f"{(more - now) * 1024 // CONNECTIONS} |"
    )
    for _, writer in wires:
        writer.close()


def main() -> None:
    """Start a door and measure it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 20_000), hard))
    with backends(14) as (ports, feed, store), tempfile.TemporaryDirectory() as folder:
        process, told = subject("door, quota, store", ports, feed, store, Path(folder))
        try:
            asyncio.run(measure(told["ready"]["listener"], told["ready"]["admin"], process.pid))
        finally:
            process.kill()
            process.wait()


if __name__ == "__main__":
    main()
