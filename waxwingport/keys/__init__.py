"""Index of callers' idempotency keys, kept in the platform's log."""
