"""Errors of the replication package."""

from __future__ import annotations


class ReplicationError(Exception):
    """Base of what this package raises."""


class NotLeaderError(ReplicationError):
    """Another replica leads, `leader` where it is known; nothing was proposed."""

    def __init__(self, leader: int | None) -> None:
        """`leader` is a replica of the group."""
        self.leader = leader
        super().__init__(f"not the leader; {leader} may be" if leader is not None else "not the leader")


class IndeterminateError(ReplicationError):
    """A command was proposed, and whether it is committed is not known here: retry it with the same sequence."""


class LeaderUnreachableError(ReplicationError):
    """No leader of a group answered a request in time; whether it was acted on is not known."""


class ReplicaManagerError(ReplicationError):
    """A node cannot hold replicas as the settings want it: why."""


class ReplicaStorageError(ReplicationError):
    """A replica's disk cannot be read: what is wrong, and where."""


class FrameError(ReplicationError):
    """A frame between nodes cannot be read or authenticated; `reason` names the check that failed."""

    def __init__(self, reason: str) -> None:
        """`reason` is `length` or `mac`."""
        self.reason = reason
        super().__init__(reason)
