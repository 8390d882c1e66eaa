"""Fakes of outside systems, written from their public specifications: photo servers, Redis, the authentication
service, the endpoint feed, clients.  Each runs as a process of its own, takes commands over a control port, and writes
a trace of what it observed, with times of the monotonic clock.

Only fakes belong into this package.  Nothing that a gateway needs at run time does.
"""
