"""Several doors on one machine, as one service: workers, who restarts them, and what a process manager is told.

May live here: the supervisor, its decisions (pure, in modules of their own), and the machine's bounds.  May not:
anything about requests; a worker is a door like any other, with a number of its own among all doors.
"""
