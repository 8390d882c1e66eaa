"""Fault injection for fleets of gateways: schedules of faults, run between real processes and in virtual time.

A schedule is a text.  `virtual` runs it with the gateways' own membership cores and a simulated clock; `rig` runs it
with real processes whose datagrams and streams between two gateways pass through relays.  Both record what each member
believed and when, on one clock, and `judge` checks the invariants from these records alone.

This package holds schedules, link faults, the rig with its relays, the virtual network and the checkers.  It holds
nothing that a gateway needs to run, and makes none of a gateway's decisions.
"""
