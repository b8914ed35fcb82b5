"""Tenants, their API keys, and the check of each request's key."""
