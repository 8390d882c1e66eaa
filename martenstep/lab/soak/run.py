"""`python -m martenstep.lab.soak.run`: real gateways under overlapping faults drawn from a seed, judged by the oracle.

Each seed plays some gateways as processes for some seconds, with the fault-injection library in each, and prints what
broke.  The schedule is drawn from the seed; what the operating system makes of it is not repeatable, so each violation
is printed with the faults that were on at the time."""

from __future__ import annotations

import argparse
import asyncio
import errno
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from martenstep.lab.ports import reserve_ports
from martenstep.lab.soak.clients import WINDOW_S, Clients, Target
from martenstep.lab.soak.faults import SHORT_COUNT, Call, FaultControl
from martenstep.lab.soak.oracle import HELD_UP_S, Ceiling, Oracle, Rule, SlowStart
from martenstep.lab.soak.parties import MODES, Agent, Backend, CounterParty, Membership
from martenstep.proxy.permission import UNEXPECTED_DENIALS

DRAIN_GRACE_S = 0.7
DEADLINE_MS = 1500.0
KILL_AFTER_S = DEADLINE_MS / 1000 + 0.7  # SIGKILL after SIGTERM, as the platform reckons
ADMITTED_S = 0.4  # after SIGTERM new connections come for so long
SILENT_WATCH_S = 6.0  # what a watch that fell silent misses counts as told then
RELOAD_TOLD_S = 4.0  # after SIGHUP a new discovery counts as told
FLOOD = 280  # connections
CROWD_LEAVES_S = 0.5  # until a gateway has noticed that they are gone
READY_S = 10.0
WARM_RATE = 25.0  # requests a second that a warm backend bears
SLOW_START = SlowStart(cold_from=0.2, warm_within_s=6.0, multiple=2.0, window_s=1.0)
CEILING = Ceiling(units_per_s=5.0, depth=14.0, slack=3.0)
QUIET_EVENTS = ("fault",)  # log events that a gateway must never write
SETTINGS: dict[str, Any] = {
    "zone": "north",
    "tick_ms": 2.0,
    "classes": [
        {"name": "read", "slo_ms": 600.0, "deadline_ms": DEADLINE_MS, "idempotency": "idempotent"},
        {
            "name": "book",
            "slo_ms": 600.0,
            "deadline_ms": DEADLINE_MS,
            "idempotency": "deduplicated",
            "group": "all",
            "window_ms": WINDOW_S * 1000,
        },
        {"name": "pay", "slo_ms": 600.0, "deadline_ms": DEADLINE_MS, "idempotency": "at_most_once"},
    ],
    "contracts": [
        {
            "name": "small",
            "units_per_s": 3.0,
            "most_at_once": 12.0,
            "beyond_costs": 0.5,
            "hard_rate": CEILING.units_per_s,
            "cap_depth": CEILING.depth,
            "tolerance": CEILING.slack,
        },
        {"name": "free"},
    ],
    "family_info": {"has_counter": True, "counter_timeout_ms": 40.0, "max_units": 3},
    "policy_limits": {
        "try_limit": 3,
        "cancelling": True,
        "conn_idle_ms": 1500.0,
        "dial_timeout_ms": 200.0,
        "max_open": 500,
        "retry_after": True,
        "max_retry_after_ms": 700.0,
    },
    "rules": {
        "answer_slack_ms": 10.0,
        "cold_from": SLOW_START.cold_from,
        "drain_grace_ms": DRAIN_GRACE_S * 1000,
        "warm_within_ms": SLOW_START.warm_within_s * 1000,
        "fall_multiple": SLOW_START.multiple,
        "overload_for_ms": SLOW_START.window_s * 1000,
    },
}


