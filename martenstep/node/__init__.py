"""The front door on a users' platform: the same engine and driver, by the platform's protocol and its terms.

May live here: the platform's configuration, heads to and from the engine's terms, its discovery and its counter, and
the process around them.  Not here: any decision on quota, servers or attempts, and any figure that weighs one request
or server against another.
"""
