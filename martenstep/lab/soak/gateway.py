"""One gateway process of the soak, with its clients, its discovery agents and its faults."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from martenstep.lab.ports import reserve_ports
from martenstep.lab.soak.clients import Clients, Target
from martenstep.lab.soak.crowd import Kind
from martenstep.lab.soak.deployment import Deployment
from martenstep.lab.soak.faults import FaultControl
from martenstep.lab.soak.oracle import Oracle, Rule
from martenstep.lab.soak.parties import Agent, EndpointList
from martenstep.lab.soak.process_memory import status_mb
from martenstep.proxy.permission import UNEXPECTED_DENIALS

ADMITTED_S = 0.4  # how long clients make new connections after SIGTERM
START_TIMEOUT_S = 10.0
FORBIDDEN_EVENTS = ("fault",)  # log events that a gateway must never write
RESTING_CONNECTIONS = 8  # open as SIGTERM comes, and used until SIGKILL
REPEATED_SIGNALS = (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
MAX_REPEATED_SIGNALS = 4
CROWD_CLOSE_S = 0.5  # until a gateway has observed that the connections of a crowd are closed
AddViolation = Callable[[Rule, str, str], None]


class Gateway:
    """One gateway process."""

    def __init__(  # what a run shares among its gateways
        self,
        index: int,
        count: int,
        folder: Path,
        deployment: Deployment,
        oracle: Oracle,
        endpoint_list: EndpointList,
        rng: random.Random,
        add_violation: AddViolation,
    ) -> None:
        """`index` is its number among the `count` gateways of the run."""
        self._index, self._count, self._deployment, self._rng = index, count, deployment, rng
        self._add_violation = add_violation
        self.target = Target(f"n{index}", reserve_ports(1)[0])
        self.clients = Clients(self.target, oracle, rng, count, deployment.deadline_ms)
        # The first is in use; the gateway may change to the other.
        self.agents = [Agent(endpoint_list, rng) for _ in range(2)]
        self.control = FaultControl(folder / f"faults-{index}")
        self.log_lines: list[dict[str, Any]] = []
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self._path = folder / f"n{index}.json"
        self._base_config: dict[str, Any] = {}
        self.cached_list: Any = None  # the endpoint list as this gateway last had it, which a new process knows
        self.ending = False
        self.agent_announces = True  # a change counts as announced through the agent in use
        self.peak_mb = 0.0  # the most that one of its processes held

    @property
    def agent(self) -> Agent:
        """The agent in use."""
        return self.agents[0]

    @property
    def is_running(self) -> bool:
        """Whether clients may connect, and nothing ends the process."""
        return self.target.accepts and not self.ending

    def configure(self, counter_port: int, cached_list: Any) -> None:  # decoded JSON
        """Set what every configuration of this gateway states, and the list that the first start knows."""
        self.cached_list = cached_list
        self._base_config = {
            "name": self.target.name,
            "listen": f"127.0.0.1:{self.target.port}",
            "counter": f"127.0.0.1:{counter_port}",
            "limits": self._deployment.limits(),
            "settings": self._deployment.settings(self._index, self._count),
        }

    def write_config(self) -> None:
        """Write the configuration with the current address of discovery."""
        temporary = self._path.with_suffix(".new")
        config = {
            **self._base_config,
            "known": self.cached_list,
            "discovery": f"127.0.0.1:{self.agent.port}",
            "seed": f"{self._rng.getrandbits(60):x}",
        }
        temporary.write_text(json.dumps(config), encoding="utf-8")
        os.replace(temporary, self._path)

    async def start(self) -> None:
        """Start the process, and let clients connect once it is ready."""
        self.write_config()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenstep.node",
            env={**os.environ, "NODE_CONFIG": str(self._path), **self.control.environment},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        first = len(self.log_lines)
        self._log_reader = asyncio.create_task(self._read_log())
        until = time.monotonic() + START_TIMEOUT_S
        while not any(line.get("event") == "ready" for line in self.log_lines[first:]):
            if self._process.returncode is not None or time.monotonic() > until:
                self._add_violation(
                    Rule.CRASH, self.target.name, f"not ready; last log lines: {self.log_lines[first:][-3:]}"
                )
                return
            await asyncio.sleep(0.01)
        self.target.accepts, self.ending = True, False

    async def _read_log(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        async for raw in self._process.stdout:
            try:
                line = json.loads(raw)
            except ValueError:
                line = {"event": "fault", "text": raw.decode(errors="replace")}
            self.log_lines.append(line)
            unexpected = {denial.name for denial in UNEXPECTED_DENIALS} & set(line.get("denials", ()))
            if line.get("event") in FORBIDDEN_EVENTS or unexpected:
                self._add_violation(Rule.CRASH, self.target.name, json.dumps(line))

    def signal(self, number: int) -> None:
        """Send the process a signal."""
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self._process.pid, number)  # the process object would take the status of one that has exited

    # End ----------------------------------------------------------------------------------------------------

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL at the earliest time when the platform would.

        Clients go on sending on their open connections until then, and further signals may follow the first.
        """
        assert self._process is not None
        self.ending = True
        resting = await self.clients.open_resting(RESTING_CONNECTIONS)
        begun = time.monotonic()
        kill_at = begun + self._deployment.kill_after_s
        self.signal(signal.SIGTERM)
        further = [
            asyncio.create_task(self.clients.use_resting(resting, kill_at)),
            asyncio.create_task(self._repeat_signals(kill_at)),
        ]
        await asyncio.sleep(ADMITTED_S)
        self.target.accepts = False
        try:
            async with asyncio.timeout(max(kill_at - time.monotonic(), 0.0)):
                status = await self._process.wait()
                if status != 0:
                    self._add_violation(
                        Rule.CRASH, self.target.name, f"exited with status {status} after SIGTERM, expected 0"
                    )
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self._process.wait()
        await asyncio.gather(*further)

    async def _repeat_signals(self, until: float) -> None:
        """Send some more signals at random moments before `until`."""
        count = self._rng.randrange(MAX_REPEATED_SIGNALS) if self._rng.random() < 0.5 else 0
        for at in sorted(self._rng.uniform(time.monotonic(), until) for _ in range(count)):
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
            self.signal(self._rng.choice(REPEATED_SIGNALS))

    async def kill(self) -> None:
        """End the process at once."""
        assert self._process is not None
        self.ending = True
        self.target.accepts = False
        self.target.kills += 1
        self.signal(signal.SIGKILL)
        await self._process.wait()

    # Observation --------------------------------------------------------------------------------------------

    def check_alive(self) -> None:
        """Report a violation if the process exited by itself."""
        if not self.ending and self._process is not None and self._process.returncode is not None:
            self._add_violation(
                Rule.CRASH, self.target.name, f"exited by itself with status {self._process.returncode}"
            )

    def check_memory(self) -> None:
        """Report a violation once a process has passed its memory limit."""
        if self._process is None or self._process.returncode is not None:
            return
        held_mb, limit_mb = status_mb(self._process.pid, "VmHWM"), self._deployment.memory_mb
        if held_mb > limit_mb >= self.peak_mb:
            self._add_violation(Rule.CRASH, self.target.name, f"held {held_mb:.1f} MB, {limit_mb} MB allowed")
        self.peak_mb = max(self.peak_mb, held_mb)

    async def crowd(self, kind: Kind, clients: int, seconds: float) -> None:
        """Let a crowd of misbehaving clients come, as a process of its own."""
        self.target.flooded = True  # new connections may be closed unread
        options = {"port": self.target.port, "kind": kind.name, "clients": clients, "seconds": seconds}
        words = [word for name, value in options.items() for word in (f"--{name}", str(value))]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "martenstep.lab.soak.crowd", *words, stdout=asyncio.subprocess.DEVNULL
        )
        await process.wait()
        await asyncio.sleep(CROWD_CLOSE_S)
        self.target.flooded = False
