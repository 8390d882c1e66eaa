"""Runs a scenario: starts every process on free loopback ports, injects the faults and stops all processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
from google.protobuf import text_format

from martenstep.config import door_pb2 as cfg
from martenstep.hooks import release_files
from martenstep.lab import day_pb2 as pb
from martenstep.lab.day import (
    endpoint_entry,
    format_settings,
    gateway_settings,
    length_ms,
    schedule,
    server_settings,
    targets_of,
    zone_name,
)
from martenstep.lab.held import FOLDER, ReplicatedCounterFleet
from martenstep.lab.ports import reserve_ports
from martenstep.standins.base import Trace, now_ms, send_command

MAX_GATEWAYS, MAX_SERVERS = 64, 200  # each is a process
READY_TIMEOUT_S = 30.0  # a process that is not ready by then has failed
SETTLE_MS = 700.0  # before the first request, so that the gateways receive the endpoint list
STOP_TIMEOUT_S = 15.0  # a process that has not ended by then is killed
COMPLETION_TIMEOUT_S = 60.0  # clients that are not done by then, after the last arrival, have failed
Progress = Callable[[float, str], None]


class ScenarioRunError(Exception):
    """A scenario that cannot be run here, or a process that failed."""


class Process:
    """One child process, which reports its ports in a line of JSON when it is ready."""

    def __init__(
        self, name: str, arguments: list[str], log: BinaryIO, extra_environment: dict[str, str] | None = None
    ) -> None:
        self.name, self._arguments, self._log = name, arguments, log
        self._environment = {**os.environ, **extra_environment} if extra_environment else None
        self._process: asyncio.subprocess.Process | None = None
        self.ready: dict[str, int] = {}

    async def start(self) -> dict[str, int]:
        """Start the process and wait for its ready line; raises ScenarioRunError."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenstep",
            *self._arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env=self._environment,
            start_new_session=True,
        )
        assert self._process.stdout is not None
        try:
            line = await asyncio.wait_for(self._process.stdout.readline(), READY_TIMEOUT_S)
            self.ready = json.loads(line)["ready"]
        except (TimeoutError, ValueError, KeyError):
            await self.kill()
            raise ScenarioRunError(f"{self.name}: ended or timed out before it was ready; see its log") from None
        return self.ready

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self._process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    async def stop(self) -> int:
        """Send SIGTERM, then SIGKILL after a timeout; returns the exit code."""
        if self._process is None:
            return 0
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.terminate()
            try:
                await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                await self.kill()
        return self._process.returncode or 0


@dataclass(frozen=True, slots=True)
class CommandedFault:
    """A fault that one control command to each target begins, and another one ends."""

    receiver: str
    command: str
    on: Callable[[pb.Event], dict[str, Any]]  # the arguments of the command that begins the fault
    off: dict[str, Any]  # the arguments of the command that ends it


def _switch(receiver: str, command: str) -> CommandedFault:
    return CommandedFault(receiver, command, lambda event: {"on": True}, {"on": False})


def _share(receiver: str, command: str) -> CommandedFault:
    return CommandedFault(receiver, command, lambda event: {"share": event.share}, {"share": 0.0})


def _amount(receiver: str, command: str, argument: str, usual: float) -> CommandedFault:
    return CommandedFault(receiver, command, lambda event: {argument: event.factor}, {argument: usual})


COMMANDED_FAULTS = {
    pb.SERVER_SLOW: _amount("servers", "slow", "factor", 1.0),
    pb.SERVER_ERRORS: _share("servers", "errors"),
    pb.SERVER_RESETS: _share("servers", "resets"),
    pb.SERVER_CUTS: _share("servers", "cuts"),
    pb.ANSWERS_LOST: _share("servers", "lost"),
    pb.SERVER_CLASS_FAILS: CommandedFault(
        "servers", "class_fails", lambda event: {"class": getattr(event, "class")}, {"class": ""}
    ),
    pb.AUTH_SLOW: _amount("auth", "delay", "ms", 0.0),
    pb.AUTH_SILENT: _switch("auth", "silent"),
    pb.AUTH_DOWN: _switch("auth", "down"),
    pb.AUTH_ERRORS: _share("auth", "errors"),
    pb.AUTH_RESETS: _share("auth", "resets"),
    pb.AUTH_TWICE: _share("auth", "twice"),
    pb.AUTH_BROKEN: _share("auth", "broken"),
    pb.AUTH_CONTRADICTS: _share("auth", "contradicts"),
    pb.AUTH_DRIPS: _share("auth", "drips"),
    pb.STORE_SLOW: _amount("store", "slow", "ms", 0.0),
    pb.STORE_DOWN: _switch("store", "down"),
    pb.STORE_HANGS: _switch("store", "hang_writes"),
    pb.STORE_LOADING: CommandedFault("store", "error", lambda event: {"code": "LOADING"}, {"code": ""}),
    pb.STORE_FULL: CommandedFault("store", "memory", lambda event: {"bytes": 1}, {"bytes": 0}),
    pb.STORE_CUTS: _share("store", "partial"),
    pb.FEED_STALE: _switch("feed", "stale"),
    pb.FEED_PARTIAL: _share("feed", "partial"),
    pb.FEED_DOWN: _switch("feed", "down"),
}


