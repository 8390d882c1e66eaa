"""The decisions of a gateway instance: modules without I/O that turn events into actions, entered through `gateway`."""
