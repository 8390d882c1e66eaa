"""`python -m martenstep.lab.soak.crowd_play`: one gateway process under a crowd, with what it holds and its latency.

Well-behaved clients send requests all the time.  The figures are those of the kernel for the gateway's process, and of
the well-behaved clients.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from martenstep.lab.ports import reserve_ports
from martenstep.lab.soak.crowd import Kind
from martenstep.lab.soak.parties import (
    CONNECTION_ERRORS,
    HEAD_END,
    Agent,
    EndpointList,
    FakeCounter,
    FakeService,
    crowd_response,
    read_head,
)
from martenstep.lab.soak.process_memory import status_mb

BACKENDS = 4
MIN_WORK_S, MEAN_WORK_S = 0.02, 0.02  # of one request at a backend
DEADLINE_MS = 5000
LATE_S = 0.5  # a response this long after its deadline counts as missing
POLL_S = 0.1  # between two readings of the process's memory
REST_S = 0.5  # before the crowd comes
START_TIMEOUT_S = 20.0
SETTINGS: dict[str, Any] = {
    "me": 0,
    "instances": 3,
    "zone": "north",
    "tick_ms": 4.0,
    "classes": [
        {"name": "read", "slo_ms": 1500.0, "deadline_ms": float(DEADLINE_MS), "idempotency": "idempotent"},
        {
            "name": "book",
            "slo_ms": 2000.0,
            "deadline_ms": float(DEADLINE_MS),
            "idempotency": "deduplicated",
            "group": "all",
            "window_ms": 5000.0,
        },
    ],
    "contracts": [
        {"name": "small", "units_per_s": 3.0, "most_at_once": 14.0, "beyond_costs": 1.0},
        {"name": "free"},
    ],
    "family_info": {"has_counter": True, "counter_timeout_ms": 40.0, "max_units": 3},
    "policy_limits": {
        "try_limit": 3,
        "cancelling": True,
        "conn_idle_ms": 20_000.0,
        "dial_timeout_ms": 250.0,
        "max_open": 20_000,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
    },
    "rules": {"answer_slack_ms": 5.0},
}


@dataclass(slots=True)
class Limits:
    """The limits that the gateway's configuration states."""

    memory_mb: float
    sockets: int = 1024
    cores: float = 1.0


@dataclass(slots=True)
class Result:
    """What was observed of the gateway, and of its well-behaved clients."""

    peak_mb: float = 0.0  # the kernel's high-water mark of the resident memory
    rest_mb: float = 0.0  # resident before the crowd came
    samples: list[tuple[float, float]] = field(default_factory=list)  # time, and resident memory in MB
    exited: bool = False
    statuses: Counter[str] = field(default_factory=Counter)
    latencies_s: list[float] = field(default_factory=list)
    crowd: dict[str, int] = field(default_factory=dict)
    log_lines: list[dict[str, Any]] = field(default_factory=list)

    @property
    def growth_mb(self) -> float:
        """How much more was resident at the end than half way through the crowd's stay."""
        if not self.samples:
            return 0.0
        half = self.samples[0][0] + (self.samples[-1][0] - self.samples[0][0]) / 2
        return self.samples[-1][1] - next(held for at, held in self.samples if at >= half)

    def percentile_s(self, share: float) -> float:
        """A percentile of the latency of the well-behaved clients."""
        ordered = sorted(self.latencies_s)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


