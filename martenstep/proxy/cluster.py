"""The parts of a gateway that work with other gateways: membership, replicas and the maintenance queue.

A part that cannot start is logged; the gateway still serves requests, and parts that do not depend on it still run.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog
from martenstep.proxy.admin import AdminListener

if TYPE_CHECKING:  # loaded only if the settings have these parts
    from martenstep.counter.pending_increments import AttemptRecord
    from martenstep.counter.sharded_counter import ShardedCounter
    from martenstep.maintenance.coordinator import MaintenanceCoordinator
    from martenstep.membership.service import MembershipService


class Cluster:
    """Runs this gateway's membership, replicas and maintenance queue, as far as the settings have them."""

    def __init__(
        self, gateway_settings: pb.Door, admin: AdminListener, is_ready: Callable[[], bool], log_event: EventLog
    ) -> None:
        """`admin` shows the parts that are started here; `is_ready` returns whether this gateway serves requests."""
        self._settings, self._admin, self._is_ready, self._log_event = gateway_settings, admin, is_ready, log_event
        self.membership: MembershipService | None = None
        self.replicas: ShardedCounter | None = None
        self.maintenance: MaintenanceCoordinator | None = None

    async def start(self, deliver: Callable[[AttemptRecord], bool]) -> dict[str, int]:
        """Join the cluster; returns the bound ports by name.

        `deliver` passes a record of a ledger that this gateway leads to the counter; False if that cannot be done now.
        """
        from martenstep.membership.keyring import KeyFileError
        from martenstep.membership.service import MembershipService

        ports: dict[str, int] = {}
        try:
            self.membership = MembershipService(
                self._settings.fleet, self._settings.name, self._settings.zone, self._log_event
            )
            ports["fleet"] = await self.membership.start()
        except (KeyFileError, OSError) as error:
            self._log_event("membership not started", {"error": str(error)})
            self.membership = None
            return ports
        self._admin.membership = self.membership
        if self._settings.HasField("copies"):
            ports.update(await self._start_replicas(self.membership, deliver))
        return ports

    async def _start_replicas(
        self, membership: MembershipService, deliver: Callable[[AttemptRecord], bool]
    ) -> dict[str, int]:
        from martenstep.counter.sharded_counter import ShardedCounter
        from martenstep.replication.errors import ReplicaManagerError
        from martenstep.storage.files import LockedError

        ports: dict[str, int] = {}
        self.replicas = ShardedCounter(self._settings, membership, self._log_event, deliver)
        try:
            ports.update(await self.replicas.start())
        except (ReplicaManagerError, LockedError, OSError) as error:
            self._log_event("replicas not started", {"error": str(error)})
            await self.replicas.stop()
        self._admin.replication = self.replicas.replica_manager
        if self._settings.HasField("maintenance"):
            self._start_maintenance(self.replicas)
        return ports

    def _start_maintenance(self, replicas: ShardedCounter) -> None:
        from martenstep.maintenance.coordinator import LocalInstance, MaintenanceCoordinator

        instance = LocalInstance(
            self._settings.name,
            self._settings.zone,
            self._settings.maintenance.capacity,
            self._is_ready,
            self._leave_for_maintenance,
        )
        self.maintenance = MaintenanceCoordinator(
            instance, replicas.replica_manager, self._member_gateways, self._log_event
        )
        self.maintenance.start()
        self._admin.maintenance = self.maintenance

    def _member_gateways(self) -> list[tuple[str, str]]:
        """Return names and zones of the gateways in the membership table."""
        core = self.membership.core if self.membership is not None else None
        return [(member.name, member.zone) for member in core.table] if core is not None else []

    def _leave_for_maintenance(self, request: str) -> None:
        """Shut down because the maintenance queue has reached this machine.

        SIGTERM lets the gateway answer its requests in flight, hand over its leaderships, and exit.
        """
        self._log_event("maintenance shutdown", {"request": request})
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self) -> None:
        """Stop maintenance and replicas; the membership is stopped by its owner."""
        if self.maintenance is not None:
            self.maintenance.stop()
        if self.replicas is not None:
            await self.replicas.stop()

    def counts(self) -> dict[str, float]:
        """Return the counters by metric name."""
        counts: dict[str, float] = {}
        if self.membership is not None:
            counts.update(self.membership.counters())
        replicas = self.replicas
        if replicas is not None:
            counts.update({f"copies_{name}": count for name, count in replicas.replica_manager.counts.items()})
            if replicas.ledger is not None:
                counts.update({f"books_{name}": count for name, count in replicas.ledger.counts.items()})
            counts.update({f"copies_links_{name}": count for name, count in replicas.transport.counts.items()})
        return counts

    def gauges(self) -> dict[str, float]:
        """Return the gauges by metric name."""
        gauges: dict[str, float] = {}
        if self.membership is not None:
            gauges.update(self.membership.gauges())
        replicas = self.replicas
        if replicas is not None:
            gauges.update(replicas.replica_manager.gauges())
            if replicas.ledger is not None:
                gauges.update(replicas.ledger.gauges())
            if self.maintenance is not None:
                gauges.update(self.maintenance.gauges())
        return gauges
