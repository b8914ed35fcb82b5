"""Soak test of node processes under injected faults."""
