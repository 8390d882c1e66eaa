"""Raft (Ongaro's thesis, 2014) with pre-vote, check-quorum, leader leases and single-server membership changes.

Sans-I/O.  In: messages, completions of durable writes, the time of this machine's monotonic clock (ms).  Out: actions
(messages, durable writes, committed entries, role changes).  Random draws come from the given generator.

Rules beyond the thesis:

- Whatever a vote or an acknowledgement rests on is durable before the answer leaves (`durability`).
- A replica is its disk.  One whose disk is not known to be as it was left (the machine was restarted, or the directory
  came from elsewhere) neither votes nor acknowledges until every other voter has answered its recovery query
  (`recovery`).
- A replica that has just started does not vote for the time of a lease: it may have acknowledged a leader (`lease`).

`node.RaftNode` is the whole; each of the other modules has one part of it.
"""

from martenstep.replication.raft.log import RaftLog
from martenstep.replication.raft.node import RaftNode
from martenstep.replication.raft.types import (
    Action,
    DurableWrite,
    EntryCommitted,
    LogPosition,
    PersistentState,
    RaftSettings,
    Role,
    RoleChanged,
    Send,
    SnapshotInstalled,
)

__all__ = [
    "Action",
    "DurableWrite",
    "EntryCommitted",
    "LogPosition",
    "PersistentState",
    "RaftLog",
    "RaftNode",
    "RaftSettings",
    "Role",
    "RoleChanged",
    "Send",
    "SnapshotInstalled",
]
