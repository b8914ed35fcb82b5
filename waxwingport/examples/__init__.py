"""Example declarations of two deployments."""
