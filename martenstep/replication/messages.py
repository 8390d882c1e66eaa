"""Messages between the replicas of a group, and the parts that they and the stored log are made of.

A replica is known by the identity of its disk, never by the name of its machine: a machine that comes back with an
empty disk is another replica.  On the wire and on disks all of these are MessagePack arrays: the order of fields and
the tags are the format, names are not.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

ReplicaId = Annotated[int, msgspec.Meta(ge=0)]
Unsigned = Annotated[int, msgspec.Meta(ge=0)]


class EntryKind(IntEnum):
    """What an entry is; the values are stored and sent."""

    NO_OP = 0  # the first of a leader's term: what precedes it is committed with it
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log."""

    index: Unsigned
    term: Unsigned
    kind: EntryKind
    data: bytes = b""


class Configuration(msgspec.Struct, array_like=True, frozen=True):
    """Who is in the group: voters, and learners that are sent the log first.

    `locations` tells which node each replica is on, where the group is placed by nodes; who votes follows from the
    replicas alone.
    """

    voters: tuple[ReplicaId, ...]
    learners: tuple[ReplicaId, ...] = ()
    locations: tuple[tuple[ReplicaId, str], ...] = ()

    @property
    def members(self) -> tuple[int, ...]:
        """All replicas."""
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
    """A candidate asks for a vote, or, before it campaigns (`pre_vote`), whether it would get one."""

    term: Unsigned
    last_index: Unsigned
    last_term: Unsigned
    pre_vote: bool
    leadership_transfer: bool = False  # at the leader's request: its followers may agree


class VoteResponse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A vote, or a refusal."""

    term: Unsigned
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The leader's entries after one that both should have; without entries a heartbeat."""

    term: Unsigned
    prev_log_index: Unsigned
    prev_log_term: Unsigned
    entries: tuple[LogEntry, ...]
    leader_commit: Unsigned
    round: Unsigned  # of heartbeats: what an answer to it proves of the lease


class AppendEntriesResponse(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """All up to `match_index` is durable and the same as the leader's; without success, where to begin again."""

    term: Unsigned
    success: bool
    match_index: Unsigned
    round: Unsigned


class InstallSnapshot(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A chunk of a snapshot, for a replica that lags behind the leader's log."""

    term: Unsigned
    last_included_index: Unsigned
    last_included_term: Unsigned
    configuration: Configuration
    offset: Unsigned
    data: bytes
    total_bytes: Unsigned
    round: Unsigned


class InstallSnapshotResponse(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """How many bytes of a snapshot were received; the last chunk is answered by an AppendEntriesResponse."""

    term: Unsigned
    last_included_index: Unsigned
    next_offset: Unsigned
    round: Unsigned


class TimeoutNow(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The leader asks a replica to campaign at once."""

    term: Unsigned


class RecoveryQuery(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """A replica started whose disk is not known to be as it left it."""

    nonce: Unsigned


class RecoveryResponse(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The term, the end of the log and the configuration of a replica.

    What the asking replica promised to it cannot be beyond these.
    """

    nonce: Unsigned
    term: Unsigned
    last_index: Unsigned
    last_term: Unsigned
    configuration: Configuration
    configuration_index: Unsigned = 0
    configuration_committed: bool = False


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
_raft_message_decoder = msgspec.msgpack.Decoder(RaftMessage)
_configuration_decoder = msgspec.msgpack.Decoder(Configuration)


def encode(value: RaftMessage | Configuration) -> bytes:
    """Encode a message, or the data of a configuration entry."""
    return _encoder.encode(value)


def decode_raft_message(data: bytes) -> RaftMessage:
    """Decode a message between replicas; raises msgspec.DecodeError."""
    return _raft_message_decoder.decode(data)


def decode_configuration(data: bytes) -> Configuration:
    """Decode the data of a configuration entry; raises msgspec.DecodeError."""
    return _configuration_decoder.decode(data)
