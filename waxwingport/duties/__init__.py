"""Duties of one node at a time, and the reports of usage among them."""
