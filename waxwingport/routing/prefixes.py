"""Hash chains that identify the prefixes of a prompt.

The hash of a block covers all text up to the end of the block.  Engines name
blocks by these hashes in their cache events, so both sides must compute them
in the same way.
"""

import xxhash

__all__ = ['BLOCK_CHARACTERS', 'hash_blocks']

BLOCK_CHARACTERS = 64


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Returns a 64-bit hash for each whole block of ``prompt``."""
    state = xxhash.xxh3_64()
    values = []
    last = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, last, BLOCK_CHARACTERS):
        state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        values.append(state.intdigest())
    return tuple(values)
