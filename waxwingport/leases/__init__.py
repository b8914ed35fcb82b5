"""Leases with fencing numbers, recorded in the platform's log."""
