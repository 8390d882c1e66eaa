"""Messages between the replicas of a group, and the data types that messages and the stored log share.

A replica is identified by its disk, never by the name of its machine: a machine that restarts with an empty disk is
another replica.  On the wire and on disks all of these are MessagePack arrays: the order of fields and the tags are
part of the format, the names are not.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

ReplicaId = Annotated[int, msgspec.Meta(ge=0)]
Unsigned = Annotated[int, msgspec.Meta(ge=0)]


class EntryKind(IntEnum):
    """Kind of an entry; the values are stored and sent."""

    NO_OP = 0  # first entry of a leader's term; committing it commits all entries before it
    COMMAND = 1
    CONFIGURATION = 2


class LogEntry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log."""

    index: Unsigned
    term: Unsigned
    kind: EntryKind
    data: bytes = b""


class Configuration(msgspec.Struct, array_like=True, frozen=True):
    """The members of a group: voters, and learners, which receive the log before they may become voters.

    `locations` gives the node of each replica in groups that are placed on nodes.  Votes are counted by replica,
    whatever their locations.
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
        """Number of voters that form a quorum."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, array_like=True, frozen=True):
    """The state that results from all entries up to `index`."""

    index: Unsigned
    term: Unsigned
    configuration: Configuration
    body: bytes


class RequestVote(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A candidate requests a vote or, with `pre_vote`, asks whether it would get one."""

    term: Unsigned
    last_index: Unsigned
    last_term: Unsigned
    pre_vote: bool
    leadership_transfer: bool = False  # requested by the leader: its followers may vote despite its lease


class VoteResponse(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The response to a RequestVote: a vote, or its refusal."""

    term: Unsigned
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Entries that follow an entry which both sides should hold; a heartbeat if there are none."""

    term: Unsigned
    prev_log_index: Unsigned
    prev_log_term: Unsigned
    entries: tuple[LogEntry, ...]
    leader_commit: Unsigned
    round: Unsigned  # number of the heartbeat round, returned in the response to renew the lease


class AppendEntriesResponse(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """On success, entries up to `match_index` are durable and match; otherwise the index to retry from."""

    term: Unsigned
    success: bool
    match_index: Unsigned
    round: Unsigned


class InstallSnapshot(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A chunk of a snapshot, for a replica that needs entries which the leader has compacted."""

    term: Unsigned
    last_included_index: Unsigned
    last_included_term: Unsigned
    configuration: Configuration
    offset: Unsigned
    data: bytes
    total_bytes: Unsigned
    round: Unsigned


class InstallSnapshotResponse(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Number of bytes received of a snapshot; the last chunk is answered by an AppendEntriesResponse instead."""

    term: Unsigned
    last_included_index: Unsigned
    next_offset: Unsigned
    round: Unsigned


class TimeoutNow(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The leader tells a replica to campaign at once."""

    term: Unsigned


class RecoveryQuery(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """Sent by a replica that started with a disk that it could not verify."""

    nonce: Unsigned


class RecoveryResponse(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """The term, the end of the log and the configuration of a replica.

    No promise that the querying replica made to it goes beyond these.
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
