"""Engines in processes of their own, with their entries in the store."""

import asyncio
import sys

from review.lib import deployment
from review.lib import engine

HEARTBEAT_S = 1.2


class EngineProcess:
    """An engine that can crash; answers have no length, see ``engine``."""

    def __init__(self, site, name):
        self._site = site
        self.name = name
        self.port = deployment.find_port()
        self.runs = site.folder / f'{name}.runs'
        self.runs.touch()

    async def start(self):
        """Starts the process and its heartbeats."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(deployment.ROOT / 'review' / 'lib' / 'engine.py'),
            self.name,
            str(self.port),
            str(self.runs),
            stdout=asyncio.subprocess.PIPE,
        )
        self._born = int(await self.process.stdout.readline())
        self._beats = asyncio.ensure_future(self._beat())

    async def _beat(self):
        seq = 0
        while True:
            seq += 1
            self._site.write(
                deployment.SERVERS,
                self.name,
                engine.make_entry(self.name, self.port, self._born, seq),
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Ends the process; its entry is removed after three heartbeats."""
        self._beats.cancel()
        self.process.kill()
        await self.process.wait()
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S,
            self._site.log.write_keyed,
            deployment.SERVERS,
            self.name,
        )

    def list_runs(self):
        """Returns the request of each run and the event before it."""
        lines = self.runs.read_text().splitlines()
        return [line[4:] for line in lines if line.startswith('run ')]

    async def stop(self):
        """Ends the process."""
        self._beats.cancel()
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
