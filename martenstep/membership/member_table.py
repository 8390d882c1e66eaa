"""What is said of members, which of two sayings holds, and the table of what is believed.  Pure.

A saying (Fact) is about one life of one identity of one name.  Of two sayings about a name the greater `rank` holds:

1. `era`, then identity: a name that was given to another disk or machine.  Who takes over a name that nobody answers
   for takes the next era, so that both sides of a cut settle on one holder when they meet.
2. incarnation: only the member itself raises it, at each start and to refute what was said of it.
3. state: alive < suspect < dead < left.

This order is total, so the table is the same whatever the order in which sayings arrive: the join of a semilattice, as
SWIM's (Das, Gupta, Motivala 2002, section 4.2) with identities added.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum, IntFlag
from typing import Annotated

import msgspec
import xxhash

BUCKET_COUNT = 16  # parts of the table that are compared each for itself: a change costs a sixteenth of the table
U64 = Annotated[int, msgspec.Meta(ge=0)]  # MessagePack has none above 64 bits
U32 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Digest = U64


class MemberState(IntEnum):
    """What the fleet holds of a member."""

    ALIVE = 0
    SUSPECT = 1  # it does not answer; it can still refute that
    DEAD = 2
    LEFT = 3  # it said so itself


class SelfReport(IntFlag):
    """What a member says of itself beside being alive."""

    NONE = 0
    RECEIVE_PARTITIONED = 1  # it gets nothing from others, and judges nobody
    SEND_PARTITIONED = 2  # others do not get what it sends, as far as it can tell


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One saying about one member."""

    name: MemberName
    epoch: U32
    node_id: U64  # of the disk that the name is on; drawn when it was first used
    incarnation: U32
    state: MemberState
    boot_id: U64  # of the process; drawn at its start
    host: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    port: Port
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    self_report: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    reported_by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # who says so, where that is not the member itself

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Greater holds."""
        return self.epoch, self.node_id, self.incarnation, self.state

    @property
    def owner(self) -> tuple[int, int]:
        """Who the name belongs to."""
        return self.epoch, self.node_id

    @property
    def address(self) -> tuple[str, int]:
        """Where it is reached."""
        return self.host, self.port

    @property
    def present(self) -> bool:
        """Alive, or only suspected."""
        return self.state <= MemberState.SUSPECT


def with_state(fact: MemberRecord, state: MemberState, by: str) -> MemberRecord:
    """The same member in another state, as somebody says."""
    return msgspec.structs.replace(fact, state=state, reported_by=by)


def _record_hash(fact: MemberRecord) -> int:
    # A suspicion is settled within seconds and is not worth an exchange: it counts as alive.
    state = MemberState.ALIVE if fact.state is MemberState.SUSPECT else fact.state
    text = f"{fact.name}\0{fact.epoch}\0{fact.node_id}\0{fact.incarnation}\0{int(state)}"
    return xxhash.xxh3_64_intdigest(text.encode())


def bucket_index(name: str) -> int:
    """Which part of the table a name belongs to."""
    return xxhash.xxh3_64_intdigest(name.encode()) % BUCKET_COUNT


class MemberTable:
    """The sayings that hold, one a name, with digests that change with them."""

    def __init__(self) -> None:
        self._facts: dict[str, MemberRecord] = {}
        self._prints: dict[str, int] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.state_since_ms: dict[str, float] = {}  # when the present state of a name was taken in
        self.version = 0
        self.present_count = 0  # members alive or suspect

    def __len__(self) -> int:
        return len(self._facts)

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._facts.values())

    def get(self, name: str) -> MemberRecord | None:
        """What holds of a name."""
        return self._facts.get(name)

    @property
    def digest(self) -> int:
        """Of the whole table."""
        made = 0
        for part in self.bucket_digests:
            made ^= part
        return made

    def put(self, now: float, fact: MemberRecord) -> MemberRecord | None:
        """Let a saying hold; gives the one before it.  The caller has compared the ranks."""
        before = self._facts.get(fact.name)
        if before is None or before.state is not fact.state or before.owner != fact.owner:
            self.state_since_ms[fact.name] = now
        self._facts[fact.name] = fact
        told = _record_hash(fact)
        self.bucket_digests[bucket_index(fact.name)] ^= self._prints.get(fact.name, 0) ^ told
        self._prints[fact.name] = told
        self.present_count += int(fact.present) - int(before is not None and before.present)
        self.version += 1
        return before

    def remove(self, name: str) -> None:
        """Forget a name."""
        before = self._facts.pop(name)
        self.bucket_digests[bucket_index(name)] ^= self._prints.pop(name)
        self.state_since_ms.pop(name, None)
        self.present_count -= int(before.present)
        self.version += 1

    def in_buckets(self, wanted: set[int]) -> list[MemberRecord]:
        """The sayings in some parts."""
        return [fact for fact in self._facts.values() if bucket_index(fact.name) in wanted]
