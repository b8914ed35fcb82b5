"""Seeded measurements: policy comparisons and the data of docs/CAPACITY.md."""
