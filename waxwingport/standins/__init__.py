"""In-memory stand-ins for external systems, for the trial and the tests.

Each implements the abstract base class that nodes use, has attributes that
inject faults, and can be served over HTTP by ``servers``.
"""