class ScenarioRunner:
    """All processes of a scenario, and the faults injected into them.

    A fault that is not in `COMMANDED_FAULTS` is injected by the method of its schema name in lower case.
    """

    def __init__(self, scenario: pb.Day, out: Path, progress: Progress) -> None:
        self._scenario, self._out, self._progress = scenario, out, progress
        self._events = Trace(out / "events.jsonl")
        self._logs: list[BinaryIO] = []
        self._counter_port = 0
        fleet = scenario.fleet
        self._gateway_ports = reserve_ports(fleet.doors)
        self._admin_ports = reserve_ports(fleet.doors)
        self._server_ports = reserve_ports(fleet.servers)
        self._gateways: dict[int, Process] = {}
        self._servers: dict[int, Process] = {}
        replicated = scenario.HasField("held_by_doors")
        self._replicated_counter = ReplicatedCounterFleet(scenario, out, reserve_ports(3)) if replicated else None
        self._redis = self._store_process() if not replicated else None
        self._feed = self._new_process(
            "feed", ["standin", "feed", "--lag-ms", str(fleet.feed_lag_ms), "--trace", str(out / "feed.jsonl")]
        )
        self._auth: dict[int, Process] = {}
        if scenario.HasField("auth_services"):
            for number in range(scenario.auth_services.number):
                self._auth[number] = self._new_process(
                    f"auth-{number}",
                    [
                        "standin",
                        "auth",
                        "--max-age-s",
                        str(scenario.auth_services.max_age_s),
                        "--trace",
                        str(out / f"auth-{number}.jsonl"),
                    ],
                )
        self._clients: Process | None = None
        self._started = [0.0] * fleet.servers  # of each server, as in the endpoint list
        self._tasks: list[asyncio.Task[None]] = []
        self._starting_gateways = 0  # gateways that were restarted and are not ready yet

    def _store_process(self) -> Process:
        """The Redis fake, or the project's own counter service."""
        if not self._scenario.own_counter:
            kind = cfg.Store.Topology.Name(self._scenario.store_topology).lower()
            return self._new_process(
                "redis", ["standin", "redis", "--kind", kind, "--trace", str(self._out / "redis.jsonl")]
            )
        if not self._counter_port:
            [self._counter_port] = reserve_ports(1)
        file = self._out / "counter.txtpb"
        file.write_text(
            f'name: "counter" port: {self._counter_port} log {{ directory: "{self._out / "counter"}" '
            "segment_bytes: 1000000 snapshot_records: 20000 }",
            encoding="utf-8",
        )
        return self._new_process("counter", ["counter", "serve", str(file)])

    def _new_process(self, name: str, arguments: list[str]) -> Process:
        log = (self._out / f"{name}.log").open("ab")
        self._logs.append(log)
        return Process(name, arguments, log)

    def _publish(self, number: int) -> None:
        """Publish one of the scenario's hook releases beside the earlier ones."""
        release = self._scenario.hooks[number]
        drafts = self._out / "drafts"
        drafts.mkdir(exist_ok=True)
        (drafts / "day.hook").write_text(release.source, encoding="utf-8")
        release_folder = release_files.publish(
            drafts, self._out / "hooks", number + 1, release_files.Rollout(share=release.share)
        )
        if release.broken:
            manifest = release_folder / release_files.MANIFEST_FILE
            manifest.write_bytes(manifest.read_bytes()[: manifest.stat().st_size // 2])
        self._events.write("hooks", version=number + 1, share=release.share, broken=release.broken)

    async def _publish_later(self, start: float, number: int) -> None:
        """Publish a hook release at its time and notify all gateways by SIGHUP."""
        await asyncio.sleep(max(start + self._scenario.hooks[number].at_ms - now_ms(), 0.0) / 1000)
        self._publish(number)
        for gateway in self._gateways.values():
            gateway.signal(signal.SIGHUP)

    async def start(self) -> None:
        """Start all processes."""
        for number, release in enumerate(self._scenario.hooks):
            if not release.at_ms:
                self._publish(number)
        self._progress(0.0, "starting")
        await asyncio.gather(
            *(process.start() for process in (self._redis, self._feed) if process is not None),
            *(process.start() for process in self._auth.values()),
        )
        for number in range(self._scenario.fleet.servers):
            self._servers[number] = self._server_process(number, cold=False)
        await asyncio.gather(*(process.start() for process in self._servers.values()))
        entries = [self._endpoint_entry(number, "up") for number in range(self._scenario.fleet.servers)]
        await self._send_command("feed", [], "update", servers=entries, now=True)
        for number in range(self._scenario.fleet.doors):
            self._gateways[number] = self._gateway_process(number)
        await asyncio.gather(*(process.start() for process in self._gateways.values()))
        schedule_file = self._out / "schedule.jsonl"
        encoder = msgspec.json.Encoder()
        schedule_file.write_bytes(b"".join(encoder.encode(planned) + b"\n" for planned in schedule(self._scenario)))
        self._clients = self._new_process(
            "clients",
            [
                "standin",
                "clients",
                str(schedule_file),
                "--manners",
                json.dumps(self._client_behaviour()),
                "--trace",
                str(self._out / "clients.jsonl"),
            ],
        )
        await self._clients.start()

    def _client_behaviour(self) -> dict[str, Any]:
        clients = self._scenario.clients
        safe = [entry.name for entry in getattr(self._scenario, "class") if entry.effect == cfg.SAFE]
        return {
            "ports": self._gateway_ports,
            "retries": clients.retries,
            "wait_ms": clients.wait_ms,
            "honour": clients.advice == pb.Clients.HONOUR,
            "advice_most_ms": clients.advice_most_ms,
            "repeat_after_failure": safe,
            "seed": self._scenario.seed,
        }

    def _gateway_process(self, number: int) -> Process:
        ports = {
            "listener": self._gateway_ports[number],
            "admin": self._admin_ports[number],
            "store": self._counter_port or (self._redis.ready["port"] if self._redis is not None else 0),
            "feed": self._feed.ready["port"],
        }
        if not self._counter_port and self._redis is not None:
            nodes: Any = self._redis.ready["ports"]
            ports.update({f"store-{number}": port for number, port in enumerate(nodes)})
        ports.update({f"auth-{service}": process.ready["port"] for service, process in self._auth.items()})
        settings = gateway_settings(
            self._scenario, number, ports, (self._out / f"door-{number}.members.json").absolute()
        )
        if self._replicated_counter is not None:
            self._replicated_counter.apply_settings(settings, number)
        file = self._out / f"door-{number}.txtpb"
        file.write_text(format_settings(settings), encoding="utf-8")
        return self._new_process(f"door-{number}", ["serve", str(file)])

    def _server_process(self, number: int, cold: bool) -> Process:
        settings = server_settings(self._scenario, number, cold, self._server_ports[number])
        self._events.write(
            "server",
            server=number + 1,
            zone=zone_name(number % self._scenario.fleet.zones),
            cell=number % self._scenario.fleet.cells,
            cold=cold,
        )
        return self._new_process(
            f"server-{number}",
            [
                "standin",
                "photo-server",
                "--config",
                msgspec.json.encode(settings).decode(),
                "--trace",
                str(self._out / f"server-{number}.jsonl"),
            ],
        )

    def _endpoint_entry(self, number: int, state: str) -> dict[str, object]:
        return endpoint_entry(self._scenario, number, self._server_ports[number], state, self._started[number])

    async def _announce(self, numbers: list[int], state: str) -> None:
        await self._send_command("feed", [], "update", servers=[self._endpoint_entry(n, state) for n in numbers])

    async def run(self) -> None:
        """Send the scenario's requests and inject its faults, until the clients are done."""
        assert self._clients is not None
        await asyncio.sleep(SETTLE_MS / 1000)
        start = now_ms() + 200.0
        await send_command(self._clients.ready["control"], "begin", at=start)
        for event in self._scenario.event:
            self._tasks.append(asyncio.create_task(self._inject(start, event)))
        for number, release in enumerate(self._scenario.hooks):
            if release.at_ms:
                self._tasks.append(asyncio.create_task(self._publish_later(start, number)))
        duration_ms = length_ms(self._scenario)
        while now_ms() < start + duration_ms:
            await asyncio.sleep(0.2)
            self._progress(min(max(now_ms() - start, 0.0) / duration_ms, 1.0), "running")
            self._raise_failed_fault()
        deadline = time.monotonic() + COMPLETION_TIMEOUT_S
        while not (await send_command(self._clients.ready["control"], "state"))["done"]:
            if time.monotonic() > deadline:
                raise ScenarioRunError(f"clients: not done {COMPLETION_TIMEOUT_S:g} s after the last arrival")
            await asyncio.sleep(0.1)
        while self._starting_gateways and time.monotonic() < deadline:  # a start cancelled halfway leaves no trace
            await asyncio.sleep(0.1)
        await asyncio.sleep(0)  # the tasks whose gateways have become ready write their events
        self._raise_failed_fault()

    def _raise_failed_fault(self) -> None:
        """End the scenario if a fault could not be injected: its result would be of another scenario."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise ScenarioRunError(f"a fault could not be injected: {task.exception()}")

    async def _inject(self, start: float, event: pb.Event) -> None:
        await asyncio.sleep(max(start + event.at_ms - now_ms(), 0.0) / 1000)
        name = pb.Trouble.Name(event.trouble)
        targets = targets_of(self._scenario, event)
        self._events.write("trouble", name=name, targets=targets, on=True)
        if event.trouble in COMMANDED_FAULTS:
            await self._inject_by_command(event, targets, COMMANDED_FAULTS[event.trouble])
        else:
            await getattr(self, f"_{name.lower()}")(event, targets)
        self._events.write("trouble", name=name, targets=targets, on=False)

    async def _wait_for_end(self, event: pb.Event) -> bool:
        """Wait for a fault's end; returns False at once if it lasts to the end of the scenario."""
        if not event.for_ms:
            return False
        await asyncio.sleep(event.for_ms / 1000)
        return True

    async def _inject_by_command(self, event: pb.Event, targets: list[int], fault: CommandedFault) -> None:
        await self._send_command(fault.receiver, targets, fault.command, **fault.on(event))
        if await self._wait_for_end(event):
            await self._send_command(fault.receiver, targets, fault.command, **fault.off)

    async def _send_command(self, receiver: str, targets: list[int], command: str, **arguments: Any) -> None:
        """Send a command to each target; store and feed are one process each."""
        if receiver in ("store", "feed"):
            process = self._redis if receiver == "store" else self._feed
            assert process is not None
            processes = [process]
        else:
            fleet = self._servers if receiver == "servers" else self._auth
            processes = [fleet[number] for number in targets]
        for process in processes:
            await send_command(process.ready["control"], command, **arguments)

    # Gateways -------------------------------------------------------------------------------------------

    async def _restart_gateways(self, event: pb.Event, targets: list[int]) -> None:
        await self._wait_for_end(event)
        for number in targets:
            self._gateways[number] = self._gateway_process(number)
            self._starting_gateways += 1
            try:
                await self._gateways[number].start()
            finally:
                self._starting_gateways -= 1
            self._events.write("door up", door=number)

    async def _door_killed(self, event: pb.Event, targets: list[int]) -> None:
        for number in targets:
            self._events.write("door down", door=number)
            await self._gateways[number].kill()
        await self._restart_gateways(event, targets)

    async def _door_lost(self, event: pb.Event, targets: list[int]) -> None:
        assert self._replicated_counter is not None
        for number in targets:
            self._events.write("door down", door=number, lost=True)
            await self._gateways[number].kill()
            self._replicated_counter.destroy_disk(number)
        if event.for_ms:
            await self._restart_gateways(event, targets)

    async def _door_rolled(self, event: pb.Event, targets: list[int]) -> None:
        """Stop gateways gracefully: the requests that they hold must still be answered."""
        for number in targets:
            self._events.write("door stopping", door=number)
            code = await self._gateways[number].stop()
            self._events.write("door left", door=number, code=code)
        await self._restart_gateways(event, targets)

    async def _door_cut_from_feed(self, event: pb.Event, targets: list[int]) -> None:
        await self._send_command("feed", [], "cut", doors=[f"door-{number}" for number in targets])
        if await self._wait_for_end(event):
            await self._send_command("feed", [], "cut", doors=[])

    # Servers --------------------------------------------------------------------------------------------

    async def _make_cold(self, targets: list[int]) -> None:
        """Make servers cold, as after a restart, and announce their new start in the feed."""
        for number in targets:
            self._started[number] = time.time() * 1000
        await self._send_command("servers", targets, "cold")
        await self._announce(targets, "up")

    async def _server_silent(self, event: pb.Event, targets: list[int]) -> None:
        await self._send_command("servers", targets, "silent", on=True)
        if await self._wait_for_end(event):
            await self._make_cold(targets)

    async def _server_drained(self, event: pb.Event, targets: list[int]) -> None:
        await self._announce(targets, "draining")
        if await self._wait_for_end(event):
            await self._announce(targets, "gone")

    async def _server_restarted(self, event: pb.Event, targets: list[int]) -> None:
        await self._announce(targets, "draining")
        if await self._wait_for_end(event):
            await self._make_cold(targets)

    async def _server_killed(self, event: pb.Event, targets: list[int]) -> None:
        for number in targets:
            await self._servers[number].kill()
            self._events.write("server down", server=number + 1)
        if await self._wait_for_end(event):
            for number in targets:
                self._servers[number] = self._server_process(number, cold=True)
                await self._servers[number].start()
                self._started[number] = time.time() * 1000
            await self._announce(targets, "up")

    # Store ------------------------------------------------------------------------------------------

    async def _store_paused(self, event: pb.Event, targets: list[int]) -> None:
        await self._send_command("store", [], "pause", ms=event.for_ms)
        await self._wait_for_end(event)

    async def _store_emptied(self, event: pb.Event, targets: list[int]) -> None:
        await self._send_command("store", [], "restart")

    async def _store_failover(self, event: pb.Event, targets: list[int]) -> None:
        await self._send_command("store", [], "failover", split_ms=event.for_ms)
        await self._wait_for_end(event)

    async def _store_slots_move(self, event: pb.Event, targets: list[int]) -> None:
        await self._send_command("store", [], "move", slots=event.count, to=0, for_ms=event.for_ms)
        await self._wait_for_end(event)

    async def _counter_killed(self, event: pb.Event, targets: list[int]) -> None:
        for _ in range(event.count):
            await asyncio.sleep(event.for_ms / event.count / 1000)
            assert self._redis is not None
            await self._redis.kill()
            self._events.write("counter killed")
            self._redis = self._store_process()
            await self._redis.start()

    async def stop(self) -> None:
        """Stop all processes; must be called however the scenario ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        gateways_and_clients = [process for process in (self._clients, *self._gateways.values()) if process is not None]
        await asyncio.gather(*(process.stop() for process in gateways_and_clients))
        others = [*self._servers.values(), *self._auth.values(), self._redis, self._feed]
        await asyncio.gather(*(process.stop() for process in others if process is not None))
        for log in self._logs:
            log.close()
        self._events.close()


async def run_scenario(scenario: pb.Day, out: Path, progress: Progress) -> None:
    """Run a scenario with its traces in a folder, whose old traces are removed; raises ScenarioRunError."""
    if out.exists():
        for path in out.iterdir():
            if path.is_dir() and (path.name in ("counter", "hooks", "drafts", FOLDER) or path.suffix == ".journal"):
                shutil.rmtree(path)
            elif path.suffix in (".jsonl", ".log", ".json", ".txtpb"):
                path.unlink()
    out.mkdir(parents=True, exist_ok=True)
    if scenario.fleet.doors > MAX_GATEWAYS or scenario.fleet.servers > MAX_SERVERS:
        raise ScenarioRunError(
            f"{scenario.name}: {scenario.fleet.doors} doors and {scenario.fleet.servers} servers are too many "
            f"processes for one machine (at most {MAX_GATEWAYS} and {MAX_SERVERS}); run it by martenstep lab emulate"
        )
    if scenario.limiter or any(event.trouble == pb.NET_CUT for event in scenario.event):
        raise ScenarioRunError(
            f"{scenario.name}: limiters and network cuts are only emulated; run it by martenstep lab emulate"
        )
    if shutil.disk_usage(out).free < 100 << 20:
        raise ScenarioRunError(f"{out}: less than 100 MiB of disk space is free")
    (out / "day.txtpb").write_text(text_format.MessageToString(scenario), encoding="utf-8")
    runner = ScenarioRunner(scenario, out, progress)
    try:
        await runner.start()
        await runner.run()
    finally:
        await runner.stop()
