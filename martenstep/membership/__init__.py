"""Membership among the instances: which members a cluster has, as far as each can know.

What is guaranteed, to whom, and when it ends:

- To operators and to what places replicas: all member tables converge once faults have ended; a member that has failed
  is declared dead at all that can be reached; a member that was only paused for less than
  `MembershipSettings.tolerated_pause_ms` is not.  The guarantee ends with the last path between two members.
- To everybody: nothing.  Membership is knowledge, never permission.  An instance serves whatever it believes of the
  others; what must never happen twice rests on terms and durable votes elsewhere, not on this.
- No wall clock is read: the clocks of members may be apart by any amount and may be stepped.

The protocol's core is without I/O (`core`, and the parts that it puts together); `service` drives it on sockets.  What
a member is used for, requests, quotas and endpoints have no place here.
"""
