"""Hash chains that name the prefixes of a prompt.

Engines publish cache events by these values, so both sides compute them in
the same way: the value of a block covers all text up to its end.
"""

import xxhash

__all__ = ['BLOCK_CHARACTERS', 'hash_blocks']

BLOCK_CHARACTERS = 64


def hash_blocks(prompt: str) -> tuple[int, ...]:
    """Returns one 64-bit value for each whole block of ``prompt``."""
    state = xxhash.xxh3_64()
    values = []
    last = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    for start in range(0, last, BLOCK_CHARACTERS):
        state.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        values.append(state.intdigest())
    return tuple(values)
