"""A door's book: the tries that it promised to record and that the counter has not acknowledged yet.

A state machine that the copies of a group feed with the same entries (`replication.host.Machine`).  A try is in the
book from `Put` to `Done`; `Seal` ends the book for its owner, who begins another, while what is left in it is delivered
by whoever leads the group.  Delivering a try twice does no harm: the counter knows it by its request.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MAX_ATTEMPTS_PER_ENTRY = 100  # of one entry: names are bounded, so that it stays below an entry's most bytes
MAX_REQUESTS_PER_ENTRY = 400


class AttemptRecord(msgspec.Struct, array_like=True, frozen=True):
    """One try that was sent on."""

    request_id: str
    time_ms: float  # Unix
    units: float
    over_quota: bool
    customer: str
    plan: str
    request_class: str


class SetOwner(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Whose book it is."""

    owner: str


class AddPending(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Tries that are promised."""

    attempts: tuple[AttemptRecord, ...]


class Acknowledge(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The counter has these."""

    request_ids: tuple[str, ...]


class FenceOwner(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Its owner is lost: nothing more is put in."""


Entry = SetOwner | AddPending | Acknowledge | FenceOwner
_entries = msgspec.msgpack.Decoder(Entry)


class _Image(msgspec.Struct, array_like=True):
    owner: str
    sealed: bool
    done: int
    pending: list[AttemptRecord]


_image = msgspec.msgpack.Decoder(_Image)


def encode_entry(told: Entry) -> bytes:
    """An entry's bytes."""
    return msgspec.msgpack.encode(told)


class PendingIncrements:
    """One copy's state of a book."""

    def __init__(self) -> None:
        self.owner, self.fenced, self.acknowledged_count = "", False, 0
        self.pending: dict[str, AttemptRecord] = {}

    def apply(self, data: bytes) -> bool:
        """One entry; False where it changes nothing, as the book is sealed or the entry cannot be read."""
        try:
            told = _entries.decode(data)
        except msgspec.MsgspecError:
            return False
        if isinstance(told, SetOwner):
            self.owner = self.owner or told.owner
        elif isinstance(told, Acknowledge):
            for request in told.request_ids:
                self.acknowledged_count += self.pending.pop(request, None) is not None
        elif isinstance(told, FenceOwner):
            self.fenced = True
        elif self.fenced:
            return False
        else:
            self.pending.update((one.request_id, one) for one in told.attempts)
        return True

    def snapshot(self) -> bytes:
        """All of it."""
        return msgspec.msgpack.encode(
            _Image(self.owner, self.fenced, self.acknowledged_count, list(self.pending.values()))
        )

    def restore(self, body: bytes) -> None:
        """In place of all that was; raises ValueError where it is no snapshot."""
        try:
            told = _image.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a book's snapshot: {error}") from None
        self.owner, self.fenced, self.acknowledged_count = told.owner, told.sealed, told.done
        self.pending = {one.request_id: one for one in told.pending}


def split_pending(tries: list[AttemptRecord]) -> Iterable[AddPending]:
    """Tries as entries that are not too large."""
    for at in range(0, len(tries), MAX_ATTEMPTS_PER_ENTRY):
        yield AddPending(tuple(tries[at : at + MAX_ATTEMPTS_PER_ENTRY]))


def split_acknowledged(requests: list[str]) -> Iterable[Acknowledge]:
    """Requests as entries that are not too large."""
    for at in range(0, len(requests), MAX_REQUESTS_PER_ENTRY):
        yield Acknowledge(tuple(requests[at : at + MAX_REQUESTS_PER_ENTRY]))
