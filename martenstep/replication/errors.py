"""Errors of the replication package."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base of the errors that this package raises."""


class NotLeaderError(ReplicationError):
    """This replica is not the leader, and proposed nothing; `leader` is the current leader if it is known."""

    def __init__(self, leader: int | None) -> None:
        """`leader` is a replica id of the group."""
        self.leader = leader
        super().__init__(f"not the leader; replica {leader} may be" if leader is not None else "not the leader")


class IndeterminateError(ReplicationError):
    """A command was proposed, and may or may not be committed: retry it with the same sequence number."""


class LeaderUnreachableError(ReplicationError):
    """No leader of a group answered a request in time; the request may or may not have been executed."""


class ReplicaManagerError(ReplicationError):
    """A node cannot hold replicas as the settings require; the text gives the reason."""


class ReplicaStorageError(ReplicationError):
    """A replica's disk cannot be read; the text says what is wrong and where."""


class FrameError(ReplicationError):
    """A frame between nodes cannot be read or authenticated; `reason` names the check that failed."""

    def __init__(self, reason: str) -> None:
        """`reason` is `length` or `mac`."""
        self.reason = reason
        super().__init__(reason)
