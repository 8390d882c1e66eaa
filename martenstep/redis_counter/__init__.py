"""The counter that many gateways share over Redis.

Belongs here: what its calls decide (pure, without I/O), and the adapter that binds the decisions to sockets and timers.
Does not: decisions on quota.
"""
