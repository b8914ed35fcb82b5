"""Batches of generation requests that are accepted at once and run later."""
