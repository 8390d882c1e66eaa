"""Messages between nodes that hold replicas, about a group or about one of its replicas.

On the wire they are MessagePack arrays: the order of fields and the tags are part of the format, the names are not.
"""

from __future__ import annotations

import msgspec

from martenstep.replication.messages import ReplicaId, Unsigned


class CreateReplica(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Requests a replica of this group: the node reports the one that it holds, or creates one.

    A replica that has log entries and is not in `members`, the configuration committed at `configuration_index`, was
    removed from the group.
    """

    configuration_index: Unsigned
    members: tuple[ReplicaId, ...]


class ReplicaCreated(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Reports which replica of the group the node holds."""

    replica: ReplicaId


class ReplicaNotFound(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Reports that the node does not hold a replica: its disk is lost, or the replica was removed."""

    replica: ReplicaId


class MembershipQuery(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Asks whether a replica that receives no messages from a leader is still in the group."""

    replica: ReplicaId


class RemovedFromGroup(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Reports that the configuration committed at an index does not contain a replica.

    The replica is deleted, unless it holds a later configuration.
    """

    replica: ReplicaId
    configuration_index: Unsigned


class LeaderRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """A request to the leader of the group."""

    nonce: Unsigned
    data: bytes


class LeaderResponse(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The response to a LeaderRequest; without data, this node is not the leader, and `leader` may be."""

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
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodeMessage)


def encode_node_message(message: NodeMessage) -> bytes:
    """Encode a message between nodes."""
    return _encoder.encode(message)


def decode_node_message(data: bytes) -> NodeMessage:
    """Decode a message between nodes; raises msgspec.DecodeError."""
    return _decoder.decode(data)
