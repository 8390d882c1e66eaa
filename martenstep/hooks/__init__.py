"""Hooks: small programs of the operators' staff, in a language of the project's own.

May live here: the language (syntax, types, checks, compiler, machine, formatter), what its programs may change, and the
releases that carry them.  Only `files` touches the disk; the rest has no I/O, clocks or threads.  Nothing here decides
on limits, and nothing that a hook gives can loosen one.
"""
