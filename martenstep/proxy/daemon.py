"""The door as a process: settings in, sockets bound, signals obeyed."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from martenstep.config import door_pb2 as pb
from martenstep.config.tls import EXPIRY_WARNING_DAYS, ClientContext, ServerContext, TlsError
from martenstep.counter.client import CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.shards import ShardedClient
from martenstep.discovery.endpoint_list import Listed
from martenstep.discovery.feed import Feed
from martenstep.hooks.files import History, read_directory
from martenstep.hooks.releases import Shelf
from martenstep.hooks.runner import Limits
from martenstep.policy.messages import CallResult, EndpointListScope
from martenstep.proxy.admin import Admin, DoorCollector
from martenstep.proxy.clock import now_ms
from martenstep.proxy.engine_factory import make_dependencies, make_engine, make_server
from martenstep.proxy.engine_messages import CounterReplied, RecordUsage
from martenstep.proxy.event_logger import EventLogger
from martenstep.proxy.traces import Exporter
from martenstep.redis_counter.redis_client import RedisCounter

if TYPE_CHECKING:
    from martenstep.counter.pending_increments import AttemptRecord
    from martenstep.counter.sharded_counter import ShardedCounter
    from martenstep.maintenance.coordinator import Orders
    from martenstep.membership.transport import Membership

WARN_S = 3600.0  # between two looks at the certificate's end
KEPT_EVENTS = ("hooks", "hooks withdrawn", "hook left alone", "hooks changed under a known version")
COUNTER_FLUSH_MS = 2000.0  # at a stop: what is not acknowledged by then stays in the journal


class Backstop:
    """The end of a hook's run by the clock, for what its steps do not bound: a machine that stands still."""

    def __init__(self, most_ms: float) -> None:
        self.most_ms = most_ms

    def begin(self) -> Callable[[], bool]:
        """For one run."""
        until = time.perf_counter() + self.most_ms / 1000
        return lambda: time.perf_counter() > until


