"""A fake Redis with the features that the project needs: standalone, with a replica and sentinels, or as a cluster.

Belongs here: contents and commands, the server and its injected faults, topologies of several servers.
Does not belong here: the meaning of the counted values, and a gateway's reaction to a fault.
"""
