"""Scripted failure scenarios: fleets of gateways with fakes of all outside systems, traces, checkers and reports.

May live here: what runs a scenario with real processes, what checks invariants from the traffic alone, and its tables.
May not: decisions of the gateway.
"""
