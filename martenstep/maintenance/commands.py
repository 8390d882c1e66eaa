"""The commands of the maintenance queue, as its replicated log and the admin API carry them.

Their tags and the external names of their fields are part of both formats.
"""

from __future__ import annotations

import msgspec

from martenstep.maintenance.model import MaintenanceLimits, MaintenanceRequest, Observation


class SubmitRequest(msgspec.Struct, tag=1, frozen=True):
    """Ask for a machine to be taken out; the same id twice is one request."""

    request_id: str = msgspec.field(name="id")
    machine: str
    duration_ms: float = msgspec.field(name="for_ms")
    reason: str = ""
    urgent: bool = False
    deadline_unix_ms: float = msgspec.field(name="before", default=0.0)
    plan: str = ""


class CancelRequest(msgspec.Struct, tag=2, frozen=True):
    """A request is not wanted any more; one whose machine is out cannot be cancelled."""

    request_id: str = msgspec.field(name="id")


class StartMaintenance(msgspec.Struct, tag=3, frozen=True):
    """The machine drains now."""

    request_id: str = msgspec.field(name="id")
    token: int


class FinishMaintenance(msgspec.Struct, tag=4, frozen=True):
    """The work is done, or has failed.

    `by_machine`: the machine says so itself, with a process that began after it drained; from a person it is accepted
    only once the machine was observed unhealthy.
    """

    request_id: str = msgspec.field(name="id")
    token: int
    succeeded: bool = msgspec.field(name="ok", default=True)
    failure: str = msgspec.field(name="why", default="")
    by_machine: bool = msgspec.field(name="back", default=False)


class ExtendMaintenance(msgspec.Struct, tag=5, frozen=True):
    """The work takes longer: so long from now."""

    request_id: str = msgspec.field(name="id")
    token: int
    duration_ms: float = msgspec.field(name="for_ms")


class SetPaused(msgspec.Struct, tag=6, frozen=True):
    """Pause or resume all grants; with a plan, those of that plan."""

    paused: bool = msgspec.field(name="on")
    reason: str = msgspec.field(name="why", default="")
    plan: str = ""


class SetLimits(msgspec.Struct, tag=7, frozen=True):
    """Other limits; a grant that has not started is revoked where it does not fit them."""

    limits: MaintenanceLimits


class AbandonRequest(msgspec.Struct, tag=9, frozen=True):
    """A person says that a machine will not come back, or not drain: its request ends, once its lease is over.

    As long as the machine is not healthy it counts as out all the same.
    """

    request_id: str = msgspec.field(name="id")


class Tick(msgspec.Struct, tag=10, frozen=True):
    """Time passes."""


TokenCommand = StartMaintenance | FinishMaintenance | ExtendMaintenance  # only the latest token of a request counts
RequestCommand = CancelRequest | AbandonRequest | TokenCommand  # of a request that is known
Command = SubmitRequest | SetPaused | SetLimits | Observation | Tick | RequestCommand


class QueueEntry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the replicated log.  An array: the order of the fields is the format."""

    time_ms: float  # the queue's time at the leader
    command: Command


class CommandResult(msgspec.Struct, frozen=True):
    """What comes of a command."""

    ok: bool
    message: str = msgspec.field(name="text", default="")
    request: MaintenanceRequest | None = None


_encode = msgspec.msgpack.Encoder().encode
_decode_entry = msgspec.msgpack.Decoder(QueueEntry).decode


def encode_entry(time_ms: float, command: Command) -> bytes:
    """The bytes of an entry."""
    return _encode(QueueEntry(time_ms, command))


def decode_entry(data: bytes) -> QueueEntry:
    """Raises msgspec.MsgspecError."""
    return _decode_entry(data)
