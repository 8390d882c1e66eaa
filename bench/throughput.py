"""One door on one core against a bare pass-through, in the same run: `python -m bench.throughput`.

Each process has its own core: what is measured on one, servers on two, load on two.  Rounds alternate, so that a
machine that slows down slows all; the table tells medians and ratios to the pass-through.
"""

from __future__ import annotations

import argparse
import atexit
import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from martenstep.hooks.release_files import publish

DOOR = """
name: "door-0" instance: 0 instances: 1 zone: "a"
listener {{ port: 0 max_connections: 20000 }} admin {{ port: 0 }}
{store}
members {{ port: {feed} }}
log {{ lines_per_s: 10 }}
class {{ name: "read" aim_ms: 1500 deadline_ms: 4000 }}
plan {{ {plan} }}
default_plan: "p"
{auth}
route {{ path_prefix: "/read/" class: "read" {identity} }}
"""
# What staff would write: a header for the servers, one for the clients, a field of the line.
TYPICAL = (
    'fn group(r: Request) -> text { match r.plan { "studio" | "agency" -> "large", _ -> "small" } } '
    'on sending(r) { Sending { headers: [Header { name: "x-group", value: group(r) }] } }',
    'on answer(r, a) { if a.attempts > 1 { [Header { name: "x-tried", value: "${a.attempts}" }] } else { [] } }',
    'on log(r, a) { if starts_with(r.path, "/read/") { [Field { name: "area", value: "read" }] } else { [] } }',
)
HOOKS = {
    "empty hooks": ("on sending(r) { Sending {} }", "on answer(r, a) { [] }", "on log(r, a) { [] }"),
    "three hooks": TYPICAL,
    "no hooks in it": (),
    "one of the hooks": (TYPICAL[1],),
}
CORE, SERVERS, LOADS, OTHERS = 0, "1,2", ("3", "4"), "5"
WARM_S = 1.5
PEERS = 23  # of a door in a fleet
Started = tuple[subprocess.Popen[str], Any]


def start(cores: str, *words: str, folder: Path | None = None) -> Started:
    """Start a Python process on these cores, in a folder whose code comes first, and read its first line."""
    process = subprocess.Popen(
        ["taskset", "-c", cores, sys.executable, *words],
        stdout=subprocess.PIPE,
        text=True,
        stderr=subprocess.DEVNULL,
        cwd=folder,
    )
    assert process.stdout is not None
    return process, json.loads(process.stdout.readline())


def loaded(port: int, seconds: float, **words: float) -> dict[str, Any]:
    """Load from two processes; figures added up."""
    more = [part for name, value in words.items() for part in (f"--{name}", str(value))]
    base = [sys.executable, "-m", "bench.light", "load", "--port", str(port), "--seconds", str(seconds), *more]
    loads = [
        subprocess.Popen(["taskset", "-c", core, *base, "--seed", str(index)], stdout=subprocess.PIPE, text=True)
        for index, core in enumerate(LOADS)
    ]
    told = [json.loads(process.communicate()[0]) for process in loads]
    statuses: dict[str, int] = {}
    for one in told:
        for status, count in one["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    return {
        "per_s": sum(one["per_s"] for one in told),
        "statuses": statuses,
        "p50_ms": statistics.mean(one["p50_ms"] for one in told),
        "p99_ms": max(one["p99_ms"] for one in told),
    }


@contextlib.contextmanager
def backends(count: int, size: int = 1000) -> Iterator[tuple[list[int], int, int]]:
    """Light servers, a feed that lists them, a Redis stand-in; gives their ports."""
    made: list[subprocess.Popen[str]] = []
    try:
        servers, ports = start(SERVERS, "-m", "bench.light", "serve", "--count", str(count), "--bytes", str(size))
        made.append(servers)
        services = []
        for kind in ("verdicts", "kept"):
            auth, [service] = start("7", "-m", "bench.light", "serve", "--count", "1", "--kind", kind)
            made.append(auth)
            services.append(service)
        feed, told = start(OTHERS, "-m", "martenstep", "standin", "feed")
        made.append(feed)
        redis, store = start("6", "-m", "martenstep", "standin", "redis")
        made.append(redis)
        entries = [
            {"id": n + 1, "host": "127.0.0.1", "port": port, "zone": "a", "state": "up"} for n, port in enumerate(ports)
        ]
        import asyncio

        from martenstep.standins.base import send_command

        asyncio.run(send_command(told["ready"]["control"], "update", servers=entries, now=True))
        yield ports + services, told["ready"]["port"], store["ready"]["port"]
    finally:
        for process in made:
            process.kill()
            process.wait()


