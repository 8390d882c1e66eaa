"""Messages between nodes that hold replicas, of a group or of one replica there.

On the wire they are MessagePack arrays: the order of fields and the tags are the format, names are not.
"""

from __future__ import annotations

import msgspec

from martenstep.replication.messages import ReplicaId, Unsigned


class CreateReplica(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Hold a replica of this group, and create one where there is none.

    One that has learned and is not among `members`, as committed at `configuration_index`, was removed.
    """

    configuration_index: Unsigned
    members: tuple[ReplicaId, ...]


class ReplicaCreated(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """The node holds this replica of the group."""

    replica: ReplicaId


class ReplicaNotFound(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """The node does not hold that replica: its disk is lost, or it was removed."""

    replica: ReplicaId


class MembershipQuery(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Whether a replica that hears no leader is still in the group."""

    replica: ReplicaId


class RemovedFromGroup(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The configuration that is committed at an index does not have that replica.

    Unless the replica knows a later one, it is to be deleted.
    """

    replica: ReplicaId
    configuration_index: Unsigned


class LeaderRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """A request to the leader of the group."""

    nonce: Unsigned
    data: bytes


class LeaderResponse(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The response to a LeaderRequest; without data, this node does not lead, and the node `leader` may."""

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
