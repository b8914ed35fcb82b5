"""Translates between the users' platform and the product.

Nothing outside this package and ``deploy/`` knows the platform's names.
"""
