"""Decisions on waiting, placing and refusing work, apart from I/O."""
