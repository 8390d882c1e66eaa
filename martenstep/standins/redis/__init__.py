"""A Redis, as far as the project needs one: alone, with a replica and sentinels, or as a cluster.

May live here: contents and commands, the server around them and its faults, topologies of several servers.  May not:
what a count means, or what the door does about a fault.
"""
