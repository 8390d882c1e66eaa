"""Several gateways on one machine, as one service: workers, who restarts them, and what a process manager is told.

Belongs here: the supervisor, its decisions (pure, in modules of their own), and the machine's limits.  Does not:
anything about requests; a worker is a gateway like any other, with an instance number of its own among all gateways.
"""
