"""Soak of real node processes under faults from outside them."""
