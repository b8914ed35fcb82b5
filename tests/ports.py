"""TCP ports for servers whose port must be known before they start."""

import functools
import itertools
import socket

FIRST_PORT = 20000
"""Below the ephemeral ports, which the system assigns by itself."""
END_PORT = 32000
PORTS_PER_BLOCK = 500

_offsets = itertools.count(1)


@functools.cache
def claim_block():
    """Returns the first port of a block that no other process uses.

    The process keeps it bound until it ends, which claims the block for it.
    """
    for first in range(FIRST_PORT, END_PORT, PORTS_PER_BLOCK):
        claim = socket.socket()
        try:
            claim.bind(('127.0.0.1', first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return first
    raise RuntimeError('other processes use all blocks of ports')


_claims = []
"""Sockets that are bound to the first ports of this process's blocks."""


def find_port():
    """Returns a free port that no other process gets."""
    first = claim_block()
    while True:
        offset = next(_offsets) % PORTS_PER_BLOCK
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', first + offset))
            except OSError:
                continue
        return first + offset
