"""The maintenance queue: a state machine to which every replica of one group applies the same log entries.

An entry is a command (a request, a start, a finish) or an observation of the leader, with the leader's time.  Its
consequences, such as which request is granted and whose lease has expired, are computed when it is applied, in the same
way at every replica.  The leader therefore decides nothing: a leader that was paused with an entry in its buffer can at
most append an old observation.

A request is waiting, granted (it has a token, and its machine may start within the lease), out, recovering (the work is
done, but the machine is not healthy yet), or ended.  A token is never issued twice, and only a request's latest token
is accepted.  A request is out from its `StartMaintenance`; the limits count its machine as out from the grant until it
is observed healthy again.
"""

from __future__ import annotations

import math

import msgspec

from martenstep.maintenance import admission_rules
from martenstep.maintenance.commands import (
    AbandonRequest,
    CancelRequest,
    Command,
    CommandResult,
    ExtendMaintenance,
    FinishMaintenance,
    RequestCommand,
    SetLimits,
    SetPaused,
    StartMaintenance,
    SubmitRequest,
    Tick,
    TokenCommand,
    decode_entry,
)
from martenstep.maintenance.errors import InvalidSnapshotError
from martenstep.maintenance.model import (
    MaintenanceLimits,
    MaintenanceRequest,
    Observation,
    QueueState,
    RequestState,
)

MAX_ACTIVE_REQUESTS = 5000  # more are rejected
MAX_ENDED_REQUESTS = 2000  # kept so that a repeated submission returns the outcome
MAX_REASON_LENGTH = 200  # characters


class _Snapshot(msgspec.Struct):
    """The stored form of the whole state; the external names of its fields are part of the format."""

    now_ms: float = msgspec.field(name="now")
    last_number: int = msgspec.field(name="number")
    last_token: int = msgspec.field(name="token")
    limits: MaintenanceLimits
    paused: str | None
    paused_plans: dict[str, str] = msgspec.field(name="plans")
    observation: Observation = msgspec.field(name="sight")
    observed_ms: float = msgspec.field(name="sight_at")
    requests: list[MaintenanceRequest]


_encode_snapshot = msgspec.msgpack.Encoder().encode
_decode_snapshot = msgspec.msgpack.Decoder(_Snapshot).decode


