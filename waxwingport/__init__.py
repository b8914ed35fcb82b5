"""Rollout service for reinforcement learning.

An entry node takes requests from callers and trainers and passes them on to
labelled engines and services.  ``python -m waxwingport trial`` runs a whole
deployment on loopback in one process.
"""

__version__ = '0.1.0'
