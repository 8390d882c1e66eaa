"""Throughput by workers, and how evenly the two ways of sharing the address spread: `python -m bench.workers`.

Load, servers and workers share the machine's cores, so that the last rows tell as much of the machine as of the door;
the processor time a request does not depend on that.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from bench.throughput import DOOR, backends, children, cpu_s, metrics

LOADS = 3


def loaded(port: int, seconds: float, connections: int) -> dict[str, Any]:
    """Load from several processes that may run anywhere."""
    words = [
        sys.executable,
        "-m",
        "bench.light",
        "load",
        "--port",
        str(port),
        "--seconds",
        str(seconds),
        "--connections",
        str(connections),
    ]
    loads = [
        subprocess.Popen([*words, "--seed", str(number)], stdout=subprocess.PIPE, text=True) for number in range(LOADS)
    ]
    told = [json.loads(process.communicate()[0]) for process in loads]
    return {
        "per_s": sum(one["per_s"] for one in told),
        "p99_ms": max(one["p99_ms"] for one in told),
        "requests": sum(sum(one["statuses"].values()) for one in told),
    }


def main() -> None:
    """Measure and print a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--workers", type=int, nargs="+", default=[1, 2, 4, 8])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    words = parser.parse_args()
    cases = [
        (count, share)
        for count in words.workers
        for share in ("PASSED", "REUSE_PORT")
        if count > 1 or share == "PASSED"
    ]
    found: dict[tuple[int, str], list[dict[str, Any]]] = {case: [] for case in cases}
    with backends(14) as (_, feed, _), tempfile.TemporaryDirectory() as folder:
        for _ in range(words.rounds):
            for count, share in cases:
                file = Path(folder) / f"{count}-{share}.txtpb"
                file.write_text(
                    DOOR.format(
                        store="",
                        feed=feed,
                        plan='name: "p" rate: 100000 burst: 200000',
                        auth="",
                        identity='customer_header: "x-customer"',
                    )
                    + f"workers {{ count: {count} share: {share} }}"
                )
                process = subprocess.Popen(
                    [sys.executable, "-m", "martenstep", "serve", str(file)],
                    text=True,
                    stdout=subprocess.PIPE,
                    stderr=subprocess.DEVNULL,
                )
                try:
                    assert process.stdout is not None
                    ports = json.loads(process.stdout.readline())["ready"]
                    time.sleep(0.5)
                    loaded(ports["listener"], 1.0, 16)
                    before = cpu_s(process.pid)
                    figures = loaded(ports["listener"], words.seconds, 24)
                    figures["cpu_us"] = (cpu_s(process.pid) - before) * 1e6 / figures["requests"]
                    admins = [port for name, port in ports.items() if name.startswith("admin-")] or [ports["admin"]]
                    each = [metrics(port)["martenstep_requests_total"] for port in admins]
                    figures["spread"] = max(each) / statistics.mean(each)
                    found[count, share].append(figures)
                finally:
                    for child in children(process.pid):
                        os.kill(child, 9)
                    process.kill()
                    process.wait()
    base = statistics.median(one["per_s"] for one in found[cases[0]])
    print(f"\n{os.cpu_count()} cores, {LOADS} load processes, {words.rounds} rounds\n")
    print(
        "| workers | shared by | requests a second | ratio | CPU a request | p99 | the busiest worker's part of the "
        "mean |\n| --- | --- | --- | --- | --- | --- | --- |"
    )
    for case in cases:
        rate, cpu, p99, spread = (
            statistics.median(one[name] for one in found[case]) for name in ("per_s", "cpu_us", "p99_ms", "spread")
        )
        print(
            f"| {case[0]} | {case[1]} | {rate:.0f} | {rate / base:.2f} | {cpu:.0f} us | {p99:.0f} ms | {spread:.2f} |"
        )


if __name__ == "__main__":
    main()
