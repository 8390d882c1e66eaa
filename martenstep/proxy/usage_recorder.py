"""The gateway's clients of the counter service: they make counter calls and record each forwarded request."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.config.tls import ClientContext
from martenstep.counter.client import ClientOptions, CounterClient
from martenstep.counter.journal import AttemptJournal
from martenstep.counter.pending_increments import AttemptRecord
from martenstep.counter.shards import ShardedClient
from martenstep.event_log import EventLog
from martenstep.policy.messages import CallResult
from martenstep.proxy.cluster import Cluster
from martenstep.proxy.engine_messages import RecordUsage

FLUSH_TIMEOUT_MS = 2000.0  # at shutdown: records not acknowledged by then stay in the journal
MS_PER_S = 1000.0
CounterReplyHandler = Callable[[int, CallResult, float, float], None]
Address = tuple[str, int]


class UsageRecorder:
    """The clients of the counter service, one for each shard."""

    def __init__(
        self, gateway_settings: pb.Door, cluster: Cluster, on_reply: CounterReplyHandler, log_event: EventLog
    ) -> None:
        """`on_reply` is called with the id, result and total of each counter call.

        Its fourth argument is the time (ms) for which the counter is known to have lost nothing.
        """
        self._gateway_settings, self._settings, self._cluster = gateway_settings, gateway_settings.counter, cluster
        self._on_reply, self._log_event = on_reply, log_event
        self.client_tls: list[ClientContext] = []
        self._shards: ShardedClient | None = None

    def start(self) -> None:
        """Start connecting to all services; raises TlsError."""
        clients = self._replica_clients() if self._settings.held_by_doors else self._service_clients()
        self._shards = ShardedClient(clients)
        self._shards.start()

    async def stop(self) -> None:
        """Send the remaining records within FLUSH_TIMEOUT_MS, then close the clients."""
        if self._shards is not None:
            await self._shards.flush(FLUSH_TIMEOUT_MS)
            await self._shards.stop()

    def add(self, call_id: int, key: int, units: float, expire_ms: float, bounds_ceiling: bool) -> None:
        """Make a counter call."""
        assert self._shards is not None
        self._shards.add(call_id, key, units, expire_ms, bounds_ceiling)

    # Clients ------------------------------------------------------------------------------------------------

    def _journal(self, name: str) -> AttemptJournal:
        return AttemptJournal(Path(self._settings.journal) / name, self._settings.journal_tries, self._log_event)

    def _service_clients(self) -> dict[str, CounterClient]:
        """Build one client for each service, each with its own journal."""
        settings = self._settings
        tls = None
        if settings.HasField("tls"):
            client_tls = ClientContext(settings.tls)
            self.client_tls.append(client_tls)
            tls = client_tls.context
        addresses: dict[str, list[Address]] = {
            service.name: [(replica.host, replica.port) for replica in service.copy] or [(service.host, service.port)]
            for service in settings.service
        }
        return {
            name: CounterClient(
                service_addresses,
                self._journal(name),
                self._on_reply,
                self._log_event,
                ClientOptions(
                    self._gateway_settings.name,
                    timeout_ms=settings.timeout_ms,
                    max_pending=settings.waiting,
                    map_version=settings.map_version,
                    tls=tls,
                    server_name=settings.tls.server_name,
                ),
            )
            for name, service_addresses in (addresses or {"": [(settings.host, settings.port)]}).items()
        }

    def _replica_clients(self) -> dict[str, CounterClient]:
        """Build one client for each slot of the counter that the gateways replicate.

        A gateway that has no replica's address sends no calls and decides unconfirmed, as with an unreachable counter.
        """
        from martenstep.counter.sharded_counter import slot_groups

        settings, membership = self._settings, self._cluster.membership
        return {
            slot: CounterClient(
                partial(self._replica_addresses, slot),
                self._journal(slot),
                self._on_reply,
                self._log_event,
                ClientOptions(
                    self._gateway_settings.name,
                    timeout_ms=settings.timeout_ms,
                    max_pending=settings.waiting,
                    map_version=self._gateway_settings.copies.slots,
                    group=slot,
                    route=membership.route if membership is not None else lambda address: address,
                    on_acknowledged=self._record_acknowledged,
                ),
            )
            for slot in slot_groups(self._gateway_settings.copies)
        }

    def _replica_addresses(self, slot: str) -> list[Address]:
        replicas = self._cluster.replicas
        return replicas.addresses(slot) if replicas is not None else []

    # Records ------------------------------------------------------------------------------------------------

    def record(self, usage: RecordUsage) -> asyncio.Future[bool] | None:
        """Record a forwarded request; returns a future if its response must wait until the record is replicated."""
        assert self._shards is not None
        replicated = self._replicate_record(usage)
        accepted = self._shards.record(
            AttemptRecord(
                usage.correlation_id,
                time.time() * MS_PER_S,
                usage.units,
                usage.over_quota,
                usage.customer,
                usage.plan,
                usage.request_class,
            )
        )
        if not accepted:
            self._log_event(
                "usage not recorded",
                {
                    "request": usage.correlation_id,
                    "customer": usage.customer,
                    "plan": usage.plan,
                    "units": usage.units,
                    "beyond": usage.over_quota,
                },
            )
        return replicated

    def _replicate_record(self, usage: RecordUsage) -> asyncio.Future[bool] | None:
        """Replicate the record in this gateway's ledger, which holds it until the counter acknowledges it."""
        replicas = self._cluster.replicas
        if replicas is None or replicas.ledger is None:
            return None
        replicated = replicas.ledger.replicate(
            AttemptRecord(
                usage.correlation_id,
                time.time() * MS_PER_S,
                usage.units,
                usage.over_quota,
                usage.customer,
                usage.plan,
                usage.request_class,
            )
        )
        return replicated if self._gateway_settings.copies.book.before_answer else None

    def deliver(self, pending: AttemptRecord) -> bool:
        """Record a request from a ledger that this gateway leads; False if no client can accept it now."""
        return self._shards is not None and self._shards.record(pending)

    def _record_acknowledged(self, correlation_id: str) -> None:
        replicas = self._cluster.replicas
        if replicas is not None and replicas.ledger is not None:
            replicas.ledger.on_acknowledged(correlation_id)
