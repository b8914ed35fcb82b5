"""Measurements: policy comparisons and the slopes for docs/CAPACITY.md."""
