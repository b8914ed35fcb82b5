"""Small stand-ins of the outside systems, for the trial and for tests.

Each is an in-memory implementation of the abstract base that nodes use, with
switches for its faults, and can be served over HTTP by ``servers``.
"""
