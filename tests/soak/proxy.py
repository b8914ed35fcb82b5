"""A loopback proxy that harms the connections that go through it."""

import asyncio
import enum

DELAY = 0.3
"""Seconds that bytes are held back while connections are slow."""


class Harm(enum.Enum):
    """What happens to bytes."""

    NONE = 'none'
    CUT = 'cut'
    """New connections are refused, open ones are reset."""
    SILENCE = 'silence'
    """Bytes go nowhere, and no connection ends."""
    ONE_WAY = 'one-way'
    """Bytes reach the server, and none comes back."""
    DELAY = 'delay'


class Proxy:
    """Forwards connections to one address."""

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.harm = Harm.NONE
        self.address = ''

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def harm_with(self, harm):
        """Harms connections from now on; what went nowhere stays lost."""
        if harm is Harm.CUT or self.harm in (Harm.SILENCE, Harm.ONE_WAY):
            self.reset()
        self.harm = harm

    def reset(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        if self.harm is Harm.CUT:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(':')
        try:
            onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, onward[1]}
        there = asyncio.ensure_future(self._pump(reader, onward[1], True))
        back = asyncio.ensure_future(self._pump(onward[0], writer, False))
        for task in (there, back):
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, towards_server):
        try:
            while data := await reader.read(65536):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY)
                silent = self.harm is Harm.SILENCE
                if self.harm is Harm.ONE_WAY and not towards_server:
                    silent = True
                if not silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass  # A reset is what this proxy is for.
        finally:
            self._writers.discard(writer)
            writer.close()
