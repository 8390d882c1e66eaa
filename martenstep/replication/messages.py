"""What the copies of a group say to each other, and what the places that hold them do (`Word`).

A copy is known by the identity of its disk (`Id`), never by the name of its machine: a machine that comes back with an
empty disk is another copy.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

ReplicaId = Annotated[int, msgspec.Meta(ge=0)]
Unsigned = Annotated[int, msgspec.Meta(ge=0)]


class EntryKind(IntEnum):
    """Of an entry."""

    NO_OP = 0  # a leader's first: what stands before it is committed with it
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One line of the log."""

    index: Unsigned
    term: Unsigned
    kind: EntryKind
    data: bytes = b""


class Configuration(msgspec.Struct, array_like=True, frozen=True):
    """Who is in the group: copies that count, and copies that learn first.  `homes` tells at which place each is, where
    places are what the group is chosen by; who counts follows from the copies alone."""

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()
    locations: tuple[tuple[ReplicaId, str], ...] = ()

    @property
    def members(self) -> tuple[int, ...]:
        """All copies."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many of the voters are enough."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """All entries up to one, as the state that they made."""

    index: Unsigned
    term: Unsigned
    configuration: Configuration
    body: bytes


class RequestVote(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Would you (`trial`), or do you, take me for the leader of a term?"""

    term: Unsigned
    last_index: Unsigned
    last_term: Unsigned
    pre_vote: bool
    leadership_transfer: bool = False  # the leader itself asked for it: who still hears that one may agree


class VoteResponse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Yes or no."""

    term: Unsigned
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The leader's entries after one that both should have."""

    term: Unsigned
    prev_log_index: Unsigned
    prev_log_term: Unsigned
    entries: tuple[LogEntry, ...]
    leader_commit: Unsigned
    round: Unsigned  # of asking: what an answer to it proves of the lease


class AppendEntriesResponse(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """All up to `match` is durable here and the same as the leader's; or not, and where to begin again."""

    term: Unsigned
    success: bool
    match_index: Unsigned
    round: Unsigned


class InstallSnapshot(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A part of a snapshot, for one who lags too far."""

    term: Unsigned
    last_included_index: Unsigned
    last_included_term: Unsigned
    configuration: Configuration
    offset: Unsigned
    data: bytes
    total_bytes: Unsigned
    round: Unsigned


class InstallSnapshotResponse(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """How much of it is here; durable once `size` is reached."""

    term: Unsigned
    last_included_index: Unsigned
    next_offset: Unsigned
    round: Unsigned


class TimeoutNow(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Become the leader now: I hand over."""

    term: Unsigned


class RecoveryQuery(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """I came back and cannot prove that my disk is as I left it."""

    nonce: Unsigned


class RecoveryResponse(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """My term, the end of my log, and who I hold for the group: what you promised me cannot be beyond these."""

    nonce: Unsigned
    term: Unsigned
    last_index: Unsigned
    last_term: Unsigned
    configuration: Configuration
    configuration_index: Unsigned = 0
    configuration_committed: bool = False  # that configuration is committed


class CreateReplica(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Hold a copy of this group: begin one where there is none.  One that has learned and is not among `everyone`, as
    committed at `index`, is out."""

    configuration_index: Unsigned
    members: tuple[ReplicaId, ...]


class ReplicaCreated(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """This is the copy that I hold of it."""

    replica: ReplicaId


class ReplicaNotFound(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """I do not hold that copy: its disk is lost, or it was let go."""

    replica: ReplicaId


class MembershipQuery(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """My copy hears no leader: is it in the group still?"""

    replica: ReplicaId


class RemovedFromGroup(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The group's configuration, committed at `index`, does not have that copy: unless it knows a later one, it is to
    be let go."""

    replica: ReplicaId
    configuration_index: Unsigned


class LeaderRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Something asked of whoever leads the group."""

    nonce: Unsigned
    data: bytes


class LeaderResponse(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The answer to a question; without data, whoever was asked does not lead, `leader` may."""

    nonce: Unsigned
    data: bytes | None = None
    leader: str | None = None


NodeMessage = (
    CreateReplica
    | ReplicaCreated
    | ReplicaNotFound
    | MembershipQuery
    | RemovedFromGroup
    | LeaderRequest
    | LeaderResponse
)
RaftMessage = (
    RequestVote
    | VoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
    | RecoveryQuery
    | RecoveryResponse
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RaftMessage)
_words = msgspec.msgpack.Decoder(NodeMessage)
_configs = msgspec.msgpack.Decoder(Configuration)


def encode(value: RaftMessage | Configuration) -> bytes:
    """As bytes."""
    return _encoder.encode(value)


def decode_raft_message(data: bytes) -> RaftMessage:
    """From bytes; raises msgspec.DecodeError."""
    return _decoder.decode(data)


def decode_node_message(data: bytes) -> NodeMessage:
    """What a place says, from bytes; raises msgspec.DecodeError."""
    return _words.decode(data)


def decode_configuration(data: bytes) -> Configuration:
    """From an entry's bytes; raises msgspec.DecodeError."""
    return _configs.decode(data)
