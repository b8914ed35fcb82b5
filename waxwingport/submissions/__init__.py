"""Batches of generations that are accepted at once and run later."""
