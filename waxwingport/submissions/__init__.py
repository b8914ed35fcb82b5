"""Submissions: batches of generations accepted now and run later."""
