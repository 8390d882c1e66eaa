"""Member records: claims about a member, and the precedence between two claims.  This module does no I/O.

A record describes one process of one node under one name.  Of two records of a name, the one of greater precedence
wins.  Precedence compares, in this order:

1. epoch, then node id: the owner of the name changed.  A node that takes over a name whose owner does not answer enters
   the next epoch, so that both sides of a partition agree on one owner once it heals.
2. incarnation: only the member itself raises it, at each start and to refute a suspicion.
3. state: alive < suspect < dead < left.

This order is total, so that all tables converge in whatever order records arrive: merging is the join of a semilattice,
as in SWIM (Das, Gupta, Motivala 2002, section 4.2), with node ids added.
"""

from __future__ import annotations

from enum import IntEnum, IntFlag
from typing import Annotated

import msgspec

MAX_NAME_LENGTH = 64

Address = tuple[str, int]
U64 = Annotated[int, msgspec.Meta(ge=0)]  # MessagePack has no integers above 64 bits
U32 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class MemberState(IntEnum):
    """The state of a member in its cluster; the numbers are part of the wire format."""

    ALIVE = 0
    SUSPECT = 1  # a probe of it failed; it can still refute the suspicion
    DEAD = 2
    LEFT = 3  # announced by the member itself

    @property
    def label(self) -> str:
        """Return the name shown in events, metrics and the admin API."""
        return self.name.lower()


class SelfReport(IntFlag):
    """What a member reports about its own connectivity; the numbers are part of the wire format."""

    NONE = 0
    RECEIVE_PARTITIONED = 1  # it receives nothing, and declares no member suspect or dead
    SEND_PARTITIONED = 2  # others appear not to receive what it sends


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One claim about one member, encoded as an array: the order of the fields is part of the wire format."""

    name: MemberName
    epoch: U32
    node_id: U64  # of the node's disk; drawn when the disk was first used
    incarnation: U32
    state: MemberState
    boot_id: U64  # of the process; drawn at each start
    host: Host
    port: Port
    zone: Annotated[str, msgspec.Meta(max_length=64)] = ""
    self_report: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    reported_by: Annotated[str, msgspec.Meta(max_length=64)] = ""  # set if not the member itself claims it

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Return the key by which two records of one name are compared; the greater wins."""
        return self.epoch, self.node_id, self.incarnation, self.state

    @property
    def owner(self) -> tuple[int, int]:
        """Return what identifies the owner of the name."""
        return self.epoch, self.node_id

    @property
    def address(self) -> Address:
        """Return the address of the member."""
        return self.host, self.port

    @property
    def present(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state <= MemberState.SUSPECT

    @property
    def receive_partitioned(self) -> bool:
        """Whether the member reports that it receives nothing."""
        return bool(self.self_report & SelfReport.RECEIVE_PARTITIONED)

    @property
    def send_partitioned(self) -> bool:
        """Whether the member reports that others do not receive its messages."""
        return bool(self.self_report & SelfReport.SEND_PARTITIONED)

    def with_state(self, state: MemberState, reported_by: str) -> MemberRecord:
        """Return this record in another state, as claimed by the member `reported_by`."""
        return msgspec.structs.replace(self, state=state, reported_by=reported_by)
