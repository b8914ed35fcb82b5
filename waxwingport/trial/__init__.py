"""Runs a whole deployment on loopback in one process."""
