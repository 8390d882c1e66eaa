"""Connects one instance to the maintenance queue: commands, requests to the leader, observations and the own lease.

Every instance reports its state to the queue's leader: whether it is ready and, for each replica group that it leads,
which nodes hold its replicas and whether the group is complete.  The leader builds its `Observation` from recent
reports and the membership.  It appends the observation to the queue when it changes, and at a regular interval.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from martenstep.event_log import EventLog
from martenstep.maintenance.commands import Command, CommandResult, StartMaintenance, encode_entry
from martenstep.maintenance.lease_holder import Drain, LeaseHolder, Phase, SendFinish, SendStart
from martenstep.maintenance.model import ReplicaGroup, RequestState
from martenstep.maintenance.protocol import (
    GetQueue,
    MachineReport,
    QueueView,
    build_view,
    decode_leader_request,
    decode_result,
    decode_view,
    encode,
)
from martenstep.maintenance.queue import MaintenanceQueue
from martenstep.maintenance.queue_clock import QueueClock
from martenstep.maintenance.reports import MachineReports
from martenstep.replication.errors import IndeterminateError, LeaderUnreachableError, NotLeaderError
from martenstep.replication.replica import Replica, now_ms
from martenstep.replication.replica_manager import ReplicaManager

QUEUE_GROUP = "orders"  # the name of the replication group
ROUND_INTERVAL_S = 0.5  # between two rounds: report, observe, follow the own request
OBSERVATION_INTERVAL_MS = 2000.0  # after which a leader appends an unchanged observation again
REQUEST_TIMEOUT_S = 5.0


class _TermClock(NamedTuple):
    """The queue's clock, valid for one term in which this instance leads."""

    term: int
    clock: QueueClock


@dataclass(frozen=True, slots=True)
class LocalInstance:
    """What the coordinator reads of this instance, and how it makes the instance drain."""

    name: str
    zone: str
    capacity: float
    is_ready: Callable[[], bool]
    drain: Callable[[str], None]  # begins the shutdown; the argument is the request's id


