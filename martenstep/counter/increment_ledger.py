"""The groups of pending increments that one gateway has: its own, which it writes, and those of others that it leads.

**Own.**  A gateway begins its group alone, under a name drawn at random, and the group is replicated to further
gateways as any other (`replication.placement`, the owner first).  An attempt counts as replicated once the group has it
durably at all its replicas; until the group has them, as in the first moments, attempts are reported as held by this
gateway's own journal alone.

**Others'.**  The leader of a group delivers what is pending in it to the counter: the owner, usually, and when it is
lost one of the other replicas, which the group's election chooses and fences.  Two that both believe they lead do no
harm: the counter knows an attempt by its request id.  Once the owner is lost for good it is fenced; an owner that comes
back finds itself fenced and begins another group.  A fenced group with nothing left in it is dissolved.
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

GROUP_PREFIX = "book-"  # of the names of groups, which stand on disk
GROUP_NAME_RANDOM_BYTES = 6
MAINTENANCE_INTERVAL_S = 0.2
MAX_LEADERLESS_MS = 10_000.0  # after that another own group is begun, and the old one is left to the others
MAX_DELIVERING = 2000  # attempts of one group at a time, so that a large one does not fill a client's queue


def is_ledger_group(group: str) -> bool:
    """Whether a group holds a gateway's pending increments."""
    return group.startswith(GROUP_PREFIX)


def new_group_name(gateway: str) -> str:
    """Draw a new group's name: never one that was there before, whatever disk is restored."""
    return f"{GROUP_PREFIX}{xxhash.xxh32_hexdigest(gateway.encode())}-{secrets.token_hex(GROUP_NAME_RANDOM_BYTES)}"


@dataclass(frozen=True, slots=True)
class _Waiting:
    """An attempt that is being replicated, and who waits for that."""

    attempt: AttemptRecord
    future: asyncio.Future[bool]


@dataclass(frozen=True, slots=True)
class LedGroup:
    """A group that this gateway leads."""

    replica: Replica
    increments: PendingIncrements


