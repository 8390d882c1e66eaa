"""Decides when one machine drains: only after its start is committed to the queue, and within its lease.

No I/O.  Inputs are the queue's answers, the time of this machine's monotonic clock (ms), and the progress of its
draining.  Outputs are commands to send to the queue, and actions.  A command without an answer is sent again; all
commands are idempotent.

The lease is counted from before the start was sent.  Counted from the arrival of the answer, it would be too long on a
machine that was paused with the answer in its buffer: that machine would drain after its request had been abandoned and
another machine had been granted.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from martenstep.maintenance.commands import CommandResult, FinishMaintenance, StartMaintenance
from martenstep.maintenance.model import MaintenanceRequest, RequestState
from martenstep.maintenance.queue_clock import MAX_CLOCK_DRIFT

RETRY_MS = 1000.0  # before a command without an answer is sent again


class Phase(StrEnum):
    """The phases of a machine's maintenance."""

    IN_SERVICE = "here"
    STARTING = "asking"  # it has a token and has sent its start
    DRAINING = "going"  # it takes no new requests and fails health checks
    DRAINED = "gone"  # all requests are answered and leaderships handed over: the work may begin
    RETURNING = "back"  # it serves again, and reports that the work is done


@dataclass(frozen=True, slots=True)
class SendStart:
    """Send this start to the queue."""

    command: StartMaintenance


@dataclass(frozen=True, slots=True)
class SendFinish:
    """Send this finish to the queue."""

    command: FinishMaintenance


@dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests, hand over leaderships, and call `drained` once nothing is left."""

    request_id: str


@dataclass(frozen=True, slots=True)
class ReadyForWork:
    """The work on the machine may begin."""

    request_id: str


LeaseAction = SendStart | SendFinish | Drain | ReadyForWork


class LeaseHolder:
    """The maintenance phase of one machine, and the commands that it sends."""

    def __init__(self, machine: str, lease_ms: float) -> None:
        """`lease_ms` is the lease of the queue's present limits; the caller keeps it up to date."""
        self.machine = machine
        self.lease_ms = lease_ms
        self.phase = Phase.IN_SERVICE
        self.request_id = ""
        self.token = 0
        self.actions: list[LeaseAction] = []
        self.drain_until_ms = 0.0  # the end of the lease, by this machine's clock
        self._retry_ms = 0.0

    def take_actions(self) -> list[LeaseAction]:
        """Return the actions since the last call, and clear them."""
        actions, self.actions = self.actions, []
        return actions

    def observe(self, now: float, requests: list[MaintenanceRequest]) -> None:
        """Process the requests that the queue's leader returned; only this machine's active one matters."""
        own = next((request for request in requests if request.machine == self.machine and request.active), None)
        if self.phase is Phase.IN_SERVICE and own is not None:
            self._observe_in_service(now, own)
        elif (self.phase is Phase.STARTING and not self._is_current(own)) or (
            self.phase is Phase.RETURNING and self._has_returned(own)
        ):
            self._return_to_service()

    def _observe_in_service(self, now: float, own: MaintenanceRequest) -> None:
        if own.state is RequestState.GRANTED:
            self._adopt(own, Phase.STARTING)
            self._send_start(now)
        elif own.state is RequestState.OUT:
            # This process started while its machine is out, so the work on the machine is done, or nearly done.
            self._adopt(own, Phase.RETURNING)
            self.send_due_command(now)

    def _adopt(self, own: MaintenanceRequest, phase: Phase) -> None:
        self.request_id, self.token, self.phase = own.request_id, own.token, phase

    def _is_current(self, own: MaintenanceRequest | None) -> bool:
        """Whether the queue still holds the grant that this machine acts on."""
        return (
            own is not None
            and (own.request_id, own.token) == (self.request_id, self.token)
            and own.state is not RequestState.WAITING
        )

    def _has_returned(self, own: MaintenanceRequest | None) -> bool:
        return own is None or own.request_id != self.request_id or own.state is RequestState.RECOVERING

    def _send_start(self, now: float) -> None:
        self._retry_ms = now + RETRY_MS
        self.actions.append(SendStart(StartMaintenance(self.request_id, self.token)))

    def _return_to_service(self) -> None:
        self.phase, self.request_id, self.token = Phase.IN_SERVICE, "", 0

    def send_due_command(self, now: float) -> None:
        """Send the command of the present phase, unless it was sent within the last RETRY_MS."""
        if now < self._retry_ms:
            return
        if self.phase is Phase.STARTING:
            self._send_start(now)
        elif self.phase is Phase.RETURNING:
            self._retry_ms = now + RETRY_MS
            self.actions.append(SendFinish(FinishMaintenance(self.request_id, self.token, by_machine=True)))

    def start_answered(self, now: float, command: StartMaintenance, sent_ms: float, result: CommandResult) -> None:
        """Process the queue's answer to a start that was sent at `sent_ms` by this machine's clock."""
        if self.phase is not Phase.STARTING or (command.request_id, command.token) != (self.request_id, self.token):
            return
        if not result.ok:
            self._return_to_service()
            return
        self.drain_until_ms = sent_ms + self.lease_ms * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
        if now >= self.drain_until_ms:
            # The start is committed and this machine counts as out, but the lease has ended: it needs another one.
            self._send_start(now)
            return
        self.phase = Phase.DRAINING
        self.actions.append(Drain(self.request_id))

    def drained(self) -> None:
        """Record that no request and no leadership is left on this machine."""
        if self.phase is Phase.DRAINING:
            self.phase = Phase.DRAINED
            self.actions.append(ReadyForWork(self.request_id))

    def work_done(self, now: float) -> None:
        """Record that the work is done and that this process serves again."""
        if self.phase in (Phase.DRAINING, Phase.DRAINED):
            self.phase, self._retry_ms = Phase.RETURNING, now
            self.send_due_command(now)
