"""Samples for trainers: steps, collectors and staleness."""
