"""A gateway's increments that the counter has not acknowledged yet, as a replicated state machine.

The replicas of a group apply the same entries (`replication.replica`).  An attempt is pending from `AddPending` to
`Acknowledge`; `FenceOwner` ends the group for its owner, who begins another one, while what is left in it is delivered
by the group's leader.  Delivering an attempt twice does no harm: the counter knows it by its request id.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MAX_ATTEMPTS_PER_ENTRY = 100  # names are bounded, so that an entry stays below its maximum size
MAX_REQUESTS_PER_ENTRY = 400


class AttemptRecord(msgspec.Struct, array_like=True, frozen=True):
    """One attempt that was forwarded.  Entries and snapshots hold its fields in this order."""

    request_id: str
    time_ms: float  # Unix
    units: float
    over_quota: bool
    customer: str
    plan: str
    request_class: str


class SetOwner(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Names the gateway whose increments these are."""

    owner: str


class AddPending(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Adds attempts that are to be recorded."""

    attempts: tuple[AttemptRecord, ...]


class Acknowledge(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Drops attempts that the counter has."""

    request_ids: tuple[str, ...]


class FenceOwner(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The owner is lost: nothing more is added."""


Entry = SetOwner | AddPending | Acknowledge | FenceOwner


class _Snapshot(msgspec.Struct, array_like=True):
    """The state as snapshots hold it, its fields in this order."""

    owner: str
    fenced: bool
    acknowledged_count: int
    pending: list[AttemptRecord]


_ENTRY_DECODER: msgspec.msgpack.Decoder[Entry] = msgspec.msgpack.Decoder(Entry)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def encode_entry(entry: Entry) -> bytes:
    """Encode an entry."""
    return msgspec.msgpack.encode(entry)


class PendingIncrements:
    """One replica's state."""

    def __init__(self) -> None:
        """Begin empty, without an owner."""
        self.owner = ""
        self.fenced = False
        self.acknowledged_count = 0
        self.pending: dict[str, AttemptRecord] = {}  # by request id

    def apply(self, data: bytes) -> bool:
        """Apply one entry; False if it changes nothing, as the owner is fenced or the entry cannot be read."""
        try:
            entry = _ENTRY_DECODER.decode(data)
        except msgspec.MsgspecError:
            return False
        match entry:
            case SetOwner():
                self.owner = self.owner or entry.owner
            case Acknowledge():
                for request_id in entry.request_ids:
                    self.acknowledged_count += self.pending.pop(request_id, None) is not None
            case FenceOwner():
                self.fenced = True
            case AddPending():
                if self.fenced:
                    return False
                self.pending.update((attempt.request_id, attempt) for attempt in entry.attempts)
        return True

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return msgspec.msgpack.encode(
            _Snapshot(self.owner, self.fenced, self.acknowledged_count, list(self.pending.values()))
        )

    def restore(self, body: bytes) -> None:
        """Replace the state by a snapshot's; raises ValueError if it is none."""
        try:
            snapshot = _SNAPSHOT_DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a snapshot of pending increments: {error}") from None
        self.owner = snapshot.owner
        self.fenced = snapshot.fenced
        self.acknowledged_count = snapshot.acknowledged_count
        self.pending = {attempt.request_id: attempt for attempt in snapshot.pending}


def split_pending(attempts: list[AttemptRecord]) -> Iterable[AddPending]:
    """Split attempts over entries that are not too large."""
    for begin in range(0, len(attempts), MAX_ATTEMPTS_PER_ENTRY):
        yield AddPending(tuple(attempts[begin : begin + MAX_ATTEMPTS_PER_ENTRY]))


def split_acknowledged(request_ids: list[str]) -> Iterable[Acknowledge]:
    """Split request ids over entries that are not too large."""
    for begin in range(0, len(request_ids), MAX_REQUESTS_PER_ENTRY):
        yield Acknowledge(tuple(request_ids[begin : begin + MAX_REQUESTS_PER_ENTRY]))
