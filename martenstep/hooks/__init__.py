"""Hooks: small programs of the operators' staff, in a language of the project's own.

May live here: the language (syntax, types, checks, compiler, machine, formatter) and what its programs may change.  May
not: I/O, clocks, threads; nothing here decides on limits, and nothing that a hook gives can loosen one.
"""
