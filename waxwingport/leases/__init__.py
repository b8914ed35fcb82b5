"""Leases with fencing numbers, kept in the platform's log."""
