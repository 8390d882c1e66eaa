"""Raft (Ongaro's thesis, 2014) with pre-vote, check-quorum, leader leases and single-server membership changes.

The package does no I/O.  Its inputs are messages, completions of durable writes and the time of this machine's
monotonic clock (ms); its outputs are actions (messages, durable writes, committed entries, role changes).  Random
numbers come from the generator that the caller passes in.

Rules beyond the thesis:

- A vote or an acknowledgement is sent only after the state that it depends on is durable (`durability`).
- A replica is identified by its disk.  If the disk cannot be shown to be in the state in which the replica left it (the
  machine was restarted, or the directory was copied from elsewhere), the replica neither votes nor acknowledges until
  every other voter has answered its recovery query (`recovery`).
- A replica that has just started does not vote for the duration of a lease, because it may have acknowledged a leader
  before the restart (`lease`).

`node.RaftNode` combines all parts; each of the other modules implements one of them.
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
