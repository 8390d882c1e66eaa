"""Hooks: small programs that operators write in a typed language of this project, and that gateways run on requests.

The language is implemented by `lexer`, `parser`, `type_checker`, `compiler`, `verifier`, `virtual_machine`,
`translation` and `formatter`.  Its programs are hosted by `runner`, which calls them, `result_validation`, which limits
what they may change, and `release_manager`, which puts releases of them into service.  Only `bounded_files`,
`release_files`, `release_history` and `signing` do I/O; only `release_history` reads a clock; there are no threads.
No hook decides on quotas, and no result of a hook can loosen a limit.
"""
