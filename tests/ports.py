"""TCP ports for servers whose port has to be known before they start."""

import itertools
import os
import socket

FIRST_PORT = 20000
"""Below the ports that the system gives to servers that ask for any."""
PORTS_OF_WORKER = 1000

_offsets = itertools.count()


def find_port():
    """Returns a free port that no other worker of this run is given."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    first = FIRST_PORT + int(worker.removeprefix('gw')) * PORTS_OF_WORKER
    while True:
        port = first + next(_offsets) % PORTS_OF_WORKER
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port
