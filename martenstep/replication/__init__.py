"""Replicated groups: 3 or 5 replicas on different nodes agree on one log of entries by Raft.

What is promised, to whom, and when it ends:

- To who proposed an entry and was told that it is committed: it stays at its index in the log of every later leader,
  whatever one machine (of three; two of five) loses with its disk, at any instant.  The promise ends when the entry is
  in a snapshot that the group's user has made, or when more machines than that are lost with their disks. - To who
  reads at a leader with a lease: nothing that was committed before the question is missing.  It rests on clocks that
  run apart by no more than `RaftSettings.max_clock_drift`, and on nothing else that is timed. - Nothing is promised on
  membership: whichever node is called dead or alive, the promises hold. - To who is told that a replica was removed, or
  that a node is lost: nothing.  A group changes by its own log alone; what nodes send each other, and what the
  membership shows, only says what to try.

The algorithm without I/O is in `raft`, its messages in `messages`, what a replica keeps on its disk in
`replica_storage` and `witness`.  `replica` runs one on sockets and files; `replica_manager` holds all of a node, with
`repair` and `placement` for where they should be and `transport` between nodes.  What an entry means is the user's.
"""
