"""The commands of the maintenance queue, in the form in which its replicated log and the admin API carry them.

Their tags and the external names of their fields are part of both formats.
"""

from __future__ import annotations

import msgspec

from martenstep.maintenance.model import MaintenanceLimits, MaintenanceRequest, Observation


class SubmitRequest(msgspec.Struct, tag=1, frozen=True):
    """Request that a machine be taken out; a second submission under the same id is the same request."""

    request_id: str = msgspec.field(name="id")
    machine: str
    duration_ms: float = msgspec.field(name="for_ms")
    reason: str = ""
    urgent: bool = False
    deadline_unix_ms: float = msgspec.field(name="before", default=0.0)
    plan: str = ""


class CancelRequest(msgspec.Struct, tag=2, frozen=True):
    """Withdraw a request; one whose machine is already out cannot be cancelled."""

    request_id: str = msgspec.field(name="id")


class StartMaintenance(msgspec.Struct, tag=3, frozen=True):
    """Begin the maintenance: once this is applied, the machine may drain."""

    request_id: str = msgspec.field(name="id")
    token: int


class FinishMaintenance(msgspec.Struct, tag=4, frozen=True):
    """End the maintenance: the work has succeeded or failed.

    `by_machine` means that the machine itself sends this, from a process that started after it drained.  A person's
    command is accepted only once the machine has been observed unhealthy.
    """

    request_id: str = msgspec.field(name="id")
    token: int
    succeeded: bool = msgspec.field(name="ok", default=True)
    failure: str = msgspec.field(name="why", default="")
    by_machine: bool = msgspec.field(name="back", default=False)


class ExtendMaintenance(msgspec.Struct, tag=5, frozen=True):
    """Extend the maintenance: the work takes another `duration_ms` from now."""

    request_id: str = msgspec.field(name="id")
    token: int
    duration_ms: float = msgspec.field(name="for_ms")


class SetPaused(msgspec.Struct, tag=6, frozen=True):
    """Pause or resume all grants, or only those of a plan if one is given."""

    paused: bool = msgspec.field(name="on")
    reason: str = msgspec.field(name="why", default="")
    plan: str = ""


class SetLimits(msgspec.Struct, tag=7, frozen=True):
    """Replace the limits; a grant that has not started and violates the new ones is revoked."""

    limits: MaintenanceLimits


class AbandonRequest(msgspec.Struct, tag=9, frozen=True):
    """End a request because a person has determined that its machine will not come back, or will not drain.

    It is accepted only after the lease has ended.  The machine still counts as out as long as it is unhealthy.
    """

    request_id: str = msgspec.field(name="id")


class Tick(msgspec.Struct, tag=10, frozen=True):
    """Advance the queue's time."""


# Rejected unless they carry the latest token of their request.
TokenCommand = StartMaintenance | FinishMaintenance | ExtendMaintenance
# Rejected if their request is unknown.
RequestCommand = CancelRequest | AbandonRequest | TokenCommand
Command = SubmitRequest | SetPaused | SetLimits | Observation | Tick | RequestCommand


class QueueEntry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the replicated log; it is encoded as an array, so the order of the fields is the format."""

    time_ms: float  # the queue's time when the leader proposed the entry
    command: Command


class CommandResult(msgspec.Struct, frozen=True):
    """The result of a command."""

    ok: bool
    message: str = msgspec.field(name="text", default="")
    request: MaintenanceRequest | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode_entry = msgspec.msgpack.Decoder(QueueEntry).decode


def encode_entry(time_ms: float, command: Command) -> bytes:
    """Encode a log entry."""
    return _encode(QueueEntry(time_ms, command))


def decode_entry(data: bytes) -> QueueEntry:
    """Decode a log entry; raises msgspec.MsgspecError."""
    return _decode_entry(data)
