"""`python -m martenstep.lab.soak.run`: real gateways under overlapping random faults, checked by the oracle.

For each seed, gateways run as processes for some seconds, each with the fault-injection library, and the violated rules
are printed.  The seed decides the schedule of the faults, but not how the operating system times the processes, so a
run is not repeatable, and each violation is printed with the faults that were active at the time."""

from __future__ import annotations

import argparse
import asyncio
import errno
import json
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from martenstep.lab.soak.crowd import Kind
from martenstep.lab.soak.deployment import CEILING, DRAIN_GRACE_S, SLOW_START, WARM_RATE, draw_deployment
from martenstep.lab.soak.faults import SHORT_COUNT, Call
from martenstep.lab.soak.gateway import Gateway
from martenstep.lab.soak.oracle import MAX_PAUSE_S, Oracle, Rule
from martenstep.lab.soak.parties import FAULT_MODES, Agent, Backend, EndpointList, FakeCounter

SILENT_WATCH_S = 6.0  # after this, a change that a silent watch missed counts as announced to the gateway
RELOAD_ANNOUNCED_S = 4.0  # from SIGHUP until the list of the new discovery agent counts as announced
FLOOD_CONNECTIONS = 280
MEMORY_INTERVAL_S = 0.1  # between two readings of the processes' memory
MAX_CROWD = 350  # clients at a time
FAULTS_SHOWN_S = 3.0  # before a violation
FLOOD_CLOSE_S = 0.5  # until a gateway has observed that these connections are closed


Fault = Callable[[], Awaitable[None]]


