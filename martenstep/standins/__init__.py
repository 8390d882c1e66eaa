"""Outside systems as the project writes them itself, from their public specifications: photo servers, Redis, the
members feed, clients.  Each is a process of its own, steered over a control port, and writes a trace of what it saw
with the monotonic clock.

May live here: what plays an outside system.  May not: anything that a door needs to run.
"""
