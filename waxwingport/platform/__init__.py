"""Translates between the users' platform and the product.

No code outside this package and ``deploy/`` uses the platform's names.
"""
