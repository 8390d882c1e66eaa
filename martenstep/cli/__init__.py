"""The command line: sub-commands, their options, and how errors are printed.

This package must not contain anything that a user of the library would need.
"""
