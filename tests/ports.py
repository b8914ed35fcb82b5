"""TCP ports for servers whose port must be known before they start."""

import itertools
import os
import socket

FIRST_PORT = 20000
"""Below the ephemeral ports, which the system assigns by itself."""
PORTS_PER_BLOCK = 1000
STANDALONE_BLOCKS = range(6, 12)
"""Blocks for processes that are not workers of a test run."""

_offsets = itertools.count()


def find_block():
    """Returns the number of this process's block of ports.

    With one block for all, two soak tests at the same time would use the same
    ports and send requests to each other's nodes.
    """
    worker = os.environ.get('PYTEST_XDIST_WORKER')
    if worker is not None:
        return int(worker.removeprefix('gw'))
    return STANDALONE_BLOCKS[os.getpid() % len(STANDALONE_BLOCKS)]


def find_port():
    """Returns a free port that no other worker of this test run gets."""
    first = FIRST_PORT + find_block() * PORTS_PER_BLOCK
    while True:
        port = first + next(_offsets) % PORTS_PER_BLOCK
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
