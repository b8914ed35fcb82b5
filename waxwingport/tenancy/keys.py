"""Digests of API keys, under which keys are compared and logged."""

import hashlib

from waxwingport.tenancy import model

__all__ = ['compute_digest', 'shorten']

_DIGEST_BYTES = 16
"""Nobody finds another key of the same digest; longer digests would only cost
memory."""
_PERSONALIZATION = b'waxwingport-key'
"""Keeps the digests of keys apart from other digests of the same text."""
_SHORT_CHARACTERS = 8
"""Distinguishes the keys of a deployment from each other in log lines."""


def compute_digest(key: str) -> model.KeyDigest:
    """Returns the digest of a key, which has to be ASCII."""
    return model.KeyDigest(
        hashlib.blake2b(
            key.encode('ascii'),
            digest_size=_DIGEST_BYTES,
            person=_PERSONALIZATION,
        ).digest()
    )


def shorten(digest: model.KeyDigest) -> str:
    """Returns the start of a digest as hexadecimal text, for log lines."""
    return digest.hex()[:_SHORT_CHARACTERS]
