"""Admission of requests: limits per target, fair shares, queues, retries."""
