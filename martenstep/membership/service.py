"""The membership of one instance: runs the core on sockets and a timer, stores its identity, and logs its events."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from pathlib import Path

from martenstep.config import door_pb2 as pb
from martenstep.event_log import EventLog
from martenstep.membership.actions import EventFields, EventKind, MemberEvent, OpenExchange, SendDatagram
from martenstep.membership.belief_record import NODE_STARTED, BeliefRecord
from martenstep.membership.core import MembershipCore
from martenstep.membership.errors import ProtocolError
from martenstep.membership.exchange_stream import ExchangeStreams
from martenstep.membership.identity import MAX_ADDRESSES, NodeIdentity, load_identity, store_identity
from martenstep.membership.keyring import KeyFileError, Keyring, read_keyring
from martenstep.membership.member import Address, MemberRecord, MemberState
from martenstep.membership.settings import MembershipSettings, Stage
from martenstep.membership.status import (
    InactiveStatus,
    MembershipStatus,
    build_status,
    metric_counters,
    metric_gauges,
)
from martenstep.membership.transport import MembershipTransport
from martenstep.storage.files import Disk, LockedError
from martenstep.tasks import BackgroundTasks

LEAVE_TIMEOUT_S = 3.0
STORE_ADDRESSES_INTERVAL_S = 30.0
UNLOGGED_KINDS = frozenset({EventKind.SUSPICION_WITHDRAWN, EventKind.MEMBER_FORGOTTEN})  # not useful to operators


def now_ms() -> float:
    """Return the time for the core: a monotonic clock, the same for all processes on a machine."""
    return time.monotonic() * 1000


class MembershipService:
    """Takes part in the cluster as one member."""

    def __init__(
        self,
        fleet: pb.Fleet,
        name: str,
        zone: str,
        log_event: EventLog,
        on_event: Callable[[MemberEvent], None] | None = None,
    ) -> None:
        """Raises KeyFileError if the keys cannot be read."""
        self._fleet = fleet
        self._name = name
        self._zone = zone
        self._log_event = log_event
        self._on_event = on_event
        self._rng = random.SystemRandom()
        self._keyring = read_keyring(Path(fleet.key_file))
        routes = {(route.to.host, route.to.port): (route.through.host, route.through.port) for route in fleet.way}
        self._transport = MembershipTransport(routes)
        self._streams = ExchangeStreams(fleet.cluster, lambda: self._keyring)
        self._disk: Disk | None = None
        self._identity = NodeIdentity(self._rng.getrandbits(62), 1)
        self.core: MembershipCore | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._tasks = BackgroundTasks("membership", log_event)
        self._record: BeliefRecord | None = None
        self._changed = asyncio.Event()  # set and replaced at each event
        self._left_cluster = asyncio.Event()

    # Start and stop.

    async def start(self) -> int:
        """Bind the sockets and start to join the cluster; returns the port.  Raises OSError if binding fails."""
        fleet = self._fleet
        if fleet.directory:
            await asyncio.to_thread(self._load_identity)
        await self._transport.bind(fleet.host, fleet.port, self._receive, self._serve_exchange)
        if fleet.record:
            self._record = await asyncio.to_thread(BeliefRecord, Path(fleet.record), self._name)
        record = self._build_own_record()
        rng = random.Random(self._rng.getrandbits(62))
        self.core = MembershipCore(self._build_settings(), record, self._keyring, rng, now_ms())
        self._record_started(record)
        self._log_event(
            "membership started",
            {
                "cluster": fleet.cluster,
                "host": record.host,
                "port": record.port,
                "node_id": f"{record.node_id:016x}",
                "incarnation": record.incarnation,
            },
        )
        self._run_actions()
        if self._disk is not None:
            self._tasks.spawn(self._store_addresses_regularly())
        return self.port

    def _build_own_record(self) -> MemberRecord:
        fleet = self._fleet
        boot_id = self._rng.getrandbits(62)
        host, port = fleet.host, self.port
        if fleet.HasField("advertise"):
            host, port = fleet.advertise.host, fleet.advertise.port
        identity = self._identity
        return MemberRecord(
            self._name,
            0,
            identity.node_id,
            identity.start_count,
            MemberState.ALIVE,
            boot_id,
            host,
            port,
            self._zone,
        )

    def _build_settings(self) -> MembershipSettings:
        fleet = self._fleet
        seeds: list[Address] = [(seed.host, seed.port) for seed in fleet.seed]
        seeds += [address for address in self._identity.addresses if address not in seeds]
        return MembershipSettings(
            cluster=fleet.cluster,
            seeds=tuple(seeds),
            probe_interval_ms=fleet.period_ms,
            ack_timeout_ms=fleet.ack_ms,
            gossip_interval_ms=fleet.gossip_ms,
            min_suspicion_ms=fleet.suspect_least_ms,
            forget_after_ms=fleet.reclaim_ms,
        )

    def _load_identity(self) -> None:
        try:
            self._disk = Disk(Path(self._fleet.directory))
            self._identity, problem = load_identity(self._disk, self._rng)
        except (OSError, LockedError) as error:
            problem = str(error)
        self._log_identity_problem(problem)

    def _log_identity_problem(self, problem: str) -> None:
        if problem:
            self._log_event("membership identity", {"error": problem})

    def _record_started(self, record: MemberRecord) -> None:
        if self._record is not None:
            fields: EventFields = {"life": record.boot_id, "host": record.host, "port": record.port}
            self._record.write(now_ms(), NODE_STARTED, self._name, fields)

    async def leave(self) -> None:
        """Announce that this instance leaves, and wait until that is disseminated or `LEAVE_TIMEOUT_S` has passed."""
        core = self.core
        if core is None or core.stage is Stage.LEFT:
            return
        core.leave(now_ms())
        self._run_actions()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self._left_cluster.wait()

    async def stop(self) -> None:
        """Stop the timer and tasks, store known addresses, and close the sockets, the disk and the record."""
        if self._timer is not None:
            self._timer.cancel()
        self._tasks.cancel()
        self._transport.close()
        if self._disk is not None:
            await asyncio.to_thread(self._store_addresses)
            self._disk.close()
            self._disk = None
        if self._record is not None:
            self._record.close()
            self._record = None

    # Settings.

    @property
    def port(self) -> int:
        """Return the port of both sockets; 0 before `start`."""
        return self._transport.port

    @property
    def keyring(self) -> Keyring:
        """Return the current keys."""
        return self._keyring

    def route(self, address: Address) -> Address:
        """Return the address to send to for a member's address."""
        return self._transport.route(address)

    def reload_keys(self) -> None:
        """Read the key file again; if it cannot be read, the current keys stay."""
        try:
            self._keyring = read_keyring(Path(self._fleet.key_file))
        except KeyFileError as error:
            self._log_event("membership keys not reloaded", {"error": str(error)})
            return
        if self.core is not None:
            self.core.replace_keyring(self._keyring)
        self._log_event("membership keys reloaded", {})

    async def _store_addresses_regularly(self) -> None:
        while True:
            await asyncio.sleep(STORE_ADDRESSES_INTERVAL_S)
            await asyncio.to_thread(self._store_addresses)

    def _store_addresses(self) -> None:
        if self.core is None or self._disk is None:
            return
        others = [record.address for record in self.core.table if record.present and record.name != self._name]
        self._identity.addresses = others[:MAX_ADDRESSES]
        self._log_identity_problem(store_identity(self._disk, self._identity))

    # The core.

    def _run_actions(self) -> None:
        """Execute the actions of the core, and set the timer for its next wake-up."""
        core = self.core
        assert core is not None
        for action in core.take_actions():
            if isinstance(action, SendDatagram):
                self._transport.send(action.to, action.data)
            elif isinstance(action, OpenExchange):
                self._tasks.spawn(self._run_exchange(action))
            else:
                self._handle_event(action)
        if self._timer is not None:
            self._timer.cancel()
        if core.stage is not Stage.LEFT:
            self._timer = asyncio.get_running_loop().call_at(core.next_due_ms / 1000, self._wake)

    def _wake(self) -> None:
        assert self.core is not None
        self.core.wake(now_ms())
        self._run_actions()

    def _receive(self, data: bytes) -> None:
        if self.core is not None:
            self.core.receive(now_ms(), data)
            self._run_actions()

    def _handle_event(self, event: MemberEvent) -> None:
        if self._record is not None:
            self._record.write(now_ms(), event.kind, event.member, event.recorded_fields)
        if event.kind not in UNLOGGED_KINDS:
            line = "membership member" if event.member != self._name else "membership self"
            self._log_event(line, {"change": event.kind.label, "member": event.member, **event.fields})
        if event.kind is EventKind.LEFT_CLUSTER:
            self._left_cluster.set()
        self._changed.set()
        self._changed = asyncio.Event()
        if self._on_event is not None:
            self._on_event(event)

    # Exchanges.

    async def _run_exchange(self, action: OpenExchange) -> None:
        """Run an exchange that the core opens."""
        core = self.core
        assert core is not None

        def on_answer(body: bytes | None) -> bytes | None:
            next_frame = core.continue_exchange(now_ms(), action.token, body)
            self._run_actions()
            return next_frame

        if not await self._streams.run(self.route(action.to), core.open_exchange(), on_answer):
            on_answer(None)

    async def _serve_exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve an exchange that another member opens."""
        core = self.core
        if core is None:
            writer.close()
            return

        def answer(body: bytes) -> bytes:
            response = core.serve_exchange(now_ms(), body)
            self._run_actions()
            return response

        try:
            await self._streams.serve(reader, writer, answer)
        except ProtocolError as error:
            core.counters[f"dropped_stream_{error.reason.replace(' ', '_')}"] += 1

    # Status, for the admin API and metrics.

    @property
    def version(self) -> int:
        """Return the version of the member table, which increases with each change; 0 before `start`."""
        return self.core.table.version if self.core is not None else 0

    async def wait_newer(self, version: int, timeout_s: float) -> None:
        """Wait until the member table has a newer version, or until the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.version <= version:
                    await self._changed.wait()

    def view(self) -> MembershipStatus | InactiveStatus:
        """Return the status for the admin API."""
        return build_status(self.core, now_ms()) if self.core is not None else InactiveStatus()

    def counters(self) -> dict[str, float]:
        """Return the counters for metrics."""
        return metric_counters(self.core) if self.core is not None else {}

    def gauges(self) -> dict[str, float]:
        """Return the gauges for metrics."""
        return metric_gauges(self.core) if self.core is not None else {}