class Gateway:
    """One gateway process, its agents and its faults."""

    def __init__(self, soak: Soak, place: int, folder: Path) -> None:
        self._soak, self._place, self._folder = soak, place, folder
        self.target = Target(f"n{place}", reserve_ports(1)[0])
        self.clients = Clients(self.target, soak.oracle, soak.rng, soak.count)
        self.agents = [Agent(soak.members, soak.rng) for _ in range(2)]  # the one in use, and where it may move
        self.control = FaultControl(folder / f"faults-{place}")
        self.lines: list[dict[str, Any]] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._path = folder / f"n{place}.json"
        self.ending = False
        self.agent_told = True  # the agent in use learns of changes

    @property
    def agent(self) -> Agent:
        """The one in use."""
        return self.agents[0]

    def write_config(self) -> None:
        """The configuration as of now."""
        soak = self._soak
        aside = self._path.with_suffix(".new")
        aside.write_text(
            json.dumps(
                {
                    "name": self.target.name,
                    "listen": f"127.0.0.1:{self.target.port}",
                    "discovery": f"127.0.0.1:{self.agent.port}",
                    "counter": f"127.0.0.1:{soak.counter.port}",
                    "seed": f"{soak.rng.getrandbits(60):x}",
                    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 400},
                    "known": soak.known,
                    "settings": {**SETTINGS, "me": self._place, "instances": soak.count},
                }
            ),
            encoding="utf-8",
        )
        os.replace(aside, self._path)

    async def start(self) -> None:
        """Start the process, and let clients come once it is ready."""
        self.write_config()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenstep.node",
            env={**os.environ, "NODE_CONFIG": str(self._path), **self.control.environment},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        first = len(self.lines)
        self._reading = asyncio.create_task(self._read())
        until = time.monotonic() + READY_S
        while not any(line.get("event") == "ready" for line in self.lines[first:]):
            if self._process.returncode is not None or time.monotonic() > until:
                self._soak.broken(Rule.CRASH, self.target.name, f"not ready: {self.lines[first:][-3:]}")
                return
            await asyncio.sleep(0.01)
        self.target.accepts, self.ending = True, False

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for raw in self._process.stdout:
            try:
                line = json.loads(raw)
            except ValueError:
                line = {"event": "fault", "text": raw.decode(errors="replace")}
            self.lines.append(line)
            unexpected = {one.name for one in UNEXPECTED_DENIALS} & set(line.get("denials", ()))
            if line.get("event") in QUIET_EVENTS or unexpected:
                self._soak.broken(Rule.CRASH, self.target.name, json.dumps(line))

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def terminate(self) -> None:
        """SIGTERM, and SIGKILL when the platform would."""
        assert self._process is not None
        self.ending = True
        begun = time.monotonic()
        self.signal(signal.SIGTERM)
        await asyncio.sleep(ADMITTED_S)
        self.target.accepts = False
        try:
            async with asyncio.timeout(max(begun + KILL_AFTER_S - time.monotonic(), 0.0)):
                status = await self._process.wait()
                if status != 0:
                    self._soak.broken(Rule.CRASH, self.target.name, f"status {status} after SIGTERM")
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()

    async def kill(self) -> None:
        """SIGKILL."""
        assert self._process is not None
        self.ending = True
        self.target.accepts = False
        self.target.lives += 1
        self.signal(signal.SIGKILL)
        await self._process.wait()

    def check_alive(self) -> None:
        """It has not ended by itself."""
        if not self.ending and self._process is not None and self._process.returncode is not None:
            self._soak.broken(Rule.CRASH, self.target.name, f"ended with {self._process.returncode}")


Trouble = Callable[[], Awaitable[None]]


