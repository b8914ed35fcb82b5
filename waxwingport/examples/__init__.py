"""Declarations of the two deployments, shipped as examples."""
