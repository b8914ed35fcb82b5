"""Targets: model engines, plain services and scoring services."""