class Soak:
    """One run: gateways, fake systems, the faults drawn from one seed, and the oracle."""

    def __init__(self, seed: int, gateways: int, backends: int, seconds: float, rate: float, folder: Path) -> None:
        self.rng = random.Random(seed)
        self._seconds, self._rate, self._folder = seconds, rate, folder
        self.deployment = draw_deployment(seed)
        self.oracle = Oracle(DRAIN_GRACE_S, SLOW_START, WARM_RATE, CEILING)
        self.endpoint_list = EndpointList()
        self.backends = [Backend(f"s{index}", self.oracle, self.rng) for index in range(backends)]
        self.counter = FakeCounter()
        self.gateways: list[Gateway] = []
        self.count = gateways
        self._wall_shift_s = 0.0
        self.history: list[str] = []
        self._start = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def add_violation(self, rule: Rule, gateway: str, detail: str) -> None:
        """Report a violation that the process of a gateway shows."""
        self.oracle.add_violation(rule, time.monotonic(), gateway, detail)

    async def run(self) -> None:
        """Run from start to end, and check the rules that need the whole run."""
        for service in (*self.backends, self.counter):
            await service.start()
        for backend in self.backends:
            self.endpoint_list.put(backend)
        self.gateways = [self._make_gateway(index) for index in range(self.count)]
        for gateway in self.gateways:
            for agent in gateway.agents:
                await agent.start()
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self._start = time.monotonic()
        until = self._start + self._seconds
        watching = asyncio.create_task(self._watch_memory())
        for gateway in self.gateways:
            self._spawn(gateway.clients.run(self._rate, until))
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            self._spawn(self._inject_random_fault())
        while self._tasks:
            await asyncio.gather(*list(self._tasks))
        await asyncio.gather(*(gateway.clients.finish() for gateway in self.gateways))
        watching.cancel()
        for gateway in self.gateways:
            gateway.check_alive()
        self.oracle.check_slow_starts()
        self.oracle.check_overlaps()
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))
        for service in (
            *self.backends,
            self.counter,
            *(agent for gateway in self.gateways for agent in gateway.agents),
        ):
            service.stop()

    def _make_gateway(self, index: int) -> Gateway:
        gateway = Gateway(
            index,
            self.count,
            self._folder,
            self.deployment,
            self.oracle,
            self.endpoint_list,
            self.rng,
            self.add_violation,
        )
        gateway.configure(self.counter.port, json.loads(self.endpoint_list.full()))
        return gateway

    async def _watch_memory(self) -> None:
        while True:
            for gateway in self.gateways:
                gateway.check_memory()
            await asyncio.sleep(MEMORY_INTERVAL_S)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _inject_random_fault(self) -> None:
        """Inject a random fault for its time; several can overlap."""
        gateway, backend = self.rng.choice(self.gateways), self.rng.choice(self.backends)
        faults: list[tuple[float, str, Fault]] = [
            (1.5, f"backend {backend.name} misbehaves", lambda: self._misbehave(backend)),
            (1.0, f"backend {backend.name} drains and is replaced", lambda: self._replace(backend)),
            (0.7, f"backend {backend.name} resets its connections", lambda: self._reset_connections(backend)),
            (1.0, f"gateway {gateway.target.name} restarts", lambda: self._restart(gateway, False)),
            (0.5, f"gateway {gateway.target.name} is killed", lambda: self._restart(gateway, True)),
            (1.0, f"gateway {gateway.target.name} is paused briefly", lambda: self._pause(gateway, 0.13)),
            (0.3, f"gateway {gateway.target.name} is paused for long", lambda: self._pause(gateway, 2.0)),
            (0.8, f"gateway {gateway.target.name} changes to another agent", lambda: self._change_agent(gateway)),
            (0.7, f"agent of {gateway.target.name} is silent", lambda: self._silence_agent(gateway)),
            (0.5, f"agent of {gateway.target.name} resets watches", lambda: self._reset_connections(gateway.agent)),
            (0.5, f"agent of {gateway.target.name} splits its responses", lambda: self._split_responses(gateway)),
            (0.5, f"watches of {gateway.target.name} become silent", lambda: self._mute_watches(gateway)),
            (0.4, f"backend {backend.name} refuses connections", lambda: self._refuse_connections(backend)),
            (0.4, f"idle connections flood {gateway.target.name}", lambda: self._flood(gateway)),
            (
                0.4,
                f"gateway {gateway.target.name} reloads its configuration repeatedly",
                lambda: self._reload_repeatedly(gateway),
            ),
            (0.5, "the wall clock is stepped", self._step_wall_clock),
            (0.5, "the counter is silent", self._silence_counter),
            (0.3, "the counter resets its connections", lambda: self._reset_connections(self.counter)),
            (1.5, f"system calls of {gateway.target.name} fail", lambda: self._fail_calls(gateway)),
            (0.7, f"gateway {gateway.target.name} restarts in series", lambda: self._restart_in_series(gateway)),
        ]
        if self.deployment.has_crowds:
            faults.append((2.0, f"a crowd comes to {gateway.target.name}", lambda: self._crowd(gateway)))
        _, name, inject = self.rng.choices(faults, [weight for weight, _, _ in faults])[0]
        began = time.monotonic()
        self.history.append(f"{began - self._start:7.3f} {name}")
        await inject()
        self.history.append(f"{time.monotonic() - self._start:7.3f} end: {name}")

    async def _misbehave(self, backend: Backend) -> None:
        if backend.mode == "well":
            backend.mode = self.rng.choice(FAULT_MODES)
            self.history.append(f"{time.monotonic() - self._start:7.3f}   {backend.name} {backend.mode}")
            await asyncio.sleep(self.rng.uniform(0.2, 2.0))
            backend.mode = "well"

    def _announce(self, backend: Backend) -> None:
        """Put a backend's new state on the endpoint list; every agent that is not silent reports it at once."""
        self.endpoint_list.put(backend)
        if backend.state == "ready":
            return
        for gateway in self.gateways:
            self._announce_to(gateway, backend)

    def _announce_to(self, gateway: Gateway, backend: Backend) -> None:
        """Count a backend's drain as announced to a gateway, unless its agent can't tell it now."""
        if gateway.agent.silent or not gateway.agent_announces:
            return
        delay_s = SILENT_WATCH_S if gateway.agent.muted else 0.0
        if not gateway.agent.muted:
            gateway.cached_list = json.loads(self.endpoint_list.full())
        self.oracle.drain_announced(gateway.target.name, backend.name, time.monotonic() + delay_s)

    async def _replace(self, backend: Backend) -> None:
        """Drain a backend, remove it, and start another in its place, cold."""
        if backend.state != "ready" or sum(one.state == "ready" for one in self.backends) <= len(self.backends) // 2:
            return
        backend.state = "draining"
        self._announce(backend)
        await asyncio.sleep(self.rng.uniform(1.2, 2.0))
        backend.state = "gone"
        self._announce(backend)
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        replacement = Backend(f"{backend.name}'", self.oracle, self.rng)
        await replacement.start()
        replacement.boot_ms = (time.time() + self._wall_shift_s) * 1000
        self.oracle.backend_started(replacement.name, time.monotonic())
        self.backends[self.backends.index(backend)] = replacement
        self.endpoint_list.put(replacement)
        await asyncio.sleep(3.0)
        backend.stop()

    async def _reset_connections(self, service: Backend | Agent | FakeCounter) -> None:
        service.reset_all(0.7, self.rng)

    async def _restart(self, gateway: Gateway, kill: bool) -> None:
        if not gateway.is_running:
            return
        if kill:
            await gateway.kill()
        else:
            await gateway.terminate()
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        await gateway.start()

    async def _restart_in_series(self, gateway: Gateway) -> None:
        """Restart a gateway again soon after it is ready."""
        for _ in range(self.rng.randrange(2, 4)):
            await self._restart(gateway, self.rng.random() < 0.5)
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))

    async def _crowd(self, gateway: Gateway) -> None:
        if not gateway.is_running or gateway.target.flooded:
            return
        kind = self.rng.choice(list(Kind))
        clients, seconds = self.rng.randrange(100, MAX_CROWD), self.rng.uniform(1.0, 5.0)
        if kind in (Kind.FULL_SPEED, Kind.UNSOUND):
            clients = 1
        self.history.append(f"{time.monotonic() - self._start:7.3f}   {kind.name} x {clients}, {seconds:.1f} s")
        await gateway.crowd(kind, clients, seconds)

    async def _pause(self, gateway: Gateway, max_s: float) -> None:
        name, long = gateway.target.name, max_s > MAX_PAUSE_S
        if long:
            self.oracle.gateway_stopped(name)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(max_s / 2, max_s))
        gateway.signal(signal.SIGCONT)
        if long:
            await asyncio.sleep(MAX_PAUSE_S)
            self.oracle.gateway_resumed(name)

    async def _change_agent(self, gateway: Gateway) -> None:
        """Reload with the address of the other discovery agent; the old agent resets its connections later."""
        if gateway.ending or not gateway.agent_announces:
            return
        old_agent = gateway.agent
        gateway.agents.reverse()
        if gateway.agent.silent:
            gateway.agents.reverse()
            return
        gateway.agent_announces = False  # until its list counts as announced
        gateway.write_config()
        gateway.signal(signal.SIGHUP)
        await asyncio.sleep(RELOAD_ANNOUNCED_S)
        gateway.agent_announces = True
        for backend in self.backends:
            if backend.state != "ready":
                self._announce_to(gateway, backend)
        old_agent.reset_all()

    async def _silence_agent(self, gateway: Gateway) -> None:
        agent = gateway.agent
        if agent.silent:
            return
        agent.silent = True
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        agent.silent = False
        for backend in self.backends:
            if backend.state != "ready" and agent is gateway.agent:
                self._announce_to(gateway, backend)

    async def _mute_watches(self, gateway: Gateway) -> None:
        gateway.agent.mute()

    async def _refuse_connections(self, backend: Backend) -> None:
        if backend.state == "ready":
            backend.stop()
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
            await backend.start()

    async def _flood(self, gateway: Gateway) -> None:
        """Open more idle connections than the gateway may hold."""
        writers: list[asyncio.StreamWriter] = []
        if gateway.target.flooded:
            return
        gateway.target.flooded = True
        for _ in range(FLOOD_CONNECTIONS):
            if not gateway.target.accepts:
                break
            with suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", gateway.target.port)
                writers.append(writer)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        for writer in writers:
            writer.close()
        await asyncio.sleep(FLOOD_CLOSE_S)
        gateway.target.flooded = False

    async def _reload_repeatedly(self, gateway: Gateway) -> None:
        for _ in range(5):
            if gateway.ending:
                return
            gateway.write_config()
            gateway.signal(signal.SIGHUP)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def _split_responses(self, gateway: Gateway) -> None:
        agent = gateway.agent
        agent.splits_responses = True
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        agent.splits_responses = False

    async def _step_wall_clock(self) -> None:
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
        self.history.append(f"{time.monotonic() - self._start:7.3f}   {gateway.target.name} {call.name} {error}")
        reads_short = call is Call.RECV and error == SHORT_COUNT
        if reads_short:
            self.oracle.short_reads_begin(gateway.target.name)
        gateway.control.fail(call, error, per_million=self.rng.choice((100_000, 500_000)))
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        gateway.control.clear(call)
        if reads_short:
            self.oracle.short_reads_end(gateway.target.name)

    def report(self) -> str:
        """Return the counts, and each violation with the faults that began or ended before it, each fault once."""
        peak_mb = max(gateway.peak_mb for gateway in self.gateways)
        lines = [f"  {self.deployment}, {peak_mb:.1f} MB at most, {dict(sorted(self.oracle.counts.items()))}"]
        listed_until = 0.0
        for violation in self.oracle.violations:
            at = violation.at - self._start
            lines.append(f"  {at:7.3f} {violation.gateway} {violation.rule.name}: {violation.detail}")
            since = max(at - FAULTS_SHOWN_S, listed_until)
            lines += [f"          {text}" for text in self.history if since < float(text.split()[0]) <= at]
            listed_until = max(at, listed_until)
        return "\n".join(lines)


async def play_seed(seed: int, gateways: int, backends: int, seconds: float, rate: float) -> Soak:
    """Run one seed from start to end."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        soak = Soak(seed, gateways, backends, seconds, rate, Path(folder))
        await soak.run()
    return soak


def main() -> int:
    """Run the seeds of the command line; returns 1 if a rule was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-10", help="FIRST-LAST")
    parser.add_argument("--gateways", type=int, default=10)
    parser.add_argument("--backends", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--rate", type=float, default=12.0, help="requests a second at each gateway")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    failed_seeds = 0
    for seed in range(int(first), int(last or first) + 1):
        soak = asyncio.run(play_seed(seed, arguments.gateways, arguments.backends, arguments.seconds, arguments.rate))
        rules = sorted({violation.rule.name for violation in soak.oracle.violations})
        failed_seeds += bool(rules)
        sys.stdout.write(f"seed {seed}: {'broken ' + ', '.join(rules) if rules else 'kept'}\n{soak.report()}\n")
        sys.stdout.flush()
    with suppress(BrokenPipeError):
        sys.stdout.write(f"{failed_seeds} seeds with a broken rule\n")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
