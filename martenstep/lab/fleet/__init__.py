"""Fleets of doors broken on purpose: schedules of faults, played between real processes and in virtual time alike.

A schedule is a text; `virtual` plays it with the doors' own cores and a clock of its own, `rig` with real processes
whose every datagram and stream between two doors passes through a relay.  Both write what each door believed and when,
on one clock, and `judge` reads that alone.

May live here: schedules, the emulated wire, the rig with its relays, the judge.  May not: anything that a door needs to
run, and decisions of a door.
"""
