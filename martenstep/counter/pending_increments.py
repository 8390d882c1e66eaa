"""A door's book: the tries that it promised to record and that the counter has not acknowledged yet.

A state machine that the copies of a group feed with the same entries (`replication.host.Machine`).  A try is in the
book from `Put` to `Done`; `Seal` ends the book for its owner, who begins another, while what is left in it is delivered
by whoever leads the group.  Delivering a try twice does no harm: the counter knows it by its request.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

MOST_TRIES = 100  # of one entry: names are bounded, so that it stays below an entry's most bytes
MOST_REQUESTS = 400


class Try(msgspec.Struct, array_like=True, frozen=True):
    """One try that was sent on."""

    request: str
    time_ms: float  # Unix
    units: float
    beyond: bool
    customer: str
    plan: str
    cls: str


class Begin(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Whose book it is."""

    owner: str


class Put(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Tries that are promised."""

    tries: tuple[Try, ...]


class Done(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The counter has these."""

    requests: tuple[str, ...]


class Seal(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Its owner is lost: nothing more is put in."""


Entry = Begin | Put | Done | Seal
_entries = msgspec.msgpack.Decoder(Entry)


class _Image(msgspec.Struct, array_like=True):
    owner: str
    sealed: bool
    done: int
    pending: list[Try]


_image = msgspec.msgpack.Decoder(_Image)


def entry(told: Entry) -> bytes:
    """An entry's bytes."""
    return msgspec.msgpack.encode(told)


class Book:
    """One copy's state of a book."""

    def __init__(self) -> None:
        self.owner, self.sealed, self.done = "", False, 0
        self.pending: dict[str, Try] = {}

    def apply(self, data: bytes) -> bool:
        """One entry; False where it changes nothing, as the book is sealed or the entry cannot be read."""
        try:
            told = _entries.decode(data)
        except msgspec.MsgspecError:
            return False
        if isinstance(told, Begin):
            self.owner = self.owner or told.owner
        elif isinstance(told, Done):
            for request in told.requests:
                self.done += self.pending.pop(request, None) is not None
        elif isinstance(told, Seal):
            self.sealed = True
        elif self.sealed:
            return False
        else:
            self.pending.update((one.request, one) for one in told.tries)
        return True

    def snapshot(self) -> bytes:
        """All of it."""
        return msgspec.msgpack.encode(_Image(self.owner, self.sealed, self.done, list(self.pending.values())))

    def restore(self, body: bytes) -> None:
        """In place of all that was; raises ValueError where it is no snapshot."""
        try:
            told = _image.decode(body)
        except msgspec.MsgspecError as error:
            raise ValueError(f"not a book's snapshot: {error}") from None
        self.owner, self.sealed, self.done = told.owner, told.sealed, told.done
        self.pending = {one.request: one for one in told.pending}


def puts(tries: list[Try]) -> Iterable[Put]:
    """Tries as entries that are not too large."""
    for at in range(0, len(tries), MOST_TRIES):
        yield Put(tuple(tries[at : at + MOST_TRIES]))


def dones(requests: list[str]) -> Iterable[Done]:
    """Requests as entries that are not too large."""
    for at in range(0, len(requests), MOST_REQUESTS):
        yield Done(tuple(requests[at : at + MOST_REQUESTS]))