class Daemon:
    """One door with its store, its feed and its admin listener."""

    def __init__(self, door: pb.Door, seed: int | None = None) -> None:
        self.door = door
        self.event_logger = EventLogger(door.log, door.name)
        self.shelf: Shelf | None = None
        self._history: History | None = None
        self._backstop = Backstop(door.hooks.backstop_ms)
        if door.HasField("hooks"):
            told = door.hooks
            self._history = History(Path(told.history), door.name) if told.history else None
            self.shelf = Shelf(
                Limits(told.failure_share, told.mean_steps, told.least_runs),
                self._hooks_told,
                withdrawn=self._withdrawn(),
                late=self._backstop.begin,
            )
        self._seed = random.SystemRandom().getrandbits(63) if seed is None else seed
        self.engine = make_engine(door, self._seed, self.shelf, time.time() * 1000 - now_ms())
        self.driver = make_server(door, self.engine, self.event_logger.log)
        self.ready = False
        self._store: RedisCounter | None = None
        if door.HasField("store"):
            self._store = RedisCounter(door.store, self._counted, door.name, self.event_logger.log)
        self._counter: ShardedClient | None = None
        self._exporter: Exporter | None = None
        self._feed = Feed(door.members, door.name, self._listed, self._odd, now_ms)
        self._feeding: asyncio.Task[None] | None = None
        self.fleet: Membership | None = None
        self.copies: ShardedCounter | None = None
        self.orders: Orders | None = None
        self._admin = Admin(DoorCollector(self._counts, self._gauges), lambda: self.ready)
        self._loading: asyncio.Task[None] | None = None
        self.ports: dict[str, int] = {}

    async def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> None:
        """Bind everything; the listener last, or a socket bound already, so that the first request finds the list."""
        await self.load_hooks()
        self.driver.subscribe_endpoints = self._feed.listen
        if self._store is not None:
            self._store.start()
            self.driver.add_to_counter = self._store.add
        if self.door.HasField("tracing"):
            self._exporter = Exporter(Path(self.door.tracing.file), self.door.name, lambda: time.time() * 1000, now_ms)
            self.driver.export_trace = self._exporter.take
        if self.door.HasField("members"):
            self._feed.warm()
            self._feeding = asyncio.create_task(self._feed.run())
            self._feeding.add_done_callback(self._feed_ended)
        if self.door.HasField("fleet"):
            await self._join_fleet()
        if self.door.HasField("counter"):
            self._counter = ShardedClient(self._counter_clients())
            self._counter.start()
            self.driver.add_to_counter = self._counter.add
            self.driver.set_usage_recorder(self._tried, self.door.copies.book.wait_ms)
        if self.door.HasField("admin"):
            self.ports["admin"] = await self._admin.start(self.door.admin.host, self.door.admin.port)
        self.ports["listener"] = await self.driver.start(sock, reuse_port)
        self.ready = True
        self._warn()
        self.event_logger.log("ready", dict(self.ports))

    async def _join_fleet(self) -> None:
        """Find the other doors.  Knowledge, never permission: what is wrong with it keeps nobody from serving."""
        # Imported only where it is asked for: a door without it carries none of it.
        from martenstep.membership.keys import KeyFileError
        from martenstep.membership.transport import Membership

        try:
            self.fleet = Membership(self.door.fleet, self.door.name, self.door.zone, self.event_logger.log)
            self.ports["fleet"] = await self.fleet.start()
        except (KeyFileError, OSError) as error:
            self.event_logger.log("fleet not joined", {"error": str(error)})
            self.fleet = None
            return
        self._admin.fleet(self.fleet)
        if self.door.HasField("copies"):
            await self._hold_copies(self.fleet)

    async def _hold_copies(self, fleet: Membership) -> None:
        """Hold what others rely on.  What is wrong with it keeps nobody from serving: the copies elsewhere go on."""
        from martenstep.counter.sharded_counter import ShardedCounter
        from martenstep.replication.errors import ReplicaManagerError
        from martenstep.storage.files import LockedError

        self.copies = ShardedCounter(self.door, fleet, self.event_logger.log, self._deliver)
        try:
            self.ports.update(await self.copies.start())
        except (ReplicaManagerError, LockedError, OSError) as error:
            self.event_logger.log("copies not held", {"error": str(error)})
            await self.copies.stop()
        self._admin.copies(self.copies.replica_manager)
        if self.door.HasField("maintenance"):
            from martenstep.maintenance.coordinator import Orders

            self.orders = Orders(
                self.door.name,
                self.door.zone,
                self.door.maintenance.capacity,
                self.copies.replica_manager,
                lambda: self.ready,
                self._known_doors,
                self._leave_for_work,
                self.event_logger.log,
            )
            self.orders.start()
            self._admin.orders(self.orders)

    def _known_doors(self) -> list[tuple[str, str]]:
        core = self.fleet.core if self.fleet is not None else None
        return [(fact.name, fact.zone) for fact in core.table] if core is not None else []

    def _leave_for_work(self, request: str) -> None:
        """This machine's turn: it stops as on SIGTERM, answers what is held, hands over, and ends."""
        self.event_logger.log("maintenance leaves", {"request": request})
        os.kill(os.getpid(), signal.SIGTERM)

    async def load_hooks(self) -> None:
        """Take up the releases that stand in the directory.  Hooks never keep a door from its service: what cannot be
        read is told and left out, and what acts goes on."""
        if self.shelf is None:
            return
        told = self.door.hooks
        try:
            releases, wrong = await asyncio.to_thread(read_directory, Path(told.directory), told.trusted_key)
        except OSError as error:
            self.event_logger.log("hooks not taken up", {"error": f"{told.directory}: {error.strerror}"})
            return
        for text in wrong:
            self.event_logger.log("hooks not taken up", {"error": text})
        self.shelf.stock(releases)

    def _withdrawn(self) -> set[int]:
        try:
            return self._history.withdrawn() if self._history is not None else set()
        except OSError as error:
            self.event_logger.log("hooks history not read", {"error": error.strerror or str(error)})
            return set()

    def _hooks_told(self, event: str, fields: dict[str, Any]) -> None:
        self.event_logger.log(event, fields)
        if self._history is not None and event in KEPT_EVENTS:
            try:
                self._history.add(event, fields)
            except OSError as error:
                self.event_logger.log("hooks history not written", {"error": error.strerror or str(error)})

    def reconfigure(self, door: pb.Door) -> None:
        """Take up settings that differ only in what can change in service (config.changes)."""
        self.door = door
        self.event_logger.reconfigure(door.log)
        if self.shelf is not None:
            told = door.hooks
            self.shelf.limit(Limits(told.failure_share, told.mean_steps, told.least_runs))
            self._backstop.most_ms = told.backstop_ms
        self.driver.reconfigure(door.listener, door.upstream)
        self.engine.reconfigure(make_dependencies(door, self._seed, self.shelf, time.time() * 1000 - now_ms()))

    def renew(self) -> None:
        """Take up new hooks and certificates; requests and connections that stand keep theirs."""
        self._loading = asyncio.create_task(self.load_hooks())
        if self.fleet is not None:
            self.fleet.renew()
        every: list[ServerContext | ClientContext] = [*self.driver.client_tls]
        if self.driver.tls is not None:
            every.append(self.driver.tls)
        for tls in every:
            try:
                tls.reload()
            except TlsError as error:
                self.event_logger.log("certificate not taken up", {"error": str(error)})
            else:
                left = {"days_left": round(tls.days_left(), 1)} if isinstance(tls, ServerContext) else {}
                self.event_logger.log("certificate taken up", left)

    def _warn(self) -> None:
        """Warn of a certificate that ends soon, now and each hour."""
        if self.driver.tls is not None:
            left = self.driver.tls.days_left()
            if left < EXPIRY_WARNING_DAYS:
                self.event_logger.log("certificate ends soon", {"days_left": round(left, 1)})
            self.driver.loop.call_later(WARN_S, self._warn)

    async def stop(self) -> bool:
        """Leave in a bounded time; True where all that was held was answered by itself."""
        self.ready = False
        self.event_logger.log("stopping", {"open": self.engine.open})
        leaving = asyncio.create_task(self.fleet.leave()) if self.fleet is not None else None
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
        if self.orders is not None:
            self.orders.stop()
        if self.copies is not None:
            await self.copies.stop()
        if self.fleet is not None and leaving is not None:
            await leaving
            await self.fleet.stop()
        self._admin.stop()
        self.event_logger.log("stopped", {"clean": clean, **self.engine.held})
        return clean

    def _counted(self, call: int, verdict: CallResult, total: float, kept_ms: float) -> None:
        self.driver.handle(CounterReplied(call, verdict, total, kept_ms))

    def _counter_clients(self) -> dict[str, CounterClient]:
        """One client a service, each with a journal of its own."""
        told = self.door.counter
        if told.held_by_doors:
            return self._held_clients()
        tls = None
        if told.HasField("tls"):
            made = ClientContext(told.tls)
            self.driver.client_tls.append(made)
            tls = made.context
        endpoints = [
            (one.name, [(copy.host, copy.port) for copy in one.copy] or [(one.host, one.port)]) for one in told.service
        ] or [("", [(told.host, told.port)])]
        return {
            name: CounterClient(
                addresses,
                self.door.name,
                AttemptJournal(Path(told.journal) / name, told.journal_tries, self.event_logger.log),
                self._counted,
                self.event_logger.log,
                timeout_ms=told.timeout_ms,
                max_pending=told.waiting,
                map_version=told.map_version,
                tls=tls,
                server_name=told.tls.server_name,
            )
            for name, addresses in endpoints
        }

    def _held_clients(self) -> dict[str, CounterClient]:
        """One client a slot.  A door that knows of no other asks nobody, and decides without: as with a counter that is
        away."""
        from martenstep.counter.sharded_counter import slot_groups

        told = self.door.counter

        def addresses(slot: str) -> list[tuple[str, int]]:
            return self.copies.addresses(slot) if self.copies is not None else []

        return {
            slot: CounterClient(
                partial(addresses, slot),
                self.door.name,
                AttemptJournal(Path(told.journal) / slot, told.journal_tries, self.event_logger.log),
                self._counted,
                self.event_logger.log,
                timeout_ms=told.timeout_ms,
                max_pending=told.waiting,
                map_version=self.door.copies.slots,
                group=slot,
                route=self.fleet.way if self.fleet is not None else lambda address: address,
                on_acknowledged=self._recorded,
            )
            for slot in slot_groups(self.door.copies)
        }

    def _deliver(self, made: AttemptRecord) -> bool:
        """A try out of a book that this door leads."""
        return self._counter is not None and self._counter.record(
            made.time_ms, made.units, made.over_quota, made.request_id, made.customer, made.plan, made.request_class
        )

    def _recorded(self, request: str) -> None:
        if self.copies is not None and self.copies.ledger is not None:
            self.copies.ledger.on_acknowledged(request)

    def _tried(self, tried: RecordUsage) -> asyncio.Future[bool] | None:
        assert self._counter is not None
        promised = None
        if self.copies is not None and self.copies.ledger is not None:
            from martenstep.counter.pending_increments import AttemptRecord

            made = self.copies.ledger.replicate(
                AttemptRecord(
                    tried.correlation_id,
                    time.time() * 1000,
                    tried.units,
                    tried.over_quota,
                    tried.customer,
                    tried.plan,
                    tried.request_class,
                )
            )
            promised = made if self.door.copies.book.before_answer else None
        if not self._counter.record(
            time.time() * 1000,
            tried.units,
            tried.over_quota,
            tried.correlation_id,
            tried.customer,
            tried.plan,
            tried.request_class,
        ):
            self.event_logger.log(
                "try not recorded",
                {
                    "request": tried.correlation_id,
                    "customer": tried.customer,
                    "plan": tried.plan,
                    "units": tried.units,
                    "beyond": tried.over_quota,
                },
            )
        return promised

    def _listed(self, listed: Listed) -> None:
        if listed.scope is not EndpointListScope.DELTA:
            self.event_logger.log("members", {"scope": listed.scope.value, "servers": len(listed.servers)})
        self.driver.handle(listed)

    def _odd(self, what: str, text: str) -> None:
        self.event_logger.log(what, {"text": text})

    def _feed_ended(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.event_logger.log("fault", {"where": "feed", "error": repr(task.exception())})

    def _counts(self) -> dict[str, float]:
        made: dict[str, float] = {**self.driver.counts, "upstream_connections_opened": self.driver.pool.opened}
        if self._store is not None:
            for what, count in self._store.core.counts.items():
                made[f"store_{what.replace(' ', '_').lower()}"] = count
        if self.shelf is not None:
            for what, count in self.shelf.counts.items():
                made[f"hooks_{what.replace(' ', '_').replace('-', '_')}"] = count
        if self.fleet is not None:
            made.update(self.fleet.counts())
        if self.copies is not None:
            made.update({f"copies_{name}": count for name, count in self.copies.replica_manager.counts.items()})
            if self.copies.ledger is not None:
                made.update({f"books_{name}": count for name, count in self.copies.ledger.counts.items()})
            made.update({f"copies_links_{name}": count for name, count in self.copies.transport.counts.items()})
        return made

    def _gauges(self) -> dict[str, float]:
        held: dict[str, float] = {f"held_{name}": value for name, value in self.engine.held.items()}
        if self.shelf is not None:
            held.update({f"hooks_version_{name}": version for name, version in self.shelf.acting.items()})
        if self.fleet is not None:
            held.update(self.fleet.gauges())
        if self.copies is not None:
            held.update(self.copies.replica_manager.gauges())
            if self.copies.ledger is not None:
                held.update(self.copies.ledger.gauges())
            if self.orders is not None:
                held.update(self.orders.gauges())
        return {
            **held,
            "client_connections": len(self.driver.clients),
            "upstream_connections": self.driver.pool.connections,
        }


def loop_fault(daemon: Daemon, context: dict[str, Any]) -> None:
    """What the event loop cannot hand to anybody; running out of file descriptors on accept is the usual one."""
    error = context.get("exception")
    daemon.event_logger.log("fault", {"where": str(context.get("message", "")), "error": repr(error) if error else ""})
