"""The adapter between the decisions and the simulator's text protocol; the protocol's names are mapped here, once."""
