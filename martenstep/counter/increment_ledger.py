"""The ledger of pending increments of one gateway: its own group, which it writes, and the groups that it leads.

**Own group.**  A gateway creates its group alone, under a random name, and the group is then replicated to further
gateways like any other group (`replication.placement`, the owner first).  An attempt counts as replicated once it is
committed in a group that has all its replicas.  Until the group has them, as just after its creation, an attempt is
reported as held by this gateway's own journal only.

**Led groups.**  The leader of a group delivers the group's pending attempts to the counter.  The leader is usually the
owner; if the owner is lost, the group elects another replica, whose term fences the old leader.  Two replicas that both
act as the leader do no harm, because the counter recognizes an attempt by its request id.  An owner that is lost for
good is fenced; if it returns, it finds its group fenced and creates another.  A fenced group without pending attempts
is dissolved.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from martenstep.counter.pending_increments import (
    Acknowledge,
    AttemptRecord,
    FenceOwner,
    PendingIncrements,
    SetOwner,
    encode_entry,
    split_acknowledged,
    split_pending,
)
from martenstep.event_log import EventLog
from martenstep.replication.errors import IndeterminateError, NotLeaderError
from martenstep.replication.replica import Replica, now_ms
from martenstep.replication.replica_manager import ReplicaManager
from martenstep.tasks import BackgroundTasks

GROUP_PREFIX = "book-"  # stored on disk as part of group names
GROUP_NAME_RANDOM_BYTES = 6
MAINTENANCE_INTERVAL_S = 0.2
MAX_LEADERLESS_MS = 10_000.0  # after that another own group is created, and the other replicas deliver the old one
MAX_DELIVERING = 2000  # attempts of one group in one maintenance, so that a large group does not fill a client's queue


def is_ledger_group(group: str) -> bool:
    """Return whether a group holds a gateway's pending increments."""
    return group.startswith(GROUP_PREFIX)


def new_group_name(gateway: str) -> str:
    """Return a new random group name, which is not used before even if an old disk is restored."""
    return f"{GROUP_PREFIX}{xxhash.xxh32_hexdigest(gateway.encode())}-{secrets.token_hex(GROUP_NAME_RANDOM_BYTES)}"


@dataclass(frozen=True, slots=True)
class _QueuedAttempt:
    """An attempt to replicate, and the future of its result."""

    attempt: AttemptRecord
    future: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class LedGroup:
    """A group that this gateway leads."""

    replica: Replica
    increments: PendingIncrements


