"""A replicated state machine of one gateway's increments that the counter has not acknowledged yet.

The replicas of a group apply the same entries (`replication.replica`).  An attempt is pending from `AddPending` to
`Acknowledge`.  After `FenceOwner` the owner can add nothing more and begins another group, while the group's leader
delivers the remaining attempts.  A repeated delivery is harmless: the counter recognizes the request id.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MAX_ATTEMPTS_PER_ENTRY = 100  # the lengths of names are bounded, so this keeps an entry below its maximum size
MAX_REQUESTS_PER_ENTRY = 400


class AttemptRecord(msgspec.Struct, array_like=True, frozen=True):
    """An attempt that was forwarded.  Entries and snapshots store its fields in this order."""

    request_id: str
    time_ms: float  # Unix
    units: float
    over_quota: bool
    customer: str
    plan: str
    request_class: str


class SetOwner(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Names the gateway that owns the group."""

    owner: str


class AddPending(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Adds attempts that the counter must record."""

    attempts: tuple[AttemptRecord, ...]


class Acknowledge(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Removes attempts that the counter has recorded."""

    request_ids: tuple[str, ...]


class FenceOwner(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Fences the owner, which is lost: no attempts are added after this entry."""


Entry = SetOwner | AddPending | Acknowledge | FenceOwner


class _Snapshot(msgspec.Struct, array_like=True):
    """The state as stored in snapshots, with its fields in this order."""

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
    """The state of one replica."""

    def __init__(self) -> None:
        """Create an empty state without an owner."""
        self.owner = ""
        self.fenced = False
        self.acknowledged_count = 0
        self.pending: dict[str, AttemptRecord] = {}  # by request id

    def apply(self, data: bytes) -> bool:
        """Apply one entry; returns False if the owner is fenced or the entry cannot be decoded, and nothing changes."""
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
        """Replace the state by a snapshot's; raises ValueError if the body is not a snapshot."""
        try:
            snapshot = _SNAPSHOT_DECODER.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a snapshot of pending increments: {error}") from None
        self.owner = snapshot.owner
        self.fenced = snapshot.fenced
        self.acknowledged_count = snapshot.acknowledged_count
        self.pending = {attempt.request_id: attempt for attempt in snapshot.pending}


def split_pending(attempts: list[AttemptRecord]) -> Iterable[AddPending]:
    """Split attempts into entries of bounded size."""
    for begin in range(0, len(attempts), MAX_ATTEMPTS_PER_ENTRY):
        yield AddPending(tuple(attempts[begin : begin + MAX_ATTEMPTS_PER_ENTRY]))


def split_acknowledged(request_ids: list[str]) -> Iterable[Acknowledge]:
    """Split request ids into entries of bounded size."""
    for begin in range(0, len(request_ids), MAX_REQUESTS_PER_ENTRY):
        yield Acknowledge(tuple(request_ids[begin : begin + MAX_REQUESTS_PER_ENTRY]))
