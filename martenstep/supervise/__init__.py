"""Runs several gateways on one machine as one service: workers, their restarts, and notices to a process manager.

This package holds the supervisor, its decisions (pure functions in modules of their own), and the machine's limits.  It
handles no requests: a worker is a gateway like any other, with an instance number of its own among all gateways.
"""
