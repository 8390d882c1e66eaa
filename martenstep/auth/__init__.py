"""Forward authentication: asking a service whether a request may pass, before anything else is decided on it.

May live here: the decisions on checks (free of I/O), what of a request and an answer travels, and later the answering
side.  May not: sockets, quota, the choice of photo servers.
"""
