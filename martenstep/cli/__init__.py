"""The command line.

May live here: sub-commands, their options and how faults are told.  May not: anything a library user would miss.
"""
