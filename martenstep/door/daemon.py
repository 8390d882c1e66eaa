"""The door as a process: settings in, sockets bound, signals obeyed."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from martenstep.config import door_pb2 as pb
from martenstep.config.tls import WARN_DAYS, ClientContext, ServerContext, TlsError
from martenstep.counter.client import CounterClient, Journal
from martenstep.counter.shards import Shards
from martenstep.door.admin import Admin, DoorCollector
from martenstep.door.driver import Driver
from martenstep.door.engine import Engine
from martenstep.door.events import Counted, Tried
from martenstep.door.log import Notes, configure
from martenstep.door.traces import Exporter
from martenstep.door.wires import now_ms
from martenstep.interface import Scope, Verdict
from martenstep.members.feed import Feed
from martenstep.members.lists import Listed
from martenstep.store.redis_store import RedisStore

WARN_S = 3600.0  # between two looks at the certificate's end
COUNTER_FLUSH_MS = 2000.0  # at a stop: what is not acknowledged by then stays in the journal


class Daemon:
    """One door with its store, its feed and its admin listener."""

    def __init__(self, door: pb.Door, seed: int | None = None) -> None:
        self.door = door
        self.notes = Notes(door.log, door.name)
        self.engine = Engine(door, random.SystemRandom().getrandbits(63) if seed is None else seed)
        self.driver = Driver(door, self.engine, self.notes.note)
        self.ready = False
        self._store: RedisStore | None = None
        if door.HasField("store"):
            self._store = RedisStore(door.store, self._counted, door.name, self.notes.note)
        self._counter: Shards | None = None
        self._exporter: Exporter | None = None
        self._feed = Feed(door.members, door.name, self._listed, self._odd, now_ms)
        self._feeding: asyncio.Task[None] | None = None
        self._admin = Admin(DoorCollector(self._counts, self._gauges), lambda: self.ready)
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Bind everything; the listener last, so that the first request finds the list."""
        self.driver.listen = self._feed.listen
        if self._store is not None:
            self._store.start()
            self.driver.add = self._store.add
        if self.door.HasField("tracing"):
            self._exporter = Exporter(Path(self.door.tracing.file), self.door.name, lambda: time.time() * 1000, now_ms)
            self.driver.trace = self._exporter.take
        if self.door.HasField("counter"):
            self._counter = Shards(self._counter_clients())
            self._counter.start()
            self.driver.add, self.driver.record = self._counter.add, self._tried
        if self.door.HasField("members"):
            self._feed.warm()
            self._feeding = asyncio.create_task(self._feed.run())
            self._feeding.add_done_callback(self._feed_ended)
        if self.door.HasField("admin"):
            self.ports["admin"] = await self._admin.start(self.door.admin.host, self.door.admin.port)
        self.ports["listener"] = await self.driver.start()
        self.ready = True
        self._warn()
        self.notes.note("ready", dict(self.ports))

    def reload(self) -> None:
        """Take up new certificates; connections that stand keep theirs."""
        every: list[ServerContext | ClientContext] = [*self.driver.client_tls]
        if self.driver.tls is not None:
            every.append(self.driver.tls)
        for tls in every:
            try:
                tls.reload()
            except TlsError as error:
                self.notes.note("certificate not taken up", {"error": str(error)})
            else:
                left = {"days_left": round(tls.days_left(), 1)} if isinstance(tls, ServerContext) else {}
                self.notes.note("certificate taken up", left)

    def _warn(self) -> None:
        """Warn of a certificate that ends soon, now and each hour."""
        if self.driver.tls is not None:
            left = self.driver.tls.days_left()
            if left < WARN_DAYS:
                self.notes.note("certificate ends soon", {"days_left": round(left, 1)})
            self.driver.loop.call_later(WARN_S, self._warn)

    async def stop(self) -> bool:
        """Leave in a bounded time; True where all that was held was answered by itself."""
        self.ready = False
        self.notes.note("stopping", {"open": self.engine.open})
        clean = await self.driver.stop(self.door.stop_ms)
        if self._feeding is not None:
            self._feeding.cancel()
        if self._store is not None:
            await self._store.stop()
        if self._counter is not None:
            await self._counter.flush(COUNTER_FLUSH_MS)
            await self._counter.stop()
        if self._exporter is not None:
            self._exporter.close()
        self._admin.stop()
        self.notes.note("stopped", {"clean": clean, **self.engine.held})
        return clean

    def _counted(self, call: int, verdict: Verdict, total: float) -> None:
        self.driver.act(Counted(call, verdict, total))

    def _counter_clients(self) -> dict[str, CounterClient]:
        """One client a service, each with a journal of its own."""
        told = self.door.counter
        tls = None
        if told.HasField("tls"):
            made = ClientContext(told.tls)
            self.driver.client_tls.append(made)
            tls = made.context
        endpoints = [(one.name, one.host, one.port) for one in told.service] or [("", told.host, told.port)]
        return {
            name: CounterClient(host, port, self.door.name,
                                Journal(Path(told.journal) / name, told.journal_tries), self._counted,
                                self.notes.note, timeout_ms=told.timeout_ms, waiting=told.waiting,
                                map_version=told.map_version, tls=tls, server_name=told.tls.server_name)
            for name, host, port in endpoints
        }

    def _tried(self, tried: Tried) -> None:
        assert self._counter is not None
        if not self._counter.record(time.time() * 1000, tried.units, tried.beyond, tried.request, tried.customer,
                                    tried.plan, tried.cls):
            self.notes.note("try not recorded", {"request": tried.request, "customer": tried.customer,
                                                 "plan": tried.plan, "units": tried.units, "beyond": tried.beyond})

    def _listed(self, listed: Listed) -> None:
        if listed.scope is not Scope.CHANGES:
            self.notes.note("members", {"scope": listed.scope.value, "servers": len(listed.servers)})
        self.driver.act(listed)

    def _odd(self, what: str, text: str) -> None:
        self.notes.note(what, {"text": text})

    def _feed_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.notes.note("fault", {"where": "feed", "error": repr(task.exception())})

    def _counts(self) -> dict[str, float]:
        made: dict[str, float] = {**self.driver.counts, "upstream_connections_opened": self.driver.pool.opened}
        if self._store is not None:
            for what, count in self._store.core.counts.items():
                made[f"store_{what.replace(' ', '_').lower()}"] = count
        return made

    def _gauges(self) -> dict[str, float]:
        held: dict[str, float] = {f"held_{name}": value for name, value in self.engine.held.items()}
        return {**held, "client_connections": len(self.driver.clients),
                "upstream_connections": self.driver.pool.connections}


async def serve(door: pb.Door, seed: int | None = None) -> int:
    """Run a door until SIGTERM or SIGINT; gives the exit code."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        daemon = Daemon(door, seed)
    except TlsError as error:
        Notes(door.log, door.name).note("cannot start", {"error": str(error)})
        return 1
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    loop.set_exception_handler(lambda _, context: _loop_fault(daemon, context))
    try:
        await daemon.start()
    except OSError as error:
        daemon.notes.note("cannot start", {"error": error.strerror or str(error)})
        return 1
    sys.stdout.write(json.dumps({"ready": daemon.ports, "pid": os.getpid()}) + "\n")
    sys.stdout.flush()
    await stop.wait()
    await daemon.stop()
    return 0


def _loop_fault(daemon: Daemon, context: dict[str, Any]) -> None:
    """What the event loop cannot hand to anybody; running out of file descriptors on accept is the usual one."""
    error = context.get("exception")
    daemon.notes.note("fault", {"where": str(context.get("message", "")), "error": repr(error) if error else ""})


def run(door: pb.Door, seed: int | None = None) -> int:
    """Run a door in this process."""
    configure(door.log.form)
    return asyncio.run(serve(door, seed))