class IncrementLedger:
    """One gateway's own group of pending increments, and the groups that it leads."""

    def __init__(
        self, instance: str, manager: ReplicaManager, deliver: Callable[[AttemptRecord], bool], log_event: EventLog
    ) -> None:
        """Create a ledger without a group.

        `deliver` passes an attempt to the counter's client, and returns False if the client has no capacity.  The
        caller must call `on_acknowledged` once the counter has recorded the attempt.
        """
        self.instance = instance
        self._manager = manager
        self._deliver = deliver
        self._log_event = log_event
        self.own_group = ""
        self._queue: list[_QueuedAttempt] = []
        self._delivering: set[str] = set()  # request ids that a client already delivers
        self._acknowledged: list[str] = []  # request ids acknowledged since the last maintenance
        self._maintenance: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks("increment ledger", log_event)
        self._leader_known_at_ms = now_ms()
        self.counts: Counter[str] = Counter()  # by metric name

    async def start(self) -> None:
        """Open this gateway's latest group, or create one."""
        self.own_group = self._manager.latest_own_group()
        if not self.own_group or self._manager.replica(self.own_group) is None:
            await self._create_group()
        self._maintenance = asyncio.get_running_loop().create_task(self._maintain_forever())

    async def stop(self) -> None:
        """Stop; queued attempts are reported as not replicated, and proposed ones are indeterminate."""
        if self._maintenance is not None:
            self._maintenance.cancel()
        self._tasks.cancel()
        self._resolve(self._queue, False)
        self._queue = []

    async def _create_group(self) -> None:
        self.own_group = new_group_name(self.instance)
        if await self._manager.create_own_group(self.own_group) is None:
            self._log_event("increment group not created", {"group": self.own_group})

    # Replicating

    def replicate(self, attempt: AttemptRecord) -> asyncio.Future[bool]:
        """Add an attempt to the own group; the result is whether it is durable beyond this machine."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._delivering.add(attempt.request_id)  # the gateway's own journal already delivers it
        if not self._queue:
            loop.call_soon(self._propose_queue)
        self._queue.append(_QueuedAttempt(attempt, future))
        return future

    def _propose_queue(self) -> None:
        queue, self._queue = self._queue, []
        by_request_id = {queued.attempt.request_id: queued for queued in queue}
        for entry in split_pending([queued.attempt for queued in queue]):
            queued_attempts = [by_request_id[attempt.request_id] for attempt in entry.attempts]
            self._tasks.spawn(self._propose_attempts(encode_entry(entry), queued_attempts))

    async def _propose_attempts(self, data: bytes, queued_attempts: list[_QueuedAttempt]) -> None:
        replica = self._manager.replica(self.own_group)
        committed = False
        try:
            if replica is not None:
                committed = bool(await replica.propose(data))
                if not committed:
                    self.counts["sealed"] += len(queued_attempts)
        except (NotLeaderError, IndeterminateError, ValueError):
            pass
        fully_replicated = (
            committed
            and replica is not None
            and len(replica.raft.configuration.voters) >= self._manager.replication.replication_factor
        )
        self.counts["promised" if fully_replicated else "thin"] += len(queued_attempts)
        self._resolve(queued_attempts, fully_replicated)

    @staticmethod
    def _resolve(queued_attempts: list[_QueuedAttempt], result: bool) -> None:
        for queued in queued_attempts:
            if not queued.future.done():
                queued.future.set_result(result)

    def on_acknowledged(self, request_id: str) -> None:
        """Record that the counter has acknowledged an attempt."""
        self._acknowledged.append(request_id)

    # Delivering

    def led_groups(self) -> list[LedGroup]:
        """Return the groups of pending increments that this gateway leads."""
        led = []
        for group in self._manager.groups():
            replica = self._manager.replica(group) if is_ledger_group(group) else None
            if replica is None or not isinstance(replica.state_machine, PendingIncrements):
                continue
            if replica.raft.can_serve_read(now_ms()):
                led.append(LedGroup(replica, replica.state_machine))
        return led

    async def _maintain_forever(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            try:
                await self._maintain()
            except Exception as error:  # a fault in one group must not stop the maintenance of all others
                self._log_event("fault", {"where": "increment ledger", "error": repr(error)})

    async def _maintain(self) -> None:
        acknowledged, self._acknowledged = self._acknowledged, []
        self._delivering.difference_update(acknowledged)
        for group in self.led_groups():
            self._propose_acknowledged(group, acknowledged)
            if not group.increments.owner and group.replica.group == self.own_group:
                self._tasks.spawn(self._propose(group.replica, SetOwner(self.instance)))
            self._deliver_pending(group.increments, set(acknowledged))
            self._fence_lost_owner(group)
        # Acknowledged attempts of groups that another gateway leads, or that have no leader yet, stay pending there.
        # Their leader delivers them once more, and the counter recognizes them.
        await self._replace_own_group()

    def _propose_acknowledged(self, group: LedGroup, acknowledged: list[str]) -> None:
        pending_ids = [request_id for request_id in acknowledged if request_id in group.increments.pending]
        for entry in split_acknowledged(pending_ids):
            self._tasks.spawn(self._propose(group.replica, entry))

    async def _replace_own_group(self) -> None:
        """Create another own group if the current one is fenced, or has had no leader for too long."""
        replica = self._manager.replica(self.own_group)
        if replica is not None and replica.raft.leader is not None:
            self._leader_known_at_ms = now_ms()
        leaderless = replica is None or now_ms() - self._leader_known_at_ms > MAX_LEADERLESS_MS
        fenced = (
            replica is not None
            and isinstance(replica.state_machine, PendingIncrements)
            and replica.state_machine.fenced
        )
        if not leaderless and not fenced:
            return
        self._log_event("increment group replaced", {"group": self.own_group})
        self._leader_known_at_ms = now_ms()
        if (
            replica is not None
            and len(replica.raft.configuration.voters) < self._manager.replication.replication_factor
        ):
            # The group never had all its replicas, so it guaranteed nothing beyond this gateway's own journal.  A group
            # of two replicas has no leader once one of them is lost.
            self._manager.abandon_group(self.own_group)
        await self._create_group()

    def _deliver_pending(self, increments: PendingIncrements, acknowledged: set[str]) -> None:
        for attempt in list(increments.pending.values())[:MAX_DELIVERING]:
            if attempt.request_id not in self._delivering and attempt.request_id not in acknowledged:
                if not self._deliver(attempt):
                    return
                self._delivering.add(attempt.request_id)
                self.counts["delivered"] += 1

    def _fence_lost_owner(self, group: LedGroup) -> None:
        """Fence an owner that is lost for good, and dissolve its group once no attempts are pending."""
        owner = group.increments.owner
        if not owner or owner == self.instance or owner not in self._manager.lost_nodes():
            return
        if not group.increments.fenced:
            fields = {"group": group.replica.group, "owner": owner, "pending": len(group.increments.pending)}
            self._log_event("increment group fenced", fields)
            self._tasks.spawn(self._propose(group.replica, FenceOwner()))
        elif not group.increments.pending:
            self._manager.dissolve_group(group.replica.group)

    async def _propose(self, replica: Replica, entry: SetOwner | Acknowledge | FenceOwner) -> None:
        try:
            await replica.propose(encode_entry(entry))
        except (NotLeaderError, IndeterminateError):
            if isinstance(entry, Acknowledge):  # the next leader may deliver them again; the counter recognizes them
                self.counts["done_in_doubt"] += len(entry.request_ids)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by metric name."""
        led = self.led_groups()
        replica = self._manager.replica(self.own_group)
        return {
            "books_led": len(led),
            "books_pending": sum(len(group.increments.pending) for group in led),
            "books_own_copies": len(replica.raft.configuration.voters) if replica is not None else 0,
        }
