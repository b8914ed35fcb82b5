"""Rollout service for reinforcement learning.

An entry node accepts requests from callers and trainers and forwards them to
labelled engines and services.  ``python -m waxwingport trial`` runs a whole
deployment on loopback in one process.
"""

__version__ = '0.1.0'