class MaintenanceQueue(QueueState):
    """The queue's state at one replica."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        super().__init__()
        self._last_number = 0
        self._last_token = 0

    # The interface of a replicated state machine.

    def apply(self, data: bytes) -> CommandResult:
        """Apply one entry; never raises, since an entry that one replica cannot decode, no replica can."""
        try:
            entry = decode_entry(data)
        except msgspec.MsgspecError as error:
            return CommandResult(False, f"an entry that cannot be read: {error}")
        if not math.isfinite(entry.time_ms):
            return CommandResult(False, "an entry of no time")
        self.now_ms = max(self.now_ms, entry.time_ms)
        self._update_grants()
        result = self._apply_command(entry.command)
        self._update_grants()
        if result.request is not None:
            return CommandResult(result.ok, result.message, msgspec.structs.replace(result.request))
        return result

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return _encode_snapshot(
            _Snapshot(
                now_ms=self.now_ms,
                last_number=self._last_number,
                last_token=self._last_token,
                limits=self.limits,
                paused=self.paused,
                paused_plans=self.paused_plans,
                observation=self.observation,
                observed_ms=self.observed_ms,
                requests=list(self.requests.values()),
            )
        )

    def restore(self, body: bytes) -> None:
        """Replace the whole state by that of a snapshot; raises InvalidSnapshotError."""
        try:
            snapshot = _decode_snapshot(body)
        except msgspec.MsgspecError as error:
            raise InvalidSnapshotError(f"not a snapshot of the maintenance queue: {error}") from None
        self.now_ms = snapshot.now_ms
        self._last_number = snapshot.last_number
        self._last_token = snapshot.last_token
        self.limits = snapshot.limits
        self.paused = snapshot.paused
        self.paused_plans = snapshot.paused_plans
        self.observation = snapshot.observation
        self.observed_ms = snapshot.observed_ms
        self.requests = {request.request_id: request for request in snapshot.requests}

    # Commands.

    def _apply_command(self, command: Command) -> CommandResult:
        match command:
            case SubmitRequest():
                return self._submit(command)
            case SetPaused():
                return self._set_paused(command)
            case SetLimits():
                return self._set_limits(command.limits)
            case Observation():
                return self._observe(command)
            case Tick():
                return CommandResult(True)
        return self._apply_to_request(command)

    def _apply_to_request(self, command: RequestCommand) -> CommandResult:
        request = self.requests.get(command.request_id)
        if request is None:
            return CommandResult(False, f"no request {command.request_id}")
        match command:
            case CancelRequest():
                return self._cancel(request)
            case AbandonRequest():
                return self._abandon(request)
        return self._apply_with_token(request, command)

    def _apply_with_token(self, request: MaintenanceRequest, command: TokenCommand) -> CommandResult:
        if command.token != request.token or not request.token:
            message = f"token {command.token} is not that of {request.request_id}, which is {request.state}"
            return CommandResult(False, message, request)
        match command:
            case StartMaintenance():
                return self._start(request)
            case FinishMaintenance():
                return self._finish(request, command)
            case ExtendMaintenance():
                return self._extend(request, command)

    def _observe(self, observation: Observation) -> CommandResult:
        self.observation = observation
        self.observed_ms = self.now_ms
        unhealthy = observation.unhealthy_names()
        for request in self.requests.values():
            if request.state is RequestState.OUT and request.machine in unhealthy:
                request.seen_unhealthy = True
        return CommandResult(True)

    def _submit(self, command: SubmitRequest) -> CommandResult:
        request = self.requests.get(command.request_id)
        if request is not None:
            same = (request.machine, request.duration_ms) == (command.machine, command.duration_ms)
            message = "" if same else f"{command.request_id} is another request, for {request.machine}"
            return CommandResult(same, message, request)
        rejection = self._check_submission(command)
        if rejection is not None:
            return rejection
        self._last_number += 1
        request = MaintenanceRequest(
            request_id=command.request_id,
            machine=command.machine,
            duration_ms=command.duration_ms,
            reason=command.reason[:MAX_REASON_LENGTH],
            urgent=command.urgent,
            deadline_unix_ms=command.deadline_unix_ms,
            plan=command.plan,
            number=self._last_number,
            requested_ms=self.now_ms,
            state_since_ms=self.now_ms,
        )
        self.requests[request.request_id] = request
        return CommandResult(True, "", request)

    def _check_submission(self, command: SubmitRequest) -> CommandResult | None:
        """The rejection of a new request; None if it is accepted."""
        if (
            not command.request_id
            or not command.machine
            or not 0 < command.duration_ms < math.inf
            or not 0 <= command.deadline_unix_ms < math.inf
        ):
            return CommandResult(False, "a request needs an id, a machine and a time above 0")
        active = [request for request in self.requests.values() if request.active]
        if len(active) >= MAX_ACTIVE_REQUESTS:
            return CommandResult(False, f"{MAX_ACTIVE_REQUESTS} requests wait already")
        violation = admission_rules.permanent_violation(self, command.machine)
        if violation:
            return CommandResult(False, violation)
        for other in active:
            if other.machine == command.machine:
                message = f"{command.machine} has request {other.request_id}, which is {other.state}"
                return CommandResult(False, message, other)
        return None

    def _cancel(self, request: MaintenanceRequest) -> CommandResult:
        if request.state in (RequestState.WAITING, RequestState.GRANTED):
            self._end(request, "cancelled")
            return CommandResult(True, "", request)
        return CommandResult(request.outcome == "cancelled", f"{request.request_id} is {request.state}", request)

    def _abandon(self, request: MaintenanceRequest) -> CommandResult:
        if request.state not in (RequestState.OUT, RequestState.RECOVERING):
            return CommandResult(False, f"{request.request_id} is {request.state}", request)
        # A machine that was paused with the answer to its start in its buffer may still drain until its lease ends, and
        # a machine that drained without having been observed since would count as in service.
        if self.now_ms <= request.lease_expires_ms:
            return CommandResult(False, f"{request.machine} may still be leaving: its lease runs", request)
        observed_since = self.observed_ms > request.lease_expires_ms
        if not observed_since and request.machine in self.observation.healthy_names():
            return CommandResult(False, f"{request.machine} was not looked at since its lease ended", request)
        self._end(request, "given up")
        return CommandResult(True, "", request)

    def _start(self, request: MaintenanceRequest) -> CommandResult:
        if request.state is RequestState.OUT:
            request.lease_expires_ms = self.now_ms + self.limits.lease_ms  # a repeated start renews the lease
            return CommandResult(True, "", request)
        if request.state is not RequestState.GRANTED:
            return CommandResult(False, f"{request.request_id} is {request.state}", request)
        self._enter(request, RequestState.OUT)
        request.lease_expires_ms = self.now_ms + self.limits.lease_ms
        request.due_ms = self.now_ms + request.duration_ms + self.limits.grace_ms
        return CommandResult(True, "", request)

    def _finish(self, request: MaintenanceRequest, command: FinishMaintenance) -> CommandResult:
        if request.state is not RequestState.OUT:
            finished = request.state in (RequestState.RECOVERING, RequestState.ENDED)
            return CommandResult(finished, f"{request.request_id} is {request.state}", request)
        if not (command.by_machine or request.seen_unhealthy):
            # It may still drain.  If it counted as back now, another machine could be granted and drain beside it.
            return CommandResult(False, f"{request.machine} has not left yet", request)
        self._enter(request, RequestState.RECOVERING)
        if not command.succeeded:
            self._fail(request, command.failure[:MAX_REASON_LENGTH])
        return CommandResult(True, "", request)

    def _fail(self, request: MaintenanceRequest, failure: str) -> None:
        """Record that the work failed, and pause the rest of its plan, or the queue if it has no plan."""
        request.outcome = f"went wrong: {failure}"
        reason = f"{request.machine} went wrong: {failure}"
        if request.plan:
            self.paused_plans[request.plan] = reason
        else:
            self.paused = reason

    def _extend(self, request: MaintenanceRequest, command: ExtendMaintenance) -> CommandResult:
        if request.state is not RequestState.OUT or not 0 < command.duration_ms < math.inf:
            return CommandResult(False, f"{request.request_id} is {request.state}", request)
        request.due_ms = max(request.due_ms, self.now_ms + command.duration_ms + self.limits.grace_ms)
        return CommandResult(True, "", request)

    def _set_paused(self, command: SetPaused) -> CommandResult:
        reason = command.reason[:MAX_REASON_LENGTH] or "paused"
        if not command.plan:
            self.paused = reason if command.paused else None
        elif command.paused:
            self.paused_plans[command.plan] = reason
        else:
            self.paused_plans.pop(command.plan, None)
        return CommandResult(True)

    def _set_limits(self, limits: MaintenanceLimits) -> CommandResult:
        times = limits.lease_ms, limits.grace_ms, limits.starvation_ms
        if (
            limits.max_out < 0
            or limits.max_out_per_zone < 0
            or not 0 <= limits.max_capacity_share <= 1
            or not all(0 < time_ms < math.inf for time_ms in times)
        ):
            return CommandResult(False, "limits that are none")
        self.limits = limits
        return CommandResult(True)

    # Consequences of each entry.

    def _enter(self, request: MaintenanceRequest, state: RequestState) -> None:
        request.state = state
        request.state_since_ms = self.now_ms

    def _end(self, request: MaintenanceRequest, outcome: str) -> None:
        self._enter(request, RequestState.ENDED)
        request.outcome = request.outcome or outcome
        ended = [other for other in self.requests.values() if not other.active]
        surplus = max(0, len(ended) - MAX_ENDED_REQUESTS)
        for oldest in sorted(ended, key=lambda other: other.state_since_ms)[:surplus]:
            del self.requests[oldest.request_id]

    def _update_grants(self) -> None:
        """Revoke expired or violating grants, end requests of recovered machines, and grant the next requests."""
        healthy = self.observation.healthy_names()
        for request in self.requests.values():
            if request.state is RequestState.GRANTED and self._is_revoked(request):
                self._enter(request, RequestState.WAITING)
                request.token = 0
            elif request.state is RequestState.RECOVERING and request.machine in healthy:
                self._end(request, "done")
        while (request_to_grant := admission_rules.next_to_grant(self)) is not None:
            self._grant(request_to_grant)

    def _is_revoked(self, request: MaintenanceRequest) -> bool:
        """Whether a grant that has not started has expired, or violates the limits."""
        return self.now_ms > request.lease_expires_ms or bool(admission_rules.limit_violation(self, request))

    def _grant(self, request: MaintenanceRequest) -> None:
        self._last_token += 1
        self._enter(request, RequestState.GRANTED)
        request.token = self._last_token
        request.lease_expires_ms = self.now_ms + self.limits.lease_ms
