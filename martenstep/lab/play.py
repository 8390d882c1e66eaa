"""Plays a day: starts every process on free ports of the loopback, brings the troubles, tears all down."""

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
    door_settings,
    entry_of,
    length_ms,
    schedule,
    server_settings,
    targets_of,
    written,
    zone_name,
)
from martenstep.lab.held import FOLDER, HeldFleet
from martenstep.lab.ports import held_ports
from martenstep.standins.base import Trace, now_ms, send_command

MOST_DOORS, MOST_SERVERS = 64, 200  # a process each
READY_S = 30.0  # a process that is not ready by then has failed
LEAD_MS = 700.0  # from all being ready to the first request: doors read the list
STOP_S = 15.0  # a process that has not left by then is killed
AFTER_S = 60.0  # clients that are not done so long after the last arrival have failed
Progress = Callable[[float, str], None]


class PlayError(Exception):
    """A process that did not start, or ended when it should not."""


class Process:
    """One child, from its ready line to its end."""

    def __init__(self, name: str, words: list[str], log: BinaryIO, more: dict[str, str] | None = None) -> None:
        """`more` goes into its environment."""
        self.name, self._words, self._log = name, words, log
        self._environment = {**os.environ, **more} if more else None
        self._process: asyncio.subprocess.Process | None = None
        self.ready: dict[str, int] = {}

    async def start(self) -> dict[str, int]:
        """Start it and wait for its ready line; raises PlayError."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "martenstep",
            *self._words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            env=self._environment,
            start_new_session=True,
        )
        assert self._process.stdout is not None
        try:
            line = await asyncio.wait_for(self._process.stdout.readline(), READY_S)
            self.ready = json.loads(line)["ready"]
        except (TimeoutError, ValueError, KeyError):
            await self.kill()
            raise PlayError(f"{self.name}: did not start; see its log") from None
        return self.ready

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: int) -> None:
        """Send it a signal, where it runs."""
        if self._process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def kill(self) -> None:
        """End it at once."""
        if self._process is not None and self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()

    async def stop(self) -> int:
        """Ask it to leave; gives its exit code."""
        if self._process is None:
            return 0
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.terminate()
            try:
                await asyncio.wait_for(self._process.wait(), STOP_S)
            except TimeoutError:
                await self.kill()
        return self._process.returncode or 0


@dataclass(frozen=True, slots=True)
class Steered:
    """A trouble that is one command to each of its targets, and another that takes it back."""

    whom: str
    do: str
    on: Callable[[pb.Event], dict[str, Any]]
    off: dict[str, Any]


def _switch(whom: str, do: str) -> Steered:
    return Steered(whom, do, lambda event: {"on": True}, {"on": False})


def _share(whom: str, do: str) -> Steered:
    return Steered(whom, do, lambda event: {"share": event.share}, {"share": 0.0})


def _amount(whom: str, do: str, word: str, usual: float) -> Steered:
    return Steered(whom, do, lambda event: {word: event.factor}, {word: usual})


STEERED = {
    pb.SERVER_SLOW: _amount("servers", "slow", "factor", 1.0),
    pb.SERVER_ERRORS: _share("servers", "errors"),
    pb.SERVER_RESETS: _share("servers", "resets"),
    pb.SERVER_CUTS: _share("servers", "cuts"),
    pb.ANSWERS_LOST: _share("servers", "lost"),
    pb.SERVER_CLASS_FAILS: Steered(
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
    pb.STORE_LOADING: Steered("store", "error", lambda event: {"code": "LOADING"}, {"code": ""}),
    pb.STORE_FULL: Steered("store", "memory", lambda event: {"bytes": 1}, {"bytes": 0}),
    pb.STORE_CUTS: _share("store", "partial"),
    pb.FEED_STALE: _switch("feed", "stale"),
    pb.FEED_PARTIAL: _share("feed", "partial"),
    pb.FEED_DOWN: _switch("feed", "down"),
}


class Stage:
    """All processes of a day."""

    def __init__(self, day: pb.Day, out: Path, progress: Progress) -> None:
        self._day, self._out, self._progress = day, out, progress
        self._events = Trace(out / "events.jsonl")
        self._logs: list[BinaryIO] = []
        self._counter_port = 0
        fleet = day.fleet
        self._door_ports = held_ports(fleet.doors)
        self._admin_ports = held_ports(fleet.doors)
        self._server_ports = held_ports(fleet.servers)
        self._doors: dict[int, Process] = {}
        self._servers: dict[int, Process] = {}
        held = day.HasField("held_by_doors")
        self._held = HeldFleet(day, out, held_ports(3)) if held else None
        self._redis = self._store() if not held else None
        self._feed = self._process(
            "feed", ["standin", "feed", "--lag-ms", str(fleet.feed_lag_ms), "--trace", str(out / "feed.jsonl")]
        )
        self._auth: dict[int, Process] = {}
        if day.HasField("auth_services"):
            for number in range(day.auth_services.number):
                self._auth[number] = self._process(
                    f"auth-{number}",
                    [
                        "standin",
                        "auth",
                        "--max-age-s",
                        str(day.auth_services.max_age_s),
                        "--trace",
                        str(out / f"auth-{number}.jsonl"),
                    ],
                )
        self._clients: Process | None = None
        self._started = [0.0] * fleet.servers  # of each server, in the feed's terms
        self._tasks: list[asyncio.Task[None]] = []

    def _store(self) -> Process:
        """Redis's stand-in, or the project's own counter service."""
        if not self._day.own_counter:
            kind = cfg.Store.Topology.Name(self._day.store_topology).lower()
            return self._process(
                "redis", ["standin", "redis", "--kind", kind, "--trace", str(self._out / "redis.jsonl")]
            )
        if not self._counter_port:
            [self._counter_port] = held_ports(1)
        file = self._out / "counter.txtpb"
        file.write_text(
            f'name: "counter" port: {self._counter_port} log {{ directory: "{self._out / "counter"}" '
            "segment_bytes: 1000000 snapshot_records: 20000 }",
            encoding="utf-8",
        )
        return self._process("counter", ["counter", "serve", str(file)])

    def _process(self, name: str, words: list[str]) -> Process:
        log = (self._out / f"{name}.log").open("ab")
        self._logs.append(log)
        return Process(name, words, log)

    def _publish(self, number: int) -> None:
        """One of the day's releases of hooks, beside those before it."""
        release = self._day.hooks[number]
        drafts = self._out / "drafts"
        drafts.mkdir(exist_ok=True)
        (drafts / "day.hook").write_text(release.source, encoding="utf-8")
        made = release_files.publish(
            drafts, self._out / "hooks", number + 1, release_files.Rollout(share=release.share)
        )
        if release.broken:
            manifest = made / release_files.MANIFEST_FILE
            manifest.write_bytes(manifest.read_bytes()[: manifest.stat().st_size // 2])
        self._events.write("hooks", version=number + 1, share=release.share, broken=release.broken)

    async def _hooks(self, start: float, number: int) -> None:
        """Publish a release in its time, and tell all doors."""
        await asyncio.sleep(max(start + self._day.hooks[number].at_ms - now_ms(), 0.0) / 1000)
        self._publish(number)
        for door in self._doors.values():
            door.signal(signal.SIGHUP)

    async def open(self) -> None:
        """Start everything."""
        for number, release in enumerate(self._day.hooks):
            if not release.at_ms:
                self._publish(number)
        self._progress(0.0, "starting")
        await asyncio.gather(
            *(process.start() for process in (self._redis, self._feed) if process is not None),
            *(process.start() for process in self._auth.values()),
        )
        for number in range(self._day.fleet.servers):
            self._servers[number] = self._server(number, cold=False)
        await asyncio.gather(*(process.start() for process in self._servers.values()))
        entries = [self._entry(number, "up") for number in range(self._day.fleet.servers)]
        await self._steer("feed", [], "update", servers=entries, now=True)
        for number in range(self._day.fleet.doors):
            self._doors[number] = self._door(number)
        await asyncio.gather(*(process.start() for process in self._doors.values()))
        plan = self._out / "schedule.jsonl"
        encoder = msgspec.json.Encoder()
        plan.write_bytes(b"".join(encoder.encode(planned) + b"\n" for planned in schedule(self._day)))
        self._clients = self._process(
            "clients",
            [
                "standin",
                "clients",
                str(plan),
                "--manners",
                json.dumps(self._manners()),
                "--trace",
                str(self._out / "clients.jsonl"),
            ],
        )
        await self._clients.start()

    def _manners(self) -> dict[str, Any]:
        clients = self._day.clients
        safe = [entry.name for entry in getattr(self._day, "class") if entry.effect == cfg.SAFE]
        return {
            "ports": self._door_ports,
            "retries": clients.retries,
            "wait_ms": clients.wait_ms,
            "honour": clients.advice == pb.Clients.HONOUR,
            "advice_most_ms": clients.advice_most_ms,
            "repeat_after_failure": safe,
            "seed": self._day.seed,
        }

    def _door(self, number: int) -> Process:
        ports = {
            "listener": self._door_ports[number],
            "admin": self._admin_ports[number],
            "store": self._counter_port or (self._redis.ready["port"] if self._redis is not None else 0),
            "feed": self._feed.ready["port"],
        }
        if not self._counter_port and self._redis is not None:
            nodes: Any = self._redis.ready["ports"]
            ports.update({f"store-{number}": port for number, port in enumerate(nodes)})
        ports.update({f"auth-{service}": process.ready["port"] for service, process in self._auth.items()})
        door = door_settings(self._day, number, ports, (self._out / f"door-{number}.members.json").absolute())
        if self._held is not None:
            self._held.settings(door, number)
        file = self._out / f"door-{number}.txtpb"
        file.write_text(written(door), encoding="utf-8")
        return self._process(f"door-{number}", ["serve", str(file)])

    def _server(self, number: int, cold: bool) -> Process:
        settings = server_settings(self._day, number, cold, self._server_ports[number])
        self._events.write(
            "server",
            server=number + 1,
            zone=zone_name(number % self._day.fleet.zones),
            cell=number % self._day.fleet.cells,
            cold=cold,
        )
        return self._process(
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

    def _entry(self, number: int, state: str) -> dict[str, object]:
        return entry_of(self._day, number, self._server_ports[number], state, self._started[number])

    async def _tell(self, numbers: list[int], state: str) -> None:
        await self._steer("feed", [], "update", servers=[self._entry(n, state) for n in numbers])

    async def play(self) -> None:
        """The day itself."""
        assert self._clients is not None
        await asyncio.sleep(LEAD_MS / 1000)
        start = now_ms() + 200.0
        await send_command(self._clients.ready["control"], "begin", at=start)
        for event in self._day.event:
            self._tasks.append(asyncio.create_task(self._trouble(start, event)))
        for number, release in enumerate(self._day.hooks):
            if release.at_ms:
                self._tasks.append(asyncio.create_task(self._hooks(start, number)))
        length = length_ms(self._day)
        while now_ms() < start + length:
            await asyncio.sleep(0.2)
            self._progress(min(max(now_ms() - start, 0.0) / length, 1.0), "playing")
            self._failures()
        until = time.monotonic() + AFTER_S
        while not (await send_command(self._clients.ready["control"], "state"))["done"]:
            if time.monotonic() > until:
                raise PlayError("clients: not done a minute after the last arrival")
            await asyncio.sleep(0.1)
        self._failures()

    def _failures(self) -> None:
        """A trouble that could not be brought ends the day: what it would show is not what was meant."""
        for task in self._tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise PlayError(f"a trouble failed: {task.exception()}")

    async def _trouble(self, start: float, event: pb.Event) -> None:
        await asyncio.sleep(max(start + event.at_ms - now_ms(), 0.0) / 1000)
        name = pb.Trouble.Name(event.trouble)
        targets = targets_of(self._day, event)
        self._events.write("trouble", name=name, targets=targets, on=True)
        if event.trouble in STEERED:
            await self._steered(event, targets, STEERED[event.trouble])
        else:
            await getattr(self, f"_{name.lower()}")(event, targets)
        self._events.write("trouble", name=name, targets=targets, on=False)

    async def _last(self, event: pb.Event) -> bool:
        """Wait for a trouble's end; False where it lasts to the end of the day."""
        if not event.for_ms:
            return False
        await asyncio.sleep(event.for_ms / 1000)
        return True

    async def _steered(self, event: pb.Event, targets: list[int], how: Steered) -> None:
        await self._steer(how.whom, targets, how.do, **how.on(event))
        if await self._last(event):
            await self._steer(how.whom, targets, how.do, **how.off)

    async def _steer(self, whom: str, targets: list[int], do: str, **words: Any) -> None:
        """One command to each target; store and feed are one process each."""
        if whom in ("store", "feed"):
            process = self._redis if whom == "store" else self._feed
            assert process is not None
            processes = [process]
        else:
            fleet = self._servers if whom == "servers" else self._auth
            processes = [fleet[number] for number in targets]
        for process in processes:
            await send_command(process.ready["control"], do, **words)

    # Doors ----------------------------------------------------------------------------------------------

    async def _door_back(self, event: pb.Event, targets: list[int]) -> None:
        await self._last(event)
        for number in targets:
            self._doors[number] = self._door(number)
            await self._doors[number].start()
            self._events.write("door up", door=number)

    async def _door_killed(self, event: pb.Event, targets: list[int]) -> None:
        for number in targets:
            self._events.write("door down", door=number)
            await self._doors[number].kill()
        await self._door_back(event, targets)

    async def _door_lost(self, event: pb.Event, targets: list[int]) -> None:
        assert self._held is not None
        for number in targets:
            self._events.write("door down", door=number, lost=True)
            await self._doors[number].kill()
            self._held.lose(number)
        if event.for_ms:
            await self._door_back(event, targets)

    async def _door_rolled(self, event: pb.Event, targets: list[int]) -> None:
        """Leaves by itself: what it held is not excused."""
        for number in targets:
            self._events.write("door stopping", door=number)
            code = await self._doors[number].stop()
            self._events.write("door left", door=number, code=code)
        await self._door_back(event, targets)

    async def _door_cut_from_feed(self, event: pb.Event, targets: list[int]) -> None:
        await self._steer("feed", [], "cut", doors=[f"door-{number}" for number in targets])
        if await self._last(event):
            await self._steer("feed", [], "cut", doors=[])

    # Servers --------------------------------------------------------------------------------------------

    async def _cold(self, targets: list[int]) -> None:
        """Restarted: cold, and the feed tells its new start."""
        for number in targets:
            self._started[number] = time.time() * 1000
        await self._steer("servers", targets, "cold")
        await self._tell(targets, "up")

    async def _server_silent(self, event: pb.Event, targets: list[int]) -> None:
        await self._steer("servers", targets, "silent", on=True)
        if await self._last(event):
            await self._cold(targets)

    async def _server_drained(self, event: pb.Event, targets: list[int]) -> None:
        await self._tell(targets, "draining")
        if await self._last(event):
            await self._tell(targets, "gone")

    async def _server_restarted(self, event: pb.Event, targets: list[int]) -> None:
        await self._tell(targets, "draining")
        if await self._last(event):
            await self._cold(targets)

    async def _server_killed(self, event: pb.Event, targets: list[int]) -> None:
        for number in targets:
            await self._servers[number].kill()
            self._events.write("server down", server=number + 1)
        if await self._last(event):
            for number in targets:
                self._servers[number] = self._server(number, cold=True)
                await self._servers[number].start()
                self._started[number] = time.time() * 1000
            await self._tell(targets, "up")

    # Store ------------------------------------------------------------------------------------------

    async def _store_paused(self, event: pb.Event, targets: list[int]) -> None:
        await self._steer("store", [], "pause", ms=event.for_ms)
        await self._last(event)

    async def _store_emptied(self, event: pb.Event, targets: list[int]) -> None:
        await self._steer("store", [], "restart")

    async def _store_failover(self, event: pb.Event, targets: list[int]) -> None:
        await self._steer("store", [], "failover", split_ms=event.for_ms)
        await self._last(event)

    async def _store_slots_move(self, event: pb.Event, targets: list[int]) -> None:
        await self._steer("store", [], "move", slots=event.count, to=0, for_ms=event.for_ms)
        await self._last(event)

    async def _counter_killed(self, event: pb.Event, targets: list[int]) -> None:
        for _ in range(event.count):
            await asyncio.sleep(event.for_ms / event.count / 1000)
            assert self._redis is not None
            await self._redis.kill()
            self._events.write("counter killed")
            self._redis = self._store()
            await self._redis.start()

    async def close(self) -> None:
        """Tear all down, whatever happened."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        first = [process for process in (self._clients, *self._doors.values()) if process is not None]
        await asyncio.gather(*(process.stop() for process in first))
        rest = [*self._servers.values(), *self._auth.values(), self._redis, self._feed]
        await asyncio.gather(*(process.stop() for process in rest if process is not None))
        for log in self._logs:
            log.close()
        self._events.close()


async def play_day(day: pb.Day, out: Path, progress: Progress) -> None:
    """Play a day into a folder, whose old traces are removed; raises PlayError."""
    if out.exists():
        for path in out.iterdir():
            if path.is_dir() and (path.name in ("counter", "hooks", "drafts", FOLDER) or path.suffix == ".journal"):
                shutil.rmtree(path)
            elif path.suffix in (".jsonl", ".log", ".json", ".txtpb"):
                path.unlink()
    out.mkdir(parents=True, exist_ok=True)
    if day.fleet.doors > MOST_DOORS or day.fleet.servers > MOST_SERVERS:
        raise PlayError(
            f"{day.name}: {day.fleet.doors} doors and {day.fleet.servers} servers are too many processes "
            f"for one machine (at most {MOST_DOORS} and {MOST_SERVERS}); martenstep lab emulate plays it"
        )
    if day.limiter or any(event.trouble == pb.NET_CUT for event in day.event):
        raise PlayError(f"{day.name}: limiters and cuts of the network are emulated only (martenstep lab emulate)")
    if shutil.disk_usage(out).free < 100 << 20:
        raise PlayError(f"{out}: under 100 MiB of disk are free")
    (out / "day.txtpb").write_text(text_format.MessageToString(day), encoding="utf-8")
    stage = Stage(day, out, progress)
    try:
        await stage.open()
        await stage.play()
    finally:
        await stage.close()