class EchoBackend(FakeService):
    """A backend that answers each request with its id, after a while."""

    state, boot_ms = "ready", 0.0

    def __init__(self, name: str, rng: random.Random) -> None:
        super().__init__()
        self.name, self._rng = name, rng

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve requests one after the other."""
        while True:
            _, headers, _ = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", "0")))
            await asyncio.sleep(MIN_WORK_S + self._rng.expovariate(1 / MEAN_WORK_S))
            writer.write(crowd_response(headers["x-trace-id"]))


class CrowdPlay:
    """One gateway process with its backends, its well-behaved clients, and one crowd."""

    def __init__(self, folder: Path, limits: Limits, seed: int, program: str = sys.executable) -> None:
        """`program` is the interpreter that runs the gateway."""
        self._folder, self._limits, self._seed, self._program = folder, limits, seed, program
        self._rng = random.Random(seed)
        self._port = reserve_ports(1)[0]
        self._numbers = 0
        self._requests: set[asyncio.Task[None]] = set()
        self._services: list[FakeService] = []
        self.result = Result()

    async def run(self, kind: Kind | None, clients: int, seconds: float, rate: float) -> Result:
        """Play a crowd of a kind for some seconds beside `rate` requests a second; None: no crowd."""
        config = await self._start_services()
        process = await asyncio.create_subprocess_exec(
            self._program,
            "-m",
            "martenstep.node",
            env={**os.environ, "NODE_CONFIG": str(config)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        log = asyncio.create_task(self._read_log(process))
        try:
            await self._wait_until_ready(process)
            await self._play(process, kind, clients, seconds, rate)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await log
            for service in self._services:
                service.stop()
        return self.result

    async def _start_services(self) -> Path:
        endpoints = EndpointList()
        for index in range(BACKENDS):
            backend = EchoBackend(f"s-{index}", self._rng)
            await backend.start()
            endpoints.put(backend)  # type: ignore[arg-type]  # it has all that an entry names
            self._services.append(backend)
        agent, counter = Agent(endpoints, self._rng), FakeCounter()
        for service in (agent, counter):
            await service.start()
            self._services.append(service)
        limits = self._limits
        path = self._folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": f"127.0.0.1:{agent.port}",
            "counter": f"127.0.0.1:{counter.port}",
            "seed": f"{self._seed:x}",
            "limits": {"cores": limits.cores, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": json.loads(endpoints.full()),
            "settings": SETTINGS,
        }
        path.write_text(json.dumps(config), encoding="utf-8")
        return path

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        async for raw in process.stdout:
            try:
                self.result.log_lines.append(json.loads(raw))
            except ValueError:
                self.result.log_lines.append({"event": "fault", "text": raw.decode(errors="replace")})

    async def _wait_until_ready(self, process: asyncio.subprocess.Process) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not any(line.get("event") == "ready" for line in self.result.log_lines):
                if process.returncode is not None:
                    raise RuntimeError(f"the gateway exited with {process.returncode}: {self.result.log_lines[-3:]}")
                await asyncio.sleep(0.01)

    async def _play(
        self, process: asyncio.subprocess.Process, kind: Kind | None, clients: int, seconds: float, rate: float
    ) -> None:
        result = self.result
        until = time.monotonic() + REST_S + seconds
        sending = asyncio.create_task(self._send_usual(rate, until))
        await asyncio.sleep(REST_S)
        result.rest_mb = status_mb(process.pid, "VmRSS")
        crowd = await self._start_crowd(kind, clients, until - time.monotonic()) if kind is not None else None
        while time.monotonic() < until and process.returncode is None:
            result.samples.append((time.monotonic(), status_mb(process.pid, "VmRSS")))
            result.peak_mb = max(result.peak_mb, status_mb(process.pid, "VmHWM"))
            await asyncio.sleep(POLL_S)
        if crowd is not None:
            out, _ = await crowd.communicate()
            result.crowd = json.loads(out or b"{}")
        await sending
        await asyncio.gather(*list(self._requests))
        result.peak_mb = max(result.peak_mb, status_mb(process.pid, "VmHWM"))
        result.exited = process.returncode is not None

    async def _start_crowd(self, kind: Kind, clients: int, seconds: float) -> asyncio.subprocess.Process:
        options = {"port": self._port, "kind": kind.name, "clients": clients, "seconds": seconds, "seed": self._seed}
        words = [word for name, value in options.items() for word in (f"--{name}", str(value))]
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", "martenstep.lab.soak.crowd", *words, stdout=asyncio.subprocess.PIPE
        )

    # Well-behaved clients -----------------------------------------------------------------------------------

    async def _send_usual(self, rate: float, until: float) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(rate))
            task = asyncio.create_task(self._send_one())
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send_one(self) -> None:
        self._numbers += 1
        request_id = f"usual-{self._numbers}"
        head = (
            f"GET /read/{self._rng.randrange(1000, 1200):016x} HTTP/1.1\r\nHost: svc\r\nX-Trace-Id: {request_id}\r\n"
            f"X-Qos: read\r\nX-Plan: free\r\nX-Expires-In-Ms: {DEADLINE_MS}\r\n"
            "X-Quota: units=1,spread=3,first=0\r\n\r\n"
        )
        began = time.monotonic()
        self.result.statuses[await self._exchange(head, request_id)] += 1
        self.result.latencies_s.append(time.monotonic() - began)

    async def _exchange(self, head: str, request_id: str) -> str:
        """Send a request on a new connection; returns status and reason of its response, or why there is none."""
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + LATE_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                writer.write(head.encode())
                answer = (await reader.readuntil(HEAD_END)).decode("latin-1").lower()
                body = await reader.readexactly(int(answer.partition("content-length:")[2].split()[0]))
        except TimeoutError:
            return "nothing"
        except CONNECTION_ERRORS:
            return "closed"
        finally:
            if writer is not None:
                writer.close()
        status = answer.split()[1]
        if status != "200":
            return f"{status} {body.decode('latin-1')}"
        return status if body == request_id.encode() else "another's response"


async def play(
    kind: Kind | None, clients: int, seconds: float, limits: Limits, seed: int, rate: float = 40.0
) -> Result:
    """Play one crowd on a gateway of its own."""
    with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
        return await CrowdPlay(Path(folder), limits, seed).run(kind, clients, seconds, rate)


def describe(name: str, result: Result) -> str:
    """Return one line with the figures of a play."""
    return (
        f"{name}: rest {result.rest_mb:.1f} peak {result.peak_mb:.1f} growth {result.growth_mb:+.1f} MB, "
        f"usual {dict(result.statuses)} p50 {1000 * result.percentile_s(0.5):.0f} "
        f"p99 {1000 * result.percentile_s(0.99):.0f} ms, crowd {result.crowd}"
        f"{', exited by itself' if result.exited else ''}"
    )


def main() -> None:
    """Play the kinds of the command line one after another, and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kinds", default=",".join(kind.name for kind in Kind), help="names of Kind, or NONE")
    parser.add_argument("--clients", type=int, default=0, help="0: as many as the kind is known for")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--memory", type=float, default=32.0, help="limits.memory_mb")
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    limits = Limits(arguments.memory, arguments.sockets)
    for name in arguments.kinds.split(","):
        kind = None if name == "NONE" else Kind[name]
        clients = arguments.clients or usual_clients(kind)
        result = asyncio.run(play(kind, clients, arguments.seconds, limits, arguments.seed))
        sys.stdout.write(describe(f"{name} x {clients}, {limits.memory_mb:g} MB", result) + "\n")
        sys.stdout.flush()


def usual_clients(kind: Kind | None) -> int:
    """The number of clients of a crowd, unless one is stated."""
    if kind in (Kind.FULL_SPEED, Kind.UNSOUND):
        return 1
    return 36 if kind is Kind.NEW_NAMES else 350


if __name__ == "__main__":
    main()
