"""Experiments in virtual time: plans, runs in parallel, results, comparisons, reports, and the search for bad days.

May live here: what plans, runs and judges emulated days.  May not: models of systems (lab.emulate), sockets.
"""