def subject(kind: str, ports: list[int], feed: int, store: int, folder: Path, other: Path | None = None) -> Started:
    """Start what is measured; a kind that begins with "other " is of another checkout."""
    if "pass-through" in kind:
        module = "bench.passthrough_llhttp" if "llhttp" in kind else "bench.passthrough"
        return start(str(CORE), "-m", module, json.dumps(ports[:-2]))
    plan = 'name: "p"' if "no quota" in kind else 'name: "p" rate: 100000 burst: 200000'
    told = f"store {{ port: {store} timeout_ms: 50 }}" if "store" in kind else ""
    file = folder / f"{kind.replace(' ', '-')}.txtpb"
    kept = "auth, kept" in kind
    guarded = f"auth {{ service {{ port: {ports[-1 if kept else -2]} }} waiting: 20000 }}" if "auth" in kind else ""
    identity = "authenticate: true" if "auth" in kind else 'customer_header: "x-customer"'
    share = 1.0 if "traced all" in kind else 0.01
    if "traced" in kind:
        guarded += f' tracing {{ file: "{folder}/traces.jsonl" share: {share} }}'
    if "hooks" in kind:
        guarded += f' hooks {{ directory: "{hooks(folder, HOOKS[kind.rpartition(", ")[2]])}" }}'
    if "fleet" in kind:
        key = folder / "fleet-key"
        if not key.exists():
            key.write_text("ab" * 32)
            process, told_of = start(OTHERS, "-m", "bench.peers", str(key), str(PEERS))
            (folder / "fleet-port").write_text(str(told_of["ready"]["port"]))
            atexit.register(process.kill)
        guarded += (
            f' fleet {{ cluster: "bench" key_file: "{key}" seed {{ port: {(folder / "fleet-port").read_text()} }} }}'
        )
    if "workers" in kind:
        guarded += f" workers {{ count: {int(kind.split()[-2])} share: {'REUSE_PORT' if 'own' in kind else 'PASSED'} }}"
    file.write_text(DOOR.format(store=told, feed=feed, plan=plan, auth=guarded, identity=identity))
    return start(
        str(CORE),
        "-m",
        "martenstep",
        "serve",
        str(file),
        *(["--uvloop"] if "uvloop" in kind else []),
        folder=other if kind.startswith("other ") else None,
    )


def hooks(folder: Path, sources: tuple[str, ...]) -> Path:
    """A directory with one release of these hooks."""
    made = folder / f"hooks-{len(list(folder.iterdir()))}"
    drafts = made / "drafts"
    drafts.mkdir(parents=True)
    for number, source in enumerate(sources):
        (drafts / f"h{number}.hook").write_text(source)
    publish(drafts, made / "releases", 1)
    return made / "releases"


def cpu_s(pid: int) -> float:
    """Seconds of processor time that a process and its workers have used."""
    total = 0.0
    for each in [pid, *children(pid)]:
        fields = Path(f"/proc/{each}/stat").read_text().rpartition(")")[2].split()
        total += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return total


def children(pid: int) -> list[int]:
    """The processes that one has started and that still run."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def resident_kb(pid: int) -> int:
    """Resident memory of a process, in KiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--servers", type=int, nargs="+", default=[14])
    parser.add_argument("--bytes", type=int, default=1000, help="of an answer")
    parser.add_argument("--rate", type=float, default=250.0, help="of each of two loads, for the added time")
    parser.add_argument(
        "--kinds",
        nargs="+",
        default=["pass-through", "door, no quota", "door, quota", "door, quota, store", "door, quota, store, uvloop"],
    )
    parser.add_argument("--other", type=Path, help="a checkout whose door kinds that begin with 'other ' measure")
    words = parser.parse_args()
    for count in words.servers:
        found: dict[str, list[dict[str, Any]]] = {kind: [] for kind in words.kinds}
        slow: dict[str, list[dict[str, Any]]] = {kind: [] for kind in words.kinds}
        with backends(count, words.bytes) as (ports, feed, store), tempfile.TemporaryDirectory() as folder:
            for _ in range(words.rounds):
                for kind in words.kinds:
                    process, told = subject(kind, ports, feed, store, Path(folder), words.other)
                    try:
                        time.sleep(0.5)
                        port = told["ready"]["listener"]
                        loaded(port, WARM_S, connections=16)
                        before = cpu_s(process.pid)
                        figures = loaded(port, words.seconds, connections=24)
                        figures["cpu_us"] = (cpu_s(process.pid) - before) * 1e6 / sum(figures["statuses"].values())
                        found[kind].append(figures)
                        slow[kind].append(loaded(port, words.seconds, rate=words.rate))
                    finally:
                        process.kill()
                        process.wait()
        base = statistics.median(one["per_s"] for one in found[words.kinds[0]])
        base50 = statistics.median(one["p50_ms"] for one in slow[words.kinds[0]])
        base99 = statistics.median(one["p99_ms"] for one in slow[words.kinds[0]])
        print(f"\n{count} servers, {words.rounds} rounds, cores {os.cpu_count()}\n")
        base_cpu = statistics.median(one["cpu_us"] for one in found[words.kinds[0]])
        print(
            "| what | requests a second | ratio | CPU a request, ratio | p50, p99 at "
            f"{2 * words.rate:.0f}/s | added p50, p99 | statuses |\n"
            "| --- | --- | --- | --- | --- | --- | --- |"
        )
        for kind in words.kinds:
            rate = statistics.median(one["per_s"] for one in found[kind])
            p50 = statistics.median(one["p50_ms"] for one in slow[kind])
            p99 = statistics.median(one["p99_ms"] for one in slow[kind])
            cpu = statistics.median(one["cpu_us"] for one in found[kind])
            print(
                f"| {kind} | {rate:.0f} | {rate / base:.2f} | {cpu:.0f} us, {base_cpu / cpu:.2f} | "
                f"{p50:.2f}, {p99:.2f} ms | {p50 - base50:+.2f}, {p99 - base99:+.2f} ms | "
                f"{found[kind][-1]['statuses']} |"
            )


def metrics(port: int) -> dict[str, float]:
    """The door's own gauges."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    return {line.split()[0]: float(line.split()[1]) for line in lines if line and line[0] != "#"}


if __name__ == "__main__":
    main()
