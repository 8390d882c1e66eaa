"""The project's own counter service: quota totals and recorded attempts, all of which can be rebuilt from its log.

This package holds the protocol, the state machine, the log, the servers, and the client that a gateway uses.  Quota
decisions and HTTP do not belong here.
"""
