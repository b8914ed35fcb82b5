"""A loopback proxy that impairs the connections through it."""

import asyncio
import enum

from tests import ports

DELAY_S = 0.3
"""Delay of each chunk while connections are slow."""


class Impairment(enum.Enum):
    """What happens to connections and their bytes."""

    NONE = 'none'
    CUT = 'cut'
    """New connections are refused, open ones are reset."""
    SILENCE = 'silence'
    """Bytes are dropped in both directions; connections stay open."""
    ONE_WAY = 'one-way'
    """Bytes from the server are dropped; connections stay open."""
    DELAY = 'delay'
    """Bytes arrive late."""


class Proxy:
    """Forwards connections to the address ``target``."""

    def __init__(self, target):
        self._target = target
        self._server = None
        self._ended = False
        """Whether the server behind the proxy is down."""
        self._writers = set()
        self._silenced = set()
        self._tasks = set()
        self.impairment = Impairment.NONE
        self.address = ''

    async def start(self):
        port = ports.find_port()
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        self.address = f'127.0.0.1:{port}'

    def end_server(self):
        """Refuses connections and resets the open ones.

        The server behind the proxy has crashed.
        """
        self._ended = True
        self._server.close()
        self.reset()

    async def restart_server(self):
        """Accepts connections again."""
        self._ended = False
        host, _, port = self.address.rpartition(':')
        server = await asyncio.start_server(self._serve, host, int(port))
        if self._ended:
            # It has crashed again meanwhile.
            server.close()
        else:
            self._server = server

    def set_impairment(self, impairment):
        """Sets the impairment of all connections.

        Resets open connections when they are cut, and when bytes were dropped
        before, since a stream with a gap is of no use.
        """
        if impairment is Impairment.CUT or self.impairment in (
            Impairment.SILENCE,
            Impairment.ONE_WAY,
        ):
            self.reset()
        self.impairment = impairment

    def reset(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self):
        """Drops all further bytes of the connections that are open now.

        They stay open; new connections work.
        """
        self._silenced |= self._writers

    async def stop(self):
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        if self.impairment is Impairment.CUT:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream[1]}
        to_server = asyncio.ensure_future(
            self._pump(reader, upstream[1], True)
        )
        to_client = asyncio.ensure_future(
            self._pump(upstream[0], writer, False)
        )
        for task in (to_server, to_client):
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, towards_server):
        try:
            while data := await reader.read(65536):
                if self.impairment is Impairment.DELAY:
                    await asyncio.sleep(DELAY_S)
                dropped = (
                    self.impairment is Impairment.SILENCE
                    or writer in self._silenced
                )
                if (
                    self.impairment is Impairment.ONE_WAY
                    and not towards_server
                ):
                    dropped = True
                if not dropped:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass  # Resets are among the impairments.
        finally:
            self._writers.discard(writer)
            self._silenced.discard(writer)
            writer.close()
