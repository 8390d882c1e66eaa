"""Member records: what is claimed about one member, and which of two claims takes precedence.  Pure.

A record is about one process of one node under one name.  Of two records of a name the one of greater precedence wins:

1. epoch, then node id: the name moved to another disk or machine.  A node that takes over a name that nobody answers
   for enters the next epoch, so that both sides of a partition settle on one owner when they meet.
2. incarnation: only the member itself raises it, at each start and to refute a suspicion.
3. state: alive < suspect < dead < left.

This order is total, so that all tables converge whatever the order in which records arrive: the join of a semilattice,
as SWIM's (Das, Gupta, Motivala 2002, section 4.2) with node ids added.
"""

from __future__ import annotations

from enum import IntEnum, IntFlag
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64

Address = tuple[str, int]
U64 = Annotated[int, msgspec.Meta(ge=0)]  # MessagePack has none above 64 bits
U32 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class MemberState(IntEnum):
    """The state of a member in its cluster; the numbers are those of the wire."""

    ALIVE = 0
    SUSPECT = 1  # it failed a probe, and can still refute the suspicion
    DEAD = 2
    LEFT = 3  # it announced that itself

    @property
    def label(self) -> str:
        """Its name in events, metrics and the admin API."""
        return self.name.lower()


class SelfReport(IntFlag):
    """What a member reports about its own connectivity; the numbers are those of the wire."""

    NONE = 0
    RECEIVE_PARTITIONED = 1  # it receives nothing, and judges nobody
    SEND_PARTITIONED = 2  # others do not receive what it sends, as far as it can tell


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claim about one member.  On the wire an array: the order of the fields is the format."""

    name: MemberName
    epoch: U32
    node_id: U64  # of the disk that the name is on; drawn when that was first used
    incarnation: U32
    state: MemberState
    boot_id: U64  # of the process; drawn at its start
    host: Host
    port: Port
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    self_report: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    reported_by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # where that is not the member itself

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Of two records of one name the greater wins."""
        return self.epoch, self.node_id, self.incarnation, self.state

    @property
    def owner(self) -> tuple[int, int]:
        """Who the name belongs to."""
        return self.epoch, self.node_id

    @property
    def address(self) -> Address:
        """Where the member is reached."""
        return self.host, self.port

    @property
    def present(self) -> bool:
        """Alive, or only suspected."""
        return self.state <= MemberState.SUSPECT

    @property
    def receive_partitioned(self) -> bool:
        """The member reports that it receives nothing."""
        return bool(self.self_report & SelfReport.RECEIVE_PARTITIONED)

    @property
    def send_partitioned(self) -> bool:
        """The member reports that nobody receives what it sends."""
        return bool(self.self_report & SelfReport.SEND_PARTITIONED)

    def with_state(self, state: MemberState, reported_by: str) -> MemberRecord:
        """The same member in another state, as claimed by a member."""
        return msgspec.structs.replace(self, state=state, reported_by=reported_by)
