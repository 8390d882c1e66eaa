"""Replicated groups: 3 or 5 replicas on different nodes agree on one log of entries by Raft.

Guarantees, to whom they are given, and when they end:

- To the proposer of an entry that was acknowledged as committed: it stays at its index in the log of every later
  leader, whatever one machine (of three; two of five) loses with its disk, at any instant.  The guarantee ends when the
  entry is in a snapshot that the group's user has made, or when more machines than that are lost with their disks.
- To a reader at a leader with a lease: nothing that was committed before the read is missing.  It rests on clocks that
  run apart by no more than `RaftSettings.max_clock_drift`, and on nothing else that is timed.
- Nothing rests on the membership: whichever node is considered dead or alive, the guarantees hold.
- A notification that a replica was removed, or that a node is lost, guarantees nothing.  A group changes by its own log
  alone; what nodes send each other, and what the membership shows, only suggests what to try.

The algorithm without I/O is in `raft`, its messages in `messages`, what a replica keeps on its disk in
`replica_storage` and `witness`.  `replica` runs one on sockets and files; `replica_manager` holds all of a node, with
`repair` and `placement` for where they should be and `transport` between nodes.  What an entry means is the user's.
"""
