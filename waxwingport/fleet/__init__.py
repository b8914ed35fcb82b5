"""Registered engines and services: entries, health, load and pace."""