class Soak:
    """One seed."""

    def __init__(self, seed: int, gateways: int, backends: int, seconds: float, rate: float, folder: Path) -> None:
        self.rng = random.Random(seed)
        self._seconds, self._rate, self._folder = seconds, rate, folder
        self.oracle = Oracle(DRAIN_GRACE_S, SLOW_START, WARM_RATE, CEILING)
        self.members = Membership()
        self.backends = [Backend(f"s{place}", self.oracle, self.rng) for place in range(backends)]
        self.counter = CounterParty()
        self.known: Any = None
        self.gateways: list[Gateway] = []
        self.count = gateways
        self._wall_shift_s = 0.0
        self._on: dict[str, float] = {}  # faults that are on, or ended lately, and when they began
        self.history: list[str] = []
        self._began = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def broken(self, rule: Rule, gateway: str, detail: str) -> None:
        """A rule was broken that the processes' ends show."""
        self.oracle.broken(rule, time.monotonic(), gateway, detail)

    async def run(self) -> None:
        """Play it to its end."""
        for party in (*self.backends, self.counter):
            await party.start()
        for backend in self.backends:
            self.members.put(backend)
        self.known = json.loads(self.members.whole())
        self.gateways = [Gateway(self, place, self._folder) for place in range(self.count)]
        for gateway in self.gateways:
            for agent in gateway.agents:
                await agent.start()
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self._began = time.monotonic()
        until = self._began + self._seconds
        for gateway in self.gateways:
            self._spawn(gateway.clients.run(self._rate, until))
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            self._spawn(self._draw())
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        await asyncio.gather(*(gateway.clients.finish() for gateway in self.gateways))
        for gateway in self.gateways:
            gateway.check_alive()
        self.oracle.check_slow_starts()
        self.oracle.check_overlaps()
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))
        for party in (*self.backends, self.counter, *(agent for one in self.gateways for agent in one.agents)):
            party.stop()

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _draw(self) -> None:
        """One trouble at random; several overlap."""
        gateway, backend = self.rng.choice(self.gateways), self.rng.choice(self.backends)
        kinds: list[tuple[float, str, Trouble]] = [
            (1.5, f"backend {backend.name} misbehaves", lambda: self._misbehave(backend)),
            (1.0, f"backend {backend.name} drains and is replaced", lambda: self._replace(backend)),
            (0.7, f"backend {backend.name} breaks its connections", lambda: self._break(backend)),
            (1.0, f"gateway {gateway.target.name} restarts", lambda: self._restart(gateway, False)),
            (0.5, f"gateway {gateway.target.name} is killed", lambda: self._restart(gateway, True)),
            (1.0, f"gateway {gateway.target.name} is held up", lambda: self._hold_up(gateway, 0.13)),
            (0.3, f"gateway {gateway.target.name} is stopped for long", lambda: self._hold_up(gateway, 2.0)),
            (0.8, f"gateway {gateway.target.name} moves to another agent", lambda: self._move(gateway)),
            (0.7, f"agent of {gateway.target.name} is silent", lambda: self._silence(gateway)),
            (0.5, f"agent of {gateway.target.name} breaks watches", lambda: self._break(gateway.agent)),
            (0.5, f"agent of {gateway.target.name} tells in halves", lambda: self._halve(gateway)),
            (0.5, f"watches of {gateway.target.name} fall silent", lambda: self._mute(gateway)),
            (0.4, f"backend {backend.name} refuses connections", lambda: self._refuse(backend)),
            (0.4, f"idle clients fill {gateway.target.name}", lambda: self._flood(gateway)),
            (0.4, f"gateway {gateway.target.name} gets configurations in a row", lambda: self._reload_often(gateway)),
            (0.5, "the wall clock is stepped", self._step),
            (0.5, "the counter is silent", self._silence_counter),
            (0.3, "the counter breaks its connections", lambda: self._break(self.counter)),
            (1.5, f"calls of {gateway.target.name} fail", lambda: self._fail_calls(gateway)),
        ]
        _, name, trouble = self.rng.choices(kinds, [one[0] for one in kinds])[0]
        began = time.monotonic()
        self.history.append(f"{began - self._began:7.3f} {name}")
        await trouble()
        self.history.append(f"{time.monotonic() - self._began:7.3f} end: {name}")

    async def _misbehave(self, backend: Backend) -> None:
        if backend.mode == "well":
            backend.mode = self.rng.choice(MODES)
            self.history.append(f"{time.monotonic() - self._began:7.3f}   {backend.name} {backend.mode}")
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            backend.mode = "well"

    def _tell(self, backend: Backend) -> None:
        """Discovery has a change: each agent that can be reached has it at once."""
        self.members.put(backend)
        if backend.state == "ready":
            return
        now = time.monotonic()
        for gateway in self.gateways:
            if not gateway.agent.silent and gateway.agent_told:
                late_s = SILENT_WATCH_S if gateway.agent.muted else 0.0
                self.oracle.told_to_drain(gateway.target.name, backend.name, now + late_s)

    async def _replace(self, backend: Backend) -> None:
        """Drains, goes, and another comes in its place, cold."""
        if backend.state != "ready" or sum(one.state == "ready" for one in self.backends) <= len(self.backends) // 2:
            return
        backend.state = "draining"
        self._tell(backend)
        await asyncio.sleep(self.rng.uniform(1.2, 2.0))
        backend.state = "gone"
        self._tell(backend)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        fresh = Backend(f"{backend.name}'", self.oracle, self.rng)
        await fresh.start()
        fresh.boot_ms = (time.time() + self._wall_shift_s) * 1000
        self.oracle.started_cold(fresh.name, time.monotonic())
        self.backends[self.backends.index(backend)] = fresh
        self.members.put(fresh)
        await asyncio.sleep(3.0)
        backend.stop()

    async def _break(self, party: Backend | Agent | CounterParty) -> None:
        party.reset_all(0.7, self.rng)

    async def _restart(self, gateway: Gateway, kill: bool) -> None:
        if gateway.ending or not gateway.target.accepts:
            return
        if kill:
            await gateway.kill()
        else:
            await gateway.terminate()
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        await gateway.start()

    async def _hold_up(self, gateway: Gateway, seconds: float) -> None:
        name, long = gateway.target.name, seconds > HELD_UP_S
        if long:
            self.oracle.stopped(name)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(seconds / 2, seconds))
        gateway.signal(signal.SIGCONT)
        if long:
            await asyncio.sleep(HELD_UP_S)
            self.oracle.resumed(name)

    async def _move(self, gateway: Gateway) -> None:
        """A new configuration: discovery is at the other agent, the old one ends later."""
        if gateway.ending or not gateway.agent_told:
            return
        old = gateway.agent
        gateway.agents.reverse()
        if gateway.agent.silent:
            gateway.agents.reverse()
            return
        gateway.agent_told = False  # until it counts as told
        gateway.write_config()
        gateway.signal(signal.SIGHUP)
        await asyncio.sleep(RELOAD_TOLD_S)
        gateway.agent_told = True
        now = time.monotonic()
        for backend in self.backends:
            if backend.state != "ready":
                self.oracle.told_to_drain(gateway.target.name, backend.name, now)
        old.reset_all()

    async def _silence(self, gateway: Gateway) -> None:
        agent = gateway.agent
        if agent.silent:
            return
        agent.silent = True
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        agent.silent = False
        now = time.monotonic()
        for backend in self.backends:
            if backend.state != "ready" and agent is gateway.agent and gateway.agent_told:
                self.oracle.told_to_drain(gateway.target.name, backend.name, now)

    async def _mute(self, gateway: Gateway) -> None:
        gateway.agent.mute()

    async def _refuse(self, backend: Backend) -> None:
        if backend.state == "ready":
            backend.stop()
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            await backend.start()

    async def _flood(self, gateway: Gateway) -> None:
        """Connections that say nothing, more than it may hold."""
        writers: list[asyncio.StreamWriter] = []
        gateway.target.crowded = True
        for _ in range(FLOOD):
            if not gateway.target.accepts:
                break
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", gateway.target.port)
                writers.append(writer)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for writer in writers:
            writer.close()
        await asyncio.sleep(CROWD_LEAVES_S)
        gateway.target.crowded = False

    async def _reload_often(self, gateway: Gateway) -> None:
        for _ in range(5):
            if gateway.ending:
                return
            gateway.write_config()
            gateway.signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def _halve(self, gateway: Gateway) -> None:
        agent = gateway.agent
        agent.halves = True
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        agent.halves = False

    async def _step(self) -> None:
        self._wall_shift_s += self.rng.choice((-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0))
        for gateway in self.gateways:
            gateway.control.shift_wall_clock(self._wall_shift_s)

    async def _silence_counter(self) -> None:
        self.counter.silent = True
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        self.counter.silent = False

    async def _fail_calls(self, gateway: Gateway) -> None:
        call, error = self.rng.choice(
            (
                (Call.ACCEPT, errno.ENFILE),
                (Call.ACCEPT, errno.ENOBUFS),
                (Call.SOCKET, errno.ENFILE),
                (Call.CONNECT, errno.EADDRNOTAVAIL),
                (Call.CONNECT, errno.ENETUNREACH),
                (Call.RECV, SHORT_COUNT),
                (Call.SEND, SHORT_COUNT),
                (Call.RECV, errno.EINTR),
                (Call.SEND, errno.EINTR),
                (Call.ACCEPT, errno.EINTR),
            )
        )
        self.history.append(f"{time.monotonic() - self._began:7.3f}   {gateway.target.name} {call.name} {error}")
        gateway.control.fail(call, error, per_million=self.rng.choice((100_000, 500_000)))
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        gateway.control.clear(call)

    def report(self) -> str:
        """The counts, and each violation with what was on shortly before."""
        lines = [f"  {dict(sorted(self.oracle.counts.items()))}"]
        for one in self.oracle.violations:
            at = one.at - self._began
            lines.append(f"  {at:7.3f} {one.gateway} {one.rule.name}: {one.detail}")
            near = [text for text in self.history if at - 3.0 <= float(text.split()[0]) <= at]
            lines += [f"          {text}" for text in near]
        return "\n".join(lines)


async def play_seed(seed: int, gateways: int, backends: int, seconds: float, rate: float) -> Soak:
    """One seed, from start to end."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(seed, gateways, backends, seconds, rate, Path(folder))
        await soak.run()
    return soak


def main() -> int:
    """The command line; 1 where a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="FIRST-LAST")
    parser.add_argument("--gateways", type=int, default=10)
    parser.add_argument("--backends", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--rate", type=float, default=12.0, help="requests a second at each gateway")
    told = parser.parse_args()
    first, _, last = told.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = asyncio.run(play_seed(seed, told.gateways, told.backends, told.seconds, told.rate))
        rules = sorted({one.rule.name for one in soak.oracle.violations})
        broken += bool(rules)
        sys.stdout.write(f"seed {seed}: {'broken ' + ', '.join(rules) if rules else 'kept'}\n{soak.report()}\n")
        sys.stdout.flush()
    with suppress(BrokenPipeError):
        sys.stdout.write(f"{broken} seeds with a broken rule\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
