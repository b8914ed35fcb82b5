"""Declarations, their records in the log, and the configuration in force."""
