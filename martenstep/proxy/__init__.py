"""The front door.

May live here: the engine around the module's Gateway, free of I/O (events and a time in, actions out); the HTTP
rules that it follows; the asyncio driver that binds it to sockets; the daemon.  Decisions on quota, servers and
attempts are the module's alone.
"""
