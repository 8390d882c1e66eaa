"""Membership among the doors: who is there, as far as each door can know.

What is promised, to whom, and when it ends:

- To operators and to what chooses holders: every door's view comes to agree with every other's once faults have ended;
  a member that has gone is told dead to all that can hear of it; a member that only stood still for less than
  `core.pause_bound_ms` is not.  The promise ends with the last path between two doors.
- To everybody: nothing.  Membership is knowledge, never permission.  A door serves, and keeps the five rules, whatever
  it believes of the others; what must never happen twice rests on terms and durable votes elsewhere, not on this.
- No wall clock is read: doors' clocks may be apart by any amount and may be stepped.

May live here: the protocol's core without I/O (`core`, with `facts`, `probing`, `spreading`), its bytes (`wire`), keys
(`keys`), who holds what (`holders`), what is kept on disk (`identity`), and the driver that binds it to sockets.  May
not: what a member is used for; requests, quotas, servers.
"""
