"""TCP ports for servers whose port has to be known before they start."""

import itertools
import os
import socket

FIRST_PORT = 20000
"""Below the ports that the system gives to servers that ask for any."""
PORTS_OF_WORKER = 1000
LONE_BLOCKS = range(6, 12)
"""Blocks of processes that are no worker of a run."""

_offsets = itertools.count()


def find_block():
    """Returns the number of this process's block of ports.

    Two soaks that run side by side would else take the same ones, and each
    ask the other's nodes.
    """
    worker = os.environ.get('PYTEST_XDIST_WORKER')
    if worker is not None:
        return int(worker.removeprefix('gw'))
    return LONE_BLOCKS[os.getpid() % len(LONE_BLOCKS)]


def find_port():
    """Returns a free port that no other worker of this run is given."""
    first = FIRST_PORT + find_block() * PORTS_OF_WORKER
    while True:
        port = first + next(_offsets) % PORTS_OF_WORKER
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
