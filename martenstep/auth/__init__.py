"""Forward authentication: asking a service whether a request may pass, before anything else is decided on it.

May live here: the decisions on checks (`core`) and the reading of sub-requests (`answerer`), both free of I/O.  May
not: sockets, quota, the choice of endpoints.
"""
