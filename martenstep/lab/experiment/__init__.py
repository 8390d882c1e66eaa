"""Experiments in virtual time: plans, parallel runs, results, comparisons, reports, searches and sweeps.

This package plans, runs and checks emulated scenarios.  The models of systems are in lab.emulate, and sockets are not
used here.
"""
