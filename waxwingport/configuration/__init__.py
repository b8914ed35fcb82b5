"""Declarations, the log records that change them, and the current result."""
