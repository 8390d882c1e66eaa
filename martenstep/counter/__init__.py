"""The project's own counter service: quota totals and recorded attempts, kept in a log that rebuilds all of them.

Belongs here: the protocol, the state machine, the log, the servers, and the client that a gateway uses.  Does not:
decisions on quota, HTTP.
"""
