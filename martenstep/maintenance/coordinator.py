"""The maintenance queue at one instance: commands and answers, what the leader observes, and the machine's own lease.

Every instance reports its state to the queue's leader: whether it is ready, and of the replica groups that it leads,
where their replicas are and whether they are complete.  The leader makes its `Observation` of recent reports and of the
membership, and appends it to the queue when it changes.
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
    decode_question,
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
ROUND_INTERVAL_S = 0.5
OBSERVATION_INTERVAL_MS = 2000.0  # between two entries of a leader that observes nothing new
REQUEST_TIMEOUT_S = 5.0


class _TermClock(NamedTuple):
    """The queue's clock in one term of this instance's leadership."""

    term: int
    clock: QueueClock


@dataclass(frozen=True, slots=True)
class LocalInstance:
    """This instance, as the coordinator asks it and acts on it."""

    name: str
    zone: str
    capacity: float
    is_ready: Callable[[], bool]
    drain: Callable[[str], None]  # begins to stop the instance, given the request's id


class MaintenanceCoordinator:
    """One instance's part."""

    def __init__(
        self,
        instance: LocalInstance,
        replicas: ReplicaManager,
        members: Callable[[], Iterable[tuple[str, str]]],
        log_event: EventLog,
    ) -> None:
        """`members` gives all machines that the membership has heard of, with their zones."""
        self._instance = instance
        self._replicas = replicas
        self._members = members
        self._log_event = log_event
        self.lease_holder: LeaseHolder | None = None
        self._term_clock: _TermClock | None = None
        self._reports = MachineReports()
        self._observed_ms = 0.0
        self._rounds: asyncio.Task[None] | None = None
        replicas.leader_handlers[QUEUE_GROUP] = self._answer

    def start(self) -> None:
        """Take part."""
        self._rounds = asyncio.get_running_loop().create_task(self._run_rounds())

    def stop(self) -> None:
        """End."""
        if self._rounds is not None:
            self._rounds.cancel()

    # Asking.

    async def submit(self, command: Command) -> CommandResult:
        """Append a command to the queue.

        Raises LeaderUnreachableError where nobody leads the queue within some seconds.  Whether it stands is then
        indeterminate: the same command again is one.
        """
        return decode_result(await self._replicas.request_leader(QUEUE_GROUP, encode(command), REQUEST_TIMEOUT_S))

    async def fetch(self) -> QueueView:
        """The queue; raises LeaderUnreachableError."""
        return decode_view(await self._replicas.request_leader(QUEUE_GROUP, encode(GetQueue()), REQUEST_TIMEOUT_S))

    # Answering, where this instance leads the queue.

    async def _answer(self, replica: Replica, data: bytes) -> bytes:
        """Raises NotLeaderError, IndeterminateError."""
        try:
            question = decode_question(data)
        except msgspec.MsgspecError as error:
            return encode(CommandResult(False, f"a question that cannot be read: {error}"))
        if isinstance(question, MachineReport):
            if replica.raft.leader != replica.raft.replica_id:
                raise NotLeaderError(replica.raft.leader)
            self._reports.add(now_ms(), question)
            return encode(CommandResult(True))
        if isinstance(question, GetQueue):
            await replica.confirm_leadership()
            return encode(build_view(_queue(replica), self._instance.name))
        return encode(await self._append(replica, question))

    async def _append(self, replica: Replica, command: Command) -> CommandResult:
        result: CommandResult = await replica.propose(encode_entry(self._queue_time_ms(replica), command))
        return result

    def _queue_time_ms(self, replica: Replica) -> float:
        """The queue's time; only a leader's entries stand, so a clock of a term that is over does no harm."""
        now, term = now_ms(), replica.raft.term
        if self._term_clock is None or self._term_clock.term != term:
            self._term_clock = _TermClock(term, QueueClock(_queue(replica).now_ms, now))
            self._reports.drop_outdated(now)
        return self._term_clock.clock.read(now_ms())

    # Each round.

    async def _run_rounds(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            try:
                await self._run_round()
            except (NotLeaderError, IndeterminateError, LeaderUnreachableError):
                pass  # nobody leads just now
            except Exception as error:  # an instance goes on serving whatever is wrong with its maintenance
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
        """Append what this instance observes, where it leads the queue."""
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
        """Act on this instance's own request."""
        if self.lease_holder is None:
            self.lease_holder = LeaseHolder(self._instance.name, view.limits.lease_ms)
        holder = self.lease_holder
        holder.lease_ms = view.limits.lease_ms
        now = now_ms()
        if self._instance.is_ready() or holder.phase is not Phase.IN_SERVICE:
            holder.observe(now, view.requests)
        holder.wake(now)
        for action in holder.take_actions():
            if isinstance(action, SendStart):
                await self._start(holder, action.command)
            elif isinstance(action, SendFinish):
                await self.submit(action.command)

    async def _start(self, holder: LeaseHolder, command: StartMaintenance) -> None:
        asked_ms = now_ms()
        result = await self.submit(command)
        holder.start_answered(now_ms(), command, asked_ms, result)
        self._log_event(
            "maintenance start",
            {"request": command.request_id, "token": command.token, "ok": result.ok, "error": result.message},
        )
        for action in holder.actions:
            if isinstance(action, Drain):
                self._instance.drain(action.request_id)

    def gauges(self) -> dict[str, float]:
        """For metrics, of the replica that is here."""
        replica = self._replicas.replica(QUEUE_GROUP)
        if replica is None or not isinstance(replica.state_machine, MaintenanceQueue):
            return {}
        states = [request.state for request in replica.state_machine.requests.values()]
        return {f"maintenance_{state.value}": states.count(state) for state in RequestState}


def _queue(replica: Replica) -> MaintenanceQueue:
    assert isinstance(replica.state_machine, MaintenanceQueue)
    return replica.state_machine
