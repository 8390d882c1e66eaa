"""The proxy: forwards requests from clients to endpoints as the policy decides.

`engine` drives the policy without I/O: it receives events and the time, and returns actions.  `server` connects it to
sockets, `http1` reads and writes HTTP/1.1, and `daemon` is the process.  Only the policy decides on quota, endpoints
and attempts.
"""
