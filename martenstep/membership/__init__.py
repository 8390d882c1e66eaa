"""Gossip membership of the gateway instances: the set of members of a cluster, as each instance has observed it.

Guarantees:

- For operators and for the placement of replicas: all member tables converge once faults have ended; a failed member is
  declared dead by every member that can be reached; a member that was only paused for less than
  `MembershipSettings.tolerated_pause_ms` is not.  The guarantee ends when no path between two members is left.
- For every other purpose: none.  Membership is information, never permission.  An instance serves requests whatever its
  table says about the others; operations that must never happen twice are protected by terms and durable votes
  elsewhere, not by the membership.
- The protocol reads no wall clock: the clocks of members may differ by any amount and may be stepped.

The protocol core does no I/O (`core`, and the components that it creates); `service` runs it on sockets.  What members
are used for, such as requests, quotas and endpoints, does not belong in this package.
"""
