"""The gateway on a platform: the same engine and server, by the platform's protocol and its terms.

Here are: the platform's configuration, its protocol to and from the engine's terms, its discovery and its counter, and
the process around them.  Not here: any decision on quota, endpoints or attempts, and any figure that weighs one request
or endpoint against another.
"""