class MaintenanceCoordinator:
    """Takes part in the maintenance queue on behalf of one instance."""

    def __init__(
        self,
        instance: LocalInstance,
        replicas: ReplicaManager,
        members: Callable[[], Iterable[tuple[str, str]]],
        log_event: EventLog,
    ) -> None:
        """`members` returns the names and zones of all machines in the membership's table."""
        self._instance = instance
        self._replicas = replicas
        self._members = members
        self._log_event = log_event
        self.lease_holder: LeaseHolder | None = None
        self._term_clock: _TermClock | None = None
        self._reports = MachineReports()
        self._observed_ms = 0.0
        self._rounds: asyncio.Task[None] | None = None
        replicas.leader_handlers[QUEUE_GROUP] = self._handle_leader_request

    def start(self) -> None:
        """Start the rounds that report, observe and follow the own request."""
        self._rounds = asyncio.get_running_loop().create_task(self._run_rounds())

    def stop(self) -> None:
        """Stop the rounds."""
        if self._rounds is not None:
            self._rounds.cancel()

    # Requests to the queue's leader.

    async def submit(self, command: Command) -> CommandResult:
        """Append a command to the queue.

        Raises LeaderUnreachableError if no leader answers within REQUEST_TIMEOUT_S.  The command is then indeterminate;
        sending it again is safe, since commands are idempotent.
        """
        return decode_result(await self._replicas.request_leader(QUEUE_GROUP, encode(command), REQUEST_TIMEOUT_S))

    async def fetch(self) -> QueueView:
        """Fetch the queue from its leader; raises LeaderUnreachableError."""
        return decode_view(await self._replicas.request_leader(QUEUE_GROUP, encode(GetQueue()), REQUEST_TIMEOUT_S))

    # Requests of other instances, while this one leads the queue.

    async def _handle_leader_request(self, replica: Replica, data: bytes) -> bytes:
        """Return the encoded response; raises NotLeaderError, IndeterminateError."""
        try:
            request = decode_leader_request(data)
        except msgspec.MsgspecError as error:
            return encode(CommandResult(False, f"a question that cannot be read: {error}"))
        if isinstance(request, MachineReport):
            if replica.raft.leader != replica.raft.replica_id:
                raise NotLeaderError(replica.raft.leader)
            self._reports.add(now_ms(), request)
            return encode(CommandResult(True))
        if isinstance(request, GetQueue):
            await replica.confirm_leadership()
            return encode(build_view(_queue(replica), self._instance.name))
        return encode(await self._append(replica, request))

    async def _append(self, replica: Replica, command: Command) -> CommandResult:
        result: CommandResult = await replica.propose(encode_entry(self._queue_time_ms(replica), command))
        return result

    def _queue_time_ms(self, replica: Replica) -> float:
        """The queue's time; a past term's clock does no harm, since only the present leader's entries are committed."""
        now, term = now_ms(), replica.raft.term
        if self._term_clock is None or self._term_clock.term != term:
            self._term_clock = _TermClock(term, QueueClock(_queue(replica).now_ms, now))
            self._reports.drop_outdated(now)
        return self._term_clock.clock.read(now_ms())

    # Rounds.

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            try:
                await self._run_round()
            except (NotLeaderError, IndeterminateError, LeaderUnreachableError):
                pass  # the queue has no reachable leader at present; the next round tries again
            except Exception as error:  # a fault in maintenance must not stop the instance from serving
                self._log_event("fault", {"where": "maintenance", "error": repr(error)})

    async def _run_round(self) -> None:
        await self._replicas.request_leader(QUEUE_GROUP, encode(self._build_report()), REQUEST_TIMEOUT_S)
        await self._observe()
        await self._follow_own_request(await self.fetch())

    def _build_report(self) -> MachineReport:
        groups = tuple(
            ReplicaGroup(led.group, tuple(sorted(led.nodes)), led.healthy)
            for led in self._replicas.led_groups()
            if led.group != QUEUE_GROUP
        )
        return MachineReport(
            self._instance.name, self._instance.zone, self._instance.capacity, self._instance.is_ready(), groups
        )

    async def _observe(self) -> None:
        """Append the observation if this instance leads the queue."""
        replica, now = self._replicas.replica(QUEUE_GROUP), now_ms()
        if (
            replica is None
            or not replica.raft.can_serve_read(now)
            or not isinstance(replica.state_machine, MaintenanceQueue)
        ):
            return
        previous = replica.state_machine.observation
        observation = self._reports.observe(now, self._instance.name, previous, self._members())
        if observation != previous or now - self._observed_ms > OBSERVATION_INTERVAL_MS:
            await self._append(replica, observation)
            self._observed_ms = now

    async def _follow_own_request(self, view: QueueView) -> None:
        """Pass the queue to the lease holder, and carry out its actions for this instance's own request."""
        if self.lease_holder is None:
            self.lease_holder = LeaseHolder(self._instance.name, view.limits.lease_ms)
        holder = self.lease_holder
        holder.lease_ms = view.limits.lease_ms
        now = now_ms()
        if self._instance.is_ready() or holder.phase is not Phase.IN_SERVICE:
            holder.observe(now, view.requests)
        holder.send_due_command(now)
        for action in holder.take_actions():
            if isinstance(action, SendStart):
                await self._start(holder, action.command)
            elif isinstance(action, SendFinish):
                await self.submit(action.command)

    async def _start(self, holder: LeaseHolder, command: StartMaintenance) -> None:
        sent_ms = now_ms()
        result = await self.submit(command)
        holder.start_answered(now_ms(), command, sent_ms, result)
        self._log_event(
            "maintenance start",
            {"request": command.request_id, "token": command.token, "ok": result.ok, "error": result.message},
        )
        for action in holder.actions:
            if isinstance(action, Drain):
                self._instance.drain(action.request_id)

    def gauges(self) -> dict[str, float]:
        """Number of requests in each state, for metrics; empty if this instance holds no replica of the queue."""
        replica = self._replicas.replica(QUEUE_GROUP)
        if replica is None or not isinstance(replica.state_machine, MaintenanceQueue):
            return {}
        states = [request.state for request in replica.state_machine.requests.values()]
        return {f"maintenance_{state.value}": states.count(state) for state in RequestState}


def _queue(replica: Replica) -> MaintenanceQueue:
    assert isinstance(replica.state_machine, MaintenanceQueue)
    return replica.state_machine
