"""Randomized fault soak: real gateways with fake backends, discovery and counter under overlapping faults."""
