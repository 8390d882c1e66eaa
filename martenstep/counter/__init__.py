"""The project's own counter service: counts and tries, kept in a log from which every one can be rebuilt.

May live here: its protocol, its state machine, its log, its server, and the client that a door uses.  May not:
decisions on quota, HTTP.
"""
