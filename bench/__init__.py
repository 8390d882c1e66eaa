"""Measurements.  Nothing here is a test: speeds differ from machine to machine; quote ratios of one run."""
