"""Replicated groups: 3 or 5 replicas on different nodes agree on one log of entries by Raft.

Guarantees, to whom they are given, and when they end:

- To the proposer of an entry that was acknowledged as committed: the entry stays at its index in the log of every later
  leader, even if one machine of three (two of five) is lost with its disk at any instant.  The guarantee ends when the
  entry is covered by a snapshot that the group's user has made, or when more machines than that are lost with their
  disks.
- To a reader at a leader with a lease: the read misses nothing that was committed before it.  This requires that clock
  rates differ by no more than `RaftSettings.max_clock_drift`; it depends on no other timing.
- No guarantee depends on the membership: all hold whichever nodes are considered dead or alive.
- A notification that a replica was removed, or that a node is lost, guarantees nothing.  A group is changed only by
  entries of its own log; messages between nodes and the membership only suggest which change to try.

`raft` implements the algorithm without I/O, and `messages` defines its messages.  `replica_storage` and `witness` store
the state of a replica.  `replica` runs one replica on sockets and files, and `replica_manager` all replicas of a node.
`placement` and `repair` decide where replicas should be and move them there; `transport` connects the nodes.  The
meaning of an entry is defined by the user of the package.
"""
