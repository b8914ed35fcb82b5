"""Membership: the known nodes, their states and their assignments."""
