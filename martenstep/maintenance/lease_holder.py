"""A machine's own part: it drains only by a start that stands in the queue, within its lease by its own clock.

Without I/O.  In: answers of the queue, the time on this machine's monotonic clock (ms), and how far its draining is.
Out: what to ask of the queue, and what to do.  A command that got no answer is asked again; each of them is idempotent.

The lease is counted from before the start was asked.  Danger: from when the answer came, a machine that was paused with
the answer in its buffer would drain after somebody abandoned it and another was granted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from martenstep.maintenance.commands import CommandResult, FinishMaintenance, StartMaintenance
from martenstep.maintenance.model import MaintenanceRequest, RequestState
from martenstep.maintenance.queue_clock import MAX_CLOCK_DRIFT

RETRY_MS = 1000.0  # between two commands


class Phase(StrEnum):
    """How far a machine is."""

    IN_SERVICE = "here"
    STARTING = "asking"  # it has a token and has asked to start
    DRAINING = "going"  # no new requests, health checks fail
    DRAINED = "gone"  # all is answered and handed over: the machine may be worked on
    RETURNING = "back"  # it reports that the work is done, and serves


@dataclass(frozen=True, slots=True)
class SendStart:
    """Append a start to the queue."""

    command: StartMaintenance


@dataclass(frozen=True, slots=True)
class SendFinish:
    """Append an end to the queue."""

    command: FinishMaintenance


@dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests from now on, hand over what is led here, and tell when nothing is left (`drained`)."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ReadyForWork:
    """The machine may be worked on."""

    request_id: str


LeaseAction = SendStart | SendFinish | Drain | ReadyForWork


class LeaseHolder:
    """One machine's part."""

    def __init__(self, machine: str, lease_ms: float) -> None:
        """`lease_ms` as the queue's limits have it when it asks."""
        self.machine = machine
        self.lease_ms = lease_ms
        self.phase = Phase.IN_SERVICE
        self.request_id = ""
        self.token = 0
        self.actions: list[LeaseAction] = []
        self.drain_until_ms = 0.0  # by its own clock
        self._retry_ms = 0.0

    def take_actions(self) -> list[LeaseAction]:
        """What is to be done since this was last called."""
        actions, self.actions = self.actions, []
        return actions

    def observe(self, now: float, requests: list[MaintenanceRequest]) -> None:
        """The queue as its leader told it: this machine's request, if any."""
        own = next((request for request in requests if request.machine == self.machine and request.active), None)
        if self.phase is Phase.IN_SERVICE and own is not None:
            self._observe_in_service(now, own)
        elif (self.phase is Phase.STARTING and not self._is_current(own)) or (
            self.phase is Phase.RETURNING and self._has_returned(own)
        ):
            self._stay()

    def _observe_in_service(self, now: float, own: MaintenanceRequest) -> None:
        if own.state is RequestState.GRANTED:
            self._adopt(own, Phase.STARTING)
            self._ask_start(now)
        elif own.state is RequestState.OUT:
            # This process began while its machine is out: it was started again, so the work is done, or nearly.
            self._adopt(own, Phase.RETURNING)
            self.wake(now)

    def _adopt(self, own: MaintenanceRequest, phase: Phase) -> None:
        self.request_id, self.token, self.phase = own.request_id, own.token, phase

    def _is_current(self, own: MaintenanceRequest | None) -> bool:
        """Whether the grant that this machine acts on still stands."""
        return (
            own is not None
            and (own.request_id, own.token) == (self.request_id, self.token)
            and own.state is not RequestState.WAITING
        )

    def _has_returned(self, own: MaintenanceRequest | None) -> bool:
        return own is None or own.request_id != self.request_id or own.state is RequestState.RECOVERING

    def _ask_start(self, now: float) -> None:
        self._retry_ms = now + RETRY_MS
        self.actions.append(SendStart(StartMaintenance(self.request_id, self.token)))

    def _stay(self) -> None:
        self.phase, self.request_id, self.token = Phase.IN_SERVICE, "", 0

    def wake(self, now: float) -> None:
        """Let time pass: ask again what got no answer."""
        if now < self._retry_ms:
            return
        if self.phase is Phase.STARTING:
            self._ask_start(now)
        elif self.phase is Phase.RETURNING:
            self._retry_ms = now + RETRY_MS
            self.actions.append(SendFinish(FinishMaintenance(self.request_id, self.token, by_machine=True)))

    def start_answered(self, now: float, command: StartMaintenance, asked_ms: float, result: CommandResult) -> None:
        """The queue's answer to a start that was asked at `asked_ms` by this machine's clock."""
        if self.phase is not Phase.STARTING or (command.request_id, command.token) != (self.request_id, self.token):
            return
        if not result.ok:
            self._stay()
            return
        self.drain_until_ms = asked_ms + self.lease_ms * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
        if now >= self.drain_until_ms:
            self._ask_start(now)  # it stands in the queue, and this machine counts as out; it asks for another lease
            return
        self.phase = Phase.DRAINING
        self.actions.append(Drain(self.request_id))

    def drained(self) -> None:
        """Nothing is left here."""
        if self.phase is Phase.DRAINING:
            self.phase = Phase.DRAINED
            self.actions.append(ReadyForWork(self.request_id))

    def work_done(self, now: float) -> None:
        """The work is done, and this process serves again."""
        if self.phase in (Phase.DRAINING, Phase.DRAINED):
            self.phase, self._retry_ms = Phase.RETURNING, now
            self.wake(now)
