"""Digests that recognise a request that comes again."""

import hashlib

from waxwingport import ids

__all__ = ['compute_digest']

_DIGEST_BYTES = 16
"""Collisions can neither occur by chance nor be made for a given request."""


def compute_digest(*parts: bytes) -> ids.RequestDigest:
    """Returns the digest of what identifies a request, as hexadecimal text.

    A caller who can choose ``parts`` can't find others of the same digest.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return ids.RequestDigest(digest.hexdigest())
