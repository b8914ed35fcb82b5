"""Moves engines to the versions of the weights that trainers publish."""
