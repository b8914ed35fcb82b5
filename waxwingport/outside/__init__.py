"""The platform's services: append-only log, VM list and weight store."""
