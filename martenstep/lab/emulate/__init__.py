"""Runs scenarios in virtual time: models of the systems around the gateways drive the gateways' real engines.

This package holds the clock, the network, the models of servers, store, feed and clients, and the emulation that runs a
scenario with them.  It uses no sockets, no threads and not the machine's clock, and makes no decision for a gateway.
"""
