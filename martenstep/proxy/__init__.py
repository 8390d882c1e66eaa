"""The proxy: carries requests from clients to endpoints as the policy decides.

`engine` drives the policy, free of I/O (events and the time in, actions out); `server` binds it to sockets; `http1`
reads and writes HTTP/1.1; `daemon` is the process.  Decisions on quota, endpoints and attempts are the policy's alone.
"""