class IncrementLedger:
    """One gateway's own group and those that it leads."""

    def __init__(
        self, instance: str, manager: ReplicaManager, deliver: Callable[[AttemptRecord], bool], log_event: EventLog
    ) -> None:
        """Begin without a group; `deliver` hands an attempt to the counter's client, False if that has no capacity.

        `on_acknowledged` is to be called when the counter has it.
        """
        self.instance = instance
        self._manager = manager
        self._deliver = deliver
        self._log_event = log_event
        self.own_group = ""
        self._queue: list[_Waiting] = []
        self._delivering: set[str] = set()  # request ids
        self._acknowledged: list[str] = []  # request ids since the last maintenance
        self._maintenance: asyncio.Task[None] | None = None
        self._tasks = BackgroundTasks("increment ledger", log_event)
        self._led_at_ms = now_ms()
        self.counts: Counter[str] = Counter()  # by the names of the metrics

    async def start(self) -> None:
        """Open this gateway's group, or begin one."""
        self.own_group = self._manager.latest_own_group()
        if not self.own_group or self._manager.replica(self.own_group) is None:
            await self._begin_group()
        self._maintenance = asyncio.get_running_loop().create_task(self._maintain_forever())

    async def stop(self) -> None:
        """Stop; whether what is not answered yet was replicated is indeterminate."""
        if self._maintenance is not None:
            self._maintenance.cancel()
        self._tasks.cancel()
        self._resolve(self._queue, False)
        self._queue = []

    async def _begin_group(self) -> None:
        self.own_group = new_group_name(self.instance)
        if await self._manager.create_own_group(self.own_group) is None:
            self._log_event("increment group not begun", {"group": self.own_group})

    # Replicating

    def replicate(self, attempt: AttemptRecord) -> asyncio.Future[bool]:
        """Add an attempt to the own group: done once it is there durably, with whether it outlives this machine."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._delivering.add(attempt.request_id)  # the gateway's own journal delivers it already
        if not self._queue:
            loop.call_soon(self._propose_queue)
        self._queue.append(_Waiting(attempt, future))
        return future

    def _propose_queue(self) -> None:
        queue, self._queue = self._queue, []
        by_request_id = {waiting.attempt.request_id: waiting for waiting in queue}
        for entry in split_pending([waiting.attempt for waiting in queue]):
            waiting_for = [by_request_id[attempt.request_id] for attempt in entry.attempts]
            self._tasks.spawn(self._propose_attempts(encode_entry(entry), waiting_for))

    async def _propose_attempts(self, data: bytes, waiting_for: list[_Waiting]) -> None:
        replica = self._manager.replica(self.own_group)
        committed = False
        try:
            if replica is not None:
                committed = bool(await replica.propose(data))
                if not committed:
                    self.counts["sealed"] += len(waiting_for)
        except (NotLeaderError, IndeterminateError, ValueError):
            pass
        fully_replicated = (
            committed
            and replica is not None
            and len(replica.raft.configuration.voters) >= self._manager.replication.replication_factor
        )
        self.counts["promised" if fully_replicated else "thin"] += len(waiting_for)
        self._resolve(waiting_for, fully_replicated)

    @staticmethod
    def _resolve(waiting_for: list[_Waiting], result: bool) -> None:
        for waiting in waiting_for:
            if not waiting.future.done():
                waiting.future.set_result(result)

    def on_acknowledged(self, request_id: str) -> None:
        """Note that the counter has an attempt."""
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
            except Exception as error:  # one group's fault must not end the maintenance of all others
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
        # Acknowledgements in groups that others lead, or that had no leader yet: the attempts stay there until whoever
        # leads delivers them once more, and the counter knows them.
        await self._replace_own_group()

    def _propose_acknowledged(self, group: LedGroup, acknowledged: list[str]) -> None:
        known = [request_id for request_id in acknowledged if request_id in group.increments.pending]
        for entry in split_acknowledged(known):
            self._tasks.spawn(self._propose(group.replica, entry))

    async def _replace_own_group(self) -> None:
        """Begin another own group if this one has had no leader for long, or is fenced."""
        replica = self._manager.replica(self.own_group)
        if replica is not None and replica.raft.leader is not None:
            self._led_at_ms = now_ms()
        leaderless = replica is None or now_ms() - self._led_at_ms > MAX_LEADERLESS_MS
        fenced = (
            replica is not None
            and isinstance(replica.state_machine, PendingIncrements)
            and replica.state_machine.fenced
        )
        if not leaderless and not fenced:
            return
        self._log_event("increment group replaced", {"group": self.own_group})
        self._led_at_ms = now_ms()
        if (
            replica is not None
            and len(replica.raft.configuration.voters) < self._manager.replication.replication_factor
        ):
            # It never had all its replicas, so it guaranteed nothing beyond this gateway's own journal; of two replicas
            # one was lost.
            self._manager.abandon_group(self.own_group)
        await self._begin_group()

    def _deliver_pending(self, increments: PendingIncrements, acknowledged: set[str]) -> None:
        for attempt in list(increments.pending.values())[:MAX_DELIVERING]:
            if attempt.request_id not in self._delivering and attempt.request_id not in acknowledged:
                if not self._deliver(attempt):
                    return
                self._delivering.add(attempt.request_id)
                self.counts["delivered"] += 1

    def _fence_lost_owner(self, group: LedGroup) -> None:
        """Fence an owner that is lost for good; dissolve its group once it is empty."""
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
            if isinstance(entry, Acknowledge):  # the next leader delivers them once more, and finds them known
                self.counts["done_in_doubt"] += len(entry.request_ids)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by the names of the metrics."""
        led = self.led_groups()
        replica = self._manager.replica(self.own_group)
        return {
            "books_led": len(led),
            "books_pending": sum(len(group.increments.pending) for group in led),
            "books_own_copies": len(replica.raft.configuration.voters) if replica is not None else 0,
        }
