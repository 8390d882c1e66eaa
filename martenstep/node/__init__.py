"""The gateway as a platform runs it: the same engine and proxy server, adapted to the platform's protocol.

The package contains the platform's configuration, the mapping between its protocol and the engine's types, the clients
of its discovery and its counter, and the process.  It makes no decision on quota, endpoints or attempts, and has no
figure that weighs one request or endpoint against another.
"""
