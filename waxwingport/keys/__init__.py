"""Idempotency keys that callers choose, kept in the platform's log."""
