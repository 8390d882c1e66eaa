"""Forward authentication: a service decides whether a request is allowed, before the policy decides anything on it.

This package contains the logic of checks (`core`) and the parsing of sub-requests (`answerer`), both free of I/O.  It
must not contain sockets, quotas or the choice of endpoints.
"""
