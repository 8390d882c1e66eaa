"""Assembles one gateway from its settings: starts, reconfigures and stops its parts, and collects their metrics."""

from __future__ import annotations

import asyncio
import random
import socket
from pathlib import Path
from typing import TYPE_CHECKING, Any

from martenstep.config import door_pb2 as pb
from martenstep.discovery.endpoint_list import EndpointListEvent
from martenstep.discovery.feed import EndpointFeed
from martenstep.hooks.release_manager import ReleaseManager
from martenstep.policy.messages import CallResult, EndpointListScope
from martenstep.proxy.admin import AdminListener, GatewayCollector
from martenstep.proxy.certificates import Certificates
from martenstep.proxy.clock import now_ms, wall_clock_ms
from martenstep.proxy.cluster import Cluster
from martenstep.proxy.engine_factory import make_dependencies, make_engine, make_server
from martenstep.proxy.engine_messages import CounterReplied
from martenstep.proxy.event_logger import EventLogger
from martenstep.proxy.hook_service import HookService
from martenstep.proxy.loop_lag import LoopClock
from martenstep.proxy.traces import TraceExporter
from martenstep.proxy.usage_recorder import UsageRecorder
from martenstep.redis_counter.redis_client import RedisCounter

if TYPE_CHECKING:  # loaded only if the settings have replicas
    from martenstep.counter.pending_increments import AttemptRecord

SEED_BITS = 63


