"""HTTP client for targets and the platform, and helpers for messages."""
