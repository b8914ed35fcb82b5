"""Replays of load patterns on a model of engines in virtual time."""
