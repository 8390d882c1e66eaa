"""A counter in Redis that many gateways share.

Redis holds a register for each key and each gateway epoch (one run of a gateway): the sum of all units that this epoch
has added to the key, under a version that only grows.  A gateway sends its whole sum, a statement, in place of an
increment.  If the reply to an increment is lost, sending it again may count its units twice, and not sending it again
may lose them.  A statement can be sent any number of times, in any order and late: Redis ignores a version that is not
newer than the one held, and any later statement of the key includes the units of those that were lost.  Redis returns
the version that it held before, so that a gateway detects that a node lost data, and states its sums once more.

Belongs here: the decisions about calls (pure, without I/O), and the adapter that binds them to sockets and timers.
Does not belong here: decisions on quota.
"""
