"""The adapter between the decisions and the simulator's text protocol; only this package has the protocol's names."""
