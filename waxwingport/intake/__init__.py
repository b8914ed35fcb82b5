"""Receives callers' requests within bounds of memory, work and descriptors."""
