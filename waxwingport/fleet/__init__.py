"""Engines and plain services: who they are, how they do, which to choose."""
