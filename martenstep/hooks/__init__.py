"""Hooks: small programs of the operators' staff, in a language of the project's own.

The language: `lexer`, `parser`, `type_checker`, `compiler`, `verifier`, `virtual_machine`, `translation`, `formatter`.
What hosts its programs: `result_validation` limits what they may change, `runner` calls them, `release_manager` puts
releases of them into service.  Only `release_files`, `release_history` and `signing` have I/O; there are no clocks or
threads.  No hook decides on quotas, and no result of a hook can loosen a limit.
"""