class Daemon:
    """One gateway with its counter, its discovery and its admin listener."""

    def __init__(self, settings: pb.Door, seed: int | None = None, clock: LoopClock | None = None) -> None:
        """Must be called in a running event loop; raises TlsError.  Without `seed`, a random one is drawn.

        `clock` gives the earliest arrival time of what the event loop finds ready.
        """
        self.settings = settings
        self.event_logger = EventLogger(settings.log, settings.name)
        self._log_event = self.event_logger.log
        self._hooks = (
            HookService(settings.hooks, settings.name, self._log_event) if settings.HasField("hooks") else None
        )
        self._seed = random.SystemRandom().getrandbits(SEED_BITS) if seed is None else seed
        incarnation = random.SystemRandom().getrandbits(SEED_BITS)  # also with a seed: a repeated key drops a command
        self.engine = make_engine(settings, self._seed, self._hook_releases, self._epoch_ms(), incarnation)
        self.server = make_server(settings, self.engine, self._log_event, clock)
        self._certificates = Certificates(self.server, self._log_event)
        self.ready = False
        self._redis: RedisCounter | None = None
        if settings.HasField("store"):
            self._redis = RedisCounter(settings.store, self._counter_replied, settings.name, self._log_event)
        self._feed = EndpointFeed(
            settings.members, settings.name, self._endpoints_updated, self._log_feed_event, now_ms
        )
        self._feed_task: asyncio.Task[None] | None = None
        self._admin = AdminListener(GatewayCollector(self.counts, self.gauges), lambda: self.ready)
        self.cluster = Cluster(settings, self._admin, lambda: self.ready, self._log_event)
        self._usage_recorder: UsageRecorder | None = None
        if settings.HasField("counter"):
            self._usage_recorder = UsageRecorder(settings, self.cluster, self._counter_replied, self._log_event)
        self._trace_exporter: TraceExporter | None = None
        self._reload_task: asyncio.Task[None] | None = None
        self.ports: dict[str, int] = {}

    @property
    def _hook_releases(self) -> ReleaseManager | None:
        return self._hooks.releases if self._hooks is not None else None

    @staticmethod
    def _epoch_ms() -> float:
        """Return the offset that is added to the gateway's clock to get Unix time."""
        return wall_clock_ms() - now_ms()

    # Lifecycle ----------------------------------------------------------------------------------------------

    async def start(self, sock: socket.socket | None = None, reuse_port: bool = False) -> None:
        """Start all parts; raises OSError if an address cannot be bound.

        The listener, or `sock` which is bound already, starts last, so that the first request finds the endpoint list.
        """
        await self._load_hooks()
        self.server.subscribe_endpoints = self._feed.subscribe
        if self._redis is not None:
            self._redis.start()
            self.server.add_to_counter = self._redis.add
        if self.settings.HasField("tracing"):
            self._trace_exporter = TraceExporter(
                Path(self.settings.tracing.file), self.settings.name, wall_clock_ms, now_ms
            )
            self.server.export_trace = self._trace_exporter.export
        if self.settings.HasField("members"):
            self._feed.restore()
            self._feed_task = asyncio.create_task(self._feed.run())
            self._feed_task.add_done_callback(self._feed_ended)
        if self.settings.HasField("fleet"):
            self.ports.update(await self.cluster.start(self._deliver))
        if self._usage_recorder is not None:
            self._start_usage_recorder(self._usage_recorder)
        if self.settings.HasField("admin"):
            self.ports["admin"] = await self._admin.start(self.settings.admin.host, self.settings.admin.port)
        self.ports["listener"] = await self.server.start(sock, reuse_port)
        self.ready = True
        self._certificates.warn_of_expiry()
        self._log_event("ready", dict(self.ports))

    def _start_usage_recorder(self, usage_recorder: UsageRecorder) -> None:
        usage_recorder.start()
        self.server.client_tls += usage_recorder.client_tls
        self.server.add_to_counter = usage_recorder.add
        self.server.set_usage_recorder(usage_recorder.record, self.settings.copies.book.wait_ms)

    async def _load_hooks(self) -> None:
        if self._hooks is not None:
            await self._hooks.load()

    def reconfigure(self, settings: pb.Door) -> None:
        """Apply settings that differ only in fields that may change without a restart (see config.changes)."""
        self.settings = settings
        self.event_logger.reconfigure(settings.log)
        if self._hooks is not None:
            self._hooks.reconfigure(settings.hooks)
        self.server.reconfigure(settings.listener, settings.upstream)
        dependencies = make_dependencies(settings, self._seed, self._hook_releases, self._epoch_ms())
        self.engine.reconfigure(dependencies)

    def renew(self) -> None:
        """Reload hooks, keys and certificates; requests in flight and open connections keep the previous ones."""
        self._reload_task = asyncio.create_task(self._load_hooks())
        if self.cluster.membership is not None:
            self.cluster.membership.reload_keys()
        self._certificates.reload()

    async def stop(self) -> bool:
        """Shut down gracefully in a bounded time; True if every request in flight was answered before the timeout."""
        self.ready = False
        self._log_event("stopping", {"open": self.engine.unanswered})
        membership = self.cluster.membership
        leave_task = asyncio.create_task(membership.leave()) if membership is not None else None
        clean = await self.server.stop(self.settings.stop_ms)
        if self._feed_task is not None:
            self._feed_task.cancel()
        if self._redis is not None:
            await self._redis.stop()
        if self._usage_recorder is not None:
            await self._usage_recorder.stop()
        if self._trace_exporter is not None:
            self._trace_exporter.close()
        await self.cluster.stop()
        if membership is not None and leave_task is not None:
            await leave_task
            await membership.stop()
        self._admin.stop()
        self._log_event("stopped", {"clean": clean, **self.engine.held_counts})
        return clean

    # Counter and endpoints ----------------------------------------------------------------------------------

    def _counter_replied(self, call_id: int, result: CallResult, total: float, retained_ms: float) -> None:
        self.server.handle(CounterReplied(call_id, result, total, retained_ms))

    def _deliver(self, record: AttemptRecord) -> bool:
        return self._usage_recorder is not None and self._usage_recorder.deliver(record)

    def _endpoints_updated(self, update: EndpointListEvent) -> None:
        if update.scope is not EndpointListScope.DELTA:
            self._log_event("endpoint list", {"scope": update.scope.value, "servers": len(update.endpoints)})
        self.server.handle(update)

    def _log_feed_event(self, event: str, text: str) -> None:
        self._log_event(event, {"text": text})

    def _feed_ended(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log_event("fault", {"where": "feed", "error": repr(error)})

    # Metrics ------------------------------------------------------------------------------------------------

    def counts(self) -> dict[str, float]:
        """Return the counters by metric name."""
        counts: dict[str, float] = {
            **self.server.counts,
            "upstream_connections_opened": self.server.pool.opened,
            "connections_shed": self.server.state.buffers.shed_count,
        }
        if self._redis is not None:
            for name, count in self._redis.core.counts.items():
                counts[f"store_{name.replace(' ', '_').lower()}"] = count
        releases = self._hook_releases
        if releases is not None:
            for name, count in releases.counts.items():
                counts[f"hooks_{name.replace(' ', '_').replace('-', '_')}"] = count
        return {**counts, **self.cluster.counts()}

    def gauges(self) -> dict[str, float]:
        """Return the gauges by metric name."""
        gauges: dict[str, float] = {f"held_{name}": value for name, value in self.engine.held_counts.items()}
        releases = self._hook_releases
        if releases is not None:
            gauges.update({f"hooks_version_{name}": version for name, version in releases.active_versions.items()})
        return {
            **gauges,
            **self.cluster.gauges(),
            "client_connections": len(self.server.clients),
            "client_buffer_bytes": self.server.state.buffers.held_bytes,
            "upstream_connections": self.server.pool.connections,
        }


def log_loop_error(daemon: Daemon, context: dict[str, Any]) -> None:
    """Log an error that no task receives; the usual one is that accept runs out of file descriptors."""
    error = context.get("exception")
    fields = {"where": str(context.get("message", "")), "error": repr(error) if error else ""}
    daemon.event_logger.log("fault", fields)
