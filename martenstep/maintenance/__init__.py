"""Grants machines a lease to be out of service for maintenance, in an order that a replicated queue decides.

Guarantees:

- To the author of a request: a request has exactly one outcome, and every submission under the same id returns it.
- To the cluster: grants never put more machines out, nor two machines that the limits keep apart, than the limits in
  force at each grant allow.  A grant is committed to the replicated queue before any instance acts on it.  This depends
  only on the queue's replication group (`martenstep.replication`), not on the membership: observations of machines can
  only delay a grant.
- To a machine: it may begin to drain once its start is committed to the queue, until its lease ends by its own clock,
  counted from before it sent the start.  After that it must send the start again.
- There is no guarantee about machines that fail or stop by themselves: they count against the limits once the queue
  contains an observation that shows them as unhealthy.

`queue` is the replicated state machine, with its `model`, `commands` and `admission_rules`; `lease_holder` decides what
one machine does; `coordinator` and `reports` connect an instance to the queue's leader.
"""
