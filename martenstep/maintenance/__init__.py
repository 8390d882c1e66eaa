"""Machines taken out for maintenance in an order that the instances settle among themselves.

What is guaranteed, to whom, and when it ends:

- To who asked: each request has one outcome, told alike to whoever asks again under its id.
- To the cluster: by grant, never more machines are out, nor two together that the limits keep apart, than the limits in
  force at each grant allow; a grant is in the replicated queue before anybody acts on it.  It rests on the queue's
  replication group alone (`martenstep.replication`), not on the membership: what is observed of machines only ever
  delays a grant.
- To a machine: it may drain from when its start stands in the queue, for the time of its lease by its own clock,
  counted from before it asked.  After that it asks again.
- Nothing is guaranteed of machines that fail or stop by themselves: they count against the limits once the queue has
  observed that.

The queue as a replicated state machine is in `queue`, with its `model`, `commands` and `admission_rules`; a machine's
own part in `lease_holder`; `coordinator` and `reports` connect an instance to the queue's leader.
"""
